// Package shedding decides which requests are admitted during overload, and when a refused caller
// should retry. Requests that can still be answered within their target take precedence over
// requests that will be late in any case: about as many are served, and more of them in time.
// docs/design/server-choice.md gives the measured effect. The package does no I/O and reads no
// clock.
package shedding

import "time"

// Arrival describes the caller's time at the arrival of a request.
type Arrival struct {
	// Remaining is the time until the caller's deadline; 0 is unknown.
	Remaining time.Duration
	// Elapsed is a lower bound of the time since the caller's first attempt; 0 means that this is a
	// first attempt, as far as is known.
	Elapsed time.Duration
}

// MaxWait returns how long a request may wait for other requests, given the limit for first
// attempts. The request's own processing time does not count: if the limit covered both, the
// capacity left during overload would go to the smallest requests, and large ones would not be
// served.
//
// For a retry, the elapsed time is deducted from the limit. A retry that can no longer be answered
// in time yields to requests that can: it may wait for at most lateFraction of the limit. With 0
// only idle servers accept it; with 1 it is treated like a first attempt.
func MaxWait(limit time.Duration, arrival Arrival, lateFraction float64) time.Duration {
	if arrival.Elapsed <= 0 {
		return limit
	}
	return max(limit-arrival.Elapsed, time.Duration(lateFraction*float64(limit)))
}

// Late reports whether a retry misses its target, which counts from the first attempt, if it starts
// after the expected delay from now. A first attempt is never late.
func (a Arrival) Late(expected, target time.Duration) bool {
	return a.Elapsed > 0 && a.Elapsed+expected > target
}

// Fractions of a refused caller's remaining time.
const (
	// MaxRetryFraction is the longest Retry-After that callers honor, as documented by the
	// platform.
	MaxRetryFraction = 1.0 / 3
	// minRetryFraction is the shortest delay requested from a caller that is refused during
	// overload, whose answer will be late in any case.
	minRetryFraction = MaxRetryFraction / 2
)

// MinRetryDelay returns the shortest delay after which a refused caller should retry. The inputs
// are the wait at the server that can start the request soonest and the maximum wait there. The
// delay lasts until that server's queue is expected to have shrunk to half of the maximum, within
// minDelay and maxDelay, and at least for the first half of the time that the caller honors.
// Callers that retry sooner meet the same queue again, and can't be told from first attempts where
// the deadlines of first attempts differ by as much.
func MinRetryDelay(wait, maxWait, minDelay, maxDelay time.Duration, arrival Arrival) time.Duration {
	delay := min(max(wait-maxWait/2, minDelay), maxDelay)
	return max(delay, time.Duration(minRetryFraction*float64(arrival.Remaining)))
}
