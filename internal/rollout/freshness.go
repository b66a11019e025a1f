package rollout

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// Ages of a verification, by a clock that goes on while the machine is suspended.
const (
	// maxVerificationAge is the age up to which an order may be sent on a verification.
	maxVerificationAge = 2 * time.Second
	// toleratedCorruption is how long before the server takes them pieces may have turned corrupt. An order
	// whose verification was younger when its outcome became known can't have loaded older corruption.
	toleratedCorruption = 3 * time.Second
)

// errVerificationTooOld means that an order was not sent because its verification is too old.
var errVerificationTooOld = errors.New("the staged pieces were verified too long ago")

// verification is a reading of the staged pieces that an order loads. They lie at the server, where they may turn
// corrupt, and the agent may stand still between reading them and sending the order.
type verification struct {
	// transfer owns the pieces; nil for those of a layer that no request begins on.
	transfer *transfer
	pieces   []int
	// began is when the first piece was read, in time since boot.
	began time.Duration
}

func (a *Agent) beginVerification(t *transfer, pieces []int) verification {
	return verification{transfer: t, pieces: pieces, began: a.sinceBoot()}
}

// verifyForOrder reads staged pieces back, and reports whether an order may rest on that. Corrupt ones are fetched again.
// The caller holds the staging lock for writing.
func (a *Agent) verifyForOrder(ctx context.Context, t *transfer, pieces []int) (verification, bool) {
	verified := a.beginVerification(t, pieces)
	corrupt, err := t.verify(ctx, pieces)
	if err != nil {
		return verified, false
	}
	if len(corrupt) > 0 {
		t.refetchCorrupt(corrupt)
		return verified, false
	}
	return verified, true
}

// age returns the time since the verification began, with the time that the machine was suspended.
func (a *Agent) age(v verification) time.Duration { return a.sinceBoot() - v.began }

// checkFresh returns errVerificationTooOld if an order must not be sent on a verification.
func (a *Agent) checkFresh(v verification) error {
	if a.age(v) > maxVerificationAge {
		return errVerificationTooOld
	}
	return nil
}

// sinceBoot returns the time since the machine has booted. Unlike the monotonic clock it goes on while the
// machine is suspended.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails for an unknown clock only, and Linux has had this one since 2.6.39.
		panic(err)
	}
	return time.Duration(now.Nano())
}
