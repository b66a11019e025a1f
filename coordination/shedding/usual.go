package shedding

import (
	"slices"
	"time"
)

// Bounds of what is learned of a route's callers.
const (
	// samplesKept is how many first attempts the usual time left is taken from: half a minute
	// of a route with two requests a second at an entry.
	samplesKept = 64
	// samplesNeeded is how many are enough to judge others by. Entries of a fleet that is full
	// see one or two first attempts a second of a route; at 16 most of them knew nothing yet in an
	// overload eight seconds after their start.
	samplesNeeded = 6
	// sparseMargin times the spread of the samples over their number is how much shorter than
	// the shortest of them a first attempt may still be. Spread evenly, the shortest lies once
	// that quotient above the least possible in the mean.
	sparseMargin = 2
	// samplesAStray is how many samples there are to each one that is left out as a stray: a
	// caller that came back after a refusal elsewhere. A group of callers with shorter
	// deadlines than the others is not taken for late once it makes up some 5 in 100.
	samplesAStray = 32
	// mostReturned is the share of arrivals from which on those that seem to have come back
	// can't all have done so, since each first attempt is followed by one return at most: the
	// deadlines of the route's callers have changed, and are learned anew.
	mostReturned = 0.75
	// returnedWeight is what one arrival counts for in that share: the last hundred or so.
	returnedWeight = 0.01
)

// RetryDetector learns how much time the callers of one route have left when they ask for the first
// time. A caller that comes back after a refusal has less left, by the time since its first
// attempt. Its zero value knows nothing, and takes nobody for one that came back.
type RetryDetector struct {
	// left holds the times left of the last first attempts, next is the oldest of them.
	left []time.Duration
	next int
	// least is the shortest time left that a first attempt is taken to have.
	least time.Duration
	// learnsFrom is when nobody can be coming back any more that was refused here, or, at the
	// start of a process, before it knew of the route.
	learnsFrom time.Duration
	// returned is the share of the last arrivals that seem to have come back.
	returned float64
	// mixed tells callers apart as long as too few first attempts are known.
	mixed mixed
}

// RecordArrival notes a request whose caller waits for a time left, 0 for one that does not say. It
// returns how long ago the caller first asked, at least; 0 is a first attempt, as far as is
// known.
func (u *RetryDetector) RecordArrival(now, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	if u.learnsFrom == 0 {
		u.RecordRefusal(now, left)
	}
	if !u.known() {
		return u.arrivedUnlearned(now, left)
	}
	elapsed := u.elapsed(left)
	u.countReturned(elapsed > 0)
	if now >= u.learnsFrom {
		u.learn(left)
	}
	return elapsed
}

// known reports whether enough first attempts are known to judge others by.
func (u *RetryDetector) known() bool { return len(u.left) >= samplesNeeded }

// arrivedUnlearned judges a caller by those that have come since the start, returns among them.
func (u *RetryDetector) arrivedUnlearned(now, left time.Duration) time.Duration {
	u.mixed.add(left)
	if now >= u.learnsFrom {
		u.learn(left)
		return 0
	}
	return u.mixed.elapsed(left)
}

func (u *RetryDetector) elapsed(left time.Duration) time.Duration { return max(0, u.least-left) }

// countReturned forgets what was learned when more callers seem to have come back than can.
func (u *RetryDetector) countReturned(returned bool) {
	u.returned *= 1 - returnedWeight
	if returned {
		u.returned += returnedWeight
	}
	if u.returned > mostReturned {
		*u = RetryDetector{}
	}
}

// learn takes a time left for that of a first attempt: nobody has been refused lately who
// might be coming back.
func (u *RetryDetector) learn(left time.Duration) {
	if len(u.left) < samplesKept {
		u.left = append(u.left, left)
	} else {
		u.left[u.next] = left
		u.next = (u.next + 1) % samplesKept
	}
	var kept [samplesKept]time.Duration
	sorted := kept[:copy(kept[:], u.left)]
	slices.Sort(sorted)
	shortest := sorted[len(sorted)/samplesAStray]
	spread := sorted[len(sorted)-1] - shortest
	u.least = shortest - sparseMargin*spread/time.Duration(len(sorted))
}

// RecordRefusal notes that a caller with a time left was refused, and may come back. Of one that does
// not say how long it waits nothing is learned when it does.
func (u *RetryDetector) RecordRefusal(now, left time.Duration) {
	if left <= 0 {
		return
	}
	u.learnsFrom = max(u.learnsFrom, now+time.Duration(MaxRetryFraction*float64(left)))
}
