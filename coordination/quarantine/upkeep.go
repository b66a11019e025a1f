package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Tick does what is due by time: it quarantines fingerprints also when no request with them
// arrives, so that other processes learn of it, and drops quarantines some time after they have
// ended.
func (t *Tracker) Tick(now time.Duration) {
	t.evidence.expire(now)
	for _, fingerprint := range sorted(maps.Keys(t.evidence.byFingerprint)) {
		if fingerprint.Part {
			t.evaluatePart(fingerprint, Request{}, now)
		} else if t.mayBeCause(fingerprint) {
			t.evaluate(fingerprint, now)
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
	Companions  []Fingerprint
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
		all = append(all, Description{Fingerprint: fingerprint, Companions: q.companions, State: state, Remaining: max(0, q.until-now), Round: q.round, Servers: q.servers, Reporter: q.reporter})
	}
	for fingerprint := range t.evidence.byFingerprint {
		if t.quarantines[fingerprint] == nil && t.evidence.score(fingerprint) >= t.crashesForListing(fingerprint) {
			all = append(all, Description{Fingerprint: fingerprint, State: Suspected, Servers: t.crashedServers(fingerprint)})
		}
	}
	slices.SortFunc(all, func(a, b Description) int { return cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String()) })
	return all
}

// crashesForListing returns the number of crashes from which a fingerprint is listed as a suspect.
func (t *Tracker) crashesForListing(fingerprint Fingerprint) int {
	if fingerprint.Part {
		return crashesForPartQuarantine - 1
	}
	return crashesForSuspicion
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
