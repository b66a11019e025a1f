package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Misspelled zones that are evacuated and readmitted one after the other leave no state behind, and a zone's
// drain time is dropped with its last server.
func TestDrainTimesAreKeptForListedZonesOnly(t *testing.T) {
	now := epoch
	core := coldCore("entry-0", 1)
	for index := range 100 {
		core.Update(coldFleet(time.Time{}, fmt.Sprintf("misspelt-%d", index)), now)
	}
	_, drainTimes := core.EvacuationCounts()
	assert.Empty(t, drainTimes)

	core.Update(coldFleet(time.Time{}, "zb"), now)
	core.Update(coldFleet(time.Time{}), now)
	_, drainTimes = core.EvacuationCounts()
	assert.Contains(t, drainTimes, "zb", "it is still reported after the zone was readmitted")

	without := coldFleet(time.Time{}, "zb")
	core.Update(without, now)
	without.Servers = without.Servers[:1]
	core.Update(without, now)
	_, drainTimes = core.EvacuationCounts()
	assert.Contains(t, drainTimes, "zb", "its servers were shut down while it was evacuated")
	without.Evacuated = nil
	core.Update(without, now)
	_, drainTimes = core.EvacuationCounts()
	assert.NotContains(t, drainTimes, "zb")
}
