package forward

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/placement"
	"pinevane.example/pinevane/internal/fleet"
)

// unfitCold is why a cold server is not sent a request for the moment.
const unfitCold = "cold, and has its share"

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
	// after the start.
	cautiousMembers = 16
)

// coldMembers are the entries that share what cold servers may receive. They agree on the
// shares without a message: each ranks all entries for a server by the same hashing. Where a
// server may receive fewer requests a second than there are entries, the first in its rank
// have one each. Shares that are handed out by the server's agent as they are asked for would
// follow the callers more closely; they depend on the server's link, which is narrow, at the
// moment when its machine is starting.
type coldMembers struct {
	self string
	// known lists the entries lately known; nil knows of no other.
	known func() []string
	// seen tells when an entry was last known.
	seen     map[string]time.Time
	lookedAt time.Time
	started  time.Time
	// ranks are this entry's ranks for servers, by their names, since the entries were last
	// looked through.
	ranks map[string]int
}

func newColdMembers(self string, known func() []string) *coldMembers {
	return &coldMembers{self: self, known: known, seen: map[string]time.Time{}, ranks: map[string]int{}, started: time.Now()}
}

// look takes over which entries are known.
func (m *coldMembers) look(now time.Time) {
	if m.known == nil || now.Sub(m.lookedAt) < membersPeriod {
		return
	}
	m.lookedAt = now
	clear(m.ranks)
	for _, member := range m.known() {
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
	m.look(now)
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

// coldTime is how long a server of a service is cold after a start; the mutex is held.
func (t *targets) coldTime(service string) time.Duration {
	if t.view.Configuration == nil {
		return 0
	}
	return t.view.Configuration.Services[service].ColdTime
}

// coldUntil is when a server will be warm: by its own line, by its agent's word, which arrives
// with the answer to a question when this entry has not heard of the line yet, by an answer of
// its own, or because its zone has just been readmitted.
func (k *target) coldUntil() time.Time {
	until := k.statusAt.Add(k.status.ColdFor())
	for _, other := range []time.Time{k.server.ColdUntil, k.answeredColdUntil, k.readmittedUntil} {
		if other.After(until) {
			until = other
		}
	}
	return until
}

// sawCold notes what an answer has said of how much longer its server is cold. Requests that
// callers send to a service's health path are the only health checks there are: entries and
// agents make none, because they are priced. A faulty answer makes a server cold for no longer
// than a start does.
func (t *targets) sawCold(k *target, left time.Duration) {
	if left <= 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	k.answeredColdUntil = time.Now().Add(min(left, t.coldTime(k.server.Service)))
}

// cold reports whether a server is cold.
func (k *target) cold(now time.Time) bool { return now.Before(k.coldUntil()) }

// coldFull reports whether this entry has sent a cold server all that it may for now; the
// mutex is held. A server's requests are counted while it is warm too, because it may have
// become cold shortly before that is known.
func (t *targets) coldFull(k *target, now time.Time) bool {
	if !k.cold(now) {
		return false
	}
	limit, bounded := t.coldLimit(k.server)
	if !bounded {
		return false
	}
	since := now.Sub(t.cold.started)
	if !k.received.Open(since, t.cold.share(k.id, coldShare*limit, now)) {
		return true
	}
	// Shares reckon with what each entry has sent itself. The agent's count has what all have
	// sent, also before they heard that the server is cold.
	return k.current(now) && k.received.Crowded(coldShare*limit, k.status.Received, k.statusAt.Sub(t.cold.started)-countDelay, since)
}

// coldLimit is how many requests a server may receive in a second while it is cold; the mutex
// is held.
func (t *targets) coldLimit(server fleet.Server) (float64, bool) {
	if t.view.Configuration == nil {
		return 0, false
	}
	return t.bounds.ColdLimit(t.view.Configuration.Services[server.Service])
}

// countSent counts a request that is being sent to a server; the mutex is held.
func (t *targets) countSent(k *target, now time.Time) {
	k.received.Add(now.Sub(t.cold.started))
	if k.cold(now) {
		t.coldSent++
	}
}

// coldCounts returns how many servers are cold, and how many requests were sent to cold ones.
func (t *targets) coldCounts() (servers int, sent uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	for _, known := range t.byID {
		if known.cold(now) {
			servers++
		}
	}
	return servers, t.coldSent
}
