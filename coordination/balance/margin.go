package balance

import "time"

// Bounds of the margin, as shares of a request's target.
const (
	// leastMargin is below zero: as long as nothing is known, a request may be expected to
	// begin somewhat after its target, because predictions err on both sides.
	leastMargin = -0.1
	mostMargin  = 0.6
	// marginStep is how far one request moves the margin: some 25 in a row make a quarter
	// of the target of it, about a second of one entry's load.
	marginStep = 0.015
)

// Margin learns how much sooner than its target a request of usual size must be expected to begin, so
// that a given share of those that wait for nearly as long as that allows do begin in time. Where more
// comes than fits, all that is admitted is expected near the limit: without a margin half
// of it begins too late, although shorter queues would keep the servers as busy.
type Margin struct {
	// above is how far the margin lies above leastMargin, as a share of the target.
	above float64
}

// Observe notes that a request has begun some time after, or before, it was expected to;
// inTime is the share that is wanted.
func (m *Margin) Observe(excess, target time.Duration, inTime float64) {
	if target <= 0 {
		return
	}
	step := marginStep * inTime
	if float64(excess)/float64(target) < m.Fraction() {
		step = -marginStep * (1 - inTime)
	}
	m.above = min(max(m.above+step, 0), mostMargin-leastMargin)
}

// Fraction is the margin as a share of the target.
func (m *Margin) Fraction() float64 { return leastMargin + m.above }

// Limit is the latest time at which a request of usual size with a target is to be expected to begin.
func (m *Margin) Limit(target time.Duration) time.Duration {
	return time.Duration((1 - m.Fraction()) * float64(target))
}
