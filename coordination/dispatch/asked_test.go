package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/incarnation"
)

// DRAIN: a server whose answer announced its shutdown is sent no more requests, whatever its list entry says;
// its next incarnation is.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.core.members.started = epoch.Add(-time.Minute)
	change, isNew := s.core.RecordLeaving(s.candidate("a1"))
	assert.True(t, isNew)
	assert.Equal(t, Change{Kind: ServerLeaving, Candidate: s.candidate("a1")}, change)
	_, isNew = s.core.RecordLeaving(s.candidate("a1"))
	assert.False(t, isNew, "known already")
	for range 20 {
		s.served(s.request(), "a2")
	}
	listed := s.fleet.Servers
	assert.Empty(t, s.update(), "its list entry says that it is ready")
	s.fleet.Servers = listed[1:]
	s.update()
	s.at(time.Second)
	s.fleet.Servers = listed
	s.update()
	assert.True(t, s.core.Leaving(s.candidate("a1")), "its list entry expired and returned")
	s.fleet.Servers[0].Draining = true
	assert.Empty(t, s.update(), "no change")
	s.fleet.Servers[0] = Server{ID: "a1", Service: "s", Address: "a1:1", Zone: "a", Slots: 16, Version: 1, HoldsModel: true, StartTime: 7}
	s.update()
	s.fleet.Servers[0].StartTime = 9
	s.update()
	assert.False(t, s.core.Leaving(s.candidate("a1")), "another incarnation")
}

// When all servers of a service are leaving, requests are refused at once.
func TestServiceWithOnlyLeavingServers(t *testing.T) {
	s := newScript(t, "a1", "a2")
	for _, id := range []string{"a1", "a2"} {
		s.core.RecordLeaving(s.candidate(id))
	}
	assert.Equal(t, 2, s.refused(s.request(), RefusedNoServer).Servers[excludedLeaving])
}

// BUDGET: a server that asked to back off is sent nothing until the backoff is over, and a shorter backoff
// requested later does not end it. Requests that arrive when it ends are ordinary ones.
func TestBackingOffServerGetsNoRequests(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.core.members.started = epoch.Add(-time.Minute)
	assert.True(t, s.core.RecordBackoff(s.candidate("a1"), 3*time.Second, s.now))
	s.at(time.Second)
	assert.False(t, s.core.RecordBackoff(s.candidate("a1"), time.Second, s.now), "it is backing off already")
	s.at(2900 * time.Millisecond)
	for range 20 {
		s.served(s.request(), "a2")
	}
	tried := s.request()
	tried.Tried = []*Candidate{s.candidate("a2")}
	refusal := s.refused(tried, RefusedNoServer)
	assert.Equal(t, 1, refusal.Servers[excludedBackoff])
	assert.Equal(t, 100*time.Millisecond, refusal.RetryAfter, "the rest of the backoff")
	s.at(3 * time.Second)
	s.served(tried, "a1")
}

// A server that is backing off is not used as a last resort either, neither as an ejected one nor for its
// trial.
func TestBackoffTakesPrecedenceOverHealth(t *testing.T) {
	s := newScript(t, "a1")
	s.core.RecordBackoff(s.candidate("a1"), time.Second, s.now)
	assert.Equal(t, 1, s.refused(s.request(), RefusedNoServer).Servers[excludedBackoff])
}

// A notice from another entry counts like an answer to this entry, in the order in which the server sent
// them.
func TestNoticesFromOtherEntries(t *testing.T) {
	s := newScript(t, "a1")
	k := s.candidate("a1")
	at := func(after time.Duration) time.Time { return epoch.Add(after) }
	s.at(2 * time.Second)
	limit, _ := s.core.ApplyNotice(ServerNotice{Server: "a1", Limited: true, PerSecond: 2}, at(time.Second), s.now)
	assert.True(t, limit.Changed)
	s.at(4 * time.Second)
	s.core.ApplyNotice(ServerNotice{Server: "a1"}, at(3*time.Second), s.now)
	assert.False(t, k.rateLimit.inForce(), "over")
	s.core.ApplyNotice(ServerNotice{Server: "a1", Limited: true, PerSecond: 2}, at(1500*time.Millisecond), s.now)
	assert.False(t, k.rateLimit.inForce(), "an older notice by a longer path")
	s.core.ApplyNotice(ServerNotice{Server: "a1", Limited: true, PerSecond: 2}, at(3500*time.Millisecond), s.now)
	assert.True(t, k.rateLimit.inForce(), "a newer one")
	_, leaving := s.core.ApplyNotice(ServerNotice{Server: "a1", Leaving: true, Limited: true, PerSecond: 2}, at(3900*time.Millisecond), s.now)
	assert.True(t, leaving)
	_, leaving = s.core.ApplyNotice(ServerNotice{Server: "a1", Limited: true, PerSecond: 2}, at(3950*time.Millisecond), s.now)
	assert.False(t, leaving)
	assert.True(t, s.core.Leaving(k), "not revoked by an entry that does not know of it")
}

// An entry that starts may receive notices before the list; notices on another incarnation of a server are
// ignored.
func TestNoticesOnUnlistedServers(t *testing.T) {
	s := newScript(t)
	s.core.members.started = epoch.Add(-time.Minute)
	s.core.ApplyNotice(ServerNotice{Server: "a1", StartTime: 5, Leaving: true}, s.now, s.now)
	s.core.ApplyNotice(ServerNotice{Server: "a2", StartTime: 5, Leaving: true}, s.now, s.now)
	s.core.ApplyNotice(ServerNotice{Server: "a3", Limited: true, PerSecond: 1}, s.now, s.now)
	for id, startTime := range map[string]incarnation.StartTime{"a1": 5, "a2": 6, "a3": 0} {
		s.fleet.Servers = append(s.fleet.Servers, Server{ID: id, Service: "s", Address: id + ":1", Zone: "a", Slots: 16, Version: 1, HoldsModel: true, StartTime: startTime})
	}
	s.update()
	assert.True(t, s.core.Leaving(s.candidate("a1")))
	assert.False(t, s.core.Leaving(s.candidate("a2")))
	assert.True(t, s.candidate("a3").rateLimit.inForce())
	s.core.ApplyNotice(ServerNotice{Server: "a2", StartTime: 5, Leaving: true}, s.now, s.now)
	assert.False(t, s.core.Leaving(s.candidate("a2")))
}
