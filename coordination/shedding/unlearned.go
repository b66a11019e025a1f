package shedding

import (
	"slices"
	"time"
)

// Bounds of what is told of a route's callers that have only been seen while some of them may
// have been coming back.
const (
	// mixedKept is how many arrivals are looked at: an entry of a full fleet sees as many of a
	// route within ten to thirty seconds.
	mixedKept = 32
	// mixedNeeded is how many are enough. First attempts are half of them at the least, so that
	// the longest of eight is one but in one case of 256.
	mixedNeeded = 8
)

// mixed holds the times left of callers among which first attempts can't be told from returns by
// what was learned before: the process has started in an overload, and none of its moments was
// calm. It goes by how callers return. One whose first attempt had a time left has at most
// 1-patientShare of it left when it is back, as it was asked to wait for that, and at the least
// 1-HeededShare, as it heeds no more. Those with more are first attempts; those with less are
// first attempts of callers that wait for a shorter time. Without it an overload in which all
// entries are started goes on to be answered like one without any order: at a fleet with a quarter more requests
// than places 0.77 of the credit that the places could give, with it 0.83 (TestEntriesThatStartInAnOverload).
type mixed struct {
	left [mixedKept]time.Duration
	seen int
}

// add notes an arrival.
func (m *mixed) add(left time.Duration) {
	m.left[m.seen%mixedKept] = left
	m.seen++
}

// elapsed returns how long ago a caller with a time left first asked, at least; 0 is a first
// attempt, as far as can be told.
func (m *mixed) elapsed(left time.Duration) time.Duration {
	kept := m.left[:min(m.seen, mixedKept)]
	if len(kept) < mixedNeeded {
		return 0
	}
	longest := slices.Max(kept)
	firstFrom, returnedFrom := part(longest, 1-patientShare), part(longest, 1-MaxRetryFraction)
	first, returned := 0, 0
	for _, one := range kept {
		switch {
		case one > firstFrom:
			first++
		case one >= returnedFrom:
			returned++
		}
	}
	// Each first attempt is followed by one return at most.
	if left > firstFrom || left < returnedFrom || returned > first {
		return 0
	}
	return part(left, patientShare/(1-patientShare))
}

func part(whole time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(whole))
}
