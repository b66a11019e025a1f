package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/placement"
)

// Parameters of the entries that share limits.
const (
	// memberTTL is how long an entry keeps its share after it was last seen: an entry that is cut off from
	// the others still sends requests.
	memberTTL = time.Minute
	// lookupInterval is how often the known entries are looked up.
	lookupInterval = 250 * time.Millisecond
	// assumedMembers is the minimum number of entries assumed during settleTime after the start, and while a
	// lookup is pending and the last one is older than memberTTL.
	assumedMembers = 16
	// settleTime is how long after the start the number of entries is uncertain.
	settleTime = 3 * time.Second
)

// memberSet holds the entries that share the rates of cold and rate-limited servers. They agree on shares
// without exchanging messages: each ranks all entries for a server by the same hash. Where a server may
// receive fewer requests than there are entries, the first by rank get one each. Shares granted by the
// server's agent on request would follow demand more closely, but would depend on the server's link, which is
// narrow while its machine is starting.
type memberSet struct {
	self string
	// lastSeen holds when each entry was last known.
	lastSeen  map[string]time.Time
	updatedAt time.Time
	// lookupPending is set while the known entries are being looked up; requests do not wait for this.
	lookupPending bool
	started       time.Time
	// ranks caches this entry's rank by server ID since the last lookup.
	ranks map[string]int
}

func newMemberSet(self string, started time.Time) *memberSet {
	return &memberSet{self: self, lastSeen: map[string]time.Time{}, ranks: map[string]int{}, started: started}
}

// update applies the result of a lookup.
func (m *memberSet) update(known []string, now time.Time) {
	m.updatedAt, m.lookupPending = now, false
	clear(m.ranks)
	for _, member := range known {
		m.lastSeen[member] = now
	}
	for member, at := range m.lastSeen {
		if now.Sub(at) > memberTTL {
			delete(m.lastSeen, member)
		}
	}
}

// share returns how many requests of a server's common limit this entry may send.
func (m *memberSet) share(server string, limit float64, now time.Time) int {
	return admission.Share(limit, m.rank(server), m.count(now))
}

// count returns the number of entries that share limits, this one included.
func (m *memberSet) count(now time.Time) int {
	count := len(m.lastSeen) + 1
	if now.Sub(m.started) < settleTime || (m.lookupPending && now.Sub(m.updatedAt) > memberTTL) {
		return max(count, assumedMembers)
	}
	return count
}

// elapsed converts a time to the time of the request windows, which counts from the start.
func (m *memberSet) elapsed(now time.Time) time.Duration { return now.Sub(m.started) }

// rank returns the number of other entries that rank before this one for a server.
func (m *memberSet) rank(server string) int {
	if rank, known := m.ranks[server]; known {
		return rank
	}
	rank, own := 0, placement.Score(server, m.self)
	for member := range m.lastSeen {
		if placement.Score(server, member) > own {
			rank++
		}
	}
	m.ranks[server] = rank
	return rank
}

// EntryLookupDue reports whether the known entries should be looked up and passed to SetEntries: periodically
// while a server is cold or rate limited, unless a lookup is pending.
func (c *Core) EntryLookupDue(now time.Time) bool {
	return !c.members.lookupPending && now.Sub(c.members.updatedAt) >= lookupInterval && now.Before(c.limitsUntil)
}

// BeginEntryLookup marks a lookup as pending until SetEntries is called.
func (c *Core) BeginEntryLookup() { c.members.lookupPending = true }

// SetEntries sets the other entries that are currently known.
func (c *Core) SetEntries(known []string, now time.Time) { c.members.update(known, now) }
