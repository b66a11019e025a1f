package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/internal/fleet"
)

// A server that has just become idle and is sent ten requests at once runs them all, by its
// report; its agent tells what of their prompts is still to be read. Where requests wait, their
// prompts count whole.
func TestAgentTellsOfPromptsThatRunningRequestsHaveYetToRead(t *testing.T) {
	figures := balance.Server{Slots: 12, Stride: 1, StepMilliseconds: 10, ReadPerSecond: 20000, UsualPrompt: 800}
	var announced balance.Announced
	for range 10 {
		announced.Add(time.Second, 1000)
	}
	running := withAnnounced(fleet.MachineStatus{Running: 10}, &announced, 1050*time.Millisecond, 1100*time.Millisecond, figures)
	assert.Zero(t, running.Waiting)
	assert.InDelta(t, 8000, running.UnreadTokens, 1)

	waiting := withAnnounced(fleet.MachineStatus{Running: 12, Waiting: 10}, &announced, 1950*time.Millisecond, 2*time.Second, figures)
	assert.Equal(t, 10, waiting.Waiting)
	assert.Equal(t, 10000, waiting.UnreadTokens)
}
