package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Requests in flight in an evacuated zone are counted, and the time until the last of them completes. An
// evacuation revoked before that has no such time, and a repeated one counts anew.
func TestEvacuatedZoneBecomesIdle(t *testing.T) {
	now := epoch
	core := coldCore("entry-0", 1)
	core.Update(coldFleet(time.Time{}, "zb"), now)
	inFlight, drainTimes := core.EvacuationCounts()
	assert.Zero(t, inFlight)
	assert.Equal(t, map[string]time.Duration{"zb": 0}, drainTimes, "nothing was open there")

	send := func() *Send {
		decision, refusal := core.Choose(&Request{Service: "s", Target: time.Second}, now)
		require.Nil(t, refusal)
		require.Equal(t, "za", decision.Candidate.Zone)
		return decision.Send
	}
	one, two := send(), send()
	core.Update(coldFleet(time.Time{}, "za"), now)
	core.Release(one)
	assert.Empty(t, core.NewlyIdleZones(now.Add(time.Second)))
	inFlight, drainTimes = core.EvacuationCounts()
	assert.Equal(t, 1, inFlight)
	assert.NotContains(t, drainTimes, "za")
	core.Release(two)
	assert.Equal(t, []Change{{Kind: ZoneIdle, Zone: "za", Servers: 1, IdleAfter: 2 * time.Second}}, core.NewlyIdleZones(now.Add(2*time.Second)))
	assert.Empty(t, core.NewlyIdleZones(now.Add(3*time.Second)), "it is reported once")
	inFlight, drainTimes = core.EvacuationCounts()
	assert.Zero(t, inFlight)
	assert.Equal(t, 2*time.Second, drainTimes["za"])

	core.Update(coldFleet(time.Time{}, "zb"), now)
	one = send()
	core.Update(coldFleet(time.Time{}, "za"), now)
	core.Update(coldFleet(time.Time{}), now)
	core.Release(one)
	assert.Empty(t, core.NewlyIdleZones(now.Add(time.Second)), "it was readmitted before it was idle")
}
