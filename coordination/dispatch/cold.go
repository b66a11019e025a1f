package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/placement"
)

// Constants of the sharing of cold servers.
const (
	// coldSpan is the platform's second, with room for what lies between the choice of a
	// server and its receiving the request: a connection is made within some milliseconds.
	coldSpan = 1100 * time.Millisecond
	// coldShare is the part of the bound that all entries together use; the rest is for
	// entries that have lately come and are not known to all.
	coldShare = 0.9
	// memberMemory is how long an entry that is heard of no more keeps its share: one that is
	// cut off from the others still sends.
	memberMemory = time.Minute
	// membersPeriod is how often the entries known are looked through.
	membersPeriod = 250 * time.Millisecond
	// cautiousMembers is how many entries are assumed until the others are known, settleTime
	// after the start.
	cautiousMembers = 16
	// settleTime is how long after the start the number of entries is uncertain.
	settleTime = 3 * time.Second
)

// coldMembers are the entries that share what cold servers may receive. They agree on the
// shares without a message: each ranks all entries for a server by the same hashing. Where a
// server may receive fewer requests a second than there are entries, the first in its rank
// have one each. Shares that are handed out by the server's agent as they are asked for would
// follow the callers more closely; they depend on the server's link, which is narrow, at the
// moment when its machine is starting.
type coldMembers struct {
	self string
	// seen tells when an entry was last known.
	seen     map[string]time.Time
	lookedAt time.Time
	started  time.Time
	// ranks are this entry's ranks for servers, by their names, since the entries were last
	// looked through.
	ranks map[string]int
}

func newColdMembers(self string, started time.Time) *coldMembers {
	return &coldMembers{self: self, seen: map[string]time.Time{}, ranks: map[string]int{}, started: started}
}

// EntriesDue reports whether the entries known are to be told anew, by TakeEntries: from time to
// time as long as a server is cold.
func (c *Core) EntriesDue(now time.Time) bool {
	return now.Sub(c.cold.lookedAt) >= membersPeriod && now.Before(c.coldTill)
}

// findColdTill looks until when a server is cold whose requests are bounded then.
func (c *Core) findColdTill() {
	c.coldTill = time.Time{}
	for service, servers := range c.byService {
		if c.fleet.Services[service].ColdLimit <= 0 {
			continue
		}
		for _, known := range servers {
			for _, till := range []time.Time{known.listing.server.ColdUntil, known.readmittedUntil} {
				if till.After(c.coldTill) {
					c.coldTill = till
				}
			}
		}
	}
}

// TakeEntries takes over which other entries are lately known.
func (c *Core) TakeEntries(known []string, now time.Time) { c.cold.look(known, now) }

// look takes over which entries are known.
func (m *coldMembers) look(known []string, now time.Time) {
	m.lookedAt = now
	clear(m.ranks)
	for _, member := range known {
		m.seen[member] = now
	}
	for member, at := range m.seen {
		if now.Sub(at) > memberMemory {
			delete(m.seen, member)
		}
	}
}

// share is how many requests this entry may send a server in a second of a limit for all.
func (m *coldMembers) share(server string, limit float64, now time.Time) int {
	members := len(m.seen) + 1
	if now.Sub(m.started) < settleTime {
		members = max(members, cautiousMembers)
	}
	return admission.Share(limit, m.rank(server), members)
}

// rank is how many of the other entries come before this one for a server.
func (m *coldMembers) rank(server string) int {
	if rank, known := m.ranks[server]; known {
		return rank
	}
	rank, own := 0, placement.Score(server, m.self)
	for member := range m.seen {
		if placement.Score(server, member) > own {
			rank++
		}
	}
	m.ranks[server] = rank
	return rank
}

// coldTime is how long a server of a service is cold after a start.
func (c *Core) coldTime(service string) time.Duration { return c.fleet.Services[service].ColdTime }

// cold reports whether a server is cold: by its own line, or because its zone has just been
// readmitted.
func (k *Candidate) cold(now time.Time) bool {
	return now.Before(k.listing.server.ColdUntil) || now.Before(k.readmittedUntil)
}

// coldFull reports whether this entry has sent a cold server all that it may for now. A
// server's requests are counted while it is warm too, because it may have become cold shortly
// before that is known.
func (c *Core) coldFull(k *Candidate, now time.Time) bool {
	if !k.cold(now) {
		return false
	}
	limit := c.fleet.Services[k.listing.server.Service].ColdLimit
	if limit <= 0 {
		return false
	}
	return !k.coldWindow.Open(now.Sub(c.cold.started), c.cold.share(k.ID, coldShare*limit, now))
}

// countSent counts a request that is being sent to a server.
func (c *Core) countSent(k *Candidate, now time.Time) {
	k.coldWindow.Add(now.Sub(c.cold.started))
	if k.cold(now) {
		c.coldSent++
	}
}

// keepWindow keeps what a server was sent that is listed no more: its line may come again within
// the second, and what was sent before counts.
func (c *Core) keepWindow(known *Candidate, now time.Time) {
	for id, window := range c.droppedWindows {
		if window.Open(now.Sub(c.cold.started), 1) {
			delete(c.droppedWindows, id)
		}
	}
	c.droppedWindows[known.ID] = known.coldWindow
}

// windowOf returns what a server was sent lately that is newly listed.
func (c *Core) windowOf(id string) admission.Window {
	window, kept := c.droppedWindows[id]
	delete(c.droppedWindows, id)
	if !kept {
		window = *admission.NewWindow(coldSpan)
	}
	return window
}

// ColdCounts returns how many servers are cold, and how many requests were sent to cold ones.
func (c *Core) ColdCounts(now time.Time) (servers int, sent uint64) {
	for _, known := range c.byID {
		if known.cold(now) {
			servers++
		}
	}
	return servers, c.coldSent
}
