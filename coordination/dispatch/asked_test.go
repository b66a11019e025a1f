package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/incarnation"
)

// DRAIN: a server that has said in an answer that it leaves is sent nothing more, whatever its line says; another life
// of it is.
func TestServerThatSaysItLeavesGetsNothing(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.core.members.started = epoch.Add(-time.Minute)
	change, news := s.core.RecordLeaving(s.candidate("a1"))
	assert.True(t, news)
	assert.Equal(t, Change{Kind: ServerLeaving, Candidate: s.candidate("a1")}, change)
	_, news = s.core.RecordLeaving(s.candidate("a1"))
	assert.False(t, news, "known already")
	for range 20 {
		s.served(s.request(), "a2")
	}
	lines := s.fleet.Servers
	assert.Empty(t, s.update(), "its line says that it is ready")
	s.fleet.Servers = lines[1:]
	s.update()
	s.at(time.Second)
	s.fleet.Servers = lines
	s.update()
	assert.True(t, s.core.Leaving(s.candidate("a1")), "its line lapsed and came again")
	s.fleet.Servers[0].Draining = true
	assert.Empty(t, s.update(), "no news")
	s.fleet.Servers[0] = Server{ID: "a1", Service: "s", Address: "a1:1", Zone: "a", Slots: 16, Version: 1, HoldsModel: true, StartTime: 7}
	s.update()
	s.fleet.Servers[0].StartTime = 9
	s.update()
	assert.False(t, s.core.Leaving(s.candidate("a1")), "another life")
}

// All servers of a service leave: requests are refused at once.
func TestServiceWhoseServersAllLeave(t *testing.T) {
	s := newScript(t, "a1", "a2")
	for _, id := range []string{"a1", "a2"} {
		s.core.RecordLeaving(s.candidate(id))
	}
	assert.Equal(t, 2, s.refused(s.request(), RefusedNoServer).Servers[excludedLeaving])
}

// BUDGET: a server that has asked for rest is sent nothing until that is over, and no shorter rest asked for later
// ends it. What it is asked at the end of it is an ordinary request.
func TestServerThatAsksForRestGetsNothing(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.core.members.started = epoch.Add(-time.Minute)
	assert.True(t, s.core.RecordBackoff(s.candidate("a1"), 3*time.Second, s.now))
	s.at(time.Second)
	assert.False(t, s.core.RecordBackoff(s.candidate("a1"), time.Second, s.now), "it rests already")
	s.at(2900 * time.Millisecond)
	for range 20 {
		s.served(s.request(), "a2")
	}
	tried := s.request()
	tried.Tried = []*Candidate{s.candidate("a2")}
	refusal := s.refused(tried, RefusedNoServer)
	assert.Equal(t, 1, refusal.Servers[excludedBackoff])
	assert.Equal(t, 100*time.Millisecond, refusal.RetryAfter, "the rest of the rest")
	s.at(3 * time.Second)
	s.served(tried, "a1")
}

// A server that rests is no candidate for the want of another either: not as an ejected one, nor for its trial.
func TestRestGoesBeforeHealth(t *testing.T) {
	s := newScript(t, "a1")
	s.core.RecordBackoff(s.candidate("a1"), time.Second, s.now)
	assert.Equal(t, 1, s.refused(s.request(), RefusedNoServer).Servers[excludedBackoff])
}

// What another entry tells holds like an answer of one's own, in the order in which servers have said it.
func TestWordsOfOthersOnWhatAServerAsks(t *testing.T) {
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
	assert.False(t, k.rateLimit.inForce(), "an older word by a longer way")
	s.core.ApplyNotice(ServerNotice{Server: "a1", Limited: true, PerSecond: 2}, at(3500*time.Millisecond), s.now)
	assert.True(t, k.rateLimit.inForce(), "a newer one")
	_, leaving := s.core.ApplyNotice(ServerNotice{Server: "a1", Leaving: true, Limited: true, PerSecond: 2}, at(3900*time.Millisecond), s.now)
	assert.True(t, leaving)
	_, leaving = s.core.ApplyNotice(ServerNotice{Server: "a1", Limited: true, PerSecond: 2}, at(3950*time.Millisecond), s.now)
	assert.False(t, leaving)
	assert.True(t, s.core.Leaving(k), "not taken back by an entry that has not heard of it")
}

// An entry that starts hears what servers ask before it has the list; words on another life of a server say nothing.
func TestWordsOnServersThatAreNotListedYet(t *testing.T) {
	s := newScript(t)
	s.core.members.started = epoch.Add(-time.Minute)
	s.core.ApplyNotice(ServerNotice{Server: "a1", StartTime: 5, Leaving: true}, s.now, s.now)
	s.core.ApplyNotice(ServerNotice{Server: "a2", StartTime: 5, Leaving: true}, s.now, s.now)
	s.core.ApplyNotice(ServerNotice{Server: "a3", Limited: true, PerSecond: 1}, s.now, s.now)
	for id, born := range map[string]incarnation.Born{"a1": 5, "a2": 6, "a3": 0} {
		s.fleet.Servers = append(s.fleet.Servers, Server{ID: id, Service: "s", Address: id + ":1", Zone: "a", Slots: 16, Version: 1, HoldsModel: true, StartTime: born})
	}
	s.update()
	assert.True(t, s.core.Leaving(s.candidate("a1")))
	assert.False(t, s.core.Leaving(s.candidate("a2")))
	assert.True(t, s.candidate("a3").rateLimit.inForce())
	s.core.ApplyNotice(ServerNotice{Server: "a2", StartTime: 5, Leaving: true}, s.now, s.now)
	assert.False(t, s.core.Leaving(s.candidate("a2")))
}
