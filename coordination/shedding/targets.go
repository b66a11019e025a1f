package shedding

import "time"

// targetWeight is the weight of one more request in the typical target: an entry of a full fleet sees some ten a second
// of a service.
const targetWeight = 1.0 / 64

// TargetEstimator learns the typical target of a service's requests: the harmonic mean, which is near the shorter ones. Its
// zero value knows none.
type TargetEstimator struct {
	// inverse is the mean of the inverse targets, in 1/s.
	inverse float64
}

// Record notes a request with a target.
func (t *TargetEstimator) Record(target time.Duration) {
	if target <= 0 {
		return
	}
	one := 1 / target.Seconds()
	if t.inverse == 0 {
		t.inverse = one
	}
	t.inverse += targetWeight * (one - t.inverse)
}

// Bound is the target by which a request's wait is bounded: its own, or the typical one where that is shorter. What
// a request waits for others, others wait for it: were each bounded by its own target, those with the
// longest one would take all places in overload.
func (t *TargetEstimator) Bound(target time.Duration) time.Duration {
	if t.inverse == 0 {
		return target
	}
	return min(target, time.Duration(float64(time.Second)/t.inverse))
}
