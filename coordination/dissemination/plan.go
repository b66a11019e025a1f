package dissemination

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Strategy names a way to arrange the machines.
type Strategy string

// The strategies. Rotated is the default; the others are baselines that
// experiments compare it with.
const (
	// StrategyStar fetches everything from the origin.
	StrategyStar Strategy = "star"
	// StrategyChain passes every chunk along one fixed line.
	StrategyChain Strategy = "chain"
	// StrategyTree passes each chunk down a binary tree over a hashed order.
	StrategyTree Strategy = "tree"
	// StrategyRotated passes each chunk down a tree that crosses each region and
	// zone once, turned from chunk to chunk so that every machine is an inner
	// node as often as every other.
	StrategyRotated Strategy = "rotated"
	// StrategyPull announces each chunk to a few random peers, which pull it.
	StrategyPull Strategy = "pull"
)

// Strategies lists every strategy.
var Strategies = []Strategy{StrategyStar, StrategyChain, StrategyTree, StrategyRotated, StrategyPull}

// Plan tells who passes a chunk to whom, from one roster.
type Plan interface {
	// Parent returns the machine that is to offer the chunk; false means that
	// this machine fetches it from the origin.
	Parent(chunk int, self MachineID) (MachineID, bool)
	// Children returns the machines that this machine is to offer the chunk to.
	Children(chunk int, self MachineID) []MachineID
	// OriginRank orders the machines of a zone for reading the chunk from the
	// origin when no holder can be reached; 0 goes first.
	OriginRank(chunk int, self MachineID) int
}

// NewPlan arranges the machines of a roster.
func NewPlan(strategy Strategy, roster *Roster) Plan {
	switch strategy {
	case StrategyStar:
		return starPlan{}
	case StrategyChain:
		return newLinePlan(roster, 1, fixedOrder)
	case StrategyTree:
		return newLinePlan(roster, 2, hashedOrder)
	case StrategyPull:
		return newPullPlan(roster)
	}
	return rotatedPlan{roster: roster}
}

// arity is the number of children of an inner node within a zone.
const arity = 2

// goldenStride turns the order of a zone from chunk to chunk; a stride near the
// golden section spreads the heads of neighbouring chunks evenly.
const goldenStride = 0.6180339887498949

type rotatedPlan struct{ roster *Roster }

// head returns the index of the machine that brings a chunk into a zone.
func (p rotatedPlan) head(chunk, zoneIndex int) int {
	size := len(p.roster.zones[zoneIndex].machines)
	stride := max(1, int(math.Round(goldenStride*float64(size))))
	for gcd(stride, size) != 1 {
		stride++
	}
	return (chunk % size) * stride % size
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (p rotatedPlan) position(chunk int, at place) int {
	size := len(p.roster.zones[at.zone].machines)
	return (at.index - p.head(chunk, at.zone) + size) % size
}

func (p rotatedPlan) machineAt(chunk, zoneIndex, position int) MachineID {
	machines := p.roster.zones[zoneIndex].machines
	return machines[(p.head(chunk, zoneIndex)+position)%len(machines)]
}

// rootZone is the zone that reads a chunk from the origin.
func (p rotatedPlan) rootZone(chunk int) int { return chunk % len(p.roster.zones) }

// gateZone is the zone through which a chunk enters a region.
func (p rotatedPlan) gateZone(chunk, region int) int {
	root := p.rootZone(chunk)
	if p.roster.zones[root].region == region {
		return root
	}
	zones := p.roster.regions[region]
	return zones[chunk%len(zones)]
}

// Parent implements Plan.
func (p rotatedPlan) Parent(chunk int, self MachineID) (MachineID, bool) {
	at, known := p.roster.places[self]
	if !known {
		return "", false
	}
	if position := p.position(chunk, at); position > 0 {
		return p.machineAt(chunk, at.zone, (position-1)/arity), true
	}
	root := p.rootZone(chunk)
	if at.zone == root {
		return "", false
	}
	if gate := p.gateZone(chunk, p.roster.zones[at.zone].region); at.zone != gate {
		return p.machineAt(chunk, gate, 0), true
	}
	return p.machineAt(chunk, root, 0), true
}

// Children implements Plan. Machines farther away come first, because whole
// zones wait for them.
func (p rotatedPlan) Children(chunk int, self MachineID) []MachineID {
	at, known := p.roster.places[self]
	if !known {
		return nil
	}
	position := p.position(chunk, at)
	var children []MachineID
	if position == 0 {
		children = p.remoteHeads(chunk, at.zone)
	}
	size := len(p.roster.zones[at.zone].machines)
	for next := position*arity + 1; next <= position*arity+arity && next < size; next++ {
		children = append(children, p.machineAt(chunk, at.zone, next))
	}
	return children
}

// remoteHeads returns the heads of the zones that a zone's head passes to.
func (p rotatedPlan) remoteHeads(chunk, from int) []MachineID {
	var heads []MachineID
	region := p.roster.zones[from].region
	if from == p.rootZone(chunk) {
		for other := range p.roster.regions {
			if other != region {
				heads = append(heads, p.machineAt(chunk, p.gateZone(chunk, other), 0))
			}
		}
	}
	if from == p.gateZone(chunk, region) {
		for _, sibling := range p.roster.regions[region] {
			if sibling != from {
				heads = append(heads, p.machineAt(chunk, sibling, 0))
			}
		}
	}
	return heads
}

// OriginRank implements Plan: the zone's order for the chunk, zones that come
// later for the chunk standing behind.
func (p rotatedPlan) OriginRank(chunk int, self MachineID) int {
	at, known := p.roster.places[self]
	if !known {
		return p.roster.Len()
	}
	zoneRank := (at.zone - p.rootZone(chunk) + len(p.roster.zones)) % len(p.roster.zones)
	return p.position(chunk, at) + zoneRank
}

type starPlan struct{}

func (starPlan) Parent(int, MachineID) (MachineID, bool) { return "", false }
func (starPlan) Children(int, MachineID) []MachineID     { return nil }
func (starPlan) OriginRank(int, MachineID) int           { return 0 }

// linePlan arranges all machines as one heap-shaped tree over an order that
// may differ from chunk to chunk.
type linePlan struct {
	arity int
	// order maps a position to a machine and back for a chunk.
	machines []MachineID
	index    map[MachineID]int
	permute  func(chunk, size int) (multiplier, offset int)
}

func fixedOrder(int, int) (multiplier, offset int) { return 1, 0 }

// hashedOrder derives an affine permutation of the machines from the chunk.
func hashedOrder(chunk, size int) (multiplier, offset int) {
	generator := rand.New(rand.NewPCG(uint64(chunk), 0x9e3779b97f4a7c15))
	multiplier = 1 + generator.IntN(size)
	for gcd(multiplier, size) != 1 {
		multiplier++
	}
	return multiplier, generator.IntN(size)
}

func newLinePlan(roster *Roster, arity int, permute func(int, int) (int, int)) *linePlan {
	plan := &linePlan{arity: arity, index: map[MachineID]int{}, permute: permute}
	for _, members := range roster.zones {
		for _, machine := range members.machines {
			plan.index[machine] = len(plan.machines)
			plan.machines = append(plan.machines, machine)
		}
	}
	return plan
}

func (p *linePlan) position(chunk int, self MachineID) (int, bool) {
	index, known := p.index[self]
	if !known {
		return 0, false
	}
	size := len(p.machines)
	multiplier, offset := p.permute(chunk, size)
	return (index*multiplier + offset) % size, true
}

func (p *linePlan) machineAt(chunk, position int) MachineID {
	size := len(p.machines)
	multiplier, offset := p.permute(chunk, size)
	inverse := modularInverse(multiplier%size, size)
	return p.machines[((position-offset+size)%size)*inverse%size]
}

func modularInverse(value, modulus int) int {
	if modulus == 1 {
		return 0
	}
	oldRemainder, remainder := value, modulus
	oldFactor, factor := 1, 0
	for remainder != 0 {
		quotient := oldRemainder / remainder
		oldRemainder, remainder = remainder, oldRemainder-quotient*remainder
		oldFactor, factor = factor, oldFactor-quotient*factor
	}
	return (oldFactor%modulus + modulus) % modulus
}

// Parent implements Plan.
func (p *linePlan) Parent(chunk int, self MachineID) (MachineID, bool) {
	position, known := p.position(chunk, self)
	if !known || position == 0 {
		return "", false
	}
	return p.machineAt(chunk, (position-1)/p.arity), true
}

// Children implements Plan.
func (p *linePlan) Children(chunk int, self MachineID) []MachineID {
	position, known := p.position(chunk, self)
	if !known {
		return nil
	}
	var children []MachineID
	for next := position*p.arity + 1; next <= position*p.arity+p.arity && next < len(p.machines); next++ {
		children = append(children, p.machineAt(chunk, next))
	}
	return children
}

// OriginRank implements Plan.
func (p *linePlan) OriginRank(chunk int, self MachineID) int {
	position, known := p.position(chunk, self)
	if !known {
		return len(p.machines)
	}
	return position
}

// pullPeers is how many peers a machine announces its chunks to.
const pullPeers = 6

// pullPlan gives each machine fixed random peers.
type pullPlan struct {
	line  *linePlan
	peers map[MachineID][]MachineID
}

func newPullPlan(roster *Roster) *pullPlan {
	plan := &pullPlan{line: newLinePlan(roster, 1, hashedOrder), peers: map[MachineID][]MachineID{}}
	for _, machine := range plan.line.machines {
		generator := rand.New(rand.NewPCG(xxhash.Sum64String(string(machine)), 1))
		for range min(pullPeers/2, len(plan.line.machines)-1) {
			other := plan.line.machines[generator.IntN(len(plan.line.machines))]
			if other != machine {
				plan.peers[machine] = append(plan.peers[machine], other)
				plan.peers[other] = append(plan.peers[other], machine)
			}
		}
	}
	return plan
}

// Parent implements Plan; a machine has no parent but its peers.
func (p *pullPlan) Parent(chunk int, self MachineID) (MachineID, bool) {
	if position, known := p.line.position(chunk, self); known && position == 0 {
		return "", false
	}
	peers := p.peers[self]
	if len(peers) == 0 {
		return "", false
	}
	return peers[chunk%len(peers)], true
}

// Children implements Plan.
func (p *pullPlan) Children(_ int, self MachineID) []MachineID { return p.peers[self] }

// OriginRank implements Plan.
func (p *pullPlan) OriginRank(chunk int, self MachineID) int { return p.line.OriginRank(chunk, self) }
