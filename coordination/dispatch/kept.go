package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/incarnation"
)

// retentionTime is how long it is held what a server was sent, and has said of itself, after its line has
// gone: lines lapse while the store is away, and come again.
const retentionTime = 10 * time.Minute

// retainedServer is what is held of a server whose line has gone.
type retainedServer struct {
	born  incarnation.Born
	at    time.Time
	sent  admission.Window
	limit rateLimit
	asked notices
}

// expireRetained drops what has been held for too long, once a list: the lines of all servers may go at once.
func (c *Core) expireRetained(now time.Time) {
	for id, one := range c.retained {
		if now.Sub(one.at) > retentionTime {
			delete(c.retained, id)
		}
	}
}

// retain holds what bounds a server whose line has gone.
func (c *Core) retain(known *Candidate, now time.Time) {
	c.retained[known.ID] = retainedServer{born: known.listing.server.StartTime, at: now, sent: known.sentWindow, limit: known.rateLimit, asked: known.notices}
}

// restore gives a newly listed server what was held of it, unless that was another life of it.
func (c *Core) restore(known *Candidate, server Server) {
	held, found := c.retained[server.ID]
	delete(c.retained, server.ID)
	if !found || held.born.Differs(server.StartTime) {
		known.sentWindow = *admission.NewWindow(admission.LimitSpan)
		return
	}
	known.sentWindow, known.rateLimit, known.notices = held.sent, held.limit, held.asked
}
