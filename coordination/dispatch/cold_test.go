package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/sharing"
)

// coldFleet returns a service with a server in each of two zones. Each has a capacity of 26 requests a
// second; a cold one may receive 1.5 times that plus 5.
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

// coldCore returns the core of one of a number of entries, some time after its start.
func coldCore(self string, members int) *Core {
	core := testCore("za", nil)
	var names []string
	for index := range members {
		if name := fmt.Sprintf("entry-%d", index); name != self {
			names = append(names, name)
		}
	}
	core.members = newMemberSet(sharing.Member{ID: self}, epoch.Add(-2*sharing.SettleTime))
	core.SetEntries(membersOf(names...), epoch)
	return core
}

// membersOf returns entries by their names. The first two are in the zones of the scripts that have no other
// entry.
func membersOf(names ...string) []sharing.Member {
	zones := map[string]string{"entry-1": "b", "entry-2": "c"}
	members := make([]sharing.Member, 0, len(names))
	for _, name := range names {
		members = append(members, sharing.Member{ID: name, Zone: zones[name]})
	}
	return members
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

// EVAC: nothing is sent to an evacuated zone, and its servers count as cold when the evacuation is revoked.
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

// FAILBACK: all entries together send a cold server at most its cold rate, even if there are more entries
// than requests allowed, and nearly as many as the rate allows if all entries have requests.
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
		assert.Equal(t, 39, total, "%d entries use nine tenths of the cold rate", entries)
	}
}

// FAILBACK: requests sent to a server just before it became cold count.
func TestRequestsBeforeAServerBecameColdCount(t *testing.T) {
	now := epoch
	core := coldCore("entry-0", 1)
	core.Update(coldFleet(time.Time{}, "zb"), now)
	assert.Equal(t, 60, chosenServers(core, 60, now)["a"])
	core.Update(coldFleet(now.Add(time.Minute), "zb"), now)
	assert.Empty(t, chosenServers(core, 10, now))
}

// An entry that does not know the others yet takes a cautious share; an entry that is no longer seen keeps
// its share for a while.
func TestSharesOfUnknownAndSilentEntries(t *testing.T) {
	now := epoch
	core := coldCore("entry-0", 1)
	core.members.started = now
	core.Update(coldFleet(now.Add(time.Minute), "zb"), now)
	assert.LessOrEqual(t, chosenServers(core, 60, now)["a"], 39/sharing.AssumedMembers+1)

	members := membersOf("entry-1", "entry-2")
	cold := newMemberSet(sharing.Member{ID: "entry-0"}, now.Add(-time.Minute))
	share := func(at time.Time) int {
		cold.update(members, at)
		return cold.share("a", 39, at)
	}
	assert.Equal(t, 13, share(now))
	members = nil
	assert.Equal(t, 13, share(now.Add(sharing.MemberTTL/2)))
	assert.Equal(t, 39, share(now.Add(2*sharing.MemberTTL)))
}

// Without a cold rate, cold servers are treated like others.
func TestColdServersWithoutAColdRate(t *testing.T) {
	now := epoch
	core := coldCore("entry-0", 10)
	fleet := coldFleet(now.Add(time.Minute), "zb")
	fleet.Services = map[string]Service{"s": {ColdTime: 3 * time.Second}}
	core.Update(fleet, now)
	assert.Equal(t, 60, chosenServers(core, 60, now)["a"])
}

// The other entries matter only while a server is cold, and are looked up a few times a second then.
func TestEntriesAreLookedUpWhileAServerIsCold(t *testing.T) {
	now := epoch
	core := testCore("za", nil)
	core.Update(coldFleet(time.Time{}), now)
	assert.False(t, core.EntryLookupDue(now))
	core.Update(coldFleet(now.Add(time.Second)), now)
	assert.True(t, core.EntryLookupDue(now))
	core.SetEntries(membersOf("entry-1"), now)
	assert.False(t, core.EntryLookupDue(now.Add(sharing.LookupInterval-1)))
	assert.True(t, core.EntryLookupDue(now.Add(sharing.LookupInterval)))
	assert.False(t, core.EntryLookupDue(now.Add(time.Second)), "warm again")

	later := now.Add(time.Minute)
	core.ApplyReport(LoadReport{Address: "10.0.0.2:1", Reachable: true, ColdFor: time.Second}, later)
	assert.True(t, core.EntryLookupDue(later), "by an agent's report")
	assert.False(t, core.EntryLookupDue(later.Add(time.Second)))
	later = now.Add(2 * time.Minute)
	core.RecordCold(core.byID["b"], time.Second, later)
	assert.True(t, core.EntryLookupDue(later), "by an answer")
	assert.False(t, core.EntryLookupDue(later.Add(time.Second)))
}

// FAILBACK: an entry without a server's list entry learns from the server's agent that it is cold, and how
// much all entries have sent it.
func TestAgentReportsThatAServerIsCold(t *testing.T) {
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

// A server's own answer says that it is cold before its list entry arrives. A faulty answer makes it cold for
// no longer than a start does.
func TestAnswersReportThatAServerIsCold(t *testing.T) {
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

// While entries are looked up after a long time, as many are assumed as after a start: requests do not wait
// for the lookup, and one must not take a server's whole limit for its own entry's share.
func TestPendingLookupAfterLongAssumesManyEntries(t *testing.T) {
	members := newMemberSet(sharing.Member{ID: "entry-1"}, epoch)
	later := epoch.Add(time.Hour)
	members.counted.BeginLookup()
	cautiousShare := members.share("a1", 32, later)
	assert.LessOrEqual(t, cautiousShare, 2)
	members.update(membersOf("entry-2"), later)
	knownShare := members.share("a1", 32, later)
	assert.Greater(t, knownShare, cautiousShare)
	members.counted.BeginLookup()
	assert.Equal(t, knownShare, members.share("a1", 32, later.Add(sharing.MemberTTL)))
	assert.Equal(t, cautiousShare, members.share("a1", 32, later.Add(sharing.MemberTTL+1)))
}
