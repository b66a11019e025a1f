package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/incarnation"
)

// retentionTime is how long the state of a server is retained after its list entry was removed: entries
// expire while the store is unavailable, and return afterwards.
const retentionTime = 10 * time.Minute

// retainedServer is the retained state of a server that is no longer listed.
type retainedServer struct {
	startTime  incarnation.StartTime
	at         time.Time
	sentWindow admission.Window
	rateLimit  rateLimit
	notices    notices
}

// expireRetained drops expired state. It runs once per list update, because all servers may be removed at
// once.
func (c *Core) expireRetained(now time.Time) {
	for id, server := range c.retained {
		if now.Sub(server.at) > retentionTime {
			delete(c.retained, id)
		}
	}
}

// retain keeps the state that limits a server when its list entry is removed.
func (c *Core) retain(candidate *Candidate, now time.Time) {
	c.retained[candidate.ID] = retainedServer{startTime: candidate.listing.server.StartTime, at: now, sentWindow: candidate.sentWindow, rateLimit: candidate.rateLimit, notices: candidate.notices}
}

// restore applies the retained state to a newly listed server, unless it is of another incarnation.
func (c *Core) restore(candidate *Candidate, server Server) {
	retained, found := c.retained[server.ID]
	delete(c.retained, server.ID)
	if !found || retained.startTime.Differs(server.StartTime) {
		candidate.sentWindow = *admission.NewWindow(admission.LimitWindow)
		return
	}
	candidate.sentWindow, candidate.rateLimit, candidate.notices = retained.sentWindow, retained.rateLimit, retained.notices
}
