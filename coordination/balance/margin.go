package balance

import "time"

// Parameters of the margin, as fractions of a request's target.
const (
	// minMargin is negative: while nothing is known, a request may be expected to start slightly
	// after its target, because predictions err in both directions.
	minMargin = -0.1
	maxMargin = 0.6
	// marginStep is how far one late request raises the margin, before the factor in Observe. About
	// 25 in a row, which an entry receives in a second, raise it by a quarter of the target.
	marginStep = 0.015
)

// Margin learns how much sooner than its target a request of typical size must be expected to
// start, so that a given ratio of the requests that wait nearly as long as allowed do start in
// time. During overload all admitted requests are expected near the limit: without a margin half of
// them start too late, although shorter queues would keep the servers just as busy.
type Margin struct {
	// offset is the margin's distance from minMargin, as a fraction of the target.
	offset float64
}

// Observe records by how much a request started later than expected; negative values mean earlier.
// inTime is the wanted ratio of requests in time.
func (m *Margin) Observe(excess, target time.Duration, inTime float64) {
	if target <= 0 {
		return
	}
	step := marginStep * inTime
	if float64(excess)/float64(target) < m.Fraction() {
		step = -marginStep * (1 - inTime)
	}
	m.offset = min(max(m.offset+step, 0), maxMargin-minMargin)
}

// Fraction returns the margin as a fraction of the target.
func (m *Margin) Fraction() float64 { return minMargin + m.offset }

// Limit returns the latest time at which a request of typical size may be expected to start, given
// its target.
func (m *Margin) Limit(target time.Duration) time.Duration {
	return time.Duration((1 - m.Fraction()) * float64(target))
}
