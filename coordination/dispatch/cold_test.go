package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// coldFleet is what an entry knows of one service with a server in each of two zones. A cold
// server is made for 26 requests a second, and may receive 1.5 times that and 5.
func coldFleet(coldUntil time.Time, evacuated ...string) Fleet {
	return Fleet{
		Services: map[string]Service{"s": {ColdRate: 1.5*26 + 5, ColdTime: 3 * time.Second}},
		Servers: []Server{
			{ID: "a", Service: "s", Address: "10.0.0.1:1", Zone: "za", Slots: 4, ColdUntil: coldUntil},
			{ID: "b", Service: "s", Address: "10.0.0.2:1", Zone: "zb", Slots: 4},
		},
		Evacuated: evacuated,
	}
}

// coldCore is the core of an entry among a number of entries, some time after its start.
func coldCore(self string, members int) *Core {
	core := testCore("za", nil)
	var names []string
	for index := range members {
		if name := fmt.Sprintf("entry-%d", index); name != self {
			names = append(names, name)
		}
	}
	core.members = newMemberSet(self, epoch.Add(-2*settleTime))
	core.SetEntries(names, epoch)
	return core
}

func chosenServers(core *Core, count int, now time.Time) map[string]int {
	servers := map[string]int{}
	for range count {
		if decision, refusal := core.Choose(&Request{Service: "s", Target: time.Second}, now); refusal == nil {
			servers[decision.Candidate.ID]++
			core.Release(decision.Send)
		}
	}
	return servers
}

// EVAC: nothing is sent into an evacuated zone, and the zone's servers count as cold when
// that is taken back.
func TestEvacuatedZoneIsNotChosen(t *testing.T) {
	now := epoch
	core := coldCore("entry-0", 40)
	core.Update(coldFleet(time.Time{}), now)
	assert.Positive(t, chosenServers(core, 50, now)["a"])
	core.Update(coldFleet(time.Time{}, "za"), now)
	assert.Equal(t, map[string]int{"b": 50}, chosenServers(core, 50, now))
	assert.True(t, core.Evacuated(core.byID["a"].Zone))
	core.Update(coldFleet(time.Time{}), now)
	assert.True(t, core.byID["a"].cold(now))
	assert.False(t, core.byID["a"].cold(now.Add(3*time.Second)))
	assert.False(t, core.byID["b"].cold(now))
}

// FAILBACK: over all entries, a cold server is sent no more in a second than it bears, also
// when there are more entries than it bears requests, and nearly that if all have some.
func TestEntriesShareAColdServer(t *testing.T) {
	now := epoch
	for _, entries := range []int{1, 3, 44, 300} {
		total := 0
		for index := range entries {
			core := coldCore(fmt.Sprintf("entry-%d", index), entries)
			core.Update(coldFleet(now.Add(time.Minute), "zb"), now)
			total += chosenServers(core, 60, now)["a"]
		}
		assert.LessOrEqual(t, total, 44, "%d entries", entries)
		assert.Equal(t, 39, total, "%d entries use nine tenths of the bound", entries)
	}
}

// FAILBACK: what a server was sent just before it became cold counts.
func TestRequestsBeforeAServerBecameColdCount(t *testing.T) {
	now := epoch
	core := coldCore("entry-0", 1)
	core.Update(coldFleet(time.Time{}, "zb"), now)
	assert.Equal(t, 60, chosenServers(core, 60, now)["a"])
	core.Update(coldFleet(now.Add(time.Minute), "zb"), now)
	assert.Empty(t, chosenServers(core, 10, now))
}

// An entry that does not know the others yet takes a cautious share; one that is heard of no
// more keeps its share for a while.
func TestSharesOfUnknownAndSilentEntries(t *testing.T) {
	now := epoch
	core := coldCore("entry-0", 1)
	core.members.started = now
	core.Update(coldFleet(now.Add(time.Minute), "zb"), now)
	assert.LessOrEqual(t, chosenServers(core, 60, now)["a"], 39/assumedMembers+1)

	members := []string{"entry-1", "entry-2"}
	cold := newMemberSet("entry-0", now.Add(-time.Minute))
	share := func(at time.Time) int {
		cold.update(members, at)
		return cold.share("a", 39, at)
	}
	assert.Equal(t, 13, share(now))
	members = nil
	assert.Equal(t, 13, share(now.Add(memberTTL/2)))
	assert.Equal(t, 39, share(now.Add(2*memberTTL)))
}

// Without a bound, cold servers are servers like others.
func TestColdServersWithoutABound(t *testing.T) {
	now := epoch
	core := coldCore("entry-0", 10)
	unbounded := coldFleet(now.Add(time.Minute), "zb")
	unbounded.Services = map[string]Service{"s": {ColdTime: 3 * time.Second}}
	core.Update(unbounded, now)
	assert.Equal(t, 60, chosenServers(core, 60, now)["a"])
}

// Who the other entries are matters only while a server is cold, and is told a few times a second
// then.
func TestEntriesAreToldWhileAServerIsCold(t *testing.T) {
	now := epoch
	core := testCore("za", nil)
	core.Update(coldFleet(time.Time{}), now)
	assert.False(t, core.EntryLookupDue(now))
	core.Update(coldFleet(now.Add(time.Second)), now)
	assert.True(t, core.EntryLookupDue(now))
	core.SetEntries([]string{"entry-1"}, now)
	assert.False(t, core.EntryLookupDue(now.Add(lookupInterval-1)))
	assert.True(t, core.EntryLookupDue(now.Add(lookupInterval)))
	assert.False(t, core.EntryLookupDue(now.Add(time.Second)), "warm again")

	later := now.Add(time.Minute)
	core.ApplyReport(LoadReport{Address: "10.0.0.2:1", Reachable: true, ColdFor: time.Second}, later)
	assert.True(t, core.EntryLookupDue(later), "by the word of an agent")
	assert.False(t, core.EntryLookupDue(later.Add(time.Second)))
	later = now.Add(2 * time.Minute)
	core.RecordCold(core.byID["b"], time.Second, later)
	assert.True(t, core.EntryLookupDue(later), "by an answer")
	assert.False(t, core.EntryLookupDue(later.Add(time.Second)))
}

// FAILBACK: an entry that has not heard of a server's line hears from the server's agent that
// it is cold, and what all entries have sent it.
func TestAgentTellsThatAServerIsCold(t *testing.T) {
	now := epoch
	for _, tc := range []struct {
		name     string
		received int
		sent     int
	}{
		{name: "nothing received: its share", received: 0, sent: 10},
		{name: "some received: what is left", received: 33, sent: 6},
		{name: "all received", received: 39, sent: 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			core := coldCore("entry-0", 4)
			core.Update(coldFleet(time.Time{}, "zb"), now)
			core.ApplyReport(LoadReport{Address: "10.0.0.1:1", Reachable: true, ColdFor: time.Second, Received: tc.received}, now)
			assert.True(t, core.byID["a"].cold(now))
			assert.InDelta(t, tc.sent, chosenServers(core, 60, now.Add(10*time.Millisecond))["a"], 1)
			assert.False(t, core.byID["a"].cold(now.Add(time.Second)), "for as long as the agent says")
		})
	}
}

// A server's own answer says that it is cold, before its line is heard; a faulty one makes it
// cold for no longer than a start does.
func TestAnswersTellThatAServerIsCold(t *testing.T) {
	now := epoch
	core := coldCore("entry-0", 1)
	core.Update(coldFleet(time.Time{}), now)
	server := core.byID["a"]
	core.RecordCold(server, 0, now)
	assert.False(t, server.cold(now))
	core.RecordCold(server, 800*time.Millisecond, now)
	assert.True(t, server.cold(now.Add(799*time.Millisecond)))
	assert.False(t, server.cold(now.Add(800*time.Millisecond)))
	core.RecordCold(server, time.Hour, now)
	assert.True(t, server.cold(now.Add(2999*time.Millisecond)))
	assert.False(t, server.cold(now.Add(3*time.Second)))
}

// Entries that are asked for after a long time are taken for as many as after a start: a request that
// does not wait for the answer does not take a server's whole limit for its own entry's.
func TestEntriesAskedForAfterLongAreManyAtTheLeast(t *testing.T) {
	members := newMemberSet("entry-1", epoch)
	later := epoch.Add(time.Hour)
	members.lookupPending = true
	cautious := members.share("a1", 32, later)
	assert.LessOrEqual(t, cautious, 2)
	members.update([]string{"entry-2"}, later)
	known := members.share("a1", 32, later)
	assert.Greater(t, known, cautious)
	members.lookupPending = true
	assert.Equal(t, known, members.share("a1", 32, later.Add(memberTTL)))
	assert.Equal(t, cautious, members.share("a1", 32, later.Add(memberTTL+1)))
}
