package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/residency"
)

// Sizes of the fleet of two regions. At a full server of scriptEngine a request holds a slot for 1.2 s and
// takes 77 ms of the server's time, so the ten servers begin 130 requests a second.
const (
	regionTarget   = 400 * time.Millisecond
	regionDeadline = 6 * time.Second
	regionWarmup   = 2 * time.Second
	regionLength   = 12 * time.Second
	// maxRunningWithRoom is the maximum number of its 16 slots that a server with room has in use.
	maxRunningWithRoom = 12
	// regionOneWay is the one-way delay between an entry and a server.
	regionOneWay = 5 * time.Millisecond
)

// regionDay is a load on the fleet of two regions.
type regionDay struct {
	// small and large are the numbers of servers in zones "a" and "b", smallEntries and largeEntries of
	// entries.
	small, large, smallEntries, largeEntries int
	// load is the arrival rate as a ratio of what all servers can begin, singleRegion the ratio of requests
	// that only the small region may serve.
	load, singleRegion float64
	// singleRegionLocal sends single-region requests only to the entries of the small region.
	singleRegionLocal bool
	// reportAge is the age of reports when they arrive. queries makes entries query agents as well.
	reportAge time.Duration
	queries   bool
	seed      uint64
	// seeds is the number of seeds to run; 0 leaves it to playRegions.
	seeds int
}

// regionCount counts the requests of a kind by outcome.
type regionCount struct{ total, inTime, late, refusals, lost int }

func (c *regionCount) add(other regionCount) {
	c.total, c.inTime, c.late = c.total+other.total, c.inTime+other.inTime, c.late+other.late
	c.refusals, c.lost = c.refusals+other.refusals, c.lost+other.lost
}

func (c regionCount) ratio(part int) float64 { return float64(part) / float64(max(1, c.total)) }

type regionRequest struct {
	singleRegion bool
	prompt       int
	passes       int
	tries        int
	arrivedAt    time.Time
	entry        *Core
	sent         *Send
}

type regionServer struct {
	id                        string
	waiting, reading, running []*regionRequest
	passEnds                  time.Time
}

// regionFleet simulates entries that send to servers of two regions, "a" and "b".
type regionFleet struct {
	regionDay
	random            *rand.Rand
	now               time.Time
	entries           []*Core
	servers           []*regionServer
	byID              map[string]*regionServer
	reports           map[time.Time][]LoadReport
	retries           map[time.Time][]*regionRequest
	free              regionCount
	singleRegionCount regionCount
	// free counts the requests that any region may serve, singleRegionCount those restricted to one region.
	// besideIdle counts free requests refused while a server was idle, besideRoom those refused while a
	// server had a quarter of its slots free and nothing waiting, misplaced single-region requests sent to
	// the other region, away free requests of the small region's entries sent to the other region.
	besideIdle, besideRoom, misplaced, away int
}

func newRegionFleet(day regionDay, policy Policy) *regionFleet {
	f := &regionFleet{
		regionDay: day, random: rand.New(rand.NewPCG(day.seed, 7)), now: epoch,
		byID: map[string]*regionServer{}, reports: map[time.Time][]LoadReport{}, retries: map[time.Time][]*regionRequest{},
	}
	regions := map[string]string{"a": "a", "b": "b"}
	var published Fleet
	zones := map[string]int{"a": day.small, "b": day.large}
	for _, zone := range []string{"a", "b"} {
		for number := range zones[zone] {
			id := fmt.Sprintf("%s%d", zone, number)
			server := &regionServer{id: id}
			f.servers, f.byID[id] = append(f.servers, server), server
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

// play generates requests until regionLength, and continues until none is waiting.
func (f *regionFleet) play() {
	capacity := float64(f.small+f.large) / scriptEngine.Published.ServiceTime().Seconds()
	pending := 0.0
	for number := 0; f.now.Before(epoch.Add(regionLength + regionDeadline)); number++ {
		for at, server := range f.servers {
			f.step(server)
			if (number+at*3)%(int(reportPeriod/tick)) == 0 {
				arrivesAt := f.now.Add(f.reportAge)
				f.reports[arrivesAt] = append(f.reports[arrivesAt], server.currentReport())
			}
		}
		f.deliverReports()
		for _, request := range f.retries[f.now] {
			f.attempt(request)
		}
		delete(f.retries, f.now)
		after := f.now.Sub(epoch)
		load := f.load
		if after < regionWarmup {
			load = min(load, 0.55)
		}
		if after < regionLength {
			pending += load * capacity * tick.Seconds()
		}
		for ; pending >= 1; pending-- {
			f.attempt(f.generate())
		}
		f.now = f.now.Add(tick)
	}
}

func (f *regionFleet) deliverReports() {
	for _, report := range f.reports[f.now] {
		for _, entry := range f.entries {
			entry.ApplyReport(report, f.now.Add(-f.reportAge))
		}
	}
	delete(f.reports, f.now)
}

func (s *regionServer) currentReport() LoadReport {
	report := LoadReport{Address: s.id + ":1", Reachable: true, Version: 1, Running: len(s.running), Waiting: len(s.waiting) + len(s.reading)}
	for _, group := range [][]*regionRequest{s.waiting, s.reading} {
		for _, request := range group {
			report.UnreadTokens += request.prompt
		}
	}
	return report
}

// generate generates a request with the usual sizes as the mean.
func (f *regionFleet) generate() *regionRequest {
	size := func(spread float64) float64 { return math.Exp(spread*f.random.NormFloat64() - spread*spread/2) }
	figures := scriptEngine.Published
	one := &regionRequest{
		singleRegion: f.random.Float64() < f.singleRegion,
		prompt:       max(1, int(min(3, size(0.7))*figures.TypicalPrompt)), passes: max(1, int(math.Round(size(0.6)*figures.TypicalAnswer/float64(figures.Stride)))),
		arrivedAt: f.now,
	}
	f.countOf(one).total++
	return one
}

func (f *regionFleet) countOf(request *regionRequest) *regionCount {
	if request.singleRegion {
		return &f.singleRegionCount
	}
	return &f.free
}

func (f *regionFleet) attempt(caller *regionRequest) {
	caller.tries++
	number := f.random.IntN(len(f.entries))
	if f.singleRegionLocal && caller.singleRegion {
		number = f.random.IntN(f.smallEntries)
	}
	entry := f.entries[number]
	route := "free"
	if caller.singleRegion {
		route = "bound"
	}
	request := &Request{
		Service: "s", Route: route, Engine: scriptEngine, Figures: scriptEngine.Published, Target: regionTarget, Streaming: true,
		OtherEntries: len(f.entries) - 1, Prompt: caller.prompt, Answer: 100,
	}
	request.Arrival = entry.RecordArrival(request, regionDeadline-f.now.Sub(caller.arrivedAt), f.now)
	if caller.singleRegion {
		request.Residency = request.Residency.With(residency.AllowedRegions{"a"})
	}
	if f.queries {
		f.query(entry, request)
	}
	decision, refusal := entry.Choose(request, f.now)
	if refusal != nil {
		f.refuse(caller, entry, request, refusal)
		return
	}
	if caller.singleRegion && decision.Candidate.Zone != "a" {
		f.misplaced++
	}
	if !caller.singleRegion && number < f.smallEntries && decision.Candidate.Zone != "a" {
		f.away++
	}
	caller.entry, caller.sent = entry, decision.Send
	server := f.byID[decision.Candidate.ID]
	server.waiting = append(server.waiting, caller)
}

// query queries agents as internal/forward does.
func (f *regionFleet) query(entry *Core, request *Request) {
	var queried []*Candidate
	for range 2 {
		next := entry.QueryTargets(request, queried, f.now)
		queried = append(queried, next...)
		var replies []LoadReport
		for _, candidate := range next {
			replies = append(replies, f.byID[candidate.ID].currentReport())
		}
		request.Queried = append(request.Queried, entry.ApplyQueryReplies(next, replies, f.now)...)
		if len(next) == 0 || entry.AnyAdmits(request, f.now) {
			return
		}
	}
}

// refuse schedules the caller's return, which happens once.
func (f *regionFleet) refuse(caller *regionRequest, entry *Core, request *Request, refusal *Refusal) {
	entry.RecordRefusal(request, f.now)
	count := f.countOf(caller)
	count.refusals++
	if !caller.singleRegion && f.anyHasRoom(0) {
		f.besideIdle++
	}
	if !caller.singleRegion && f.anyHasRoom(maxRunningWithRoom) {
		f.besideRoom++
	}
	if caller.tries > 1 {
		count.lost++
		return
	}
	latest := request.Arrival.Remaining / 3
	earliest := min(refusal.RetryAfter, latest)
	at := f.now.Add((earliest + time.Duration(f.random.Float64()*float64(latest-earliest))).Truncate(tick) + tick)
	f.retries[at] = append(f.retries[at], caller)
}

// anyHasRoom reports whether a server has nothing waiting and runs at most this many requests.
func (f *regionFleet) anyHasRoom(maxRunning int) bool {
	return slices.ContainsFunc(f.servers, func(s *regionServer) bool {
		return len(s.waiting)+len(s.reading) == 0 && len(s.running) <= maxRunning
	})
}

// step ends a server's pass and begins the next.
func (f *regionFleet) step(s *regionServer) {
	if f.now.Before(s.passEnds) {
		return
	}
	for _, request := range s.reading {
		f.begin(request)
	}
	s.running, s.reading = append(s.running, s.reading...), nil
	running := s.running[:0]
	for _, request := range s.running {
		if request.passes--; request.passes > 0 {
			running = append(running, request)
			continue
		}
		request.entry.Release(request.sent)
	}
	s.running = running
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

func (f *regionFleet) begin(request *regionRequest) {
	request.entry.EndPrefill(request.sent, true, f.now)
	count := f.countOf(request)
	if f.now.Sub(request.arrivedAt)+2*regionOneWay <= regionTarget {
		count.inTime++
		return
	}
	count.late++
}
