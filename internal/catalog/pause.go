package catalog

import "time"

// Times of pauses of the process itself.
const (
	// pauseLeast is the time between two looks at the links, which are due each linkLook, after
	// which the process itself stood still; resumeTime is what readers are given then to read
	// what has come meanwhile.
	pauseLeast = 300 * time.Millisecond
	resumeTime = 200 * time.Millisecond
	// stallLeast is the time between two looks after which the process was short of time: twice
	// linkLook. Probes then have the time for an answer anew.
	stallLeast = 2 * linkLook
)

// pause notices when the process itself stood still, so that links are not judged by what their
// readers have not read yet: without it all links are dropped after a pause of linkSilence, and
// their other ends suspected (TestLinksOutlastAPauseOfTheProcess).
type pause struct {
	// looked is when the links were last looked at, resumed when the last pause ended, stalled
	// when the last shorter one did.
	looked  time.Time
	resumed time.Time
	stalled time.Time
}

// look notes that the links are looked at.
func (p *pause) look(now time.Time) {
	if gap := now.Sub(p.looked); !p.looked.IsZero() {
		if gap > stallLeast {
			p.stalled = now
		}
		if gap > pauseLeast {
			p.resumed = now
		}
	}
	p.looked = now
}

// resuming is for how long readers may still read what came during a pause.
func (p *pause) resuming(now time.Time) time.Duration { return resumeTime - now.Sub(p.resumed) }

// grantedSince is since when the answer to a probe could be read: later than it was sent if the
// process was short of time meanwhile.
func (p *pause) grantedSince(probedAt time.Time) time.Time {
	if p.stalled.After(probedAt) {
		return p.stalled
	}
	return probedAt
}
