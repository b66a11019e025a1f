// Package rollout simulates the distribution of weights in virtual time, for
// fleets of any size, with the same dissemination code that agents run.
package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/internal/experiment/virtual"
)

// Duplex says whether a machine's link carries both directions at the same time.
type Duplex string

// The duplex modes.
const (
	DuplexFull Duplex = "full"
	DuplexHalf Duplex = "half"
)

// Options configures a simulated rollout. Times are in slots: one slot is the time
// to transfer one chunk over a machine's link.
type Options struct {
	Machines int
	Zones    int
	Regions  int
	Chunks   int
	Strategy dissemination.Strategy
	Duplex   Duplex
	Seed     uint64
	// Dead is the fraction of machines that die during the rollout.
	Dead float64
	// Stalled is the fraction of machines whose uplink stalls during the rollout.
	Stalled float64
	// Corrupt is the fraction of transfers whose bytes arrive corrupt.
	Corrupt float64
	// StaleList is the fraction of machines that plan with a stale membership list.
	StaleList float64
	// Partition cuts one zone off from the others, but not from the origin.
	Partition bool
	// OriginCopies is how many zones read each chunk from the origin.
	OriginCopies int
	// HeldFraction is the fraction of chunks that machines hold from the start.
	HeldFraction float64
	// SkipVerification makes machines accept corrupt chunks, to show that
	// MixedOrPartial counts them.
	SkipVerification bool
}

// Parameters of the simulation, in slots.
const (
	slot = time.Second
	// originSlots is how many chunks the origin sends at once.
	originSlots = 2
	// controlDelay is the delay of one message.
	controlDelay = slot / 20
	// stallWindow is the time after which a stalled transfer fails.
	stallWindow = 3 * slot
	// silenceTimeout is the time after which a message to an unreachable machine fails.
	silenceTimeout  = 2 * slot
	progressTimeout = 4 * slot
	tickPeriod      = slot
	// limitFactor is the multiple of the lower bound after which a rollout is ended as
	// not converged.
	limitFactor = 20
	// maxJitter is the largest fraction by which a transfer takes longer.
	maxJitter = 0.02
)

// Result holds the measurements of a rollout.
type Result struct {
	Machines int                    `json:"machines"`
	Zones    int                    `json:"zones"`
	Regions  int                    `json:"regions"`
	Chunks   int                    `json:"chunks"`
	Strategy dissemination.Strategy `json:"strategy"`
	Duplex   Duplex                 `json:"duplex"`
	Seed     uint64                 `json:"seed"`
	// Live is how many machines hold every chunk; Dead is how many died.
	Live int `json:"live"`
	Dead int `json:"dead"`
	// CompletionSlots is when the last surviving machine completed.
	CompletionSlots float64 `json:"completion_slots"`
	LowerBoundSlots float64 `json:"lower_bound_slots"`
	Ratio           float64 `json:"ratio_to_lower_bound"`
	// OriginCopies is the number of copies that the origin sent, including failed transfers.
	OriginCopies float64 `json:"origin_copies"`
	// MixedOrPartial counts machines that considered their weights complete while a
	// chunk was missing or corrupt.
	MixedOrPartial int `json:"mixed_or_partial_served"`
	// Failed counts failed transfers by reason.
	Failed map[string]int `json:"failed_transfers"`
	// ZoneCrossings and RegionCrossings are the transfers per chunk between zones and regions.
	ZoneCrossings   float64 `json:"zone_crossings_per_chunk"`
	RegionCrossings float64 `json:"region_crossings_per_chunk"`
	// Duplicates counts chunks received by a machine that already held them.
	Duplicates int `json:"duplicate_transfers"`
	// Messages counts offers and chunk queries.
	Messages int `json:"control_messages"`
	// Converged is false when not every surviving machine completed.
	Converged bool `json:"converged"`
	// Curve is the fraction of machines complete at each hundredth of the time.
	Curve []float64 `json:"-"`
}

// machine is one simulated machine.
type machine struct {
	dissemination.Machine
	index     int
	fetcher   *dissemination.Fetcher
	dead      bool
	stalled   bool
	sending   bool
	receiving bool
	queue     []*request
	awaiting  []*request
	// correct is the simulator's own record of the chunks that are held and not corrupt.
	correct  []bool
	complete time.Duration
}

type simulation struct {
	virtual.Timeline
	options  Options
	random   *rand.Rand
	machines []*machine
	byID     map[dissemination.MachineID]*machine
	// originQueue holds the requests that wait at the origin; originSending counts its
	// transfers in progress.
	originQueue     []*request
	originSending   int
	originSent      int
	partitioned     bool
	alive           int
	completed       int
	result          Result
	zoneCrossings   int
	regionCrossings int
}

// Simulate runs a rollout in virtual time. The same options give the same result.
func Simulate(options Options) Result {
	s := newSimulation(options)
	s.assignPlans()
	s.scheduleFaults()
	for _, m := range s.machines {
		s.After(s.randomTime(tickPeriod), func() { s.tick(m) })
		m.fetcher.Start(0)
		s.executeActions(m)
	}
	limit := s.timeLimit()
	for s.Pending() && s.completed < s.alive && s.Now() < limit {
		s.Step()
	}
	return s.summarize()
}

// timeLimit returns when a rollout is ended as not converged. Star and chain get one
// more slot for each machine and chunk, since the origin of a star sends every copy.
func (s *simulation) timeLimit() time.Duration {
	slots := limitFactor * s.lowerBound()
	if s.options.Strategy == dissemination.StrategyStar || s.options.Strategy == dissemination.StrategyChain {
		slots += float64(s.options.Machines * s.options.Chunks)
	}
	return time.Duration(slots * float64(slot))
}

func newSimulation(options Options) *simulation {
	s := &simulation{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 0x70696e65)),
		byID:    map[dissemination.MachineID]*machine{},
		alive:   options.Machines,
		result:  Result{Failed: map[string]int{}},
	}
	for i := range options.Machines {
		zone := i * options.Zones / options.Machines
		m := &machine{index: i, correct: make([]bool, options.Chunks), complete: -1}
		m.Machine = dissemination.Machine{
			ID:     dissemination.MachineID(fmt.Sprintf("m%05d", i)),
			Zone:   fmt.Sprintf("zone-%d", zone),
			Region: fmt.Sprintf("region-%d", zone*options.Regions/options.Zones),
		}
		s.machines = append(s.machines, m)
		s.byID[m.ID] = m
	}
	return s
}

// staleListCount is the number of different stale membership lists.
const staleListCount = 4

// staleMissing is the fraction of machines that a stale list lacks, staleDeparted the
// fraction that it lists in addition although they have departed.
const (
	staleMissing  = 0.03
	staleDeparted = 0.02
)

// assignPlans gives each machine its membership list and its fetcher.
func (s *simulation) assignPlans() {
	all := make([]dissemination.Machine, 0, len(s.machines))
	for _, m := range s.machines {
		all = append(all, m.Machine)
	}
	fresh := dissemination.NewRoster(all)
	freshPlan := dissemination.NewPlanWithCopies(s.options.Strategy, fresh, s.options.OriginCopies)
	var stale [][]dissemination.Machine
	for variant := range staleListCount {
		stale = append(stale, s.staleList(all, variant))
	}
	held := s.heldChunks()
	for _, m := range s.machines {
		plan := freshPlan
		if s.random.Float64() < s.options.StaleList {
			list := append([]dissemination.Machine{m.Machine}, stale[s.random.IntN(staleListCount)]...)
			plan = dissemination.NewPlanWithCopies(s.options.Strategy, dissemination.NewRoster(list), s.options.OriginCopies)
		}
		copy(m.correct, held)
		m.fetcher = dissemination.NewFetcher(dissemination.Options{
			Self: m.ID, Plan: plan, Chunks: s.options.Chunks, Held: held, ProgressTimeout: progressTimeout,
		})
	}
}

func (s *simulation) heldChunks() []bool {
	held := make([]bool, s.options.Chunks)
	for chunk := range held {
		held[chunk] = s.random.Float64() < s.options.HeldFraction
	}
	return held
}

func (s *simulation) staleList(all []dissemination.Machine, variant int) []dissemination.Machine {
	var list []dissemination.Machine
	for _, m := range all {
		if s.random.Float64() >= staleMissing {
			list = append(list, m)
		}
		if s.random.Float64() < staleDeparted {
			departed := m
			departed.ID += dissemination.MachineID(fmt.Sprintf("-gone-%d", variant))
			list = append(list, departed)
		}
	}
	return list
}

// lowerBound returns the minimum number of slots: every machine's link carries every
// missing chunk once, and the copies of the last chunk at most double in each slot.
func (s *simulation) lowerBound() float64 {
	chunks := float64(s.options.Chunks) * (1 - s.options.HeldFraction)
	bound := chunks
	if s.options.Duplex == DuplexHalf {
		bound = 2*chunks - chunks/float64(s.options.Machines)
	}
	return bound + math.Log2(float64(s.options.Machines))
}

func (s *simulation) tick(m *machine) {
	if m.dead || m.complete >= 0 {
		return
	}
	m.fetcher.Tick(s.Now())
	s.executeActions(m)
	s.After(tickPeriod, func() { s.tick(m) })
}

// executeActions executes the pending actions of a machine's fetcher.
func (s *simulation) executeActions(m *machine) {
	for _, action := range m.fetcher.TakeActions() {
		switch action.Kind {
		case dissemination.Offer:
			s.sendOffer(m, action)
		case dissemination.Query:
			s.sendQuery(m, action)
		case dissemination.Fetch:
			s.sendFetch(m, action)
		case dissemination.FetchOrigin:
			s.originQueue = append(s.originQueue, &request{to: m, chunk: action.Chunk})
			s.matchOrigin()
		}
	}
}

// curvePoints is the resolution of the completion curve.
const curvePoints = 100

func (s *simulation) summarize() Result {
	result := s.result
	o := s.options
	result.Machines, result.Zones, result.Regions, result.Chunks = o.Machines, o.Zones, o.Regions, o.Chunks
	result.Strategy, result.Duplex, result.Seed = o.Strategy, o.Duplex, o.Seed
	var last time.Duration
	for _, m := range s.machines {
		if m.dead || m.complete < 0 {
			continue
		}
		result.Live++
		last = max(last, m.complete)
		for _, good := range m.correct {
			if !good {
				result.MixedOrPartial++
				break
			}
		}
	}
	result.Converged = result.Live == s.alive
	result.CompletionSlots = last.Seconds()
	result.LowerBoundSlots = s.lowerBound()
	result.Ratio = result.CompletionSlots / result.LowerBoundSlots
	result.OriginCopies = float64(s.originSent) / float64(o.Chunks)
	result.ZoneCrossings = float64(s.zoneCrossings) / float64(o.Chunks)
	result.RegionCrossings = float64(s.regionCrossings) / float64(o.Chunks)
	for point := range curvePoints + 1 {
		limit := last * time.Duration(point) / curvePoints
		count := 0
		for _, m := range s.machines {
			if m.complete >= 0 && m.complete <= limit {
				count++
			}
		}
		result.Curve = append(result.Curve, float64(count)/float64(o.Machines))
	}
	return result
}
