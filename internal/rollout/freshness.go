package rollout

import (
	"time"

	"golang.org/x/sys/unix"
)

// maxVerificationAge is the age of a verification of staged pieces up to which an order may rest on it. The
// pieces are at the server, where they may turn corrupt, and the agent may stand still between reading them and
// sending the order. The platform tolerates pieces that turned corrupt within the last 3 s before the server
// took them, which leaves a second for the order to arrive.
const maxVerificationAge = 2 * time.Second

// verification is when the staged pieces that an order loads began to be read back, in time since boot.
type verification struct {
	began time.Duration
}

func (a *Agent) beginVerification() verification { return verification{began: a.sinceBoot()} }

// age returns the time since the verification began, with the time that the machine was suspended.
func (a *Agent) age(v verification) time.Duration { return a.sinceBoot() - v.began }

// isFresh reports whether an order may rest on a verification.
func (a *Agent) isFresh(v verification) bool { return a.age(v) <= maxVerificationAge }

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
