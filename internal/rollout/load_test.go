package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/internal/fleet"
)

// A server that just became idle and is sent ten requests at once reports all of them as running.
// The agent must still report the prompt tokens not yet read. Prompts of waiting requests count in
// full.
func TestLoadIncludesUnreadPromptsOfRunningRequests(t *testing.T) {
	figures := balance.Server{Slots: 12, Stride: 1, StepMilliseconds: 10, ReadPerSecond: 20000, TypicalPrompt: 800}
	var announced balance.Announcements
	for range 10 {
		announced.Add(time.Second, 1000)
	}
	running := addAnnounced(fleet.MachineStatus{Running: 10}, &announced, 1050*time.Millisecond, 1100*time.Millisecond, figures)
	assert.Zero(t, running.Waiting)
	assert.InDelta(t, 8000, running.UnreadTokens, 1)

	waiting := addAnnounced(fleet.MachineStatus{Running: 12, Waiting: 10}, &announced, 1950*time.Millisecond, 2*time.Second, figures)
	assert.Equal(t, 10, waiting.Waiting)
	assert.Equal(t, 10000, waiting.UnreadTokens)
}

// A false prompt size must not make a server look busy for long: a prompt that exceeds the
// service's token cache counts as a request of unknown size.
func TestOversizedAnnouncedPromptHasUnknownSize(t *testing.T) {
	figures := balance.Server{Slots: 12, Stride: 1, StepMilliseconds: 10, ReadPerSecond: 20000, TypicalPrompt: 800}
	engine := &fleet.Engine{CacheTokens: 317000}
	agent := &Agent{cold: newColdState()}
	for _, prompt := range []int{317001, -1000, 1000} {
		agent.recordAnnounced(engine, prompt, time.Second)
	}
	status := addAnnounced(fleet.MachineStatus{Running: 3}, &agent.announcedRequests, time.Second+50*time.Millisecond, time.Second+50*time.Millisecond, figures)
	assert.Zero(t, status.UnreadTokens, "20000 tokens a second")
	status = addAnnounced(fleet.MachineStatus{Running: 3}, &agent.announcedRequests, 1006*time.Millisecond, 1006*time.Millisecond, figures)
	assert.InDelta(t, 880, status.UnreadTokens, 1)
	assert.Equal(t, 3, agent.cold.received.Count(1006*time.Millisecond))
}
