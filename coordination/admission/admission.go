// Package admission limits what many senders send to one receiver in any window of time, without
// messages between them: each sender may send a fixed, whole share in any window of that length.
// The package does no I/O and reads no clock.
//
// A token bucket of rate r and depth d admits up to r + d in its worst second. If there are as many
// senders as requests allowed, each sender's share is one request, and a bucket of depth 1 would
// have a rate of 0. Counting the events in the window itself makes the whole limit usable.
package admission

import "time"

// ColdWindow is the window over which requests to cold servers are counted: one second, plus a
// margin for the time between choosing a server and its receipt of the request. A connection is
// made within some milliseconds.
const ColdWindow = 1100 * time.Millisecond

// LimitWindow is the window over which requests to servers with a rate limit are counted: the
// longest interval over which servers enforce their limit, plus the same margin. Over one second,
// no sender would have a share of one whole request of a low limit.
const LimitWindow = 4200 * time.Millisecond

// Share returns how many whole events of a limit the member with the given rank, counted from 0,
// may spend in a window. The shares of all members sum to the whole part of the limit: where there
// are fewer events than members, the last in rank have none.
func Share(limit float64, rank, members int) int {
	whole := int(limit)
	if whole <= 0 || members <= 0 || rank >= members {
		return 0
	}
	share := whole / members
	if rank < whole%members {
		share++
	}
	return share
}

// Window counts events over a sliding window.
type Window struct {
	length time.Duration
	// events holds the times of the events in the window, in order.
	events []time.Duration
}

// NewWindow returns an empty window of the given length.
func NewWindow(length time.Duration) *Window { return &Window{length: length} }

// Allows reports whether another event would leave at most limit events in the interval that ends
// now. The interval must not be longer than the window.
func (w *Window) Allows(interval, now time.Duration, limit int) bool {
	w.expire(now)
	return w.countAfter(now-interval) < limit
}

// countAfter returns the number of events later than the given time.
func (w *Window) countAfter(since time.Duration) int {
	count := 0
	for count < len(w.events) && w.events[len(w.events)-1-count] > since {
		count++
	}
	return count
}

// AllowsIn returns the time until Allows returns true if no event is added meanwhile; 0 if it does
// now. For a limit of 0 it returns the interval.
func (w *Window) AllowsIn(interval, now time.Duration, limit int) time.Duration {
	w.expire(now)
	if limit <= 0 {
		return interval
	}
	if w.countAfter(now-interval) < limit {
		return 0
	}
	return w.events[len(w.events)-limit] + interval - now
}

// Add records an event.
func (w *Window) Add(now time.Duration) {
	w.expire(now)
	w.events = append(w.events, now)
}

// Count returns the number of events in the window that ends now.
func (w *Window) Count(now time.Duration) int {
	w.expire(now)
	return len(w.events)
}

// Exhausted reports whether the events of all senders have used up a limit in the window that ends
// now: the number that the receiver reported at reportedAt, and this sender's own events since,
// which that number does not include.
func (w *Window) Exhausted(limit float64, reported int, reportedAt, now time.Duration) bool {
	w.expire(now)
	return reported+w.countAfter(reportedAt) >= int(limit)
}

func (w *Window) expire(now time.Duration) {
	kept := 0
	for kept < len(w.events) && now-w.events[kept] >= w.length {
		kept++
	}
	w.events = w.events[kept:]
}
