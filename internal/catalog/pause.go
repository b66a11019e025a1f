package catalog

import "time"

// Thresholds for pauses of the process.
const (
	// minPause is the time between two checks of the links, which are due every linkCheckInterval,
	// from which the process counts as paused. resumeGrace is the time that readers then have to
	// read what arrived in the meantime.
	minPause    = 300 * time.Millisecond
	resumeGrace = 200 * time.Millisecond
	// minStall is the time between two checks from which the process counts as short of CPU time.
	// Open probes are then given their full time again.
	minStall = 2 * linkCheckInterval
)

// pauseDetector detects pauses of the process, so that links are not judged by data that their
// readers have not read yet. Without it, all links are dropped after a pause of linkTimeout and
// their peers suspected (TestLinksSurviveProcessPause).
type pauseDetector struct {
	// checkedAt is when the links were last checked, resumedAt the end of the last pause, stalledAt
	// the end of the last stall or pause.
	checkedAt time.Time
	resumedAt time.Time
	stalledAt time.Time
}

// recordCheck records a check of the links.
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

// graceRemaining returns how long readers may still read what arrived during a pause.
func (p *pauseDetector) graceRemaining(now time.Time) time.Duration {
	return resumeGrace - now.Sub(p.resumedAt)
}

// probeStart returns when the time for the answer to a probe starts: at the end of the last stall
// if that is later than the probe.
func (p *pauseDetector) probeStart(probedAt time.Time) time.Time {
	if p.stalledAt.After(probedAt) {
		return p.stalledAt
	}
	return probedAt
}
