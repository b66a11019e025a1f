package dissemination

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

type starPlan struct{}

func (starPlan) Parent(int, MachineID) (MachineID, bool)  { return "", false }
func (starPlan) Children(int, MachineID) []MachineID      { return nil }
func (starPlan) Providers(int, MachineID) []MachineID     { return nil }
func (starPlan) OriginReaders(int, MachineID) []MachineID { return nil }
func (starPlan) Zone(MachineID) string                    { return "" }
func (starPlan) Neighbors(MachineID) []MachineID          { return nil }
func (starPlan) Height(int, MachineID) int                { return 0 }

// treePlan arranges all machines as one heap-shaped tree over an order that may
// differ from chunk to chunk.
type treePlan struct {
	arity int
	// permute maps indexes of machines to positions in the tree of a chunk.
	machines []MachineID
	index    map[MachineID]int
	permute  func(chunk, size int) (multiplier, offset int)
}

func identityOrder(int, int) (multiplier, offset int) { return 1, 0 }

// hashedOrder returns an affine permutation of the machines, seeded by the chunk.
func hashedOrder(chunk, size int) (multiplier, offset int) {
	generator := rand.New(rand.NewPCG(uint64(chunk), 0x9e3779b97f4a7c15))
	multiplier = 1 + generator.IntN(size)
	for gcd(multiplier, size) != 1 {
		multiplier++
	}
	return multiplier, generator.IntN(size)
}

func newTreePlan(roster *Roster, arity int, permute func(int, int) (int, int)) *treePlan {
	plan := &treePlan{arity: arity, index: map[MachineID]int{}, permute: permute}
	for _, members := range roster.zones {
		for _, machine := range members.machines {
			plan.index[machine] = len(plan.machines)
			plan.machines = append(plan.machines, machine)
		}
	}
	return plan
}

func (p *treePlan) position(chunk int, self MachineID) (int, bool) {
	index, known := p.index[self]
	if !known {
		return 0, false
	}
	size := len(p.machines)
	multiplier, offset := p.permute(chunk, size)
	return (index*multiplier + offset) % size, true
}

func (p *treePlan) machineAt(chunk, position int) MachineID {
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
func (p *treePlan) Parent(chunk int, self MachineID) (MachineID, bool) {
	position, known := p.position(chunk, self)
	if !known || position == 0 {
		return "", false
	}
	return p.machineAt(chunk, (position-1)/p.arity), true
}

// Children implements Plan.
func (p *treePlan) Children(chunk int, self MachineID) []MachineID {
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

// OriginReaders implements Plan.
func (p *treePlan) OriginReaders(chunk int, _ MachineID) []MachineID {
	return rankOriginReaders(chunk, p.machines)
}

// Providers implements Plan.
func (p *treePlan) Providers(chunk int, self MachineID) []MachineID {
	return ancestorsOf(p, chunk, self)
}

// Zone implements Plan.
func (p *treePlan) Zone(MachineID) string { return "" }

// Neighbors implements Plan.
func (p *treePlan) Neighbors(MachineID) []MachineID { return p.machines }

// Height implements Plan.
func (p *treePlan) Height(chunk int, self MachineID) int {
	position, known := p.position(chunk, self)
	if !known || p.arity == 1 {
		return 0
	}
	return heapHeight(position, len(p.machines), p.arity)
}

// pullPeers is about how many peers a machine announces its chunks to.
const pullPeers = 6

// pullPlan assigns fixed random peers to each machine.
type pullPlan struct {
	tree  *treePlan
	peers map[MachineID][]MachineID
}

func newPullPlan(roster *Roster) *pullPlan {
	plan := &pullPlan{tree: newTreePlan(roster, 1, hashedOrder), peers: map[MachineID][]MachineID{}}
	for _, machine := range plan.tree.machines {
		generator := rand.New(rand.NewPCG(xxhash.Sum64String(string(machine)), 1))
		for range min(pullPeers/2, len(plan.tree.machines)-1) {
			other := plan.tree.machines[generator.IntN(len(plan.tree.machines))]
			if other != machine {
				plan.peers[machine] = append(plan.peers[machine], other)
				plan.peers[other] = append(plan.peers[other], machine)
			}
		}
	}
	return plan
}

// Parent implements Plan. A machine's parent for a chunk is one of its peers.
func (p *pullPlan) Parent(chunk int, self MachineID) (MachineID, bool) {
	if position, known := p.tree.position(chunk, self); known && position == 0 {
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

// OriginReaders implements Plan.
func (p *pullPlan) OriginReaders(chunk int, self MachineID) []MachineID {
	return p.tree.OriginReaders(chunk, self)
}

// Providers implements Plan.
func (p *pullPlan) Providers(_ int, self MachineID) []MachineID { return p.peers[self] }

// Zone implements Plan.
func (p *pullPlan) Zone(MachineID) string { return "" }

// Neighbors implements Plan.
func (p *pullPlan) Neighbors(MachineID) []MachineID { return p.tree.machines }

// Height implements Plan. A graph of peers has no levels.
func (*pullPlan) Height(int, MachineID) int { return 0 }
