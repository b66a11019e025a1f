package dissemination

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func machinesInZones(zones, perZone int) []Machine {
	var list []Machine
	for zone := range zones {
		for index := range perZone {
			list = append(list, Machine{
				ID: MachineID(fmt.Sprintf("z%d-m%d", zone, index)), Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone/2),
			})
		}
	}
	return list
}

// Every plan is a tree over all machines: each machine has one parent or reads
// the origin, is its parent's child, and is reached from a root.
func TestPlansReachEveryMachineOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := machinesInZones(rapid.IntRange(1, 6).Draw(t, "zones"), rapid.IntRange(1, 20).Draw(t, "machines"))
		chunk := rapid.IntRange(0, 500).Draw(t, "chunk")
		strategy := rapid.SampledFrom([]Strategy{StrategyChain, StrategyTree, StrategyRotated}).Draw(t, "strategy")
		copies := rapid.IntRange(1, 4).Draw(t, "copies")
		plan := NewPlanWithCopies(strategy, NewRoster(list), copies)
		reached := map[MachineID]int{}
		var walk func(MachineID)
		walk = func(machine MachineID) {
			reached[machine]++
			if reached[machine] > 1 {
				return
			}
			for _, child := range plan.Children(chunk, machine) {
				if parent, hasParent := plan.Parent(chunk, child); !hasParent || parent != machine {
					t.Fatalf("%s is a child of %s, but has the parent %s", child, machine, parent)
				}
				walk(child)
			}
		}
		roots := 0
		for _, machine := range list {
			if _, hasParent := plan.Parent(chunk, machine.ID); !hasParent {
				roots++
				walk(machine.ID)
			}
		}
		if strategy == StrategyRotated && roots > copies {
			t.Fatalf("%d machines read the origin, %d may", roots, copies)
		}
		for _, machine := range list {
			if reached[machine.ID] != 1 {
				t.Fatalf("%s is reached %d times", machine.ID, reached[machine.ID])
			}
		}
	})
}

func TestRotationBalancesUploads(t *testing.T) {
	list := machinesInZones(1, 50)
	plan := NewPlan(StrategyRotated, NewRoster(list))
	const chunks = 500
	for _, machine := range list {
		uploads := 0
		for chunk := range chunks {
			uploads += len(plan.Children(chunk, machine.ID))
		}
		assert.InDelta(t, chunks, uploads, chunks/20, string(machine.ID))
	}
}

func TestRostersDoNotDependOnOrder(t *testing.T) {
	list := machinesInZones(3, 7)
	reversed := make([]Machine, 0, len(list))
	for i := range list {
		reversed = append(reversed, list[len(list)-1-i])
	}
	assert.Equal(t, NewRoster(list), NewRoster(reversed))
}

// A fetcher accepts any message about any chunk from any machine, also repeated or late.
func TestFetcherAcceptsAnyMessageHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := machinesInZones(2, 4)
		plan := NewPlan(StrategyRotated, NewRoster(list))
		const chunks = 8
		f := NewFetcher(Options{Self: list[0].ID, Plan: plan, Chunks: chunks, ProgressTimeout: 1})
		f.Start(0)
		running := map[Action]bool{}
		now := time.Duration(0)
		collect := func() {
			for _, action := range f.TakeActions() {
				if action.Kind != Fetch && action.Kind != FetchOrigin {
					continue
				}
				if f.Holds(action.Chunk) {
					t.Fatalf("fetches chunk %d, which it holds", action.Chunk)
				}
				running[action] = true
			}
		}
		peer := func() MachineID { return list[rapid.IntRange(0, len(list)-1).Draw(t, "peer")].ID }
		chunk := func() int { return rapid.IntRange(-1, chunks).Draw(t, "chunk") }
		t.Repeat(map[string]func(*rapid.T){
			"offered": func(*rapid.T) { f.RecordOffer(peer(), chunk(), now); collect() },
			"asked":   func(*rapid.T) { f.HandleChunkQuery(peer(), chunk(), 0, now); collect() },
			"failed":  func(*rapid.T) { f.RecordQueryFailure(peer(), chunk(), now); f.RecordOfferFailure(peer(), chunk(), now) },
			"tick":    func(*rapid.T) { now += 3; f.Tick(now); collect() },
			"ended": func(t *rapid.T) {
				for action := range running {
					delete(running, action)
					if rapid.Bool().Draw(t, "good") {
						f.RecordFetched(action.Peer, action.Chunk, now)
					} else {
						f.RecordFetchFailure(action.Peer, action.Chunk, Stalled, now)
					}
					break
				}
				collect()
			},
		})
	})
}

// All machines forward about the same number of chunks, also when the size of a zone
// shares a divisor with the number of zones.
func TestRotatedPlanLoadsMachinesEvenly(t *testing.T) {
	const chunks = 96
	for _, sizes := range [][]int{{7, 6, 7}, {6, 6, 6}, {4, 4, 4}, {9, 15, 9}, {11, 12, 11, 11}} {
		var machines []Machine
		for zone, size := range sizes {
			for index := range size {
				name := fmt.Sprintf("z%d", zone)
				machines = append(machines, Machine{ID: MachineID(fmt.Sprintf("%s-%02d", name, index)), Zone: name, Region: "r" + name})
			}
		}
		plan := NewPlan(StrategyRotated, NewRoster(machines))
		maxSends, total := 0, 0
		for _, machine := range machines {
			sends := 0
			for chunk := range chunks {
				sends += len(plan.Children(chunk, machine.ID))
			}
			maxSends = max(maxSends, sends)
			total += sends
		}
		mean := float64(total) / float64(len(machines))
		assert.LessOrEqual(t, float64(maxSends), 1.2*mean, "zones of %v", sizes)
	}
}
