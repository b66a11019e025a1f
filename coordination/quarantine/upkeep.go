package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Tick decides what is due by time: contents that nobody asks for are quarantined too, so that others
// learn of it, and quarantines are forgotten a while after they have ended.
func (t *Tracker) Tick(now time.Duration) {
	t.evidence.expire(now)
	for content := range t.evidence.held {
		if t.mayBeCause(content) {
			t.Evaluate(content, now)
		}
	}
	for content, held := range t.quarantines {
		if now-held.till > longestQuarantine {
			delete(t.quarantines, content)
		}
	}
}

// Description is what is held against one content.
type Description struct {
	Fingerprint Fingerprint
	State       State
	Remaining   time.Duration
	Round       int
	Servers     []string
	Reporter    string
}

// Describe lists the contents that are quarantined or suspected.
func (t *Tracker) Describe(now time.Duration) []Description {
	var all []Description
	for content, held := range t.quarantines {
		state := Suspected
		if now < held.till {
			state = InQuarantine
		}
		all = append(all, Description{Fingerprint: content, State: state, Remaining: max(0, held.till-now), Round: held.round, Servers: held.servers, Reporter: held.by})
	}
	for content := range t.evidence.held {
		if t.quarantines[content] == nil && t.evidence.score(content) >= endsForSuspicion {
			all = append(all, Description{Fingerprint: content, State: Suspected, Servers: t.endsOf(content)})
		}
	}
	slices.SortFunc(all, func(a, b Description) int { return cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String()) })
	return all
}

// CountQuarantines counts the contents that are kept from servers now.
func (t *Tracker) CountQuarantines(now time.Duration) int {
	count := 0
	for _, held := range t.quarantines {
		if now < held.till {
			count++
		}
	}
	return count
}
