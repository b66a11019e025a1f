package shedding

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/balance"
)

// The fake plays model servers, entries and callers in virtual time. It leaves out the network
// but for its delay, versions, failures of streams, and memory.
const (
	tick        = time.Millisecond
	serverCount = 58
	// drawn servers are compared for a request: agents are asked about three, and three more.
	drawn     = 6
	readChunk = 2000
	// inTimeShare is the default of the entries' flag.
	inTimeShare = 0.7
	// lateCredit is what a late answer is worth of one in time; all streams have 0.24 to 0.25.
	lateCredit = 0.25
	// callerWay is the way from the caller and back.
	callerWay = 6 * time.Millisecond
	length    = 16 * time.Second
)

// figures are published for the model servers: 12 places, 8.87 ms a step and 0.0388 ms more
// for each running request, 19.1 prompt tokens a ms, events of 5 tokens.
var figures = balance.Server{
	Slots: 12, StepMilliseconds: 8.87, PerSequence: 0.0388, Stride: 5, ReadPerSecond: 19100, ReadChunk: readChunk,
	UsualPrompt: 940, UsualAnswer: 98,
}

// kind is a kind of request with the sizes of its prompts and answers, and rate tells how many
// come a second.
type kind struct {
	rate   func(at time.Duration) float64
	route  int
	prompt float64
	events float64
	target time.Duration
	worth  float64
	// leastTime and mostTime are how long callers wait.
	leastTime, mostTime time.Duration
}

type caller struct {
	kind, prompt, events, tries, written int
	size, worth                          float64
	asked, until                         time.Duration
	// entry has admitted the caller and expects its answer to begin at some time.
	entry     *entry
	expected  time.Duration
	nearLimit bool
	rank      int
}

type server struct {
	running, reading, waiting []*caller
	passEnds                  time.Duration
	word                      balance.Load
	wordAt                    time.Duration
}

type entry struct {
	margin balance.Margin
	usual  []RetryDetector
	// pressure and targets are of the one service.
	pressure OverloadDetector
	targets  TargetEstimator
	// sent are the requests sent to each server since its word.
	sent map[*server][]*caller
}

// day is what is played.
type day struct {
	kinds   []kind
	up      func(server int, at time.Duration) bool
	wordAge time.Duration
	// restarts is when all entries are started anew, and know nothing; 0 is never.
	restarts time.Duration
	// entries is how many there are; 0 is usualEntries.
	entries int
	seed    uint64
}

const usualEntries = 44

// way is how callers are admitted and told.
type way struct {
	// wait is how long a request may wait for others, where a first attempt may for a time.
	wait func(f *fleet, e *entry, most time.Duration, arrival Arrival) time.Duration
	told func(wait, most time.Duration, arrival Arrival) time.Duration
	rank bool
}

// count is what became of a group of callers.
type count struct {
	asked, inTime, late, refused, twice int
	owed, credit                        float64
}

func (c *count) served() float64 { return float64(c.inTime+c.late) / float64(max(1, c.asked)) }

type outcome struct {
	all    count
	byKind []count
	large  count
	// bySize counts the parts of each kind by size.
	bySize [sizeParts][]count
	// returned counts those that come back by the second in which they do.
	returned [32]count
}

// Parts of a kind by size, of prompts that are distributed as newCaller draws them.
const (
	largestTenth = iota
	fifthBelow
	middlePart
	smallestTenth
	sizeParts
)

// partOf is the part of its kind in which a size lies: the bounds are those of a lognormal size of mean 1.
func partOf(size float64) int {
	switch {
	case size > 2.02:
		return largestTenth
	case size > 1.105:
		return fifthBelow
	case size > 0.26:
		return middlePart
	}
	return smallestTenth
}

type fleet struct {
	day
	way
	random  *rand.Rand
	servers []*server
	entries []*entry
	// back are the callers that come back in a tick.
	back map[time.Duration][]*caller
	now  time.Duration
	out  outcome
	// tokens are places for late callers, where these have a share of them.
	tokens float64
}

func newFleet(d day, w way) *fleet {
	f := &fleet{day: d, way: w, random: rand.New(rand.NewPCG(d.seed, 1)), back: map[time.Duration][]*caller{}}
	if f.day.entries == 0 {
		f.day.entries = usualEntries
	}
	f.out.byKind = make([]count, len(d.kinds))
	for part := range f.out.bySize {
		f.out.bySize[part] = make([]count, len(d.kinds))
	}
	for i := range serverCount {
		f.servers = append(f.servers, &server{wordAt: -time.Duration(i) * d.wordAge / serverCount})
	}
	f.startEntries()
	return f
}

// startEntries starts all entries: they know of no caller, and of no load but by words.
func (f *fleet) startEntries() {
	f.entries = nil
	for range f.day.entries {
		f.entries = append(f.entries, &entry{sent: map[*server][]*caller{}, usual: make([]RetryDetector, len(f.kinds))})
	}
}

// play plays a day until nobody waits any more.
func play(d day, w way) outcome {
	f := newFleet(d, w)
	due := make([]float64, len(d.kinds))
	for ; f.now < length+6*time.Second; f.now += tick {
		if d.restarts > 0 && f.now == d.restarts {
			f.startEntries()
		}
		for _, s := range f.servers {
			f.step(s)
		}
		for _, c := range f.back[f.now] {
			f.attempt(c)
		}
		for i := 0; i < len(d.kinds) && f.now < length; i++ {
			for due[i] += d.kinds[i].rate(f.now) * tick.Seconds(); due[i] >= 1; due[i]-- {
				f.attempt(f.newCaller(i))
			}
		}
	}
	return f.out
}

// newCaller draws a caller's sizes and patience. Against the mean of its kind a request is
// worth 0.3 + 0.7 of its size.
func (f *fleet) newCaller(index int) *caller {
	k := f.kinds[index]
	size := min(3, math.Exp(0.8*f.random.NormFloat64()-0.32))
	c := &caller{
		kind: index, size: size, prompt: max(1, int(k.prompt*size)), events: max(1, int(k.events*math.Exp(0.7*f.random.NormFloat64()-0.245))),
		worth: k.worth * (0.3 + 0.7*size), asked: f.now,
		until: f.now + k.leastTime + time.Duration(f.random.Float64()*float64(k.mostTime-k.leastTime)),
	}
	f.each(c, func(group *count) { group.asked, group.owed = group.asked+1, group.owed+c.worth })
	return c
}

// each updates the counts that a caller belongs to. The largest tenth are over 1.9 times the
// usual size.
func (f *fleet) each(c *caller, update func(*count)) {
	update(&f.out.all)
	update(&f.out.byKind[c.kind])
	update(&f.out.bySize[partOf(c.size)][c.kind])
	if c.size > 1.9 {
		update(&f.out.large)
	}
}

// attempt admits a caller at the soonest of a few servers, or refuses it.
func (f *fleet) attempt(c *caller) {
	c.tries++
	e, target := f.entries[f.random.IntN(len(f.entries))], f.kinds[c.kind].target
	arrival := Arrival{Remaining: c.until - f.now}
	arrival.Elapsed = e.usual[f.kinds[c.kind].route].RecordArrival(f.now, arrival.Remaining)
	e.targets.Record(target)
	full := figures.MaxWait(e.margin.Limit(e.targets.Bound(target)))
	most := f.wait(f, e, full, arrival)
	best, soonest, wait := f.soonest(e, c)
	if c.tries > 1 {
		f.out.returned[f.now/time.Second].asked++
	}
	if wait > most {
		if best != nil {
			e.pressure.RecordRefusal(f.now, arrival)
		}
		f.refuse(e, c, arrival, f.told(wait, most, arrival))
		return
	}
	c.entry, c.expected, c.nearLimit = e, f.now+soonest, wait > full/2
	if f.rank && arrival.Late(soonest, target) {
		c.rank = 1
	}
	e.sent[best] = append(e.sent[best], c)
	best.waiting = append(best.waiting, c)
	slices.SortStableFunc(best.waiting, func(a, b *caller) int { return cmp.Compare(a.rank, b.rank) })
}

// soonest is the server that is expected to begin a request first, when it would, and how long the request would
// wait for others there.
func (f *fleet) soonest(e *entry, c *caller) (best *server, soonest, wait time.Duration) {
	soonest, wait = time.Second, time.Second
	for range drawn {
		i := f.random.IntN(serverCount)
		if !f.up(i, f.now) {
			continue
		}
		load := f.known(e, f.servers[i])
		if expected := figures.TimeToFirstEvent(load, c.prompt); expected < soonest {
			best, soonest, wait = f.servers[i], expected, figures.Wait(load)
		}
	}
	return best, soonest, wait
}

// known is the load of a server by its last word and what the entry has sent since.
func (f *fleet) known(e *entry, s *server) balance.Load {
	if f.now-s.wordAt >= f.wordAge {
		s.wordAt = f.now
		s.word = withWaiting(balance.Load{Running: len(s.running)}, s.waiting, s.reading)
		for _, other := range f.entries {
			delete(other.sent, s)
		}
	}
	return withWaiting(s.word, e.sent[s])
}

func withWaiting(load balance.Load, groups ...[]*caller) balance.Load {
	for _, group := range groups {
		load.Waiting += len(group)
		for _, one := range group {
			load.Unread += float64(one.prompt)
		}
	}
	return load
}

// refuse tells a caller when to come back, which it does once, within a third of its time.
func (f *fleet) refuse(e *entry, c *caller, arrival Arrival, earliest time.Duration) {
	e.usual[f.kinds[c.kind].route].RecordRefusal(f.now, arrival.Remaining)
	f.each(c, func(group *count) { group.refused++ })
	if c.tries > 1 {
		f.each(c, func(group *count) { group.twice++ })
		f.out.returned[f.now/time.Second].refused++
		return
	}
	latest := arrival.Remaining / 3
	told := min(latest, earliest+time.Duration(f.random.Float64()*float64(max(0, latest-earliest))))
	at := (f.now + told + callerWay).Truncate(tick)
	f.back[at] = append(f.back[at], c)
}

// step ends a server's pass, which writes an event of each running request, and begins the
// next, which reads prompts for the free places.
func (f *fleet) step(s *server) {
	if f.now < s.passEnds {
		return
	}
	for _, c := range s.reading {
		f.begin(c)
	}
	s.running, s.reading = append(s.running, s.reading...), nil
	s.running = slices.DeleteFunc(s.running, func(c *caller) bool { c.written++; return c.written >= c.events })
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

func (f *fleet) begin(c *caller) {
	target := f.kinds[c.kind].target
	if c.nearLimit {
		c.entry.margin.Observe(f.now-c.expected, target, inTimeShare)
	}
	if f.now+callerWay-c.asked <= target {
		f.each(c, func(group *count) { group.inTime, group.credit = group.inTime+1, group.credit+c.worth })
		return
	}
	f.each(c, func(group *count) { group.late, group.credit = group.late+1, group.credit+lateCredit*c.worth })
}
