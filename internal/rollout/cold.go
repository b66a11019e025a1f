package rollout

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/internal/fleet"
)

// coldState is what an agent tells entries so that a cold server is not overrun: until when its
// server is cold, and how many requests all entries have announced to it lately. Entries ask
// before they send, so that one whose news of the server's line is late hears from the agent,
// and each knows what the others have sent.
type coldState struct {
	until    time.Time
	received *admission.Window
}

func newColdState() coldState { return coldState{received: admission.NewWindow(admission.ColdWindow)} }

// update takes over the line of the server at an address: the newest, where an ended server's
// line is still listed.
func (c *coldState) update(servers []fleet.Server, address string) {
	revision := uint64(0)
	for _, server := range servers {
		if server.Address == address && server.Revision >= revision {
			revision, c.until = server.Revision, server.ColdUntil
		}
	}
}

// remaining is how much longer the server is cold.
func (c *coldState) remaining(now time.Time) time.Duration { return max(0, c.until.Sub(now)) }
