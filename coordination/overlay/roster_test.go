package overlay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Two processes that know the same members refresh each other's signs by one bound a zone.
func TestRosterRefreshesTheSameMembers(t *testing.T) {
	all := pictures(zonesOf(3, 3))
	teller, told := all["m0-00"], all["m0-01"]
	now := start.Add(2 * time.Second)
	for _, id := range []string{"m0-01", "m0-02", "m1-00", "m1-01", "m1-02"} {
		teller.Observe(id, MemberInfo{LastSeen: now.Add(-100 * time.Millisecond)}, now)
	}
	teller.Advance(now)
	told.Advance(now)
	assert.Equal(t, teller.Digest(), told.Digest())
	roster := teller.Roster(now)
	assert.Equal(t, []time.Duration{100 * time.Millisecond, 100 * time.Millisecond}, roster.Ages)
	assert.Empty(t, roster.OutlierAges)
	assert.True(t, told.ApplyRoster(roster, now))
	for _, id := range []string{"m0-00", "m0-02", "m1-00", "m1-01", "m1-02"} {
		assert.Equal(t, now.Add(-100*time.Millisecond), told.Members()[id].LastSeen, id)
	}
}

// A member that is not heard any more does not age the others, and is not refreshed with them.
func TestLateMemberIsToldByItself(t *testing.T) {
	all := pictures(zonesOf(5))
	teller, told := all["m0-00"], all["m0-01"]
	now := start.Add(3 * time.Second)
	for _, id := range []string{"m0-01", "m0-02", "m0-03"} {
		teller.Observe(id, MemberInfo{LastSeen: now}, now)
	}
	teller.Advance(now)
	told.Advance(now)
	roster := teller.Roster(now)
	assert.Equal(t, map[string]time.Duration{"m0-04": 3 * time.Second}, roster.OutlierAges)
	assert.True(t, told.ApplyRoster(roster, now))
	assert.Equal(t, now, told.Members()["m0-02"].LastSeen)
	assert.Equal(t, start, told.Members()["m0-04"].LastSeen)
}

// Processes that know different members, or the same one otherwise, do not take each other's ages.
func TestRosterOfOthersIsNotTaken(t *testing.T) {
	now := start.Add(time.Second)
	for name, change := range map[string]func(*Overlay){
		"one more":         func(o *Overlay) { o.Observe("m0-09", MemberInfo{Zone: "z0", LastSeen: now}, now) },
		"another zone":     func(o *Overlay) { o.Observe("m0-02", MemberInfo{Zone: "z1", LastSeen: now}, now) },
		"another capacity": func(o *Overlay) { o.Observe("m0-02", MemberInfo{Capacity: 4, LastSeen: now}, now) },
	} {
		all := pictures(zonesOf(3))
		teller, told := all["m0-00"], all["m0-01"]
		change(teller)
		teller.Advance(now)
		told.Advance(now)
		assert.False(t, told.ApplyRoster(teller.Roster(now), now), name)
		assert.Equal(t, start, told.Members()["m0-02"].LastSeen, name)
	}
}

// However processes refresh each other, none takes a member for younger than it is, so that one that
// is gone is forgotten everywhere.
func TestRostersNeverMakeAMemberYounger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := zonesOf(3, 2)
		all := pictures(zones)
		gone := "m1-01"
		delete(all, gone)
		heard := map[string]time.Time{gone: start}
		now := start
		ids := []string{"m0-00", "m0-01", "m0-02", "m1-00"}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * time.Millisecond)
			from, to := rapid.SampledFrom(ids).Draw(t, "from"), rapid.SampledFrom(ids).Draw(t, "to")
			if from == to {
				continue
			}
			heard[from] = now
			all[to].Observe(from, MemberInfo{Zone: zones[from], LastSeen: now}, now)
			all[from].Advance(now)
			all[to].Advance(now)
			all[to].ApplyRoster(all[from].Roster(now), now)
			for id, sign := range all[to].Members() {
				if last, known := heard[id]; known {
					assert.False(t, sign.LastSeen.After(last), "%s takes %s for heard at %s, last word at %s", to, id, sign.LastSeen, last)
				}
			}
		}
	})
}

// Relays are the members whose machines carry most, whatever their hashes, and those of the next
// class when they are gone: a relay's traffic grows with its zone.
func TestRelaysAreThoseThatCarryMost(t *testing.T) {
	const size, strong = 70, 7
	one := New(options("m0-00", "z0"))
	for index := 1; index < size; index++ {
		capacity := 3
		if index <= strong {
			capacity = 7
		}
		one.Observe(fmt.Sprintf("m0-%02d", index), MemberInfo{Zone: "z0", LastSeen: start, Capacity: capacity}, start)
	}
	one.Advance(start)
	relays := one.relays("z0")
	assert.Len(t, relays, testRelays)
	for _, id := range relays {
		assert.Equal(t, 7, one.capacity(id), id)
	}
	for index := 1; index <= strong; index++ {
		one.Suspect(fmt.Sprintf("m0-%02d", index), start.Add(time.Millisecond))
	}
	one.Advance(start.Add(time.Millisecond))
	assert.Len(t, one.relays("z0"), testRelays)
	for _, id := range one.relays("z0") {
		assert.NotEqual(t, 7, one.capacity(id), id)
	}
}
