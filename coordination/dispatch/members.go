package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/placement"
)

// Constants of the entries that share bounds on servers.
const (
	// memberTTL is how long an entry that is heard of no more keeps its share: one that is
	// cut off from the others still sends.
	memberTTL = time.Minute
	// lookupInterval is how often the entries known are looked through.
	lookupInterval = 250 * time.Millisecond
	// assumedMembers is how many entries are assumed until the others are known, settleTime
	// after the start, and while they are asked for after memberMemory without a look.
	assumedMembers = 16
	// settleTime is how long after the start the number of entries is uncertain.
	settleTime = 3 * time.Second
)

// memberSet are the entries that share what cold servers, and such that name a limit, may receive.
// They agree on the shares without a message: each ranks all entries for a server by the same
// hashing. Where a server may receive fewer requests than there are entries, the first in its rank
// have one each. Shares that are handed out by the server's agent as they are asked for would
// follow the callers more closely; they depend on the server's link, which is narrow, at the
// moment when its machine is starting.
type memberSet struct {
	self string
	// lastSeen tells when an entry was last known.
	lastSeen  map[string]time.Time
	updatedAt time.Time
	// lookupPending is set while the entries known are asked for, which requests do not wait for.
	lookupPending bool
	started       time.Time
	// ranks are this entry's ranks for servers, by their names, since the entries were last
	// looked through.
	ranks map[string]int
}

func newMemberSet(self string, started time.Time) *memberSet {
	return &memberSet{self: self, lastSeen: map[string]time.Time{}, ranks: map[string]int{}, started: started}
}

// update takes over which entries are known.
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

// share is how many requests this entry may send a server of a limit for all.
func (m *memberSet) share(server string, limit float64, now time.Time) int {
	return admission.Share(limit, m.rank(server), m.count(now))
}

// count is how many entries share, this one included.
func (m *memberSet) count(now time.Time) int {
	count := len(m.lastSeen) + 1
	if now.Sub(m.started) < settleTime || (m.lookupPending && now.Sub(m.updatedAt) > memberTTL) {
		return max(count, assumedMembers)
	}
	return count
}

// elapsed is a moment as windows of what was sent count time.
func (m *memberSet) elapsed(now time.Time) time.Duration { return now.Sub(m.started) }

// rank is how many of the other entries come before this one for a server.
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

// EntryLookupDue reports whether the entries known are to be told anew, by TakeEntries: from time to
// time as long as a server is cold or names a limit, and no one asks for them already.
func (c *Core) EntryLookupDue(now time.Time) bool {
	return !c.members.lookupPending && now.Sub(c.members.updatedAt) >= lookupInterval && now.Before(c.limitsUntil)
}

// BeginEntryLookup notes that the entries known are being asked for, until TakeEntries.
func (c *Core) BeginEntryLookup() { c.members.lookupPending = true }

// SetEntries takes over which other entries are lately known.
func (c *Core) SetEntries(known []string, now time.Time) { c.members.update(known, now) }
