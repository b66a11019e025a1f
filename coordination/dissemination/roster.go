// Package dissemination decides who fetches which chunk from whom, so that new
// weights reach many machines near the limit of their links while the origin
// sends each chunk about once. Every machine computes the same trees from its
// own membership list; no availability is exchanged while nothing fails.
// Fetcher, the state machine of one machine, does no I/O and reads no clock.
package dissemination

import (
	"cmp"
	"slices"
)

// MachineID names a machine.
type MachineID string

// Machine is a member of the fleet as the plan sees it.
type Machine struct {
	ID     MachineID
	Zone   string
	Region string
}

// zone is a maximal run of machines that share a zone, in order of ID.
type zone struct {
	name     string
	region   int
	machines []MachineID
}

// place is where a machine stands in the roster.
type place struct {
	zone  int
	index int
}

// Roster is an immutable, ordered membership list. Rosters made from the same
// machines are equal, whatever the order they were given in.
type Roster struct {
	zones []zone
	// regions lists the zones of each region.
	regions [][]int
	places  map[MachineID]place
}

// NewRoster orders the machines by region, zone and ID.
func NewRoster(machines []Machine) *Roster {
	ordered := slices.Clone(machines)
	slices.SortFunc(ordered, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	ordered = slices.CompactFunc(ordered, func(a, b Machine) bool { return a.ID == b.ID })
	roster := &Roster{places: make(map[MachineID]place, len(ordered))}
	for i, machine := range ordered {
		if i == 0 || machine.Region != ordered[i-1].Region {
			roster.regions = append(roster.regions, nil)
		}
		if i == 0 || machine.Zone != ordered[i-1].Zone || machine.Region != ordered[i-1].Region {
			region := len(roster.regions) - 1
			roster.regions[region] = append(roster.regions[region], len(roster.zones))
			roster.zones = append(roster.zones, zone{name: machine.Zone, region: region})
		}
		current := &roster.zones[len(roster.zones)-1]
		roster.places[machine.ID] = place{zone: len(roster.zones) - 1, index: len(current.machines)}
		current.machines = append(current.machines, machine.ID)
	}
	return roster
}

// Len returns the number of machines.
func (r *Roster) Len() int { return len(r.places) }

// ZoneMembers returns the machines in the same zone, the machine itself included.
func (r *Roster) ZoneMembers(machine MachineID) []MachineID {
	at, known := r.places[machine]
	if !known {
		return nil
	}
	return r.zones[at.zone].machines
}

// Zone returns the zone of a machine, or "" when it is not on the roster.
func (r *Roster) Zone(machine MachineID) string {
	at, known := r.places[machine]
	if !known {
		return ""
	}
	return r.zones[at.zone].name
}
