package shedding

import "time"

// recoveryTime is the time after the last refusal of a first attempt until late requests are
// treated like first attempts again. An entry receives about fifteen requests a second, so during a
// lasting overload it sees a refusal every few hundred milliseconds.
const recoveryTime = time.Second

// OverloadDetector detects overload from refusals of first attempts. The zero value reports no
// overload.
type OverloadDetector struct {
	lastOverload time.Duration
	refused      bool
}

// RecordRefusal records the refusal of a request. Only refusals of first attempts count.
func (d *OverloadDetector) RecordRefusal(now time.Duration, arrival Arrival) {
	if arrival.Elapsed == 0 {
		d.lastOverload, d.refused = now, true
	}
}

// RecordFull records that a first attempt was admitted to a full server, which prolongs an overload
// that has already been detected. Without it, an entry of a large fleet, which refuses a caller
// only every few hundred milliseconds, would admit retries between two refusals.
func (d *OverloadDetector) RecordFull(now time.Duration) {
	if d.refused && now-d.lastOverload < recoveryTime {
		d.lastOverload = now
	}
}

// LateFraction returns the fraction of a first attempt's maximum wait that late requests may wait:
// minFraction while first attempts are being refused, rising to 1 over recoveryTime after the last
// refusal.
func (d *OverloadDetector) LateFraction(now time.Duration, minFraction float64) float64 {
	if !d.refused {
		return 1
	}
	recovered := min(1, float64(now-d.lastOverload)/float64(recoveryTime))
	return minFraction + (1-minFraction)*recovered
}
