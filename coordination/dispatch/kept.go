package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/incarnation"
)

// keptMemory is how long it is held what a server was sent, and has said of itself, after its line has
// gone: lines lapse while the store is away, and come again.
const keptMemory = 10 * time.Minute

// keptServer is what is held of a server whose line has gone.
type keptServer struct {
	born  incarnation.Born
	at    time.Time
	sent  admission.Window
	limit namedLimit
	asked asked
}

// expireKept drops what has been held for too long, once a list: the lines of all servers may go at once.
func (c *Core) expireKept(now time.Time) {
	for id, one := range c.kept {
		if now.Sub(one.at) > keptMemory {
			delete(c.kept, id)
		}
	}
}

// keep holds what bounds a server whose line has gone.
func (c *Core) keep(known *Candidate, now time.Time) {
	c.kept[known.ID] = keptServer{born: known.listing.server.Born, at: now, sent: known.sent, limit: known.limit, asked: known.asked}
}

// restore gives a newly listed server what was held of it, unless that was another life of it.
func (c *Core) restore(known *Candidate, server Server) {
	held, found := c.kept[server.ID]
	delete(c.kept, server.ID)
	if !found || held.born.Differs(server.Born) {
		known.sent = *admission.NewWindow(admission.LimitWindow)
		return
	}
	known.sent, known.limit, known.asked = held.sent, held.limit, held.asked
}
