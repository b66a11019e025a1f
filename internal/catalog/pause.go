package catalog

import "time"

// Times of pauses of the process itself.
const (
	// minPause is the time between two looks at the links, which are due each linkLook, after
	// which the process itself stood still; resumeTime is what readers are given then to read
	// what has come meanwhile.
	minPause    = 300 * time.Millisecond
	resumeGrace = 200 * time.Millisecond
	// minStall is the time between two looks after which the process was short of time: twice
	// linkLook. Probes then have the time for an answer anew.
	minStall = 2 * linkCheckInterval
)

// pauseDetector notices when the process itself stood still, so that links are not judged by what their
// readers have not read yet: without it all links are dropped after a pause of linkSilence, and
// their other ends suspected (TestLinksOutlastAPauseOfTheProcess).
type pauseDetector struct {
	// checkedAt is when the links were last looked at, resumed when the last pause ended, stalled
	// when the last shorter one did.
	checkedAt time.Time
	resumedAt time.Time
	stalledAt time.Time
}

// recordCheck notes that the links are looked at.
func (p *pauseDetector) recordCheck(now time.Time) {
	if gap := now.Sub(p.checkedAt); !p.checkedAt.IsZero() {
		if gap > minStall {
			p.stalledAt = now
		}
		if gap > minPause {
			p.resumedAt = now
		}
	}
	p.checkedAt = now
}

// graceLeft is for how long readers may still read what came during a pause.
func (p *pauseDetector) graceLeft(now time.Time) time.Duration {
	return resumeGrace - now.Sub(p.resumedAt)
}

// probeStart is since when the answer to a probe could be read: later than it was sent if the
// process was short of time meanwhile.
func (p *pauseDetector) probeStart(probedAt time.Time) time.Time {
	if p.stalledAt.After(probedAt) {
		return p.stalledAt
	}
	return probedAt
}
