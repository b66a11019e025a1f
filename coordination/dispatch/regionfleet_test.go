package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/residency"
)

// Sizes of the fleet of two regions. At a full server of scriptEngine a request takes a place for
// 1.2 s and 77 ms of the server's time, so that the ten servers begin 130 requests a second.
const (
	regionTarget   = 400 * time.Millisecond
	regionDeadline = 6 * time.Second
	regionCalm     = 2 * time.Second
	regionLength   = 12 * time.Second
	// roomyServer is how many of its 16 places a server with room has in use at most.
	roomyServer = 12
	// regionWay is the way between an entry and a server.
	regionWay = 5 * time.Millisecond
)

// regionDay is a load on the fleet of two regions.
type regionDay struct {
	// small and large are how many servers and entries the zones "a" and "b" have.
	small, large, smallEntries, largeEntries int
	// load is what comes, as a share of what all servers can begin, bound the share of the
	// requests that only the small region may serve.
	load, bound float64
	// boundAtHome has bound requests come to the entries of the small region only.
	boundAtHome bool
	// wordAge is the age of words when they come; asks has entries ask agents as well.
	wordAge time.Duration
	asks    bool
	seed    uint64
	// seeds is how many are played; 0 leaves it to playRegions.
	seeds int
}

// regionCount is what became of the requests of a kind.
type regionCount struct{ asked, inTime, late, refusals, lost int }

func (c *regionCount) add(other regionCount) {
	c.asked, c.inTime, c.late = c.asked+other.asked, c.inTime+other.inTime, c.late+other.late
	c.refusals, c.lost = c.refusals+other.refusals, c.lost+other.lost
}

func (c regionCount) share(part int) float64 { return float64(part) / float64(max(1, c.asked)) }

type regionRequest struct {
	bound   bool
	prompt  int
	passes  int
	tries   int
	askedAt time.Time
	entry   *Core
	sent    *Send
}

type regionServer struct {
	id                        string
	waiting, reading, running []*regionRequest
	passEnds                  time.Time
}

// regionFleet plays entries that send to servers of two regions, "a" and "b".
type regionFleet struct {
	regionDay
	random  *rand.Rand
	now     time.Time
	entries []*Core
	servers []*regionServer
	byID    map[string]*regionServer
	words   map[time.Time][]Word
	returns map[time.Time][]*regionRequest
	free    regionCount
	boundTo regionCount
	// besideIdle counts free requests that were refused while a server held nothing, besideRoom
	// those while one had a quarter of its places free and nothing to begin, misplaced bound ones that
	// were sent elsewhere, away free ones of the small region's entries that were sent to the other.
	besideIdle, besideRoom, misplaced, away int
}

func newRegionFleet(day regionDay, policy Policy) *regionFleet {
	f := &regionFleet{
		regionDay: day, random: rand.New(rand.NewPCG(day.seed, 7)), now: epoch,
		byID: map[string]*regionServer{}, words: map[time.Time][]Word{}, returns: map[time.Time][]*regionRequest{},
	}
	regions := map[string]string{"a": "a", "b": "b"}
	var published Fleet
	zones := map[string]int{"a": day.small, "b": day.large}
	for _, zone := range []string{"a", "b"} {
		for number := range zones[zone] {
			id := fmt.Sprintf("%s%d", zone, number)
			one := &regionServer{id: id}
			f.servers, f.byID[id] = append(f.servers, one), one
			published.Servers = append(published.Servers, Server{
				ID: id, Service: "s", Address: id + ":1", Zone: zone, Slots: 16, Version: 1, HoldsModel: true,
			})
		}
	}
	for number := range day.smallEntries + day.largeEntries {
		random := rand.New(rand.NewPCG(uint64(number), day.seed))
		zone := "b"
		if number < day.smallEntries {
			zone = "a"
		}
		entry := New(Options{Zone: zone, Regions: regions, Policy: policy, Started: epoch, Random: random.Float64, Shuffle: random.Shuffle})
		entry.Update(published, epoch)
		f.entries = append(f.entries, entry)
	}
	return f
}

// play has requests come until regionLength, and goes on until nobody waits any more.
func (f *regionFleet) play() {
	capacity := float64(f.small+f.large) / scriptEngine.Published.ServiceTime().Seconds()
	due := 0.0
	for number := 0; f.now.Before(epoch.Add(regionLength + regionDeadline)); number++ {
		for at, one := range f.servers {
			f.step(one)
			if (number+at*3)%(int(wordPeriod/tick)) == 0 {
				told := f.now.Add(f.wordAge)
				f.words[told] = append(f.words[told], one.wordNow())
			}
		}
		f.hear()
		for _, one := range f.returns[f.now] {
			f.attempt(one)
		}
		delete(f.returns, f.now)
		after := f.now.Sub(epoch)
		load := f.load
		if after < regionCalm {
			load = min(load, 0.55)
		}
		if after < regionLength {
			due += load * capacity * tick.Seconds()
		}
		for ; due >= 1; due-- {
			f.attempt(f.draw())
		}
		f.now = f.now.Add(tick)
	}
}

func (f *regionFleet) hear() {
	for _, word := range f.words[f.now] {
		for _, entry := range f.entries {
			entry.TakeWord(word, f.now.Add(-f.wordAge))
		}
	}
	delete(f.words, f.now)
}

func (s *regionServer) wordNow() Word {
	word := Word{Address: s.id + ":1", Reachable: true, Version: 1, Running: len(s.running), Waiting: len(s.waiting) + len(s.reading)}
	for _, group := range [][]*regionRequest{s.waiting, s.reading} {
		for _, one := range group {
			word.UnreadTokens += one.prompt
		}
	}
	return word
}

// draw makes a request of the usual sizes in the mean.
func (f *regionFleet) draw() *regionRequest {
	size := func(spread float64) float64 { return math.Exp(spread*f.random.NormFloat64() - spread*spread/2) }
	figures := scriptEngine.Published
	one := &regionRequest{
		bound:  f.random.Float64() < f.bound,
		prompt: max(1, int(min(3, size(0.7))*figures.TypicalPrompt)), passes: max(1, int(math.Round(size(0.6)*figures.TypicalAnswer/float64(figures.Stride)))),
		askedAt: f.now,
	}
	f.countOf(one).asked++
	return one
}

func (f *regionFleet) countOf(one *regionRequest) *regionCount {
	if one.bound {
		return &f.boundTo
	}
	return &f.free
}

func (f *regionFleet) attempt(one *regionRequest) {
	one.tries++
	number := f.random.IntN(len(f.entries))
	if f.boundAtHome && one.bound {
		number = f.random.IntN(f.smallEntries)
	}
	entry := f.entries[number]
	route := "free"
	if one.bound {
		route = "bound"
	}
	request := &Request{
		Service: "s", Route: route, Engine: scriptEngine, Figures: scriptEngine.Published, Target: regionTarget, Streaming: true,
		Others: len(f.entries) - 1, Prompt: one.prompt, Answer: 100,
	}
	request.Arrival = entry.Arrived(request, regionDeadline-f.now.Sub(one.askedAt), f.now)
	if one.bound {
		request.Residency = request.Residency.With(residency.AllowedRegions{"a"})
	}
	if f.asks {
		f.ask(entry, request)
	}
	decision, refusal := entry.Choose(request, f.now)
	if refusal != nil {
		f.refuse(one, entry, request, refusal)
		return
	}
	if one.bound && decision.Candidate.Zone != "a" {
		f.misplaced++
	}
	if !one.bound && number < f.smallEntries && decision.Candidate.Zone != "a" {
		f.away++
	}
	one.entry, one.sent = entry, decision.Send
	server := f.byID[decision.Candidate.ID]
	server.waiting = append(server.waiting, one)
}

// ask asks agents as internal/forward does.
func (f *regionFleet) ask(entry *Core, request *Request) {
	var asked []*Candidate
	for range 2 {
		next := entry.ToAsk(request, asked, f.now)
		asked = append(asked, next...)
		var answers []Word
		for _, one := range next {
			answers = append(answers, f.byID[one.ID].wordNow())
		}
		request.Asked = append(request.Asked, entry.TakeAnswers(next, answers, f.now)...)
		if len(next) == 0 || entry.AnyAdmits(request, f.now) {
			return
		}
	}
}

// refuse tells a caller when to come back, which it does once.
func (f *regionFleet) refuse(one *regionRequest, entry *Core, request *Request, refusal *Refusal) {
	entry.Refused(request, f.now)
	count := f.countOf(one)
	count.refusals++
	if !one.bound && f.anyHolds(0) {
		f.besideIdle++
	}
	if !one.bound && f.anyHolds(roomyServer) {
		f.besideRoom++
	}
	if one.tries > 1 {
		count.lost++
		return
	}
	most := request.Arrival.Remaining / 3
	earliest := min(refusal.RetryAfter, most)
	at := f.now.Add((earliest + time.Duration(f.random.Float64()*float64(most-earliest))).Truncate(tick) + tick)
	f.returns[at] = append(f.returns[at], one)
}

// anyHolds reports whether a server has nothing to begin and runs this many requests at most.
func (f *regionFleet) anyHolds(most int) bool {
	return slices.ContainsFunc(f.servers, func(s *regionServer) bool {
		return len(s.waiting)+len(s.reading) == 0 && len(s.running) <= most
	})
}

// step ends a server's pass and begins the next.
func (f *regionFleet) step(s *regionServer) {
	if f.now.Before(s.passEnds) {
		return
	}
	for _, one := range s.reading {
		f.begin(one)
	}
	s.running, s.reading = append(s.running, s.reading...), nil
	kept := s.running[:0]
	for _, one := range s.running {
		if one.passes--; one.passes > 0 {
			kept = append(kept, one)
			continue
		}
		one.entry.Release(one.sent)
	}
	s.running = kept
	figures, tokens := scriptEngine.Published, 0
	for len(s.waiting) > 0 && len(s.running)+len(s.reading) < 16 && tokens < 2000 {
		s.reading = append(s.reading, s.waiting[0])
		tokens += s.waiting[0].prompt
		s.waiting = s.waiting[1:]
	}
	if len(s.running)+len(s.reading) > 0 {
		milliseconds := float64(figures.Stride)*figures.StepMilliseconds + 1000*float64(tokens)/figures.ReadPerSecond
		s.passEnds = f.now.Add(time.Duration(milliseconds * float64(time.Millisecond)))
	}
}

func (f *regionFleet) begin(one *regionRequest) {
	one.entry.PromptRead(one.sent, true, f.now)
	count := f.countOf(one)
	if f.now.Sub(one.askedAt)+2*regionWay <= regionTarget {
		count.inTime++
		return
	}
	count.late++
}
