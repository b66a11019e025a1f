// Package overlay computes which processes of a fleet connect to each other. Each
// zone has a few relays, picked by rendezvous hashing among its live members. Every
// member links to the relays of its zone, the relays that are gateways link to the
// gateways of other zones, and each follower (a process that only receives) is fed by
// some of the relays of its zone. The number of links of a member that is not a relay
// does not grow with the fleet. There is no leader: each process works from the
// heartbeats that it has received. The package does no I/O and reads no clock.
package overlay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/placement"
)

// Options configures a member's overlay.
type Options struct {
	// Self is the ID of this member, Zone its zone.
	Self string
	Zone string
	// Relays is how many members of each zone relay the messages of its members; Gateways
	// is how many of these link to the gateways of other zones.
	Relays   int
	Gateways int
	// Feeders is how many relays feed each follower.
	Feeders int
	// AliveTimeout is how long after its last heartbeat a member counts as alive, unless
	// it is suspected.
	AliveTimeout time.Duration
	// MemberTTL is how long a member is kept after its last heartbeat.
	MemberTTL time.Duration
	// Capacity is the capacity of this member, as in MemberInfo.
	Capacity int
}

// MemberInfo is what is known of a member: its zone, which is empty while only the
// address is known, and the time of its last heartbeat.
type MemberInfo struct {
	Zone     string
	LastSeen time.Time
	// Capacity ranks members by the capacity of their machines, higher first; 0 is unknown.
	Capacity int
}

type member struct {
	MemberInfo
	// suspectedAt is when the member last failed to answer this process.
	suspectedAt time.Time
	// alive and inRoster say whether the member counted as alive, and was part of the
	// roster, at the last Advance.
	alive    bool
	inRoster bool
	// hash is the member's part of the digest.
	hash uint64
}

// Overlay is one member's view of the fleet. It is not safe for concurrent use.
type Overlay struct {
	options Options
	members map[string]*member
	// joins counts the members added so far.
	joins uint64
	// infoChanged is set when a member's zone or capacity has changed since the last Advance.
	infoChanged bool
	// digest identifies the members of the roster at the last Advance.
	digest uint64
	// aliveByZone holds the live members of each zone in rank order, and always includes
	// this member.
	aliveByZone map[string][]string
	// knownByZone holds all known members, alive or not, in the same way.
	knownByZone map[string][]string
	// zoneRank is the rank of this member's zone among the zones with live members.
	zoneRank int
	// feeders caches the feeders of each follower until the set of live members changes.
	feeders map[string][]string
}

// New returns the overlay of a member that knows no other members.
func New(options Options) *Overlay {
	o := &Overlay{options: options, members: map[string]*member{}}
	o.digest = o.ownHash()
	o.rankMembers()
	return o
}

// Observe records information about a member, and reports whether the member was
// unknown before. An empty zone or an unknown capacity does not replace a known one.
func (o *Overlay) Observe(id string, info MemberInfo, now time.Time) bool {
	if id == o.options.Self || id == "" {
		return false
	}
	m, exists := o.members[id]
	if !exists {
		if now.Sub(info.LastSeen) > o.options.MemberTTL {
			return false
		}
		m = &member{}
		o.members[id] = m
		o.joins++
	}
	m.updateInfo(id, info, o)
	if info.LastSeen.After(m.LastSeen) {
		m.LastSeen = info.LastSeen
	}
	return !exists
}

// updateInfo updates a member's zone and capacity.
func (m *member) updateInfo(id string, info MemberInfo, o *Overlay) {
	before := m.MemberInfo
	m.Zone = cmp.Or(info.Zone, before.Zone)
	m.Capacity = cmp.Or(info.Capacity, before.Capacity)
	if m.Zone == before.Zone && m.Capacity == before.Capacity {
		return
	}
	m.hash = memberHash(id, m.MemberInfo)
	o.infoChanged = true
}

func (o *Overlay) ownHash() uint64 {
	return memberHash(o.options.Self, MemberInfo{Zone: o.options.Zone, Capacity: o.options.Capacity})
}

// Suspect records that a member has not answered this process. It does not count as
// alive until a later heartbeat arrives.
func (o *Overlay) Suspect(id string, now time.Time) {
	if m, exists := o.members[id]; exists {
		m.suspectedAt = now
	}
}

// Advance removes members whose MemberTTL has expired and recomputes which members are
// alive. Ranks, relays, feeders and the digest change only with a call of Advance.
func (o *Overlay) Advance(now time.Time) {
	changed := o.infoChanged
	o.infoChanged = false
	o.digest = o.ownHash()
	for id, m := range o.members {
		if now.Sub(m.LastSeen) > o.options.MemberTTL {
			delete(o.members, id)
			changed = true
			continue
		}
		alive := m.Zone != "" && now.Sub(m.LastSeen) < o.options.AliveTimeout && m.LastSeen.After(m.suspectedAt)
		changed = changed || alive != m.alive
		m.alive = alive
		m.inRoster = o.isPresent(m, now)
		if m.inRoster {
			o.digest ^= m.hash
		}
	}
	if changed {
		o.rankMembers()
	}
}

// rankMembers ranks the members of each zone, and the zones.
func (o *Overlay) rankMembers() {
	o.feeders = map[string][]string{}
	o.aliveByZone = o.rankByZone(func(m *member) bool { return m.alive })
	o.knownByZone = o.rankByZone(func(m *member) bool { return m.Zone != "" })
	o.zoneRank = slices.Index(placement.Rank("zone", slices.Collect(maps.Keys(o.aliveByZone))), o.options.Zone)
}

// rankByZone ranks this member and the members for which include is true, by zone.
func (o *Overlay) rankByZone(include func(*member) bool) map[string][]string {
	byZone := map[string][]string{o.options.Zone: {o.options.Self}}
	for id, m := range o.members {
		if include(m) {
			byZone[m.Zone] = append(byZone[m.Zone], id)
		}
	}
	for zone, ids := range byZone {
		byZone[zone] = o.sortByCapacity(placement.Rank("relay/"+zone, ids))
	}
	return byZone
}

// sortByCapacity sorts members by descending capacity and otherwise keeps their order. The
// traffic of a relay grows with its zone, so relays should be the members with the fastest links.
func (o *Overlay) sortByCapacity(ids []string) []string {
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(o.capacity(b), o.capacity(a)) })
	return ids
}

func (o *Overlay) capacity(id string) int {
	if id == o.options.Self {
		return o.options.Capacity
	}
	return o.members[id].Capacity
}

// Rank returns this member's rank among the live members of its zone, from 0.
func (o *Overlay) Rank() int { return slices.Index(o.aliveByZone[o.options.Zone], o.options.Self) }

// ZoneRank returns the rank of this member's zone among the zones with live members,
// from 0.
func (o *Overlay) ZoneRank() int { return o.zoneRank }

// IsGateway reports whether this member links to other zones.
func (o *Overlay) IsGateway() bool { return o.Rank() < o.options.Gateways }

// relays returns the relays of a zone.
func (o *Overlay) relays(zone string) []string { return first(o.aliveByZone[zone], o.options.Relays) }

func first(ids []string, count int) []string { return ids[:min(count, len(ids))] }

// Peers returns the members that this one should have a link with: the relays of its
// zone, members of unknown zone, and, if it is a gateway, the gateways of the other zones.
// Members that would be relays if they were alive are included, so that the two sides
// of a network partition keep trying to reconnect.
func (o *Overlay) Peers() map[string]bool {
	peers := map[string]bool{}
	for id, m := range o.members {
		if m.Zone == "" {
			peers[id] = true
		}
	}
	for _, ranked := range []map[string][]string{o.aliveByZone, o.knownByZone} {
		o.addPeers(peers, ranked)
	}
	delete(peers, o.options.Self)
	return peers
}

// addPeers adds the relays of this member's zone and, for a gateway, the gateways of the
// other zones, by the given ranking.
func (o *Overlay) addPeers(peers map[string]bool, zones map[string][]string) {
	for zone, ranked := range zones {
		count := o.options.Relays
		if zone != o.options.Zone {
			if !o.IsGateway() {
				continue
			}
			count = o.options.Gateways
		}
		for _, id := range first(ranked, count) {
			peers[id] = true
		}
	}
}

// IsMutualPeer reports whether a peer of this member has this member among its own peers,
// as far as is known here. A peer of unknown zone comes from an operator's settings alone
// and may not know this member.
func (o *Overlay) IsMutualPeer(id string) bool {
	m, exists := o.members[id]
	if !exists || m.Zone == "" {
		return false
	}
	if m.Zone == o.options.Zone {
		return o.Rank() < o.options.Relays
	}
	return o.IsGateway()
}

// Feeders returns the members that feed a follower of a zone, the main one first: relays
// of that zone, or gateways of all other zones when no member of the zone is alive.
func (o *Overlay) Feeders(follower, zone string) []string {
	if cached, exists := o.feeders[follower]; exists {
		return cached
	}
	candidates := o.relays(zone)
	if len(candidates) == 0 {
		for _, ranked := range o.aliveByZone {
			candidates = append(candidates, first(ranked, o.options.Gateways)...)
		}
	}
	picked := placement.Top("feed/"+follower, candidates, o.options.Feeders)
	o.feeders[follower] = picked
	return picked
}

// Feeds reports whether this member feeds a follower, and whether it is the main feeder.
func (o *Overlay) Feeds(follower, zone string) (feeds, main bool) {
	index := slices.Index(o.Feeders(follower, zone), o.options.Self)
	return index >= 0, index == 0
}

// Joins returns how many members have been added so far.
func (o *Overlay) Joins() uint64 { return o.joins }

// Members returns what is known of all members except this one.
func (o *Overlay) Members() map[string]MemberInfo {
	infos := make(map[string]MemberInfo, len(o.members))
	for id, m := range o.members {
		infos[id] = m.MemberInfo
	}
	return infos
}

// IDs returns the sorted IDs of all known members except this one.
func (o *Overlay) IDs() []string { return slices.Sorted(maps.Keys(o.members)) }

// Count returns the number of known members, without this one.
func (o *Overlay) Count() int { return len(o.members) }
