package overlay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const (
	testRelays       = 3
	testGateways     = 2
	testFeeders      = 2
	testAliveTimeout = 4 * time.Second
	testMemberTTL    = 12 * time.Second
)

var start = time.Unix(1000, 0)

func options(self, zone string) Options {
	return Options{Self: self, Zone: zone, Relays: testRelays, Gateways: testGateways, Feeders: testFeeders, AliveTimeout: testAliveTimeout, MemberTTL: testMemberTTL}
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

// buildOverlays returns the overlay of each member; each knows all others.
func buildOverlays(zones map[string]string) map[string]*Overlay {
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

func TestPeerCountDoesNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{30, 150, 400} {
		for _, overlay := range buildOverlays(zonesOf(size/5, size/5, size/5, size/5, size/5)) {
			assert.LessOrEqual(t, len(overlay.Peers()), testRelays+4*testGateways)
		}
	}
}

// Every member reaches every other one over the links that either side opens.
func TestOverlayIsConnected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var counts []int
		for range rapid.IntRange(1, 4).Draw(t, "zones") {
			counts = append(counts, rapid.IntRange(1, 12).Draw(t, "members"))
		}
		zones := zonesOf(counts...)
		assert.Len(t, reachableMembers(buildOverlays(zones)), len(zones))
	})
}

// reachableMembers returns the members that an update from one of them reaches.
func reachableMembers(all map[string]*Overlay) map[string]bool {
	links := map[string]map[string]bool{}
	for id := range all {
		links[id] = map[string]bool{}
	}
	for id, overlay := range all {
		for other := range overlay.Peers() {
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

// After any number of members fail at once, the survivors are connected again as soon
// as they have detected which members are unreachable.
func TestSurvivorsReconnect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := zonesOf(rapid.IntRange(1, 10).Draw(t, "first"), rapid.IntRange(1, 10).Draw(t, "second"), rapid.IntRange(1, 10).Draw(t, "third"))
		all := buildOverlays(zones)
		for id := range zones {
			if len(all) > 1 && rapid.Bool().Draw(t, "dies "+id) {
				delete(all, id)
			}
		}
		now := start
		for range len(zones) + 1 {
			now = now.Add(100 * time.Millisecond)
			for _, overlay := range all {
				for other := range overlay.Peers() {
					if all[other] == nil {
						overlay.Suspect(other, now)
					} else {
						overlay.Observe(other, MemberInfo{Zone: zones[other], LastSeen: now}, now)
					}
				}
			}
			for _, overlay := range all {
				overlay.Advance(now)
			}
		}
		assert.Len(t, reachableMembers(all), len(all))
	})
}

// Members of a zone that suspect each other keep trying to connect.
func TestSuspectedRelaysAreStillDialled(t *testing.T) {
	overlay := buildOverlays(zonesOf(2))["m0-00"]
	overlay.Suspect("m0-01", start.Add(time.Second))
	overlay.Advance(start.Add(time.Second))
	assert.Zero(t, overlay.Rank())
	assert.Equal(t, map[string]bool{"m0-01": true}, overlay.Peers())
	overlay.Observe("m0-01", MemberInfo{Zone: "z0", LastSeen: start.Add(2 * time.Second)}, start.Add(2*time.Second))
	overlay.Advance(start.Add(2 * time.Second))
	assert.Len(t, overlay.aliveByZone["z0"], 2, "it counts as alive again")
}

// All members rank the zones alike, and the next zone becomes the first when all members
// of the first are suspected.
func TestZonesAreRanked(t *testing.T) {
	all := buildOverlays(zonesOf(2, 2, 2))
	ranks := map[string]int{}
	for _, overlay := range all {
		ranks[overlay.options.Zone] = overlay.ZoneRank()
	}
	assert.Len(t, ranks, 3)
	assert.ElementsMatch(t, []int{0, 1, 2}, []int{ranks["z0"], ranks["z1"], ranks["z2"]})
	for id, overlay := range all {
		if ranks[overlay.options.Zone] != 1 {
			continue
		}
		for other := range all {
			if ranks[all[other].options.Zone] == 0 {
				overlay.Suspect(other, start.Add(time.Second))
			}
		}
		overlay.Advance(start.Add(time.Second))
		assert.Zero(t, overlay.ZoneRank(), id)
	}
}

func TestSilentMembersExpire(t *testing.T) {
	overlay := buildOverlays(zonesOf(3))["m0-00"]
	overlay.Advance(start.Add(testMemberTTL + time.Second))
	assert.Zero(t, overlay.Count())
	assert.Empty(t, overlay.Peers())
	assert.False(t, overlay.Observe("m0-09", MemberInfo{Zone: "z0", LastSeen: start}, start.Add(testMemberTTL+time.Second)), "an expired heartbeat does not add a member")
}

// The feeders of a follower are relays of its zone, no relay feeds many more followers
// than the others, and gateways feed it when its zone has no live members.
func TestFeeders(t *testing.T) {
	overlay := buildOverlays(zonesOf(30, 30))["m0-00"]
	fed := map[string]int{}
	const followers = 300
	for index := range followers {
		feeders := overlay.Feeders(fmt.Sprintf("f%d", index), "z0")
		assert.Len(t, feeders, testFeeders)
		for _, feeder := range feeders {
			assert.Contains(t, overlay.relays("z0"), feeder)
			fed[feeder]++
		}
	}
	fair := followers * testFeeders / testRelays
	for relay, count := range fed {
		assert.InDelta(t, fair, count, 0.25*float64(fair), relay)
	}
	assert.Len(t, overlay.Feeders("lonely", "nowhere"), testFeeders)
}

func BenchmarkAdvance(b *testing.B) {
	for _, size := range []int{30, 150, 400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			overlay := buildOverlays(zonesOf(size/5, size/5, size/5, size/5, size/5))["m0-00"]
			for b.Loop() {
				overlay.Advance(start)
			}
		})
	}
}

// A member of which only the address is known may not know this one, so this one must not
// wait for it to open the link.
func TestMemberOfUnknownZoneIsNotMutualPeer(t *testing.T) {
	o := New(options("m1", "z0"))
	o.Observe("m0", MemberInfo{LastSeen: start}, start)
	o.Advance(start)
	assert.False(t, o.IsMutualPeer("m0"))
	o.Observe("m0", MemberInfo{Zone: "z0", LastSeen: start}, start)
	o.Advance(start)
	assert.True(t, o.IsMutualPeer("m0"))
	assert.False(t, o.IsMutualPeer("m2"), "not known at all")
}
