package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/placement"
)

// Constants of the sharing of cold servers.
const (
	// countDelay is how long a request may be on its way to the count of the server's agent:
	// one way between regions, of 1 to 2.8 ms where this was measured, and the wait at both ends.
	countDelay = 5 * time.Millisecond
	// coldShare is the part of the bound that all entries together use; the rest is for
	// entries that have lately come and are not known to all.
	coldShare = 0.9
	// memberMemory is how long an entry that is heard of no more keeps its share: one that is
	// cut off from the others still sends.
	memberMemory = time.Minute
	// membersPeriod is how often the entries known are looked through.
	membersPeriod = 250 * time.Millisecond
	// cautiousMembers is how many entries are assumed until the others are known, settleTime
	// after the start, and while they are asked for after memberMemory without a look.
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
	// asking is set while the entries known are asked for, which requests do not wait for.
	asking  bool
	started time.Time
	// ranks are this entry's ranks for servers, by their names, since the entries were last
	// looked through.
	ranks map[string]int
}

func newColdMembers(self string, started time.Time) *coldMembers {
	return &coldMembers{self: self, seen: map[string]time.Time{}, ranks: map[string]int{}, started: started}
}

// EntriesDue reports whether the entries known are to be told anew, by TakeEntries: from time to
// time as long as a server is cold, and no one asks for them already.
func (c *Core) EntriesDue(now time.Time) bool {
	return !c.cold.asking && now.Sub(c.cold.lookedAt) >= membersPeriod && now.Before(c.coldTill)
}

// BeginEntries notes that the entries known are being asked for, until TakeEntries.
func (c *Core) BeginEntries() { c.cold.asking = true }

// findColdTill looks until when a server is cold whose requests are bounded then.
func (c *Core) findColdTill() {
	c.coldTill = time.Time{}
	for _, servers := range c.byService {
		for _, known := range servers {
			c.noteCold(known)
		}
	}
}

// noteCold notes until when a server is cold, if its requests are bounded then.
func (c *Core) noteCold(k *Candidate) {
	if until := k.coldUntil(); until.After(c.coldTill) && c.fleet.Services[k.listing.server.Service].ColdLimit > 0 {
		c.coldTill = until
	}
}

// TakeEntries takes over which other entries are lately known.
func (c *Core) TakeEntries(known []string, now time.Time) { c.cold.look(known, now) }

// look takes over which entries are known.
func (m *coldMembers) look(known []string, now time.Time) {
	m.lookedAt, m.asking = now, false
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
	if now.Sub(m.started) < settleTime || (m.asking && now.Sub(m.lookedAt) > memberMemory) {
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

// coldUntil is when a server will be warm: by its own line, by its agent's word, which arrives
// with the answer to a question when this entry has not heard of the line yet, by an answer of
// its own, or because its zone has just been readmitted. A faulty word makes a server cold for
// no longer than a start does.
func (k *Candidate) coldUntil() time.Time {
	until := k.word.at.Add(min(k.word.ColdFor, k.coldTime))
	for _, other := range []time.Time{k.listing.server.ColdUntil, k.answeredColdUntil, k.readmittedUntil} {
		if other.After(until) {
			until = other
		}
	}
	return until
}

// SawCold notes what an answer has said of how much longer its server is cold. Requests that
// callers send to a service's health path are the only health checks there are: entries and
// agents make none, because they are priced. A faulty answer makes a server cold for no longer
// than a start does.
func (c *Core) SawCold(k *Candidate, left time.Duration, now time.Time) {
	if left > 0 {
		k.answeredColdUntil = now.Add(min(left, k.coldTime))
		c.noteCold(k)
	}
}

// cold reports whether a server is cold.
func (k *Candidate) cold(now time.Time) bool { return now.Before(k.coldUntil()) }

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
	since := now.Sub(c.cold.started)
	if !k.coldWindow.Open(since, c.cold.share(k.ID, coldShare*limit, now)) {
		return true
	}
	// Shares reckon with what each entry has sent itself. The agent's count has what all have
	// sent, also before they heard that the server is cold.
	return k.word.counts(now) && k.coldWindow.Crowded(coldShare*limit, k.word.Received, k.word.at.Sub(c.cold.started)-countDelay, since)
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
		window = *admission.NewWindow(admission.ColdSpan)
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
