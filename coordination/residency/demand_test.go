package residency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Ten requests per second that take 0.1 s each keep one server busy; past demand decays.
func TestDemandIsTheNumberOfBusyServers(t *testing.T) {
	var demand Demand
	assert.Zero(t, demand.Servers(time.Second))
	now := time.Duration(0)
	for range 10 * 60 {
		now += 100 * time.Millisecond
		demand.Record(100*time.Millisecond, now)
	}
	assert.InDelta(t, 1, demand.Servers(now), 0.05)
	assert.InDelta(t, 0.5, demand.Servers(now+demandHalfLife), 0.03)
	assert.Less(t, demand.Servers(now+time.Minute), 0.001)
}
