package dispatch

import (
	"math"
	"time"
)

// Parameters of lateness.
const (
	// latenessGrace is the lateness within the prediction error.
	latenessGrace = 150 * time.Millisecond
	// latenessHalfLife is the half-life of past lateness.
	latenessHalfLife = 1500 * time.Millisecond
	latenessWeight   = 0.4
)

// lateness tracks how much later than expected a server's first events arrive. It detects a server that
// accepts requests and never answers while its agent reaches it and reports it idle. Of 1000 requests in ten
// seconds at six servers, such a server takes 30 to 40, and 46 to 66 without lateness, where requests are
// retried after a second; where they wait for their deadline, it takes 4 to 12, and 15 to 47 without
// (TestUnresponsiveServerIsAvoided). On days without such a server it makes no difference.
type lateness struct {
	// excess is the moving mean of the lateness as of excessAt.
	excess   time.Duration
	excessAt time.Time
}

// decayed returns what remains of the past lateness, in nanoseconds.
func (l *lateness) decayed(now time.Time) float64 {
	if l.excessAt.IsZero() {
		return 0
	}
	return float64(l.excess) * math.Exp2(-float64(now.Sub(l.excessAt))/float64(latenessHalfLife))
}

// recordStart records that a request expected to begin at expectedAt has begun, or has ended without
// beginning.
func (l *lateness) recordStart(expectedAt, now time.Time) {
	past := l.decayed(now)
	l.excess = time.Duration((1-latenessWeight)*past + latenessWeight*float64(max(0, now.Sub(expectedAt))))
	l.excessAt = now
}

// lateBy returns how much later than predicted the server begins requests: the longest delay of a pending
// one, or the decayed mean of past ones. Delays within latenessGrace count as 0.
func (k *Candidate) lateBy(now time.Time) time.Duration {
	late := time.Duration(k.lateness.decayed(now))
	for _, send := range k.sends.pending {
		late = max(late, now.Sub(send.expectedAt))
	}
	if late < latenessGrace {
		return 0
	}
	return late
}
