package shedding

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/balance"
)

// The simulation models servers, entries and callers in virtual time. Of the network it models only
// the delay; it leaves out model versions, failing streams and memory.
const (
	tick        = time.Millisecond
	serverCount = 58
	// sampledServers is the number of servers compared for a request: three from load queries and
	// three more.
	sampledServers = 6
	readChunk      = 2000
	// inTimeTarget is the default of the entries' flag.
	inTimeTarget = 0.7
	// lateCredit is the value of a late answer relative to one in time; all routes have 0.24 to
	// 0.25.
	lateCredit = 0.25
	// callerRoundTrip is the network round trip between caller and entry.
	callerRoundTrip = 6 * time.Millisecond
	duration        = 16 * time.Second
)

// figures are the published figures of the model servers: 12 slots, 8.87 ms per step and 0.0388 ms
// more for each running request, 19.1 prompt tokens per ms, events of 5 tokens.
var figures = balance.Server{
	Slots: 12, StepMilliseconds: 8.87, PerSequence: 0.0388, Stride: 5, ReadPerSecond: 19100, ReadChunk: readChunk,
	TypicalPrompt: 940, TypicalAnswer: 98,
}

// kind is a kind of request with its prompt and answer sizes; rate returns the requests per second.
type kind struct {
	rate   func(at time.Duration) float64
	route  int
	prompt float64
	events float64
	target time.Duration
	value  float64
	// minTimeout and maxTimeout bound how long callers wait.
	minTimeout, maxTimeout time.Duration
}

type caller struct {
	kind, prompt, events, attempts, sentEvents int
	size, value                                float64
	arrivedAt, deadline                        time.Duration
	// entry is the one that admitted the caller, expected the time at which it expects to start the
	// answer.
	entry     *entry
	expected  time.Duration
	nearLimit bool
	rank      int
}

type server struct {
	running, reading, waiting []*caller
	passEnds                  time.Duration
	report                    balance.Load
	reportedAt                time.Duration
}

type entry struct {
	margin  balance.Margin
	retries []RetryDetector
	// overload and targets belong to the only service.
	overload OverloadDetector
	targets  TargetEstimator
	// sent holds the requests sent to each server since its last report.
	sent map[*server][]*caller
}

// scenario describes a simulation run.
type scenario struct {
	kinds     []kind
	up        func(server int, at time.Duration) bool
	reportAge time.Duration
	// restartAt is when all entries restart and lose what they have learned; 0 is never.
	restartAt time.Duration
	// entries is the number of entries; 0 selects defaultEntries.
	entries int
	seed    uint64
}

const defaultEntries = 44

// policy determines which callers are admitted and when refused ones should retry.
type policy struct {
	// maxWait returns how long a request may wait for others, given the limit for first attempts.
	maxWait    func(f *fleet, e *entry, limit time.Duration, arrival Arrival) time.Duration
	retryDelay func(wait, limit time.Duration, arrival Arrival) time.Duration
	prioritize bool
}

// count holds the results of a group of callers.
type count struct {
	requests, inTime, late, refused, refusedTwice int
	maxCredit, credit                             float64
}

func (c *count) servedRatio() float64 { return float64(c.inTime+c.late) / float64(max(1, c.requests)) }

type outcome struct {
	all    count
	byKind []count
	large  count
	// bySize holds the counts of each kind by size class.
	bySize [sizeClasses][]count
	// retries holds the counts of retries by the second of their arrival.
	retries [32]count
}

// Size classes of a kind, for prompt sizes as drawn by newCaller.
const (
	largestTenth = iota
	nextFifth
	middle
	smallestTenth
	sizeClasses
)

// sizeClassOf returns the size class of a relative size. The bounds are quantiles of a lognormal
// distribution with mean 1.
func sizeClassOf(size float64) int {
	switch {
	case size > 2.02:
		return largestTenth
	case size > 1.105:
		return nextFifth
	case size > 0.26:
		return middle
	}
	return smallestTenth
}

type fleet struct {
	scenario
	policy
	random  *rand.Rand
	servers []*server
	entries []*entry
	// retries holds the callers that retry at each tick.
	retries map[time.Duration][]*caller
	now     time.Duration
	out     outcome
	// tokens is the quota left for late callers under lateQuota.
	tokens float64
}

func newFleet(sc scenario, p policy) *fleet {
	f := &fleet{scenario: sc, policy: p, random: rand.New(rand.NewPCG(sc.seed, 1)), retries: map[time.Duration][]*caller{}}
	if f.scenario.entries == 0 {
		f.scenario.entries = defaultEntries
	}
	f.out.byKind = make([]count, len(sc.kinds))
	for class := range f.out.bySize {
		f.out.bySize[class] = make([]count, len(sc.kinds))
	}
	for i := range serverCount {
		f.servers = append(f.servers, &server{reportedAt: -time.Duration(i) * sc.reportAge / serverCount})
	}
	f.startEntries()
	return f
}

// startEntries starts all entries anew, without knowledge of callers, or of load except by reports.
func (f *fleet) startEntries() {
	f.entries = nil
	for range f.scenario.entries {
		f.entries = append(f.entries, &entry{sent: map[*server][]*caller{}, retries: make([]RetryDetector, len(f.kinds))})
	}
}

// simulate runs a scenario until no caller waits any more.
func simulate(sc scenario, p policy) outcome {
	f := newFleet(sc, p)
	due := make([]float64, len(sc.kinds))
	for ; f.now < duration+6*time.Second; f.now += tick {
		if sc.restartAt > 0 && f.now == sc.restartAt {
			f.startEntries()
		}
		for _, s := range f.servers {
			f.advance(s)
		}
		for _, c := range f.retries[f.now] {
			f.route(c)
		}
		for i := 0; i < len(sc.kinds) && f.now < duration; i++ {
			for due[i] += sc.kinds[i].rate(f.now) * tick.Seconds(); due[i] >= 1; due[i]-- {
				f.route(f.newCaller(i))
			}
		}
	}
	return f.out
}

// newCaller draws a caller's sizes and deadline. The value of a request, relative to the mean of
// its kind, is 0.3 + 0.7 times its relative size.
func (f *fleet) newCaller(index int) *caller {
	k := f.kinds[index]
	size := min(3, math.Exp(0.8*f.random.NormFloat64()-0.32))
	c := &caller{
		kind: index, size: size, prompt: max(1, int(k.prompt*size)), events: max(1, int(k.events*math.Exp(0.7*f.random.NormFloat64()-0.245))),
		value: k.value * (0.3 + 0.7*size), arrivedAt: f.now,
		deadline: f.now + k.minTimeout + time.Duration(f.random.Float64()*float64(k.maxTimeout-k.minTimeout)),
	}
	f.updateCounts(c, func(group *count) { group.requests, group.maxCredit = group.requests+1, group.maxCredit+c.value })
	return c
}

// updateCounts updates each count that includes the caller: of all callers, of its kind, of its size
// class and of the largest tenth, which have more than 1.9 times the mean size.
func (f *fleet) updateCounts(c *caller, update func(*count)) {
	update(&f.out.all)
	update(&f.out.byKind[c.kind])
	update(&f.out.bySize[sizeClassOf(c.size)][c.kind])
	if c.size > 1.9 {
		update(&f.out.large)
	}
}

// route admits a caller to the server that can start it soonest out of a sample, or refuses it.
func (f *fleet) route(c *caller) {
	c.attempts++
	e, target := f.entries[f.random.IntN(len(f.entries))], f.kinds[c.kind].target
	arrival := Arrival{Remaining: c.deadline - f.now}
	arrival.Elapsed = e.retries[f.kinds[c.kind].route].RecordArrival(f.now, arrival.Remaining)
	e.targets.Record(target)
	fullLimit := figures.MaxWait(e.margin.Limit(e.targets.Bound(target)))
	limit := f.maxWait(f, e, fullLimit, arrival)
	best, soonest, wait := f.soonest(e, c)
	if c.attempts > 1 {
		f.out.retries[f.now/time.Second].requests++
	}
	if wait > limit {
		if best != nil {
			e.overload.RecordRefusal(f.now, arrival)
		}
		f.refuse(e, c, arrival, f.retryDelay(wait, limit, arrival))
		return
	}
	c.entry, c.expected, c.nearLimit = e, f.now+soonest, wait > fullLimit/2
	if f.prioritize && arrival.Late(soonest, target) {
		c.rank = 1
	}
	e.sent[best] = append(e.sent[best], c)
	best.waiting = append(best.waiting, c)
	slices.SortStableFunc(best.waiting, func(a, b *caller) int { return cmp.Compare(a.rank, b.rank) })
}

// soonest returns the server that is expected to start a request first, when that is, and how long
// the request would wait for others there.
func (f *fleet) soonest(e *entry, c *caller) (best *server, soonest, wait time.Duration) {
	soonest, wait = time.Second, time.Second
	for range sampledServers {
		i := f.random.IntN(serverCount)
		if !f.up(i, f.now) {
			continue
		}
		load := f.loadOf(e, f.servers[i])
		if expected := figures.TimeToFirstEvent(load, c.prompt); expected < soonest {
			best, soonest, wait = f.servers[i], expected, figures.Wait(load)
		}
	}
	return best, soonest, wait
}

// loadOf returns the load of a server by its last report and what the entry has sent since.
func (f *fleet) loadOf(e *entry, s *server) balance.Load {
	if f.now-s.reportedAt >= f.reportAge {
		s.reportedAt = f.now
		s.report = addWaiting(balance.Load{Running: len(s.running)}, s.waiting, s.reading)
		for _, other := range f.entries {
			delete(other.sent, s)
		}
	}
	return addWaiting(s.report, e.sent[s])
}

func addWaiting(load balance.Load, groups ...[]*caller) balance.Load {
	for _, group := range groups {
		load.Waiting += len(group)
		for _, c := range group {
			load.Unread += float64(c.prompt)
		}
	}
	return load
}

// refuse schedules the retry of a refused caller. A caller retries once, within a third of its
// remaining time.
func (f *fleet) refuse(e *entry, c *caller, arrival Arrival, earliest time.Duration) {
	e.retries[f.kinds[c.kind].route].RecordRefusal(f.now, arrival.Remaining)
	f.updateCounts(c, func(group *count) { group.refused++ })
	if c.attempts > 1 {
		f.updateCounts(c, func(group *count) { group.refusedTwice++ })
		f.out.retries[f.now/time.Second].refused++
		return
	}
	latest := arrival.Remaining / 3
	delay := min(latest, earliest+time.Duration(f.random.Float64()*float64(max(0, latest-earliest))))
	at := (f.now + delay + callerRoundTrip).Truncate(tick)
	f.retries[at] = append(f.retries[at], c)
}

// advance ends a server's pass, which writes an event of each running request, and starts the next
// one, which reads prompts for the free slots.
func (f *fleet) advance(s *server) {
	if f.now < s.passEnds {
		return
	}
	for _, c := range s.reading {
		f.startAnswer(c)
	}
	s.running, s.reading = append(s.running, s.reading...), nil
	s.running = slices.DeleteFunc(s.running, func(c *caller) bool { c.sentEvents++; return c.sentEvents >= c.events })
	tokens := 0
	for len(s.waiting) > 0 && len(s.running)+len(s.reading) < figures.Slots && tokens < readChunk {
		s.reading = append(s.reading, s.waiting[0])
		tokens += s.waiting[0].prompt
		s.waiting = s.waiting[1:]
	}
	if len(s.running)+len(s.reading) > 0 {
		pass := float64(figures.Stride)*(figures.StepMilliseconds+float64(len(s.running))*figures.PerSequence) + 1000*float64(tokens)/figures.ReadPerSecond
		s.passEnds = f.now + time.Duration(pass*float64(time.Millisecond))
	}
}

func (f *fleet) startAnswer(c *caller) {
	target := f.kinds[c.kind].target
	if c.nearLimit {
		c.entry.margin.Observe(f.now-c.expected, target, inTimeTarget)
	}
	if f.now+callerRoundTrip-c.arrivedAt <= target {
		f.updateCounts(c, func(group *count) { group.inTime, group.credit = group.inTime+1, group.credit+c.value })
		return
	}
	f.updateCounts(c, func(group *count) { group.late, group.credit = group.late+1, group.credit+lateCredit*c.value })
}
