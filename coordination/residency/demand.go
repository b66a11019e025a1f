package residency

import (
	"math"
	"time"
)

// demandHalfLife is the half-life of recorded demand. An entry of a large fleet receives two or
// three requests per second that only one region may serve, so about fifteen of them make up most
// of the estimate.
const demandHalfLife = 4 * time.Second

// Demand estimates the load of a region by requests that may be served nowhere else. Its zero
// value stands for no demand. All times must come from the same clock.
type Demand struct {
	// busySeconds is an exponentially decaying sum of service times, as of updatedAt.
	busySeconds float64
	updatedAt   time.Duration
}

// Record adds a request that occupies one server for serviceTime.
func (d *Demand) Record(serviceTime, now time.Duration) {
	d.busySeconds = d.decayed(now) + serviceTime.Seconds()
	d.updatedAt = now
}

// Servers returns how many servers the demand keeps busy.
func (d *Demand) Servers(now time.Duration) float64 {
	return d.decayed(now) * math.Ln2 / demandHalfLife.Seconds()
}

func (d *Demand) decayed(now time.Duration) float64 {
	return d.busySeconds * math.Exp2(-float64(now-d.updatedAt)/float64(demandHalfLife))
}
