package rollout

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/fleet"
)

// coldState is reported to entries so that they do not overload a cold server: until when the
// server is cold, and how many requests all entries have recently announced to it. Entries query
// the agent before they send, so an entry with an outdated server record learns the state from the
// agent, and each entry learns what the others have sent.
type coldState struct {
	until    time.Time
	received *admission.Window
}

func newColdState() coldState { return coldState{received: admission.NewWindow(admission.ColdWindow)} }

// update adopts the record of the server at an address. A crashed server's record may still be
// listed there, so the newest one counts.
func (c *coldState) update(servers []fleet.Server, address string) {
	var newest monotonic.Version
	for _, server := range servers {
		if server.Address == address && server.WrittenAt.Compare(newest) >= 0 {
			newest, c.until = server.WrittenAt, server.ColdUntil
		}
	}
}

// remaining returns how much longer the server is cold.
func (c *coldState) remaining(now time.Time) time.Duration { return max(0, c.until.Sub(now)) }
