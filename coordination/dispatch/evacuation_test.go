package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What is open in an evacuated zone is counted, and the time until the last of it has ended; an
// evacuation that is taken back meanwhile has none, and one asked for again counts anew.
func TestEvacuatedZoneBecomesIdle(t *testing.T) {
	now := epoch
	core := coldCore("entry-0", 1)
	core.Update(coldFleet(time.Time{}, "zb"), now)
	open, took := core.EvacuationCounts()
	assert.Zero(t, open)
	assert.Equal(t, map[string]time.Duration{"zb": 0}, took, "nothing was open there")

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
	open, took = core.EvacuationCounts()
	assert.Equal(t, 1, open)
	assert.NotContains(t, took, "za")
	core.Release(two)
	assert.Equal(t, []Change{{Kind: ZoneIdle, Zone: "za", Servers: 1, IdleAfter: 2 * time.Second}}, core.NewlyIdleZones(now.Add(2*time.Second)))
	assert.Empty(t, core.NewlyIdleZones(now.Add(3*time.Second)), "it is told once")
	open, took = core.EvacuationCounts()
	assert.Zero(t, open)
	assert.Equal(t, 2*time.Second, took["za"])

	core.Update(coldFleet(time.Time{}, "zb"), now)
	one = send()
	core.Update(coldFleet(time.Time{}, "za"), now)
	core.Update(coldFleet(time.Time{}), now)
	core.Release(one)
	assert.Empty(t, core.NewlyIdleZones(now.Add(time.Second)), "it was in use again before that was idle")
}
