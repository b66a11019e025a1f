// Package dissemination decides which machine fetches which chunk from which
// other machine, so that new weights reach many machines at close to the rate of
// their links while the origin sends each chunk about once. Every machine computes
// the same trees from its own membership list, so machines exchange no chunk
// inventories while nothing fails. Fetcher, the state machine of one machine, does
// no I/O and reads no clock.
package dissemination

import (
	"cmp"
	"slices"
)

// MachineID identifies a machine.
type MachineID string

// Machine is a member of the fleet with its zone and region.
type Machine struct {
	ID     MachineID
	Zone   string
	Region string
}

// zone holds the machines of one zone, in order of ID.
type zone struct {
	name     string
	region   int
	machines []MachineID
}

// location is a machine's position in the roster.
type location struct {
	zone  int
	index int
}

// Roster is an immutable, ordered membership list. Rosters of the same machines are
// equal, whatever the order of the input.
type Roster struct {
	zones []zone
	// regions lists the zones of each region.
	regions   [][]int
	locations map[MachineID]location
}

// NewRoster returns a roster of the machines, ordered by region, zone and ID.
func NewRoster(machines []Machine) *Roster {
	ordered := slices.Clone(machines)
	slices.SortFunc(ordered, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	ordered = slices.CompactFunc(ordered, func(a, b Machine) bool { return a.ID == b.ID })
	roster := &Roster{locations: make(map[MachineID]location, len(ordered))}
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
		roster.locations[machine.ID] = location{zone: len(roster.zones) - 1, index: len(current.machines)}
		current.machines = append(current.machines, machine.ID)
	}
	return roster
}

// Len returns the number of machines.
func (r *Roster) Len() int { return len(r.locations) }

// ZoneMembers returns the machines in the zone of a machine, including the machine itself.
func (r *Roster) ZoneMembers(machine MachineID) []MachineID {
	loc, known := r.locations[machine]
	if !known {
		return nil
	}
	return r.zones[loc.zone].machines
}

// Zone returns the zone of a machine, or "" when it is not in the roster.
func (r *Roster) Zone(machine MachineID) string {
	loc, known := r.locations[machine]
	if !known {
		return ""
	}
	return r.zones[loc.zone].name
}
