package dispatch

import (
	"math"
	"time"
)

// Lateness of servers.
const (
	// latenessGrace is the lateness that the prediction's own error explains.
	latenessGrace = 150 * time.Millisecond
	// latenessHalfLife is the time in which half of a past lateness is forgotten.
	latenessHalfLife = 1500 * time.Millisecond
	latenessWeight   = 0.4
)

// lateness is how much later than expected a server's first events come. It shows a server that
// takes requests and never answers while its agent reaches it and calls it idle: of 1000 requests
// at six servers in ten seconds such a one takes 30 to 40 where they are sent again after a second,
// and 46 to 66 without lateness; where they wait for their deadline 4 to 12, and 15 to 47 without
// (TestMuteServerIsLeft). On days without such a server it is worth nothing.
type lateness struct {
	// excess is the moving mean, as of excessAt.
	excess   time.Duration
	excessAt time.Time
}

// decayed is what is left of the past lateness, in nanoseconds.
func (l *lateness) decayed(now time.Time) float64 {
	if l.excessAt.IsZero() {
		return 0
	}
	return float64(l.excess) * math.Exp2(-float64(now.Sub(l.excessAt))/float64(latenessHalfLife))
}

// recordStart notes that a request has begun, or ended without that, which was expected to begin
// when due.
func (l *lateness) recordStart(due, now time.Time) {
	past := l.decayed(now)
	l.excess = time.Duration((1-latenessWeight)*past + latenessWeight*float64(max(0, now.Sub(due))))
	l.excessAt = now
}

// lateBy is how much later than predicted the server begins requests: the
// longest delay of one that is still waited for, or the faded mean of past ones.
func (k *Candidate) lateBy(now time.Time) time.Duration {
	late := time.Duration(k.lateness.decayed(now))
	for _, one := range k.sends.pending {
		late = max(late, now.Sub(one.expectedAt))
	}
	if late < latenessGrace {
		return 0
	}
	return late
}
