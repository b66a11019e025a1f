package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/admission"
)

// An agent's count that is older than the cold window no longer counts: a cold server that nobody has sent
// anything since gets its share, even without a new report of its agent.
func TestCountsOlderThanTheirWindowAreIgnored(t *testing.T) {
	now := epoch
	core := coldCore("entry-0", 4)
	core.Update(coldFleet(now.Add(time.Minute), "zb"), now)
	core.ApplyReport(LoadReport{Address: "10.0.0.1:1", Reachable: true, ColdFor: time.Minute, Received: 39}, now)
	assert.Zero(t, chosenServers(core, 20, now.Add(10*time.Millisecond))["a"])
	assert.Positive(t, chosenServers(core, 20, now.Add(admission.ColdWindow+10*time.Millisecond))["a"])
}

// A faulty agent makes its server cold for no longer than a start does, like a faulty answer.
func TestFaultyAgentDoesNotMakeItsServerColdForLong(t *testing.T) {
	now := epoch
	core := coldCore("entry-0", 1)
	core.Update(coldFleet(time.Time{}), now)
	core.ApplyReport(LoadReport{Address: "10.0.0.1:1", Reachable: true, ColdFor: 24 * time.Hour}, now)
	assert.False(t, core.byID["a"].cold(now.Add(time.Hour)))
}
