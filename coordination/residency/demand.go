package residency

import (
	"math"
	"time"
)

// demandHalfLife is the time in which half of a past demand is forgotten. An entry of a large
// fleet sees two or three requests a second that only one region may serve: some fifteen of them
// make up most of the figure.
const demandHalfLife = 4 * time.Second

// Demand is how much time of a region's servers is asked for by requests that may be served
// nowhere else. Its zero value knows of none. Times are of any one clock.
type Demand struct {
	// asked is a fading sum, in seconds, as of a time.
	asked float64
	at    time.Duration
}

// Record notes a request that takes up one server for a time.
func (d *Demand) Record(taken, now time.Duration) {
	d.asked = d.faded(now) + taken.Seconds()
	d.at = now
}

// Servers is how many servers the demand keeps busy.
func (d *Demand) Servers(now time.Duration) float64 {
	return d.faded(now) * math.Ln2 / demandHalfLife.Seconds()
}

func (d *Demand) faded(now time.Duration) float64 {
	return d.asked * math.Exp2(-float64(now-d.at)/float64(demandHalfLife))
}
