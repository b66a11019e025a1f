package overlay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/placement"
)

// lateMargin is how much longer than most of its zone a member must not have been heard for its
// age to be told by itself. Ages of a zone's members differ by the pace of updates at each hop.
const lateMargin = 500 * time.Millisecond

// Roster sums up the members that are present at a process: those of known zone that it has heard
// within Options.Recent, and itself. Two processes with the same members present refresh each other's
// signs with it instead of lists, whose size grows with the fleet.
type Roster struct {
	// Digest identifies the members with what is known of each; equal ones tell of the same
	// members.
	Digest uint64
	// Ages bound how long ago the members of each zone were heard, zones in order of name; none are told
	// by a process that only says whom it knows.
	Ages []time.Duration
	// OutlierAges are the ages of members that are not within their zone's.
	OutlierAges map[string]time.Duration
}

// identity is a member's part of the digest.
func identity(id string, sign MemberInfo) uint64 {
	return placement.Score(sign.Zone, id) + uint64(sign.Capacity)
}

// present reports whether a member is part of the roster.
func (o *Overlay) present(known *member, now time.Time) bool {
	return known.Zone != "" && now.Sub(known.LastSeen) < o.options.AliveTimeout
}

// Digest identifies the members present as of the last Advance.
func (o *Overlay) Digest() uint64 { return o.digest }

// Roster describes the members present as of the last Advance.
func (o *Overlay) Roster(now time.Time) Roster {
	roster := Roster{Digest: o.digest}
	zones := o.presentByZone(now)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		members := zones[zone]
		slices.SortFunc(members, func(a, b presence) int { return cmp.Compare(a.age, b.age) })
		usual := time.Duration(0)
		if len(members) > 0 {
			usual = members[len(members)/2].age + lateMargin
		}
		bound := time.Duration(0)
		for _, one := range members {
			if one.age <= usual {
				bound = one.age
				continue
			}
			if roster.OutlierAges == nil {
				roster.OutlierAges = map[string]time.Duration{}
			}
			roster.OutlierAges[one.id] = one.age
		}
		roster.Ages = append(roster.Ages, bound)
	}
	return roster
}

// presence is a member that is present, and how long ago it was heard.
type presence struct {
	id  string
	age time.Duration
}

// presentByZone lists the members present by zone. This member's own zone is always among them.
func (o *Overlay) presentByZone(now time.Time) map[string][]presence {
	zones := map[string][]presence{o.options.Zone: nil}
	for id, known := range o.members {
		if known.listed {
			zones[known.Zone] = append(zones[known.Zone], presence{id: id, age: max(0, now.Sub(known.LastSeen))})
		}
	}
	return zones
}

// ApplyRoster takes over the ages that another process tells of the members present there, and reports
// whether it could: that both have the same present. If not, only a list tells what the other knows.
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
	for id, known := range o.members {
		age, told := ages[known.Zone]
		if late, isLate := roster.OutlierAges[id]; isLate {
			age, told = late, true
		}
		if heard := now.Add(-age); told && known.listed && heard.After(known.LastSeen) {
			known.LastSeen = heard
		}
	}
	return true
}
