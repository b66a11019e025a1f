// Package rollout measures how weights spread: in virtual time for fleets of
// any size, with the same dissemination code that agents run, and over real
// processes on loopback.
package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/internal/experiment/virtual"
)

// Duplex says whether a machine's link carries both directions at once.
type Duplex string

// The duplex modes.
const (
	DuplexFull Duplex = "full"
	DuplexHalf Duplex = "half"
)

// Options describes a simulated rollout. Times are in slots: one slot is the
// time of one chunk on a machine's link.
type Options struct {
	Machines int
	Zones    int
	Regions  int
	Chunks   int
	Strategy dissemination.Strategy
	Duplex   Duplex
	Seed     uint64
	// Dead is the share of machines that die during the rollout.
	Dead float64
	// Stalled is the share of machines whose uplink hangs from some moment on.
	Stalled float64
	// Corrupt is the share of transfers whose bytes arrive wrong.
	Corrupt float64
	// StaleList is the share of machines that plan with a wrong membership list.
	StaleList float64
	// Partition cuts one zone off from the others, but not from the origin.
	Partition bool
	// OriginCopies is how many zones read each chunk from the origin.
	OriginCopies int
	// HeldShare is the share of chunks that machines hold already.
	HeldShare float64
	// SkipVerification makes machines accept corrupt chunks, to show that the
	// check of what is served notices it.
	SkipVerification bool
}

// The slot model.
const (
	slot = time.Second
	// originSlots is how many chunks the origin sends at once.
	originSlots = 2
	// controlDelay is the time of one message.
	controlDelay = slot / 20
	// stallWindow is how long a hanging transfer lasts until it is given up.
	stallWindow = 3 * slot
	// silenceTimeout is how long a dead machine is waited for.
	silenceTimeout = 2 * slot
	patience       = 4 * slot
	tickPeriod     = slot
	// limitFactor ends a rollout that does not converge, in lower bounds.
	limitFactor = 20
	// maximumJitter lengthens each transfer by up to this share.
	maximumJitter = 0.02
)

// Result is what a rollout came to.
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
	// CompletionSlots is when the last surviving machine was complete.
	CompletionSlots float64 `json:"completion_slots"`
	LowerBoundSlots float64 `json:"lower_bound_slots"`
	Ratio           float64 `json:"ratio_to_lower_bound"`
	// OriginCopies is what the origin sent, failed transfers included.
	OriginCopies float64 `json:"origin_copies"`
	// MixedOrPartial counts machines that took their weights for whole while a
	// chunk was missing or wrong.
	MixedOrPartial int `json:"mixed_or_partial_served"`
	// Failed counts transfers that did not give a chunk, by reason.
	Failed map[string]int `json:"failed_transfers"`
	// ZoneCrossings and RegionCrossings are transfers a chunk across a border.
	ZoneCrossings   float64 `json:"zone_crossings_per_chunk"`
	RegionCrossings float64 `json:"region_crossings_per_chunk"`
	// Duplicates counts chunks received by a machine that held them already.
	Duplicates int `json:"duplicate_transfers"`
	// Messages counts offers and questions.
	Messages int `json:"control_messages"`
	// Converged is false when the rollout did not end.
	Converged bool `json:"converged"`
	// Curve is the share of machines complete at each hundredth of the time.
	Curve []float64 `json:"-"`
}

// request is a chunk that a machine waits for at a source.
type request struct {
	from  *machine
	to    *machine
	chunk int
	// height is how many levels of machines wait behind the receiver.
	height int
}

// machine is one simulated machine.
type machine struct {
	dissemination.Machine
	index    int
	fetcher  *dissemination.Fetcher
	dead     bool
	stalled  bool
	sending  bool
	getting  bool
	queue    []*request
	awaiting []*request
	// good is the simulator's own record of which chunks are held and right.
	good     []bool
	complete time.Duration
}

type simulation struct {
	virtual.Timeline
	options  Options
	random   *rand.Rand
	machines []*machine
	byID     map[dissemination.MachineID]*machine
	// originQueue holds requests at the origin; originBusy counts its transfers.
	originQueue []*request
	originBusy  int
	originSent  int
	partitioned bool
	alive       int
	done        int
	result      Result
	zoneCross   int
	regionCross int
}

// Simulate runs a rollout in virtual time. The same options give the same result.
func Simulate(options Options) Result {
	s := newSimulation(options)
	s.plan()
	s.scheduleFaults()
	for _, m := range s.machines {
		s.After(s.randomTime(tickPeriod), func() { s.tick(m) })
		m.fetcher.Start(0)
		s.carryOut(m)
	}
	limit := s.timeLimit()
	for s.Pending() && s.done < s.alive && s.Now() < limit {
		s.Step()
	}
	return s.summarize()
}

// timeLimit is when a rollout counts as stuck; a star needs a link a machine.
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
		m := &machine{index: i, good: make([]bool, options.Chunks), complete: -1}
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

// staleRosters is how many different wrong lists there are.
const staleRosters = 4

// staleMissing and staleGhosts are the shares of machines that a wrong list
// lacks and that it has although they are gone.
const (
	staleMissing = 0.03
	staleGhosts  = 0.02
)

// plan gives each machine its list and its fetcher.
func (s *simulation) plan() {
	all := make([]dissemination.Machine, 0, len(s.machines))
	for _, m := range s.machines {
		all = append(all, m.Machine)
	}
	fresh := dissemination.NewRoster(all)
	freshPlan := dissemination.NewPlanWithCopies(s.options.Strategy, fresh, s.options.OriginCopies)
	var stale [][]dissemination.Machine
	for variant := range staleRosters {
		stale = append(stale, s.staleList(all, variant))
	}
	held := s.heldChunks()
	for _, m := range s.machines {
		plan := freshPlan
		if s.random.Float64() < s.options.StaleList {
			list := append([]dissemination.Machine{m.Machine}, stale[s.random.IntN(staleRosters)]...)
			plan = dissemination.NewPlanWithCopies(s.options.Strategy, dissemination.NewRoster(list), s.options.OriginCopies)
		}
		copy(m.good, held)
		m.fetcher = dissemination.NewFetcher(dissemination.Options{
			Self: m.ID, Plan: plan, Chunks: s.options.Chunks, Held: held, Patience: patience,
		})
	}
}

func (s *simulation) heldChunks() []bool {
	held := make([]bool, s.options.Chunks)
	for chunk := range held {
		held[chunk] = s.random.Float64() < s.options.HeldShare
	}
	return held
}

func (s *simulation) staleList(all []dissemination.Machine, variant int) []dissemination.Machine {
	var list []dissemination.Machine
	for _, m := range all {
		if s.random.Float64() >= staleMissing {
			list = append(list, m)
		}
		if s.random.Float64() < staleGhosts {
			ghost := m
			ghost.ID += dissemination.MachineID(fmt.Sprintf("-gone-%d", variant))
			list = append(list, ghost)
		}
	}
	return list
}

// scheduleFaults draws who dies, whose uplink hangs, and when.
func (s *simulation) scheduleFaults() {
	expected := time.Duration(s.lowerBound() * float64(slot))
	for _, m := range s.machines {
		if s.random.Float64() < s.options.Dead {
			s.After(s.randomTime(expected), func() { s.kill(m) })
		}
		if s.random.Float64() < s.options.Stalled {
			s.After(s.randomTime(expected), func() { s.hang(m) })
		}
	}
	if s.options.Partition {
		s.After(expected*2/5, func() { s.partitioned = true })
	}
}

// lowerBound is the least number of slots: every machine's link carries every
// missing chunk once, and the last chunk still has to double its way through.
func (s *simulation) lowerBound() float64 {
	chunks := float64(s.options.Chunks) * (1 - s.options.HeldShare)
	bound := chunks
	if s.options.Duplex == DuplexHalf {
		bound = 2*chunks - chunks/float64(s.options.Machines)
	}
	return bound + math.Log2(float64(s.options.Machines))
}

// randomTime draws a time below a limit.
func (s *simulation) randomTime(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *simulation) kill(m *machine) {
	if m.dead {
		return
	}
	m.dead = true
	s.alive--
	s.result.Dead++
	if m.complete >= 0 {
		s.done--
	}
	for _, waiting := range m.queue {
		s.fail(waiting, silenceTimeout, dissemination.Unreachable)
	}
	m.queue = nil
}

// hang stops a machine's uplink; what waits for it makes no progress.
func (s *simulation) hang(m *machine) {
	m.stalled = true
	for _, waiting := range m.queue {
		s.fail(waiting, stallWindow, dissemination.Stalled)
	}
	m.queue = nil
}

func (s *simulation) tick(m *machine) {
	if m.dead || m.complete >= 0 {
		return
	}
	m.fetcher.Tick(s.Now())
	s.carryOut(m)
	s.After(tickPeriod, func() { s.tick(m) })
}

// reachable reports whether a message between two machines arrives.
func (s *simulation) reachable(a, b *machine) bool {
	if b == nil || b.dead {
		return false
	}
	const cutZone = "zone-0"
	return !s.partitioned || (a.Zone == cutZone) == (b.Zone == cutZone)
}

// carryOut does what a fetcher wants.
func (s *simulation) carryOut(m *machine) {
	for _, action := range m.fetcher.Take() {
		switch action.Kind {
		case dissemination.Offer:
			s.sendOffer(m, action)
		case dissemination.Ask:
			s.sendAsk(m, action)
		case dissemination.Fetch:
			s.sendFetch(m, action)
		case dissemination.FetchOrigin:
			s.originQueue = append(s.originQueue, &request{to: m, chunk: action.Chunk})
			s.matchOrigin()
		}
	}
}

func (s *simulation) sendOffer(m *machine, action dissemination.Action) {
	s.result.Messages++
	s.After(controlDelay, func() {
		peer := s.byID[action.Peer]
		if s.reachable(m, peer) {
			peer.fetcher.Offered(m.ID, action.Chunk, s.Now())
			s.carryOut(peer)
			return
		}
		s.After(silenceTimeout, func() {
			m.fetcher.OfferFailed(action.Peer, action.Chunk, s.Now())
			s.carryOut(m)
		})
	})
}

func (s *simulation) sendAsk(m *machine, action dissemination.Action) {
	s.result.Messages++
	s.After(controlDelay, func() {
		peer := s.byID[action.Peer]
		if !s.reachable(m, peer) {
			s.After(silenceTimeout, func() {
				m.fetcher.AskFailed(action.Peer, action.Chunk, s.Now())
				s.carryOut(m)
			})
			return
		}
		held := peer.fetcher.Asked(m.ID, action.Chunk, len(peer.queue), s.Now())
		s.After(controlDelay, func() {
			age, expected := peer.fetcher.Expects(action.Chunk, s.Now())
			switch {
			case held:
				m.fetcher.Offered(peer.ID, action.Chunk, s.Now())
			case expected:
				m.fetcher.AskPending(peer.ID, action.Chunk, age, s.Now())
			default:
				m.fetcher.AskDenied(peer.ID, action.Chunk)
			}
			s.carryOut(m)
		})
	})
}

func (s *simulation) sendFetch(m *machine, action dissemination.Action) {
	wanted := &request{from: s.byID[action.Peer], to: m, chunk: action.Chunk, height: m.fetcher.Height(action.Chunk)}
	s.After(controlDelay, func() {
		if !s.reachable(m, wanted.from) {
			s.After(silenceTimeout, func() { s.report(wanted, action.Peer, dissemination.Unreachable) })
			return
		}
		if wanted.from.stalled {
			s.fail(wanted, stallWindow, dissemination.Stalled)
			return
		}
		wanted.from.queue = append(wanted.from.queue, wanted)
		m.awaiting = append(m.awaiting, wanted)
		s.matchSender(wanted.from)
	})
}

// canSend reports whether a machine's link is free to send on. A link carries
// one transfer at a time in each direction, at its whole rate.
func (s *simulation) canSend(m *machine) bool {
	return !m.dead && !m.sending && (s.options.Duplex != DuplexHalf || !m.getting)
}

// canGet reports whether a machine's link is free to receive on.
func (s *simulation) canGet(m *machine) bool {
	return !m.dead && !m.getting && (s.options.Duplex != DuplexHalf || !m.sending)
}

// moreUrgent orders the transfers that wait for a link.
func moreUrgent(a, b *request) bool {
	return dissemination.MoreUrgent(a.height, a.chunk, b.height, b.chunk)
}

// matchSender starts the most urgent waiting transfer whose receiver is free.
func (s *simulation) matchSender(m *machine) {
	if !s.canSend(m) {
		return
	}
	var first *request
	for _, waiting := range m.queue {
		if s.canGet(waiting.to) && (first == nil || moreUrgent(waiting, first)) {
			first = waiting
		}
	}
	if first != nil {
		m.queue = remove(m.queue, first)
		s.begin(first)
	}
}

// matchReceiver starts a transfer that waits for this machine to be free.
func (s *simulation) matchReceiver(m *machine) {
	if !s.canGet(m) {
		return
	}
	var first *request
	for _, waiting := range m.awaiting {
		if s.canSend(waiting.from) && (first == nil || moreUrgent(waiting, first)) {
			first = waiting
		}
	}
	if first != nil {
		first.from.queue = remove(first.from.queue, first)
		s.begin(first)
		return
	}
	s.matchOrigin()
}

func (s *simulation) matchOrigin() {
	for i := 0; i < len(s.originQueue) && s.originBusy < originSlots; {
		waiting := s.originQueue[i]
		if !s.canGet(waiting.to) {
			i++
			continue
		}
		s.originQueue = append(s.originQueue[:i], s.originQueue[i+1:]...)
		if !waiting.to.dead {
			s.begin(waiting)
		}
	}
}

func remove(list []*request, gone *request) []*request {
	for i, candidate := range list {
		if candidate == gone {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// begin occupies both ends for the time of a transfer.
func (s *simulation) begin(started *request) {
	started.to.awaiting = remove(started.to.awaiting, started)
	duration := slot + time.Duration(s.random.Float64()*maximumJitter*float64(slot))
	corrupt := s.random.Float64() < s.options.Corrupt
	if started.from == nil {
		started.to.getting = true
		s.originBusy++
		s.originSent++
		s.After(duration, func() { s.end(started, corrupt) })
		return
	}
	started.from.sending = true
	started.to.getting = true
	s.After(duration, func() { s.end(started, corrupt) })
}

func (s *simulation) end(ended *request, corrupt bool) {
	ended.to.getting = false
	if ended.from == nil {
		s.originBusy--
	} else {
		ended.from.sending = false
	}
	switch {
	case ended.to.dead:
	case ended.from != nil && !s.reachable(ended.to, ended.from):
		s.fail(ended, stallWindow, dissemination.Unreachable)
	case ended.from != nil && ended.from.stalled:
		s.fail(ended, stallWindow, dissemination.Stalled)
	case corrupt && !s.options.SkipVerification:
		s.fail(ended, 0, dissemination.Corrupted)
	default:
		s.deliver(ended, corrupt)
	}
	if ended.from == nil {
		s.matchOrigin()
	} else {
		s.matchSender(ended.from)
		s.matchReceiver(ended.from)
	}
	s.matchReceiver(ended.to)
	s.matchSender(ended.to)
}

func (s *simulation) deliver(ended *request, corrupt bool) {
	source := dissemination.MachineID("")
	if ended.from != nil {
		source = ended.from.ID
		s.countBorders(ended)
	}
	if ended.to.fetcher.Holds(ended.chunk) {
		s.result.Duplicates++
	}
	// A copy is right when its source's copy was and nothing happened on the way.
	ended.to.good[ended.chunk] = !corrupt && (ended.from == nil || ended.from.good[ended.chunk])
	ended.to.fetcher.Fetched(source, ended.chunk, s.Now())
	s.carryOut(ended.to)
	if ended.to.fetcher.Missing() == 0 && ended.to.complete < 0 {
		ended.to.complete = s.Now()
		s.done++
	}
}

func (s *simulation) countBorders(ended *request) {
	if ended.from.Zone != ended.to.Zone {
		s.zoneCross++
	}
	if ended.from.Region != ended.to.Region {
		s.regionCross++
	}
}

func (s *simulation) fail(failed *request, delay time.Duration, reason dissemination.FailureReason) {
	failed.to.awaiting = remove(failed.to.awaiting, failed)
	source := dissemination.MachineID("")
	if failed.from != nil {
		source = failed.from.ID
	}
	s.After(delay, func() { s.report(failed, source, reason) })
}

var reasonNames = map[dissemination.FailureReason]string{
	dissemination.Unreachable: "unreachable",
	dissemination.Stalled:     "stalled",
	dissemination.Corrupted:   "corrupt",
	dissemination.NotHeld:     "not-held",
}

func (s *simulation) report(failed *request, source dissemination.MachineID, reason dissemination.FailureReason) {
	if failed.to.dead {
		return
	}
	s.result.Failed[reasonNames[reason]]++
	failed.to.fetcher.FetchFailed(source, failed.chunk, reason, s.Now())
	s.carryOut(failed.to)
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
		for _, good := range m.good {
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
	result.ZoneCrossings = float64(s.zoneCross) / float64(o.Chunks)
	result.RegionCrossings = float64(s.regionCross) / float64(o.Chunks)
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
