// Package overlay decides which processes of a fleet speak with each other. Each
// zone has a few relays, picked by rendezvous hashing among the members that are
// alive: every member links to the relays of its zone, some of the relays link to
// those of other zones, and each follower (a process that only listens) is fed by
// some of the relays of its zone. The number of links of a member that is no relay
// does not grow with the fleet. Nobody leads: each process works from the signs of
// life that it has heard. The package does no I/O and reads no clock.
package overlay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/placement"
)

// Options describes a member and its overlay.
type Options struct {
	// Self and Zone are this member's.
	Self string
	Zone string
	// Relays is how many members of each zone relay what its members say; Gates is how
	// many of these link to the gates of other zones.
	Relays   int
	Gateways int
	// Feeders is how many relays feed each follower.
	Feeders int
	// AliveTimeout is the age of its last sign up to which a member counts as alive, unless
	// it is suspected.
	AliveTimeout time.Duration
	// MemberTTL is how long a member without signs is remembered.
	MemberTTL time.Duration
	// Capacity is this member's own, as in Sign.
	Capacity int
}

// MemberInfo is what is known of a member: its zone, which is empty for one of which only
// the address is known, and when it was last heard.
type MemberInfo struct {
	Zone     string
	LastSeen time.Time
	// Capacity ranks members by what their machines can carry, higher first; 0 is unknown.
	Capacity int
}

type member struct {
	MemberInfo
	// suspectedAt is when the member last failed to answer this process.
	suspectedAt time.Time
	// alive is whether it counted as alive at the last Advance, listed whether it was present
	// for the roster.
	alive  bool
	listed bool
	// identity is the member's part of the digest.
	identity uint64
}

// Overlay is one member's picture. It is not safe for concurrent use.
type Overlay struct {
	options Options
	members map[string]*member
	// arrivals counts the members that were new.
	arrivals uint64
	// moved is set when more has become known of a member's zone or capacity since the last Advance.
	moved bool
	// digest identifies the members present at the last Advance.
	digest uint64
	// zones holds the members alive of each zone, in the order of their ranks; this
	// member is always among those of its own.
	zones map[string][]string
	// all holds those that are remembered, dead or alive, in the same way.
	all map[string][]string
	// zoneRank is the place of the own zone among zones.
	zoneRank int
	// feeders keeps the feeders of each follower until the members alive change.
	feeders map[string][]string
}

// New returns the overlay of a member that knows nobody.
func New(options Options) *Overlay {
	o := &Overlay{options: options, members: map[string]*member{}}
	o.digest = o.ownIdentity()
	o.rank()
	return o
}

// Observe notes a sign of a member at a time, and reports whether the member was not
// known before. An empty zone or an unknown capacity leaves what is known.
func (o *Overlay) Observe(id string, sign MemberInfo, now time.Time) bool {
	if id == o.options.Self || id == "" {
		return false
	}
	known, exists := o.members[id]
	if !exists {
		if now.Sub(sign.LastSeen) > o.options.MemberTTL {
			return false
		}
		known = &member{}
		o.members[id] = known
		o.arrivals++
	}
	known.learn(id, sign, o)
	if sign.LastSeen.After(known.LastSeen) {
		known.LastSeen = sign.LastSeen
	}
	return !exists
}

// learn takes over what a sign tells of a member besides the time.
func (m *member) learn(id string, sign MemberInfo, o *Overlay) {
	before := m.MemberInfo
	m.Zone = cmp.Or(sign.Zone, before.Zone)
	m.Capacity = cmp.Or(sign.Capacity, before.Capacity)
	if m.Zone == before.Zone && m.Capacity == before.Capacity {
		return
	}
	m.identity = identity(id, m.MemberInfo)
	o.moved = true
}

func (o *Overlay) ownIdentity() uint64 {
	return identity(o.options.Self, MemberInfo{Zone: o.options.Zone, Capacity: o.options.Capacity})
}

// Suspect notes that a member has not answered this process. It does not count as
// alive until a later sign of it is heard.
func (o *Overlay) Suspect(id string, now time.Time) {
	if known, exists := o.members[id]; exists {
		known.suspectedAt = now
	}
}

// Advance forgets the members that were not heard for long, and takes those that are
// alive anew. Between two calls the answers below change with nothing.
func (o *Overlay) Advance(now time.Time) {
	changed := o.moved
	o.moved = false
	o.digest = o.ownIdentity()
	for id, known := range o.members {
		if now.Sub(known.LastSeen) > o.options.MemberTTL {
			delete(o.members, id)
			changed = true
			continue
		}
		alive := known.Zone != "" && now.Sub(known.LastSeen) < o.options.AliveTimeout && known.LastSeen.After(known.suspectedAt)
		changed = changed || alive != known.alive
		known.alive = alive
		known.listed = o.present(known, now)
		if known.listed {
			o.digest ^= known.identity
		}
	}
	if changed {
		o.rank()
	}
}

// rank orders the members alive of each zone.
func (o *Overlay) rank() {
	o.feeders = map[string][]string{}
	o.zones = o.ranked(func(known *member) bool { return known.alive })
	o.all = o.ranked(func(known *member) bool { return known.Zone != "" })
	o.zoneRank = slices.Index(placement.Rank("zone", slices.Collect(maps.Keys(o.zones))), o.options.Zone)
}

// ranked orders this member and those that are to be counted, zone by zone.
func (o *Overlay) ranked(counts func(*member) bool) map[string][]string {
	byZone := map[string][]string{o.options.Zone: {o.options.Self}}
	for id, known := range o.members {
		if counts(known) {
			byZone[known.Zone] = append(byZone[known.Zone], id)
		}
	}
	for zone, ids := range byZone {
		byZone[zone] = o.byCapacity(placement.Rank("relay/"+zone, ids))
	}
	return byZone
}

// byCapacity moves members of larger capacity before the others, each in the order given: what
// relays send grows with their zone, so that they are to have the links that carry it.
func (o *Overlay) byCapacity(ids []string) []string {
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(o.capacity(b), o.capacity(a)) })
	return ids
}

func (o *Overlay) capacity(id string) int {
	if id == o.options.Self {
		return o.options.Capacity
	}
	return o.members[id].Capacity
}

// Rank is this member's place among those of its zone; the first is 0.
func (o *Overlay) Rank() int { return slices.Index(o.zones[o.options.Zone], o.options.Self) }

// ZoneRank is the place of this member's zone among those with members alive; the first
// is 0.
func (o *Overlay) ZoneRank() int { return o.zoneRank }

// IsGateway reports whether this member links to other zones.
func (o *Overlay) IsGateway() bool { return o.Rank() < o.options.Gateways }

// relays are those of a zone.
func (o *Overlay) relays(zone string) []string { return first(o.zones[zone], o.options.Relays) }

func first(ids []string, count int) []string { return ids[:min(count, len(ids))] }

// Peers lists the members that this one is to have a link with: the relays of its
// zone, members of unknown zone, and, if it is a gate, those of the other zones. Those
// that would be relays if they were alive are among them, so that two halves that have
// lost each other try to meet again.
func (o *Overlay) Peers() map[string]bool {
	wanted := map[string]bool{}
	for id, known := range o.members {
		if known.Zone == "" {
			wanted[id] = true
		}
	}
	for _, ranked := range []map[string][]string{o.zones, o.all} {
		o.addPeers(wanted, ranked)
	}
	delete(wanted, o.options.Self)
	return wanted
}

// addPeers adds the relays of the own zone and, for a gate, the gates of others, by the
// ranks given.
func (o *Overlay) addPeers(wanted map[string]bool, zones map[string][]string) {
	for zone, ranked := range zones {
		count := o.options.Relays
		if zone != o.options.Zone {
			if !o.IsGateway() {
				continue
			}
			count = o.options.Gateways
		}
		for _, id := range first(ranked, count) {
			wanted[id] = true
		}
	}
}

// IsMutualPeer reports whether another member wants a link with this one as this one does
// with it, as far as is known here. One of unknown zone was named by an operator only, and
// need not know of this one.
func (o *Overlay) IsMutualPeer(id string) bool {
	known, exists := o.members[id]
	if !exists || known.Zone == "" {
		return false
	}
	if known.Zone == o.options.Zone {
		return o.Rank() < o.options.Relays
	}
	return o.IsGateway()
}

// Feeders are the members that feed a follower of a zone, the main one first: relays
// of that zone, or gates of all others when none of the zone is alive.
func (o *Overlay) Feeders(follower, zone string) []string {
	if known, exists := o.feeders[follower]; exists {
		return known
	}
	candidates := o.relays(zone)
	if len(candidates) == 0 {
		for _, ranked := range o.zones {
			candidates = append(candidates, first(ranked, o.options.Gateways)...)
		}
	}
	picked := placement.Top("feed/"+follower, candidates, o.options.Feeders)
	o.feeders[follower] = picked
	return picked
}

// Feeds reports whether this member feeds a follower, and whether as the main one.
func (o *Overlay) Feeds(follower, zone string) (feeds, main bool) {
	index := slices.Index(o.Feeders(follower, zone), o.options.Self)
	return index >= 0, index == 0
}

// Joins counts the members that were new so far.
func (o *Overlay) Joins() uint64 { return o.arrivals }

// Members returns the signs of all members that are remembered, without this one.
func (o *Overlay) Members() map[string]MemberInfo {
	signs := make(map[string]MemberInfo, len(o.members))
	for id, known := range o.members {
		signs[id] = known.MemberInfo
	}
	return signs
}

// IDs lists the members that are remembered, without this one, in order.
func (o *Overlay) IDs() []string { return slices.Sorted(maps.Keys(o.members)) }

// Count returns how many members are remembered, without this one.
func (o *Overlay) Count() int { return len(o.members) }
