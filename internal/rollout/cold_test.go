package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/fleet"
)

// coldState follows the newest record at the server's address and ignores that of a crashed server.
func TestColdStateFollowsServerRecord(t *testing.T) {
	const address = "10.0.0.1:1"
	now := time.Now()
	state := newColdState()
	assert.Zero(t, state.remaining(now))
	state.update([]fleet.Server{
		{ID: "other", Address: "10.0.0.2:1", WrittenAt: monotonic.Version{Revision: 9}, ColdUntil: now.Add(time.Minute)},
		{ID: "ended", Address: address, WrittenAt: monotonic.Version{Revision: 3}, ColdUntil: now.Add(time.Hour)},
		{ID: "own", Address: address, WrittenAt: monotonic.Version{Revision: 5}, ColdUntil: now.Add(2 * time.Second)},
	}, address)
	assert.Equal(t, 2*time.Second, state.remaining(now))
	assert.Zero(t, state.remaining(now.Add(3*time.Second)))
	state.update([]fleet.Server{{ID: "own", Address: address, WrittenAt: monotonic.Version{Revision: 7}}}, address)
	assert.Zero(t, state.remaining(now))
}

// Every entry must be sent the change from warm to cold at once; a changed count alone triggers no
// update.
func TestStatusComparisonOfColdState(t *testing.T) {
	warm, cold := fleet.MachineStatus{Received: 1}, fleet.MachineStatus{ColdMilliseconds: 900}
	assert.False(t, sameAvailability(warm, cold))
	assert.False(t, equivalentStatus(warm, cold))
	assert.True(t, sameAvailability(cold, fleet.MachineStatus{ColdMilliseconds: 800}))
	assert.True(t, equivalentStatus(cold, fleet.MachineStatus{ColdMilliseconds: 800, Received: 4}))
}
