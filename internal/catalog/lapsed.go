package catalog

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// Thresholds around an outage of the store.
const (
	// outageAge is the age of the copy from which the store counts as out.
	outageAge = 1200 * time.Millisecond
	// expiryGrace is how long after an outage servers rewrite their records.
	expiryGrace = 2 * time.Second
	// expiryMargin is subtracted from the time in which a server that has left may still be sent
	// requests.
	expiryMargin = 400 * time.Millisecond
)

// expiredServer is a server whose record has expired.
type expiredServer struct {
	server fleet.Server
	until  time.Time
}

// recordFresh records when the copy was current. The mutex must be held.
func (c *Catalog) recordFresh(at time.Time) {
	if !at.After(c.freshAt) {
		return
	}
	if !c.freshAt.IsZero() && at.Sub(c.freshAt) > outageAge {
		c.regainedAt = at
	}
	c.freshAt = at
}

// retainExpired adds to a new view the servers that have just expired, for as long as they may come
// back: their records expire because an outage of the store loses the heartbeats, and are rewritten
// after it. It returns how many it added. The mutex must be held.
func (c *Catalog) retainExpired(next *View) int {
	now := time.Now()
	if now.Sub(c.regainedAt) < expiryGrace {
		c.recordExpired(next, now)
	}
	count := 0
	for id, expired := range c.expired {
		if !now.Before(expired.until) {
			delete(c.expired, id)
			continue
		}
		next.Servers[expired.server.Service] = append(next.Servers[expired.server.Service], expired.server)
		count++
	}
	return count
}

// recordExpired finds the servers of the current view that a new one lacks. The mutex must be held.
func (c *Catalog) recordExpired(next *View, now time.Time) {
	grace := min(expiryGrace, c.options.Drain-expiryMargin)
	for service, servers := range c.view.Load().Servers {
		for _, server := range servers {
			listed := slices.ContainsFunc(next.Servers[service], func(one fleet.Server) bool {
				return one.ID == server.ID || one.Address == server.Address
			})
			_, known := c.expired[server.ID]
			if listed || known || server.Draining || grace <= 0 || c.isUnreachable(server) {
				continue
			}
			c.expired[server.ID] = expiredServer{server: server, until: now.Add(grace)}
			c.options.Log.Log(logging.ServerRecordExpired, zap.String("server", server.ID), zap.Duration("kept_for", grace),
				zap.Duration("store_back_for", now.Sub(c.regainedAt)))
			time.AfterFunc(grace, c.removeExpired)
		}
	}
}

// isUnreachable reports whether a server's agent reports that it does not answer. The mutex must be
// held.
func (c *Catalog) isUnreachable(server fleet.Server) bool {
	held, known := c.statuses[server.Address]
	return known && !held.status.Reachable
}

// removeExpired builds a view without the servers that have not come back.
func (c *Catalog) removeExpired() {
	c.notifyMutex.Lock()
	defer c.notifyMutex.Unlock()
	c.mutex.Lock()
	next := *c.view.Load()
	c.rebuildServers(&next)
	next.collectAgents()
	c.view.Store(&next)
	c.mutex.Unlock()
	for _, callback := range c.callbacks {
		callback(c.View())
	}
}
