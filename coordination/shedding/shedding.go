// Package shedding decides in overload which requests are admitted, and from when on a
// refused caller is asked to come back. A request whose answer can still be in time goes
// before one whose answer is late in any case: about as many are served, more of them in time. What that is
// worth stands in docs/design/server-choice.md. It does no I/O and reads no clock.
package shedding

import "time"

// Arrival is what a request's arrival shows of its caller.
type Arrival struct {
	// Remaining is how long the caller waits from the arrival on; 0 is unknown.
	Remaining time.Duration
	// Elapsed is how long ago the caller asked for the first time, at least; 0 is a first
	// attempt, as far as is known.
	Elapsed time.Duration
}

// MaxWait is how long a request may wait for others, where first attempts may wait for a time at most. What the
// request takes by itself does not count: a limit of both leaves the room that there is in overload to the requests
// that need least of it, and large ones unserved.
//
// A caller that came back has used up the elapsed time of the wait. Once it can't be answered in time any more, it
// goes behind those that can: it waits for a share, at most, of what a first attempt may wait. With 0 only
// idle servers take it, with 1 it is treated like a first attempt.
func MaxWait(most time.Duration, arrival Arrival, share float64) time.Duration {
	if arrival.Elapsed <= 0 {
		return most
	}
	return max(most-arrival.Elapsed, time.Duration(share*float64(most)))
}

// Late reports whether a request that is expected to begin after some time begins later than
// its target, counted from the first attempt.
func (a Arrival) Late(expected, target time.Duration) bool {
	return a.Elapsed > 0 && a.Elapsed+expected > target
}

// Shares of the time left of a refused caller.
const (
	// MaxRetryFraction is the part for which it heeds Retry-After, as the platform publishes.
	MaxRetryFraction = 1.0 / 3
	// patientShare is the part that it is asked to wait at least when it is refused in
	// overload: its answer is late in any case.
	patientShare = MaxRetryFraction / 2
)

// MinRetryDelay is the earliest time after which a refused caller is asked to come back, where the
// soonest server would have it wait for others for a time and may keep them waiting for a
// limit: when that server's queue will have come down to half of the limit, within bounds,
// and not in the first half of the time that the caller heeds. Callers that are back sooner
// stand before the same queue once more, and can't be told from first attempts where these
// differ by as much.
func MinRetryDelay(wait, limit, least, most time.Duration, arrival Arrival) time.Duration {
	queue := min(max(wait-limit/2, least), most)
	return max(queue, time.Duration(patientShare*float64(arrival.Remaining)))
}
