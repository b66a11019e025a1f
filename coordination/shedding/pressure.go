package shedding

import "time"

// easeTime is how long after the last refusal of a first attempt a late request is treated
// like any other again. An entry sees some fifteen requests a second, so that overload which
// lasts shows to it every few hundred milliseconds.
const easeTime = time.Second

// OverloadDetector tells from refusals of first attempts whether there is overload now. Its zero value
// knows of none.
type OverloadDetector struct {
	refusedAt time.Duration
	refused   bool
}

// RecordRefusal notes the refusal of a request.
func (p *OverloadDetector) RecordRefusal(now time.Duration, arrival Arrival) {
	if arrival.Elapsed == 0 {
		p.refusedAt, p.refused = now, true
	}
}

// RecordFull notes that a first attempt was admitted to a full server. An overload that has begun goes on
// as long as that is so: an entry of a large fleet refuses a caller every few hundred milliseconds
// only, and would take those that came back in between.
func (p *OverloadDetector) RecordFull(now time.Duration) {
	if p.refused && now-p.refusedAt < easeTime {
		p.refusedAt = now
	}
}

// LateFraction is the share for late requests: the least one while first attempts are refused, and
// all that a first attempt may wait once none has been for a while.
func (p *OverloadDetector) LateFraction(now time.Duration, least float64) float64 {
	if !p.refused {
		return 1
	}
	eased := min(1, float64(now-p.refusedAt)/float64(easeTime))
	return least + (1-least)*eased
}
