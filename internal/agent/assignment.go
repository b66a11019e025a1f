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

// assignment describes a model that is assigned to this machine.
type assignment struct {
	model  configuration.Model
	digest weights.Digest
	// machines lists all machines of the fleet to which the model is assigned.
	machines []dissemination.Machine
	// zoneOrder lists this zone's machines in the order in which they activate.
	zoneOrder []string
}

// fleet is the membership list in the form that placement needs.
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

// assignmentsFor computes which models a machine serves. The result depends only
// on the snapshot and the membership list, so all processes agree on it.
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
		own := assignment{model: model, digest: weights.Digest(model.Manifest), machines: holders[demand.Model]}
		var zoneMachines []string
		for _, machine := range own.machines {
			if machine.Zone == zone {
				zoneMachines = append(zoneMachines, string(machine.ID))
			}
		}
		if !slices.Contains(zoneMachines, self) {
			continue
		}
		own.zoneOrder = placement.Rank("activation/"+model.Name+"/"+model.Version, zoneMachines)
		result = append(result, own)
	}
	return result
}
