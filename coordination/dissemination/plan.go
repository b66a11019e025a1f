package dissemination

import (
	"math"
	"strconv"

	"pinevane.example/pinevane/coordination/placement"
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
	// Providers returns the machines to ask for a late chunk, nearest first:
	// ancestors, then others that stand before this machine in the chunk's order.
	Providers(chunk int, self MachineID) []MachineID
	// OriginReaders returns the few machines that may read a chunk from the origin
	// when it does not come, in the order of their turns.
	OriginReaders(chunk int, self MachineID) []MachineID
	// Zone returns the zone of a machine, or "" when it is not known.
	Zone(machine MachineID) string
	// Neighbors returns the machines that are near, the machine itself included.
	Neighbors(self MachineID) []MachineID
	// Height is how many levels of machines get the chunk through this one.
	Height(chunk int, self MachineID) int
}

// maximumAncestors bounds the walk up a tree that is not a line.
const maximumAncestors = 64

// ancestorsOf walks up a plan.
func ancestorsOf(plan Plan, chunk int, self MachineID) []MachineID {
	var ancestors []MachineID
	current := self
	for range maximumAncestors {
		parent, exists := plan.Parent(chunk, current)
		if !exists || parent == self {
			break
		}
		ancestors = append(ancestors, parent)
		current = parent
	}
	return ancestors
}

// NewPlan arranges the machines of a roster, with each chunk read from the
// origin once.
func NewPlan(strategy Strategy, roster *Roster) Plan {
	return NewPlanWithCopies(strategy, roster, 1)
}

// NewPlanWithCopies arranges the machines so that up to a number of zones read
// each chunk from the origin; strategies without zones read it once.
func NewPlanWithCopies(strategy Strategy, roster *Roster, copies int) Plan {
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
	return rotatedPlan{roster: roster, copies: max(1, copies)}
}

// arity is the number of children of an inner node within a zone.
const arity = 2

// goldenStride turns the order of a zone from chunk to chunk; a stride near the
// golden section spreads the heads of neighbouring chunks evenly.
const goldenStride = 0.6180339887498949

type rotatedPlan struct {
	roster *Roster
	// copies is how many zones read a chunk from the origin.
	copies int
}

// head returns the index of the machine that brings a chunk into a zone.
func (p rotatedPlan) head(chunk, zoneIndex int) int {
	size := len(p.roster.zones[zoneIndex].machines)
	stride := max(1, int(math.Round(goldenStride*float64(size))))
	for gcd(stride, size) != 1 {
		stride++
	}
	// A shift after each cycle of zones and machines makes every machine the head of
	// a root zone in its turn, also when the two numbers share a divisor.
	cycle := size * len(p.roster.zones) / gcd(size, len(p.roster.zones))
	return ((chunk + chunk/cycle) % size) * stride % size
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

// rootZone is the first zone that reads a chunk from the origin.
func (p rotatedPlan) rootZone(chunk int) int { return chunk % len(p.roster.zones) }

// zoneRank orders the zones for a chunk, the root zone first. The zones after
// it are taken from as many regions as possible.
func (p rotatedPlan) zoneRank(chunk, zoneIndex int) int {
	root := p.rootZone(chunk)
	regions := len(p.roster.regions)
	regionRank := (p.roster.zones[zoneIndex].region - p.roster.zones[root].region + regions) % regions
	siblings := p.roster.regions[p.roster.zones[zoneIndex].region]
	gate := p.gateZone(chunk, p.roster.zones[zoneIndex].region)
	siblingRank := (zoneIndex - gate + len(siblings)) % len(siblings)
	return siblingRank*regions + regionRank
}

// readsOrigin reports whether the head of a zone reads a chunk from the origin.
func (p rotatedPlan) readsOrigin(chunk, zoneIndex int) bool {
	return zoneIndex == p.rootZone(chunk) || p.zoneRank(chunk, zoneIndex) < p.copies
}

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
	if p.readsOrigin(chunk, at.zone) {
		return "", false
	}
	root := p.rootZone(chunk)
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
			gate := p.gateZone(chunk, other)
			if other != region && !p.readsOrigin(chunk, gate) {
				heads = append(heads, p.machineAt(chunk, gate, 0))
			}
		}
	}
	if from == p.gateZone(chunk, region) {
		for _, sibling := range p.roster.regions[region] {
			if sibling != from && !p.readsOrigin(chunk, sibling) {
				heads = append(heads, p.machineAt(chunk, sibling, 0))
			}
		}
	}
	return heads
}

// originReaders is how many machines of a zone may in turn read a late chunk
// from the origin.
const originReaders = 6

// OriginReaders implements Plan.
func (p rotatedPlan) OriginReaders(chunk int, self MachineID) []MachineID {
	at, known := p.roster.places[self]
	if !known {
		return nil
	}
	return topReaders(chunk, p.roster.zones[at.zone].machines)
}

// Zone implements Plan.
func (p rotatedPlan) Zone(machine MachineID) string { return p.roster.Zone(machine) }

// Neighbors implements Plan.
func (p rotatedPlan) Neighbors(self MachineID) []MachineID { return p.roster.ZoneMembers(self) }

// topReaders ranks machines for a chunk by rendezvous hashing.
func topReaders(chunk int, machines []MachineID) []MachineID {
	names := make([]string, 0, len(machines))
	for _, machine := range machines {
		names = append(names, string(machine))
	}
	top := placement.Top("origin-reader/"+strconv.Itoa(chunk), names, originReaders)
	readers := make([]MachineID, 0, len(top))
	for _, name := range top {
		readers = append(readers, MachineID(name))
	}
	return readers
}

// maximumElders bounds the machines of the own zone that are asked after the
// ancestors.
const maximumElders = 8

// Providers implements Plan: ancestors, then the machines before this one in
// the zone, or the heads of the zones before this one for a head.
func (p rotatedPlan) Providers(chunk int, self MachineID) []MachineID {
	providers := ancestorsOf(p, chunk, self)
	at, known := p.roster.places[self]
	if !known {
		return providers
	}
	position := p.position(chunk, at)
	for elder := max(0, position-maximumElders); elder < position; elder++ {
		providers = append(providers, p.machineAt(chunk, at.zone, elder))
	}
	if position == 0 {
		providers = append(providers, p.earlierHeads(chunk, at.zone)...)
	}
	return providers
}

// maximumHeads bounds the other zones whose heads are asked, because a zone that
// is cut off finds none of them.
const maximumHeads = 2

// earlierHeads returns heads of the zones that stand before one for a chunk.
func (p rotatedPlan) earlierHeads(chunk, zoneIndex int) []MachineID {
	var heads []MachineID
	own := p.zoneRank(chunk, zoneIndex)
	for other := range p.roster.zones {
		if p.zoneRank(chunk, other) < own && len(heads) < maximumHeads {
			heads = append(heads, p.machineAt(chunk, other, 0))
		}
	}
	return heads
}

// Height implements Plan.
func (p rotatedPlan) Height(chunk int, self MachineID) int {
	at, known := p.roster.places[self]
	if !known {
		return 0
	}
	position := p.position(chunk, at)
	height := heapHeight(position, len(p.roster.zones[at.zone].machines), arity)
	if position > 0 {
		return height
	}
	region := p.roster.zones[at.zone].region
	if at.zone == p.gateZone(chunk, region) && len(p.roster.regions[region]) > 1 {
		height++
	}
	if at.zone == p.rootZone(chunk) && len(p.roster.regions) > 1 {
		height++
	}
	return height
}

// heapHeight is the number of levels below a position of a heap-shaped tree.
func heapHeight(position, size, children int) int {
	height := 0
	for next := position*children + 1; next < size; next = next*children + 1 {
		height++
	}
	return height
}
