package catalog

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// Times around an outage of the store.
const (
	// outageAge is the age of the copy from which the store counts as out.
	outageAge = 1200 * time.Millisecond
	// lapseGrace is how long after an outage servers write their lines anew.
	lapseGrace = 2 * time.Second
	// lapseMargin is left of the time in which a server that has left may still be sent
	// requests.
	lapseMargin = 400 * time.Millisecond
)

// lapsedServer is a server that the list has lost.
type lapsedServer struct {
	server fleet.Server
	until  time.Time
}

// noteFresh notes when the copy was current; the mutex is held.
func (c *Catalog) noteFresh(at time.Time) {
	if !at.After(c.fresh) {
		return
	}
	if !c.fresh.IsZero() && at.Sub(c.fresh) > outageAge {
		c.regained = at
	}
	c.fresh = at
}

// keepLapsed adds to a new view the servers that the list has just lost, for as long
// as they may come back: their lines end with the heartbeats that an outage of the
// store swallows, and are written anew after it. It returns how many there are; the
// mutex is held.
func (c *Catalog) keepLapsed(next *View) int {
	now := time.Now()
	if now.Sub(c.regained) < lapseGrace {
		c.noteLapsed(next, now)
	}
	count := 0
	for id, one := range c.lapsed {
		if !now.Before(one.until) {
			delete(c.lapsed, id)
			continue
		}
		next.Servers[one.server.Service] = append(next.Servers[one.server.Service], one.server)
		count++
	}
	return count
}

// noteLapsed finds the servers of the present view that a new one lacks; the mutex is
// held.
func (c *Catalog) noteLapsed(next *View, now time.Time) {
	grace := min(lapseGrace, c.options.Drain-lapseMargin)
	for service, servers := range c.view.Load().Servers {
		for _, server := range servers {
			listed := slices.ContainsFunc(next.Servers[service], func(one fleet.Server) bool {
				return one.ID == server.ID || one.Address == server.Address
			})
			_, known := c.lapsed[server.ID]
			if listed || known || server.Draining || grace <= 0 || c.knownDead(server) {
				continue
			}
			c.lapsed[server.ID] = lapsedServer{server: server, until: now.Add(grace)}
			c.options.Log.Log(logging.ServerLapsed, zap.String("server", server.ID), zap.Duration("kept_for", grace),
				zap.Duration("store_back_for", now.Sub(c.regained)))
			time.AfterFunc(grace, c.dropLapsed)
		}
	}
}

// knownDead reports whether a server's agent says that it does not answer; the mutex
// is held.
func (c *Catalog) knownDead(server fleet.Server) bool {
	held, told := c.statuses[server.Address]
	return told && !held.status.Reachable
}

// dropLapsed makes a new view without the servers that have not come back.
func (c *Catalog) dropLapsed() {
	c.notify.Lock()
	defer c.notify.Unlock()
	c.mutex.Lock()
	next := *c.view.Load()
	c.rebuildServers(&next)
	next.findAgents()
	c.view.Store(&next)
	c.mutex.Unlock()
	for _, callback := range c.callbacks {
		callback(c.View())
	}
}
