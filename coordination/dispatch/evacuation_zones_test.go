package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Misspelt zones that are evacuated and taken back one after the other leave nothing behind, and a
// zone's time until it was idle goes with the zone's last server.
func TestTimesUntilZonesWereIdleAreKeptForListedZonesOnly(t *testing.T) {
	now := epoch
	core := coldCore("entry-0", 1)
	for index := range 100 {
		core.Update(coldFleet(time.Time{}, fmt.Sprintf("misspelt-%d", index)), now)
	}
	_, took := core.EvacuationCounts()
	assert.Empty(t, took)

	core.Update(coldFleet(time.Time{}, "zb"), now)
	core.Update(coldFleet(time.Time{}), now)
	_, took = core.EvacuationCounts()
	assert.Contains(t, took, "zb", "it is still told after the zone was taken into use again")

	without := coldFleet(time.Time{}, "zb")
	core.Update(without, now)
	without.Servers = without.Servers[:1]
	core.Update(without, now)
	_, took = core.EvacuationCounts()
	assert.Contains(t, took, "zb", "its servers were shut down while it was evacuated")
	without.Evacuated = nil
	core.Update(without, now)
	_, took = core.EvacuationCounts()
	assert.NotContains(t, took, "zb")
}
