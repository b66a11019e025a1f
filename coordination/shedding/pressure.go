package shedding

import "time"

// easeTime is how long after the last refusal of a first attempt a late request is treated
// like any other again. An entry sees some fifteen requests a second, so that overload which
// lasts shows to it every few hundred milliseconds.
const easeTime = time.Second

// Pressure tells from refusals of first attempts whether there is overload now. Its zero value
// knows of none.
type Pressure struct {
	refusedAt time.Duration
	refused   bool
}

// Refused notes the refusal of a request.
func (p *Pressure) Refused(now time.Duration, arrival Arrival) {
	if arrival.Elapsed == 0 {
		p.refusedAt, p.refused = now, true
	}
}

// Share is the share for late requests: the least one while first attempts are refused, and
// all that a first attempt may wait once none has been for a while.
func (p *Pressure) Share(now time.Duration, least float64) float64 {
	if !p.refused {
		return 1
	}
	eased := min(1, float64(now-p.refusedAt)/float64(easeTime))
	return least + (1-least)*eased
}
