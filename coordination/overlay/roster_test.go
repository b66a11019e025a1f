package overlay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Two processes that know the same members refresh each other's heartbeat times with one upper bound
// of the ages per zone.
func TestRosterRefreshesTheSameMembers(t *testing.T) {
	all := buildOverlays(zonesOf(3, 3))
	reporter, receiver := all["m0-00"], all["m0-01"]
	now := start.Add(2 * time.Second)
	for _, id := range []string{"m0-01", "m0-02", "m1-00", "m1-01", "m1-02"} {
		reporter.Observe(id, MemberInfo{LastSeen: now.Add(-100 * time.Millisecond)}, now)
	}
	reporter.Advance(now)
	receiver.Advance(now)
	assert.Equal(t, reporter.Digest(), receiver.Digest())
	roster := reporter.Roster(now)
	assert.Equal(t, []time.Duration{100 * time.Millisecond, 100 * time.Millisecond}, roster.Ages)
	assert.Empty(t, roster.OutlierAges)
	assert.True(t, receiver.ApplyRoster(roster, now))
	for _, id := range []string{"m0-00", "m0-02", "m1-00", "m1-01", "m1-02"} {
		assert.Equal(t, now.Add(-100*time.Millisecond), receiver.Members()[id].LastSeen, id)
	}
}

// A member that stopped sending heartbeats does not raise the age of the others, and is not
// refreshed with them.
func TestOutlierAgeIsSentIndividually(t *testing.T) {
	all := buildOverlays(zonesOf(5))
	reporter, receiver := all["m0-00"], all["m0-01"]
	now := start.Add(3 * time.Second)
	for _, id := range []string{"m0-01", "m0-02", "m0-03"} {
		reporter.Observe(id, MemberInfo{LastSeen: now}, now)
	}
	reporter.Advance(now)
	receiver.Advance(now)
	roster := reporter.Roster(now)
	assert.Equal(t, map[string]time.Duration{"m0-04": 3 * time.Second}, roster.OutlierAges)
	assert.True(t, receiver.ApplyRoster(roster, now))
	assert.Equal(t, now, receiver.Members()["m0-02"].LastSeen)
	assert.Equal(t, start, receiver.Members()["m0-04"].LastSeen)
}

// Processes that know different members, or disagree on a member's zone or capacity, do not apply
// each other's ages.
func TestRosterOfOtherMembersIsNotApplied(t *testing.T) {
	now := start.Add(time.Second)
	for name, change := range map[string]func(*Overlay){
		"one more":         func(o *Overlay) { o.Observe("m0-09", MemberInfo{Zone: "z0", LastSeen: now}, now) },
		"another zone":     func(o *Overlay) { o.Observe("m0-02", MemberInfo{Zone: "z1", LastSeen: now}, now) },
		"another capacity": func(o *Overlay) { o.Observe("m0-02", MemberInfo{Capacity: 4, LastSeen: now}, now) },
	} {
		all := buildOverlays(zonesOf(3))
		reporter, receiver := all["m0-00"], all["m0-01"]
		change(reporter)
		reporter.Advance(now)
		receiver.Advance(now)
		assert.False(t, receiver.ApplyRoster(reporter.Roster(now), now), name)
		assert.Equal(t, start, receiver.Members()["m0-02"].LastSeen, name)
	}
}

// However processes exchange rosters, none records a later heartbeat than a member has sent, so that
// a removed member expires everywhere.
func TestRostersNeverMakeAMemberYounger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := zonesOf(3, 2)
		all := buildOverlays(zones)
		removed := "m1-01"
		delete(all, removed)
		lastSeen := map[string]time.Time{removed: start}
		now := start
		ids := []string{"m0-00", "m0-01", "m0-02", "m1-00"}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * time.Millisecond)
			from, to := rapid.SampledFrom(ids).Draw(t, "from"), rapid.SampledFrom(ids).Draw(t, "to")
			if from == to {
				continue
			}
			lastSeen[from] = now
			all[to].Observe(from, MemberInfo{Zone: zones[from], LastSeen: now}, now)
			all[from].Advance(now)
			all[to].Advance(now)
			all[to].ApplyRoster(all[from].Roster(now), now)
			for id, info := range all[to].Members() {
				if last, known := lastSeen[id]; known {
					assert.False(t, info.LastSeen.After(last), "%s has the last heartbeat of %s at %s, it was sent at %s", to, id, info.LastSeen, last)
				}
			}
		}
	})
}

// Relays are the members of the largest capacity, whatever their hashes, and those of the next
// capacity when these fail: a relay's traffic grows with its zone.
func TestRelaysHaveTheLargestCapacity(t *testing.T) {
	const size, large = 70, 7
	overlay := New(options("m0-00", "z0"))
	for index := 1; index < size; index++ {
		capacity := 3
		if index <= large {
			capacity = 7
		}
		overlay.Observe(fmt.Sprintf("m0-%02d", index), MemberInfo{Zone: "z0", LastSeen: start, Capacity: capacity}, start)
	}
	overlay.Advance(start)
	relays := overlay.relays("z0")
	assert.Len(t, relays, testRelays)
	for _, id := range relays {
		assert.Equal(t, 7, overlay.capacity(id), id)
	}
	for index := 1; index <= large; index++ {
		overlay.Suspect(fmt.Sprintf("m0-%02d", index), start.Add(time.Millisecond))
	}
	overlay.Advance(start.Add(time.Millisecond))
	assert.Len(t, overlay.relays("z0"), testRelays)
	for _, id := range overlay.relays("z0") {
		assert.NotEqual(t, 7, overlay.capacity(id), id)
	}
}
