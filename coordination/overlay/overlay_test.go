package overlay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const (
	testRelays  = 3
	testGates   = 2
	testFeeders = 2
	testRecent  = 4 * time.Second
	testMemory  = 12 * time.Second
)

var start = time.Unix(1000, 0)

func options(self, zone string) Options {
	return Options{Self: self, Zone: zone, Relays: testRelays, Gateways: testGates, Feeders: testFeeders, AliveTimeout: testRecent, MemberTTL: testMemory}
}

// zonesOf returns the members of a fleet with a number of members in each zone.
func zonesOf(counts ...int) map[string]string {
	zones := map[string]string{}
	for zone, count := range counts {
		for index := range count {
			zones[fmt.Sprintf("m%d-%02d", zone, index)] = fmt.Sprintf("z%d", zone)
		}
	}
	return zones
}

// pictures builds the overlay of each member, each of which knows all others.
func pictures(zones map[string]string) map[string]*Overlay {
	all := map[string]*Overlay{}
	for id, zone := range zones {
		all[id] = New(options(id, zone))
		for other, otherZone := range zones {
			all[id].Observe(other, MemberInfo{Zone: otherZone, LastSeen: start}, start)
		}
		all[id].Advance(start)
	}
	return all
}

func TestLinksOfAMemberDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{30, 150, 400} {
		for _, picture := range pictures(zonesOf(size/5, size/5, size/5, size/5, size/5)) {
			assert.LessOrEqual(t, len(picture.Peers()), testRelays+4*testGates)
		}
	}
}

// Every member reaches every other one over the links that either wants.
func TestOverlayIsConnected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var counts []int
		for range rapid.IntRange(1, 4).Draw(t, "zones") {
			counts = append(counts, rapid.IntRange(1, 12).Draw(t, "members"))
		}
		zones := zonesOf(counts...)
		assert.Len(t, reached(pictures(zones)), len(zones))
	})
}

// reached returns the members that news of one of them come to.
func reached(all map[string]*Overlay) map[string]bool {
	links := map[string]map[string]bool{}
	for id := range all {
		links[id] = map[string]bool{}
	}
	for id, picture := range all {
		for other := range picture.Peers() {
			if all[other] != nil {
				links[id][other], links[other][id] = true, true
			}
		}
	}
	found := map[string]bool{}
	var visit func(id string)
	visit = func(id string) {
		if found[id] {
			return
		}
		found[id] = true
		for other := range links[id] {
			visit(other)
		}
	}
	for id := range all {
		visit(id)
		break
	}
	return found
}

// Any number of members die, or are replaced, at once: those who live are connected
// again as soon as they have found out whom they don't reach.
func TestSurvivorsMeetAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := zonesOf(rapid.IntRange(1, 10).Draw(t, "first"), rapid.IntRange(1, 10).Draw(t, "second"), rapid.IntRange(1, 10).Draw(t, "third"))
		all := pictures(zones)
		for id := range zones {
			if len(all) > 1 && rapid.Bool().Draw(t, "dies "+id) {
				delete(all, id)
			}
		}
		now := start
		for range len(zones) + 1 {
			now = now.Add(100 * time.Millisecond)
			for _, picture := range all {
				for other := range picture.Peers() {
					if all[other] == nil {
						picture.Suspect(other, now)
					} else {
						picture.Observe(other, MemberInfo{Zone: zones[other], LastSeen: now}, now)
					}
				}
			}
			for _, picture := range all {
				picture.Advance(now)
			}
		}
		assert.Len(t, reached(all), len(all))
	})
}

// Two halves of a zone that have suspected each other still try to meet.
func TestSuspectedRelaysAreStillDialled(t *testing.T) {
	one := pictures(zonesOf(2))["m0-00"]
	one.Suspect("m0-01", start.Add(time.Second))
	one.Advance(start.Add(time.Second))
	assert.Zero(t, one.Rank())
	assert.Equal(t, map[string]bool{"m0-01": true}, one.Peers())
	one.Observe("m0-01", MemberInfo{Zone: "z0", LastSeen: start.Add(2 * time.Second)}, start.Add(2*time.Second))
	one.Advance(start.Add(2 * time.Second))
	assert.Len(t, one.zones["z0"], 2, "it counts as alive again")
}

// One zone is the first for everybody, and another one when its members are gone.
func TestZonesAreRanked(t *testing.T) {
	all := pictures(zonesOf(2, 2, 2))
	ranks := map[string]int{}
	for _, picture := range all {
		ranks[picture.options.Zone] = picture.ZoneRank()
	}
	assert.Len(t, ranks, 3)
	assert.ElementsMatch(t, []int{0, 1, 2}, []int{ranks["z0"], ranks["z1"], ranks["z2"]})
	for id, picture := range all {
		if ranks[picture.options.Zone] != 1 {
			continue
		}
		for other := range all {
			if ranks[all[other].options.Zone] == 0 {
				picture.Suspect(other, start.Add(time.Second))
			}
		}
		picture.Advance(start.Add(time.Second))
		assert.Zero(t, picture.ZoneRank(), id)
	}
}

func TestMembersWithoutSignsAreForgotten(t *testing.T) {
	one := pictures(zonesOf(3))["m0-00"]
	one.Advance(start.Add(testMemory + time.Second))
	assert.Zero(t, one.Count())
	assert.Empty(t, one.Peers())
	assert.False(t, one.Observe("m0-09", MemberInfo{Zone: "z0", LastSeen: start}, start.Add(testMemory+time.Second)), "an old sign brings nobody back")
}

// Every follower has its feeders among the relays of its zone, no relay feeds many
// more followers than the others, and without a member of its zone gates feed it.
func TestFeeders(t *testing.T) {
	one := pictures(zonesOf(30, 30))["m0-00"]
	fed := map[string]int{}
	const followers = 300
	for index := range followers {
		feeders := one.Feeders(fmt.Sprintf("f%d", index), "z0")
		assert.Len(t, feeders, testFeeders)
		for _, feeder := range feeders {
			assert.Contains(t, one.relays("z0"), feeder)
			fed[feeder]++
		}
	}
	fair := followers * testFeeders / testRelays
	for relay, count := range fed {
		assert.InDelta(t, fair, count, 0.25*float64(fair), relay)
	}
	assert.Len(t, one.Feeders("lonely", "nowhere"), testFeeders)
}

func BenchmarkAdvance(b *testing.B) {
	for _, size := range []int{30, 150, 400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			one := pictures(zonesOf(size/5, size/5, size/5, size/5, size/5))["m0-00"]
			for b.Loop() {
				one.Advance(start)
			}
		})
	}
}

// A member that is known by its address only need not know of this one: it is not left to it to
// make the link.
func TestMemberOfUnknownZoneIsNotMutual(t *testing.T) {
	o := New(options("m1", "z0"))
	o.Observe("m0", MemberInfo{LastSeen: start}, start)
	o.Advance(start)
	assert.False(t, o.IsMutualPeer("m0"))
	o.Observe("m0", MemberInfo{Zone: "z0", LastSeen: start}, start)
	o.Advance(start)
	assert.True(t, o.IsMutualPeer("m0"))
	assert.False(t, o.IsMutualPeer("m2"), "not known at all")
}
