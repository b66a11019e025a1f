package overlay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/placement"
)

// outlierMargin is how far a member's age must exceed the median of its zone for the age to be
// sent individually. Ages within a zone differ by the update interval of each hop.
const outlierMargin = 500 * time.Millisecond

// Roster summarizes the live members known to a process: itself, and the members of known zone
// whose last heartbeat is within Options.AliveTimeout. Two processes with the same members refresh
// each other's heartbeat times with it instead of lists, whose size grows with the fleet.
type Roster struct {
	// Digest identifies the members with their zones and capacities; equal digests stand for the
	// same members.
	Digest uint64
	// Ages holds, for each zone in order of name, an upper bound of the time since the last heartbeat
	// of its members. It is empty from a process that only announces which members it knows.
	Ages []time.Duration
	// OutlierAges holds the ages of members that exceed their zone's bound.
	OutlierAges map[string]time.Duration
}

// memberHash returns a member's part of the digest.
func memberHash(id string, info MemberInfo) uint64 {
	return placement.Score(info.Zone, id) + uint64(info.Capacity)
}

// isPresent reports whether a member is part of the roster.
func (o *Overlay) isPresent(m *member, now time.Time) bool {
	return m.Zone != "" && now.Sub(m.LastSeen) < o.options.AliveTimeout
}

// Digest returns the digest of the members in the roster as of the last Advance.
func (o *Overlay) Digest() uint64 { return o.digest }

// Roster returns the roster as of the last Advance.
func (o *Overlay) Roster(now time.Time) Roster {
	roster := Roster{Digest: o.digest}
	zones := o.presentByZone(now)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		members := zones[zone]
		slices.SortFunc(members, func(a, b presentMember) int { return cmp.Compare(a.age, b.age) })
		threshold := time.Duration(0)
		if len(members) > 0 {
			threshold = members[len(members)/2].age + outlierMargin
		}
		bound := time.Duration(0)
		for _, m := range members {
			if m.age <= threshold {
				bound = m.age
				continue
			}
			if roster.OutlierAges == nil {
				roster.OutlierAges = map[string]time.Duration{}
			}
			roster.OutlierAges[m.id] = m.age
		}
		roster.Ages = append(roster.Ages, bound)
	}
	return roster
}

// presentMember is a member of the roster and the time since its last heartbeat.
type presentMember struct {
	id  string
	age time.Duration
}

// presentByZone returns the members of the roster by zone. This member's zone is always included.
func (o *Overlay) presentByZone(now time.Time) map[string][]presentMember {
	zones := map[string][]presentMember{o.options.Zone: nil}
	for id, m := range o.members {
		if m.inRoster {
			zones[m.Zone] = append(zones[m.Zone], presentMember{id: id, age: max(0, now.Sub(m.LastSeen))})
		}
	}
	return zones
}

// ApplyRoster applies the ages in another process's roster. It reports whether it could: both
// processes must have the same members. Otherwise the other process has to send its full list.
func (o *Overlay) ApplyRoster(roster Roster, now time.Time) bool {
	if roster.Digest != o.digest {
		return false
	}
	if len(roster.Ages) == 0 {
		return true
	}
	ages := map[string]time.Duration{}
	zones := o.presentByZone(now)
	for index, zone := range slices.Sorted(maps.Keys(zones)) {
		if index < len(roster.Ages) {
			ages[zone] = roster.Ages[index]
		}
	}
	for id, m := range o.members {
		age, hasAge := ages[m.Zone]
		if outlierAge, isOutlier := roster.OutlierAges[id]; isOutlier {
			age, hasAge = outlierAge, true
		}
		if lastSeen := now.Add(-age); hasAge && m.inRoster && lastSeen.After(m.LastSeen) {
			m.LastSeen = lastSeen
		}
	}
	return true
}
