package dissemination

import (
	"math"
	"strconv"

	"pinevane.example/pinevane/coordination/placement"
)

// Strategy names a topology for the distribution of chunks.
type Strategy string

// The strategies. StrategyRotated is the default; the others are baselines for
// experiments.
const (
	// StrategyStar fetches every chunk from the origin.
	StrategyStar Strategy = "star"
	// StrategyChain passes every chunk along one fixed chain.
	StrategyChain Strategy = "chain"
	// StrategyTree passes each chunk down a binary tree over a hashed order.
	StrategyTree Strategy = "tree"
	// StrategyRotated passes each chunk down a tree that enters each region and
	// zone once, rotated from chunk to chunk so that every machine is an inner node
	// equally often.
	StrategyRotated Strategy = "rotated"
	// StrategyPull announces each chunk to a few random peers, which pull it.
	StrategyPull Strategy = "pull"
)

// Strategies lists all strategies.
var Strategies = []Strategy{StrategyStar, StrategyChain, StrategyTree, StrategyRotated, StrategyPull}

// Plan defines which machine passes a chunk to which other machines of a roster.
type Plan interface {
	// Parent returns the machine that offers the chunk to this machine; false means
	// that this machine fetches it from the origin.
	Parent(chunk int, self MachineID) (MachineID, bool)
	// Children returns the machines to which this machine offers the chunk.
	Children(chunk int, self MachineID) []MachineID
	// Providers returns the machines to query for a late chunk, nearest first:
	// ancestors, then others that precede this machine in the chunk's order.
	Providers(chunk int, self MachineID) []MachineID
	// OriginReaders returns the few machines that may read a chunk from the origin
	// when it does not arrive, in the order in which they may do so.
	OriginReaders(chunk int, self MachineID) []MachineID
	// Zone returns the zone of a machine, or "" when it is not known.
	Zone(machine MachineID) string
	// Neighbors returns the nearby machines, including the machine itself.
	Neighbors(self MachineID) []MachineID
	// Height returns the number of levels of machines below this one for the chunk.
	Height(chunk int, self MachineID) int
}

// maxAncestors bounds the walk towards the root; trees are not deeper, chains may be.
const maxAncestors = 64

// ancestorsOf returns the parents between a machine and the root, nearest first.
func ancestorsOf(plan Plan, chunk int, self MachineID) []MachineID {
	var ancestors []MachineID
	current := self
	for range maxAncestors {
		parent, exists := plan.Parent(chunk, current)
		if !exists || parent == self {
			break
		}
		ancestors = append(ancestors, parent)
		current = parent
	}
	return ancestors
}

// NewPlan returns a plan for the machines of a roster in which each chunk is read
// from the origin once.
func NewPlan(strategy Strategy, roster *Roster) Plan {
	return NewPlanWithCopies(strategy, roster, 1)
}

// NewPlanWithCopies returns a plan in which up to copies zones read each chunk from
// the origin; strategies that ignore zones read it once.
func NewPlanWithCopies(strategy Strategy, roster *Roster, copies int) Plan {
	switch strategy {
	case StrategyStar:
		return starPlan{}
	case StrategyChain:
		return newTreePlan(roster, 1, identityOrder)
	case StrategyTree:
		return newTreePlan(roster, 2, hashedOrder)
	case StrategyPull:
		return newPullPlan(roster)
	}
	return rotatedPlan{roster: roster, copies: max(1, copies)}
}

// arity is the number of children of an inner node within a zone.
const arity = 2

// goldenStride is the fraction of a zone by which its order rotates from chunk to
// chunk; the golden ratio spreads the heads of consecutive chunks evenly.
const goldenStride = 0.6180339887498949

type rotatedPlan struct {
	roster *Roster
	// copies is the number of zones that read a chunk from the origin.
	copies int
}

// headIndex returns the index of the zone's head, the machine through which a chunk
// enters the zone.
func (p rotatedPlan) headIndex(chunk, zoneIndex int) int {
	size := len(p.roster.zones[zoneIndex].machines)
	stride := max(1, int(math.Round(goldenStride*float64(size))))
	for gcd(stride, size) != 1 {
		stride++
	}
	// Shifting by one after each cycle of zones and machines makes every machine the
	// head of a root zone equally often, also when the two numbers share a divisor.
	cycle := size * len(p.roster.zones) / gcd(size, len(p.roster.zones))
	return ((chunk + chunk/cycle) % size) * stride % size
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (p rotatedPlan) position(chunk int, loc location) int {
	size := len(p.roster.zones[loc.zone].machines)
	return (loc.index - p.headIndex(chunk, loc.zone) + size) % size
}

func (p rotatedPlan) machineAt(chunk, zoneIndex, position int) MachineID {
	machines := p.roster.zones[zoneIndex].machines
	return machines[(p.headIndex(chunk, zoneIndex)+position)%len(machines)]
}

// rootZone returns the first zone that reads a chunk from the origin.
func (p rotatedPlan) rootZone(chunk int) int { return chunk % len(p.roster.zones) }

// zoneRank returns the rank of a zone for a chunk, 0 for the root zone. The zones
// after it alternate over the regions.
func (p rotatedPlan) zoneRank(chunk, zoneIndex int) int {
	root := p.rootZone(chunk)
	regions := len(p.roster.regions)
	regionRank := (p.roster.zones[zoneIndex].region - p.roster.zones[root].region + regions) % regions
	siblings := p.roster.regions[p.roster.zones[zoneIndex].region]
	entryZone := p.entryZone(chunk, p.roster.zones[zoneIndex].region)
	siblingRank := (zoneIndex - entryZone + len(siblings)) % len(siblings)
	return siblingRank*regions + regionRank
}

// readsOrigin reports whether the head of a zone reads a chunk from the origin.
func (p rotatedPlan) readsOrigin(chunk, zoneIndex int) bool {
	return zoneIndex == p.rootZone(chunk) || p.zoneRank(chunk, zoneIndex) < p.copies
}

// entryZone returns the zone through which a chunk enters a region.
func (p rotatedPlan) entryZone(chunk, region int) int {
	root := p.rootZone(chunk)
	if p.roster.zones[root].region == region {
		return root
	}
	zones := p.roster.regions[region]
	return zones[chunk%len(zones)]
}

// Parent implements Plan.
func (p rotatedPlan) Parent(chunk int, self MachineID) (MachineID, bool) {
	loc, known := p.roster.locations[self]
	if !known {
		return "", false
	}
	if position := p.position(chunk, loc); position > 0 {
		return p.machineAt(chunk, loc.zone, (position-1)/arity), true
	}
	if p.readsOrigin(chunk, loc.zone) {
		return "", false
	}
	root := p.rootZone(chunk)
	if entryZone := p.entryZone(chunk, p.roster.zones[loc.zone].region); loc.zone != entryZone {
		return p.machineAt(chunk, entryZone, 0), true
	}
	return p.machineAt(chunk, root, 0), true
}

// Children implements Plan. Heads of other zones come first, because their whole
// zones wait for them.
func (p rotatedPlan) Children(chunk int, self MachineID) []MachineID {
	loc, known := p.roster.locations[self]
	if !known {
		return nil
	}
	position := p.position(chunk, loc)
	var children []MachineID
	if position == 0 {
		children = p.remoteHeads(chunk, loc.zone)
	}
	size := len(p.roster.zones[loc.zone].machines)
	for next := position*arity + 1; next <= position*arity+arity && next < size; next++ {
		children = append(children, p.machineAt(chunk, loc.zone, next))
	}
	return children
}

// remoteHeads returns the heads of the zones to which the head of a zone passes a chunk.
func (p rotatedPlan) remoteHeads(chunk, from int) []MachineID {
	var heads []MachineID
	region := p.roster.zones[from].region
	if from == p.rootZone(chunk) {
		for other := range p.roster.regions {
			entryZone := p.entryZone(chunk, other)
			if other != region && !p.readsOrigin(chunk, entryZone) {
				heads = append(heads, p.machineAt(chunk, entryZone, 0))
			}
		}
	}
	if from == p.entryZone(chunk, region) {
		for _, sibling := range p.roster.regions[region] {
			if sibling != from && !p.readsOrigin(chunk, sibling) {
				heads = append(heads, p.machineAt(chunk, sibling, 0))
			}
		}
	}
	return heads
}

// maxOriginReaders is how many machines of a zone may, one after the other, read a
// late chunk from the origin.
const maxOriginReaders = 6

// OriginReaders implements Plan.
func (p rotatedPlan) OriginReaders(chunk int, self MachineID) []MachineID {
	loc, known := p.roster.locations[self]
	if !known {
		return nil
	}
	return rankOriginReaders(chunk, p.roster.zones[loc.zone].machines)
}

// Zone implements Plan.
func (p rotatedPlan) Zone(machine MachineID) string { return p.roster.Zone(machine) }

// Neighbors implements Plan.
func (p rotatedPlan) Neighbors(self MachineID) []MachineID { return p.roster.ZoneMembers(self) }

// rankOriginReaders returns the origin readers of a chunk by rendezvous hashing.
func rankOriginReaders(chunk int, machines []MachineID) []MachineID {
	names := make([]string, 0, len(machines))
	for _, machine := range machines {
		names = append(names, string(machine))
	}
	top := placement.Top("origin-reader/"+strconv.Itoa(chunk), names, maxOriginReaders)
	readers := make([]MachineID, 0, len(top))
	for _, name := range top {
		readers = append(readers, MachineID(name))
	}
	return readers
}

// maxEarlierMembers bounds the machines of the same zone that are queried after the
// ancestors.
const maxEarlierMembers = 8

// Providers implements Plan. It returns the ancestors, then the machines before this
// one in the zone, and for a head those of the zones before this one.
func (p rotatedPlan) Providers(chunk int, self MachineID) []MachineID {
	providers := ancestorsOf(p, chunk, self)
	loc, known := p.roster.locations[self]
	if !known {
		return providers
	}
	position := p.position(chunk, loc)
	for earlier := max(0, position-maxEarlierMembers); earlier < position; earlier++ {
		providers = append(providers, p.machineAt(chunk, loc.zone, earlier))
	}
	if position == 0 {
		providers = append(providers, p.earlierHeads(chunk, loc.zone)...)
	}
	return providers
}

// maxEarlierHeads bounds the other zones whose heads are queried, because a
// partitioned zone can reach none of them.
const maxEarlierHeads = 2

// earlierHeads returns the heads, as of headIndex, of up to maxEarlierHeads zones that rank before a
// zone for a chunk.
func (p rotatedPlan) earlierHeads(chunk, zoneIndex int) []MachineID {
	var heads []MachineID
	own := p.zoneRank(chunk, zoneIndex)
	for other := range p.roster.zones {
		if p.zoneRank(chunk, other) < own && len(heads) < maxEarlierHeads {
			heads = append(heads, p.machineAt(chunk, other, 0))
		}
	}
	return heads
}

// Height implements Plan.
func (p rotatedPlan) Height(chunk int, self MachineID) int {
	loc, known := p.roster.locations[self]
	if !known {
		return 0
	}
	position := p.position(chunk, loc)
	height := heapHeight(position, len(p.roster.zones[loc.zone].machines), arity)
	if position > 0 {
		return height
	}
	region := p.roster.zones[loc.zone].region
	if loc.zone == p.entryZone(chunk, region) && len(p.roster.regions[region]) > 1 {
		height++
	}
	if loc.zone == p.rootZone(chunk) && len(p.roster.regions) > 1 {
		height++
	}
	return height
}

// heapHeight returns the number of levels below a position in a heap-shaped tree.
func heapHeight(position, size, children int) int {
	height := 0
	for next := position*children + 1; next < size; next = next*children + 1 {
		height++
	}
	return height
}
