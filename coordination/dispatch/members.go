package dispatch

import (
	"maps"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/placement"
	"pinevane.example/pinevane/coordination/sharing"
)

// memberSet holds the entries that share the rates of cold and rate-limited servers. They agree on shares
// without exchanging messages: each ranks all entries for a server by the same hash. Where a server may
// receive fewer requests than there are entries, the first by rank get one each. Shares granted by the
// server's agent on request would follow demand more closely, but would depend on the server's link, which is
// narrow while its machine is starting.
type memberSet struct {
	self string
	// counted are the entries that limits are divided among.
	counted *sharing.Members
	started time.Time
	// ranks caches this entry's rank by server ID since the last lookup.
	ranks map[string]int
}

func newMemberSet(self sharing.Member, started time.Time) *memberSet {
	return &memberSet{self: self.ID, counted: sharing.New(self), started: started, ranks: map[string]int{}}
}

// setZones sets the zones, which all have entries, by the regions that they map to.
func (m *memberSet) setZones(regions map[string]string) {
	m.counted.SetZones(slices.Collect(maps.Keys(regions)))
}

// update applies the result of a lookup.
func (m *memberSet) update(known []sharing.Member, now time.Time) {
	clear(m.ranks)
	m.counted.Update(known, now)
}

// share returns how many requests of a server's common limit this entry may send.
func (m *memberSet) share(server string, limit float64, now time.Time) int {
	return admission.Share(limit, m.rank(server), m.count(now))
}

// count returns the number of entries that share limits, this one included.
func (m *memberSet) count(now time.Time) int { return m.counted.Count(now, m.elapsed(now)) }

// elapsed converts a time to the time of the request windows, which counts from the start.
func (m *memberSet) elapsed(now time.Time) time.Duration { return now.Sub(m.started) }

// rank returns the number of other entries that rank before this one for a server.
func (m *memberSet) rank(server string) int {
	if rank, known := m.ranks[server]; known {
		return rank
	}
	rank, own := 0, placement.Score(server, m.self)
	m.counted.Others(func(member string) {
		if placement.Score(server, member) > own {
			rank++
		}
	})
	m.ranks[server] = rank
	return rank
}

// EntryLookupDue reports whether the known entries should be looked up and passed to SetEntries: periodically
// while a server is cold or rate limited, unless a lookup is pending.
func (c *Core) EntryLookupDue(now time.Time) bool {
	return c.members.counted.LookupDue(now) && now.Before(c.limitsUntil)
}

// BeginEntryLookup marks a lookup as pending until SetEntries is called.
func (c *Core) BeginEntryLookup() { c.members.counted.BeginLookup() }

// SetEntries sets the other entries that are currently known.
func (c *Core) SetEntries(known []sharing.Member, now time.Time) { c.members.update(known, now) }
