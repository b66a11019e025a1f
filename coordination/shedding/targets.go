package shedding

import "time"

// targetWeight is the weight of a new request in the typical target. At full load an entry receives
// about ten requests a second for a service.
const targetWeight = 1.0 / 64

// TargetEstimator estimates the typical target of a service's requests as their harmonic mean,
// which lies near the shorter ones. The zero value has no estimate.
type TargetEstimator struct {
	// meanInverse is the mean of 1/target, in 1/s.
	meanInverse float64
}

// Record adds the target of a request to the estimate.
func (e *TargetEstimator) Record(target time.Duration) {
	if target <= 0 {
		return
	}
	inverse := 1 / target.Seconds()
	if e.meanInverse == 0 {
		e.meanInverse = inverse
	}
	e.meanInverse += targetWeight * (inverse - e.meanInverse)
}

// Bound returns the target that limits a request's wait: its own or the typical one, whichever is
// shorter. While a request waits for others, later ones wait for it: if each were limited by its
// own target only, requests with the longest target would take all slots during overload.
func (e *TargetEstimator) Bound(target time.Duration) time.Duration {
	if e.meanInverse == 0 {
		return target
	}
	return min(target, time.Duration(float64(time.Second)/e.meanInverse))
}
