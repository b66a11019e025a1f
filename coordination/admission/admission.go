// Package admission holds what many senders send to one receiver within a limit on any window
// of time, without a message between them: each may send a fixed whole share in any window of
// that length. It does no I/O and reads no clock.
//
// A token bucket of rate r and depth d admits up to r + d in its worst second, so that with as
// many senders as the limit allows requests each would be left a rate of 0. Counting what was
// sent in the window itself admits the whole limit.
package admission

import "time"

// ColdWindow is the second over which requests to cold servers are counted, with room for what
// lies between the choice of a server and its receiving the request: a connection is made
// within some milliseconds.
const ColdWindow = 1100 * time.Millisecond

// LimitWindow is the span over which requests to servers that name a limit are counted: the longest over
// which they judge it, with the same room. Over a second a low limit has no whole request for any sender.
const LimitWindow = 4200 * time.Millisecond

// Share is how many of a limit's whole events the member of a rank may spend in a window, 0
// the first. The shares of all members sum to the whole part of the limit: where there are
// fewer events than members, the last in rank have none.
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

// Window counts events over a sliding span.
type Window struct {
	span time.Duration
	// admitted are the times of the events of the last span, in order.
	admitted []time.Duration
}

// NewWindow returns a window of a length in which nothing has happened.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// Allows reports whether another event would leave at most a number of them in a span that ends now, no
// longer than the window's.
func (w *Window) Allows(span, now time.Duration, most int) bool {
	w.forget(now)
	return w.after(now-span) < most
}

// after is how many events there were later than a moment.
func (w *Window) after(moment time.Duration) int {
	count := 0
	for count < len(w.admitted) && w.admitted[len(w.admitted)-1-count] > moment {
		count++
	}
	return count
}

// AllowsIn is how long it takes until a span that ends then holds fewer events than a number, if nothing
// is added; 0 when it does now.
func (w *Window) AllowsIn(span, now time.Duration, most int) time.Duration {
	w.forget(now)
	if most <= 0 {
		return span
	}
	if w.after(now-span) < most {
		return 0
	}
	return w.admitted[len(w.admitted)-most] + span - now
}

// Add counts an event.
func (w *Window) Add(now time.Duration) {
	w.forget(now)
	w.admitted = append(w.admitted, now)
}

// Count is how many events the span that ends now holds.
func (w *Window) Count(now time.Duration) int {
	w.forget(now)
	return len(w.admitted)
}

// Exhausted reports whether the events of all senders have used up a limit in the span that ends
// now: told were counted at the receiver at a time, and this window's own since are not in that.
func (w *Window) Exhausted(limit float64, told int, toldAt, now time.Duration) bool {
	w.forget(now)
	return told+w.after(toldAt) >= int(limit)
}

func (w *Window) forget(now time.Duration) {
	kept := 0
	for kept < len(w.admitted) && now-w.admitted[kept] >= w.span {
		kept++
	}
	w.admitted = w.admitted[kept:]
}
