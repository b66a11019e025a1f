package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/fleet"
)

// An agent's word on its server follows the newest line at the server's address.
func TestColdWordFollowsTheServersLine(t *testing.T) {
	const address = "10.0.0.1:1"
	now := time.Now()
	word := newColdState()
	assert.Zero(t, word.remaining(now))
	word.update([]fleet.Server{
		{ID: "other", Address: "10.0.0.2:1", Revision: 9, ColdUntil: now.Add(time.Minute)},
		{ID: "ended", Address: address, Revision: 3, ColdUntil: now.Add(time.Hour)},
		{ID: "own", Address: address, Revision: 5, ColdUntil: now.Add(2 * time.Second)},
	}, address)
	assert.Equal(t, 2*time.Second, word.remaining(now))
	assert.Zero(t, word.remaining(now.Add(3*time.Second)))
	word.update([]fleet.Server{{ID: "own", Address: address, Revision: 7}}, address)
	assert.Zero(t, word.remaining(now))
}

// That a server turns cold is told to every entry at once; counts alone are no news.
func TestColdWordsAmongStatuses(t *testing.T) {
	warm, cold := fleet.MachineStatus{Received: 1}, fleet.MachineStatus{ColdMilliseconds: 900}
	assert.False(t, sameAvailability(warm, cold))
	assert.False(t, equivalentStatus(warm, cold))
	assert.True(t, sameAvailability(cold, fleet.MachineStatus{ColdMilliseconds: 800}))
	assert.True(t, equivalentStatus(cold, fleet.MachineStatus{ColdMilliseconds: 800, Received: 4}))
}
