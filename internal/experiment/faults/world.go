package faults

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pinevane.example/pinevane/coordination/attempt"
	"pinevane.example/pinevane/coordination/escrow"
	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/experiment/virtual"
	"pinevane.example/pinevane/internal/external"
)

// Size of the modelled fleet: two zones with as many processes each.
const (
	entryCount   = 4
	agentCount   = 6
	zoneCount    = 2
	requestCount = 60
	tokenCount   = 6
)

// Times of the model.
const (
	minimumDelay  = time.Millisecond
	delayRange    = 20 * time.Millisecond
	tokenTime     = 40 * time.Millisecond
	callTime      = 150 * time.Millisecond
	inquiryPeriod = 100 * time.Millisecond
	requestTime   = 5 * time.Second
	// noticeRange is how long an agent may take to notice a lost link.
	noticeRange = 800 * time.Millisecond
	// quietAfter is when a leaving agent must get no new work.
	quietAfter   = 2 * time.Second
	refreshTime  = 500 * time.Millisecond
	borrowPeriod = 700 * time.Millisecond
	orderDelay   = 100 * time.Millisecond
)

type violation struct {
	promise Promise
	detail  string
}

// link is one connection. The entry sees its loss at once, the agent later; what
// was under way to the agent meanwhile still arrives.
type link struct {
	entry, agent *process
	session      uint64
	incarnation  uint64
	entryUp      bool
	agentUp      bool
	submitted    uint64
	// next is when the last message of each direction arrives, which keeps order.
	next [2]time.Duration
}

// process is an entry or an agent.
type process struct {
	index       int
	zone        int
	dead        bool
	pausedUntil time.Duration
	feed        *monotonic.Feed

	// The fields below are an entry's.
	account *escrow.Account
	links   map[int]*link

	// The fields below are an agent's.
	incarnation  uint64
	ledger       *attempt.Ledger
	engine       *engine
	open         map[attempt.ID]*work
	leaving      bool
	leavingSince time.Duration
	sequence     uint64
	// corrupt is set while the chunks that arrive are wrong.
	corrupt bool
	staged  uint64
	wrong   bool
}

// engine is the model of an engine and the plain service beside it.
type engine struct {
	incarnation uint64
	version     uint64
	// highest is the newest version that an order was carried out for.
	highest uint64
	fence   external.Fence
	// wrongWeights is set when what was loaded differs from its manifest.
	wrongWeights bool
}

// work is an attempt under way at an agent.
type work struct {
	request *request
	link    *link
	version uint64
	token   int
	engine  uint64
}

type world struct {
	virtual.Timeline
	random   *rand.Rand
	broken   Safeguard
	entries  []*process
	agents   []*process
	requests []*request

	published monotonic.Version
	serviceOK bool
	stale     bool
	cutZone   bool

	violations []violation
	answered   int
	notRun     int
	unknown    int
}

func simulate(seed uint64, schedule []Fault, broken Safeguard) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 0x776f726c)), broken: broken,
		published: monotonic.Version{Epoch: 1, Revision: 1}, serviceOK: true,
	}
	w.build()
	for _, fault := range schedule {
		w.After(fault.At, func() { w.inject(fault) })
	}
	for i := range requestCount {
		w.After(w.randomTime(horizon*3/4), func() { w.arrive(i) })
	}
	for w.Pending() && w.Now() < 2*horizon {
		w.Step()
		w.checkLimit()
	}
	w.judge()
	return w
}

func (w *world) build() {
	for i := range entryCount {
		entry := &process{index: i, zone: i % zoneCount, feed: w.newFeed(), links: map[int]*link{}}
		entry.account = escrow.NewAccount(escrow.Options{Unsafe: w.broken == SafeguardEscrow, RaiseDelay: time.Nanosecond})
		entry.account.SetBase(1.0/entryCount, w.clock(entry))
		w.entries = append(w.entries, entry)
		w.every(entry, refreshTime, func() { w.refresh(entry) })
		w.every(entry, borrowPeriod, func() { w.borrow(entry) })
	}
	for i := range agentCount {
		agent := &process{index: i, zone: i % zoneCount, engine: &engine{incarnation: 1}}
		w.startAgent(agent)
		w.agents = append(w.agents, agent)
		w.every(agent, refreshTime, func() { w.refresh(agent) })
	}
}

func (w *world) newFeed() *monotonic.Feed {
	feed := monotonic.NewFeed()
	if w.broken == SafeguardMonotonic {
		feed.DisableOrdering()
	}
	return feed
}

// startAgent begins a life of an agent.
func (w *world) startAgent(agent *process) {
	agent.incarnation++
	agent.ledger = attempt.NewLedger(agent.incarnation)
	if w.broken == SafeguardTombstones {
		agent.ledger.DisableTombstones()
	}
	agent.feed = w.newFeed()
	agent.open = map[attempt.ID]*work{}
	agent.sequence, agent.staged = 0, 0
	agent.dead, agent.leaving = false, false
}

// clock is a process's own monotonic clock, whose zero is its own.
func (w *world) clock(p *process) time.Duration {
	return w.Now() + time.Duration(p.index+1)*time.Hour
}

func (w *world) randomTime(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// on runs a step of a process once it is not paused, in order; a dead one takes
// no step.
func (w *world) on(p *process, do func()) {
	if w.Now() < p.pausedUntil {
		w.After(p.pausedUntil-w.Now(), func() { w.on(p, do) })
		return
	}
	if !p.dead {
		do()
	}
}

func (w *world) every(p *process, period time.Duration, do func()) {
	w.After(period/2+w.randomTime(period), func() {
		if w.Now() > horizon+requestTime {
			return
		}
		w.on(p, do)
		w.every(p, period, do)
	})
}

func (w *world) violate(promise Promise, format string, arguments ...any) {
	w.violations = append(w.violations, violation{promise: promise, detail: fmt.Sprintf(format, arguments...)})
}

// connected reports whether two zones see each other.
func (w *world) connected(a, b *process) bool { return !w.cutZone || a.zone == b.zone }

// refresh reads the configuration, perhaps from a stale replica, and lets an
// agent stage and load what it names.
func (w *world) refresh(p *process) {
	if w.serviceOK && w.connected(p, w.entries[0]) {
		version := w.published
		if w.stale && w.random.IntN(2) == 0 {
			version = monotonic.Version{Epoch: 1, Revision: 1}
		}
		before := p.feed.Version()
		p.feed.Apply(monotonic.Update{Version: version})
		if p.feed.Version().Compare(before) < 0 {
			w.violate(NeverBack, "process went from %s to %s", before, p.feed.Version())
		}
	}
	if p.engine != nil {
		w.activate(p)
	}
}

// activate stages the version in force and orders the engine to load it. The
// order may leave late, when the agent is paused or already replaced.
func (w *world) activate(agent *process) {
	wanted := agent.feed.Version()
	if wanted.IsZero() || wanted.Revision == agent.staged && agent.engine.version == wanted.Revision {
		return
	}
	if wanted.Revision != agent.staged {
		agent.wrong = agent.corrupt
		if agent.corrupt && w.broken != SafeguardVerify {
			return // the chunk is refused and asked for again
		}
		agent.staged = wanted.Revision
	}
	agent.sequence++
	fence := external.Fence{Revision: wanted, Incarnation: agent.incarnation, Sequence: agent.sequence}
	wrong, target := agent.wrong, agent.engine
	delay := orderDelay
	if w.Now() < agent.pausedUntil || w.random.IntN(8) == 0 {
		delay += w.randomTime(3 * time.Second)
	}
	w.After(delay, func() { w.carryOutOrder(target, fence, wrong) })
}

// carryOutOrder is the engine's handling of one load order.
func (w *world) carryOutOrder(target *engine, fence external.Fence, wrong bool) {
	if w.broken != SafeguardFence && fence.Compare(target.fence) <= 0 {
		return
	}
	target.fence = fence
	target.version, target.wrongWeights = fence.Revision.Revision, wrong
	if target.version < target.highest {
		w.violate(OrdersForward, "engine went from version %d to %d", target.highest, target.version)
	}
	target.highest = max(target.highest, target.version)
}

// borrow asks another entry for a part of the limit.
func (w *world) borrow(entry *process) {
	donor := w.entries[w.random.IntN(entryCount)]
	if donor == entry || !w.connected(entry, donor) || entry.account.Pending(w.clock(entry)) {
		return
	}
	request := entry.account.Ask(w.random.Float64()/entryCount, w.clock(entry))
	const lossOneIn = 10
	w.After(minimumDelay+w.randomTime(delayRange), func() {
		w.on(donor, func() {
			grant := donor.account.Answer(request, 0, w.clock(donor))
			if w.random.IntN(lossOneIn) == 0 {
				return
			}
			// A grant may come very late.
			w.After(minimumDelay+w.randomTime(5*time.Second), func() {
				w.on(entry, func() { entry.account.Receive(grant, w.clock(entry)) })
			})
		})
	})
}

const limitTolerance = 1e-9

func (w *world) checkLimit() {
	total := 0.0
	for _, entry := range w.entries {
		if w.Now() >= entry.pausedUntil {
			total += entry.account.Usable(w.clock(entry))
		}
	}
	if total > 1+limitTolerance {
		w.violate(LimitHeld, "%.3f of the limit is usable at once", total)
	}
}
