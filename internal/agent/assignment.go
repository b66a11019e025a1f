package agent

import (
	"maps"
	"slices"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/coordination/placement"
	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/weights"
)

// assignment is one model that this machine is to serve.
type assignment struct {
	model  configuration.Model
	digest weights.Digest
	// machines are all machines of the fleet that hold the model.
	machines []dissemination.Machine
	// zoneOrder lists this zone's machines in the order in which they activate.
	zoneOrder []string
}

// fleet is the membership list as placement needs it.
type fleet struct {
	byZone  map[string][]string
	machine map[string]external.Member
}

func newFleet(members []external.Member) fleet {
	result := fleet{byZone: map[string][]string{}, machine: map[string]external.Member{}}
	for _, member := range members {
		if member.Role != external.RoleAgent {
			continue
		}
		result.machine[member.ID] = member
		if member.Service == "" && !member.Leaving {
			result.byZone[member.Zone] = append(result.byZone[member.Zone], member.ID)
		}
	}
	return result
}

// assignmentsFor computes which models a machine serves. Every process computes
// the same from the same snapshot and list.
func assignmentsFor(self string, zone string, slots int, snapshot *configuration.Snapshot, members fleet) []assignment {
	demands := make([]placement.Demand, 0, len(snapshot.Models))
	for _, name := range slices.Sorted(maps.Keys(snapshot.Models)) {
		demands = append(demands, placement.Demand{Model: name, Replicas: snapshot.Models[name].ReplicasPerZone})
	}
	holders := map[string][]dissemination.Machine{}
	for zoneName, machines := range members.byZone {
		for machine, models := range placement.Assign(demands, machines, slots) {
			for _, model := range models {
				holders[model] = append(holders[model], dissemination.Machine{
					ID: dissemination.MachineID(machine), Zone: zoneName, Region: members.machine[machine].Region,
				})
			}
		}
	}
	var result []assignment
	for _, demand := range demands {
		model := snapshot.Models[demand.Model]
		mine := assignment{model: model, digest: weights.Digest(model.Manifest), machines: holders[demand.Model]}
		var zoneMachines []string
		for _, machine := range mine.machines {
			if machine.Zone == zone {
				zoneMachines = append(zoneMachines, string(machine.ID))
			}
		}
		if !slices.Contains(zoneMachines, self) {
			continue
		}
		mine.zoneOrder = placement.Rank("activation/"+model.Name+"/"+model.Version, zoneMachines)
		result = append(result, mine)
	}
	return result
}
