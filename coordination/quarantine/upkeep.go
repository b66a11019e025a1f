package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Tick does what is due by time: it quarantines fingerprints also when no request with them
// arrives, so that other processes learn of it, and drops quarantines some time after they have
// ended.
func (t *Tracker) Tick(now time.Duration) {
	t.evidence.expire(now)
	for fingerprint := range t.evidence.byFingerprint {
		if t.mayBeCause(fingerprint) {
			t.Evaluate(fingerprint, now)
		}
	}
	for fingerprint, q := range t.quarantines {
		if now-q.until > maxQuarantine {
			delete(t.quarantines, fingerprint)
		}
	}
}

// Description describes the evidence against one fingerprint.
type Description struct {
	Fingerprint Fingerprint
	State       State
	Remaining   time.Duration
	Round       int
	Servers     []string
	Reporter    string
}

// Describe lists the fingerprints that are quarantined or suspected.
func (t *Tracker) Describe(now time.Duration) []Description {
	var all []Description
	for fingerprint, q := range t.quarantines {
		state := Suspected
		if now < q.until {
			state = InQuarantine
		}
		all = append(all, Description{Fingerprint: fingerprint, State: state, Remaining: max(0, q.until-now), Round: q.round, Servers: q.servers, Reporter: q.reporter})
	}
	for fingerprint := range t.evidence.byFingerprint {
		if t.quarantines[fingerprint] == nil && t.evidence.score(fingerprint) >= crashesForSuspicion {
			all = append(all, Description{Fingerprint: fingerprint, State: Suspected, Servers: t.crashedServers(fingerprint)})
		}
	}
	slices.SortFunc(all, func(a, b Description) int { return cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String()) })
	return all
}

// CountQuarantines returns the number of fingerprints that are quarantined now.
func (t *Tracker) CountQuarantines(now time.Duration) int {
	count := 0
	for _, q := range t.quarantines {
		if now < q.until {
			count++
		}
	}
	return count
}
