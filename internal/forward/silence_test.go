package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/budget"
	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/silencer"
	"pinevane.example/pinevane/platform"
)

// Settings as in a user's deployment: targets, timeouts and processing times.
const (
	siteTarget       = 300 * time.Millisecond
	siteTimeout      = 800 * time.Millisecond
	siteStreamTarget = 450 * time.Millisecond
	siteStreamTime   = 6 * time.Second
	siteGap          = 400 * time.Millisecond
	siteAttempts     = 3
	// siteWork is the mean processing time of a plain answer, siteEvent the time of an event.
	siteWork  = 60 * time.Millisecond
	siteEvent = 20 * time.Millisecond
	// siteFirstEvent is the time to a stream's first event.
	siteFirstEvent = 100 * time.Millisecond
)

// testFleet consists of servers behind proxies and a forwarder that knows them.
type testFleet struct {
	t         *testing.T
	forwarder *Forwarder
	registry  *prometheus.Registry
	proxies   []*silencer.Proxy
	targets   []*target

	mutex sync.Mutex
	// runs counts the runs of each request; slow multiplies the processing times of a server.
	runs   map[string]int
	slow   []time.Duration
	random *rand.Rand
	// streamService is the service of streams.
	streamService string
	// pausedUntil is when the servers send something again.
	pausedUntil time.Time
	// stopped is closed at the end, so that no server goes on working.
	stopped chan struct{}
}

func startTestFleet(t *testing.T, count int) *testFleet {
	t.Helper()
	registry := prometheus.NewRegistry()
	s := &testFleet{t: t, registry: registry, runs: map[string]int{}, random: rand.New(rand.NewPCG(7, 11)), stopped: make(chan struct{}), streamService: "s"}
	bounds := fleet.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 400}
	s.forwarder = New(Options{Zone: "z", Dialect: platform.Dialect{}, Log: logging.Nop(), Registry: registry, Bounds: bounds, Policy: DefaultPolicy(), Peers: func() int { return 0 }, RetriesSince: longAgo()})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.forwarder.Run(ctx)
	for index := range count {
		s.slow = append(s.slow, 1)
		server := httptest.NewServer(s.handler(index))
		proxy, err := silencer.NewProxy(server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() {
			proxy.Close()
			server.CloseClientConnections()
			server.Close()
		})
		s.proxies = append(s.proxies, proxy)
	}
	t.Cleanup(func() { close(s.stopped) })
	s.publish()
	for _, one := range s.forwarder.targets.core.Candidates("s") {
		s.targets = append(s.targets, s.forwarder.targets.targetOf(one))
	}
	return s
}

// publish makes the servers known to the forwarder, in their order.
func (s *testFleet) publish() {
	view := &catalog.View{Servers: map[string][]fleet.Server{}}
	for index, proxy := range s.proxies {
		view.Servers["s"] = append(view.Servers["s"], fleet.Server{ID: fmt.Sprint("i-", index), Service: "s", Address: proxy.Address(), Zone: "z", Slots: 64})
	}
	s.forwarder.Update(view)
}

func (s *testFleet) handler(index int) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Request-Id")
		s.mutex.Lock()
		s.runs[id]++
		slow := s.slow[index]
		work := siteWork/2 + time.Duration(s.random.Int64N(int64(siteWork)))
		s.mutex.Unlock()
		writer.Header().Set("Request-Id", id)
		writer.Header().Set("Response-Seal", "s")
		writer.Header().Set("Keep-Alive", "timeout=5")
		if !strings.HasPrefix(request.URL.Path, "/stream/") {
			s.sleep(slow * work)
			_, _ = io.WriteString(writer, "answer to "+id)
			return
		}
		events, _ := strconv.Atoi(strings.TrimPrefix(request.URL.Path, "/stream/"))
		after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		s.sleep(slow * siteFirstEvent)
		for number := after + 1; number <= events; number++ {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, id)
			writer.(http.Flusher).Flush()
			s.sleep(slow * siteEvent)
		}
	})
}

// sleep simulates a server's processing time.
func (s *testFleet) sleep(work time.Duration) {
	select {
	case <-time.After(work):
	case <-s.stopped:
	}
	s.mutex.Lock()
	paused := time.Until(s.pausedUntil)
	s.mutex.Unlock()
	if paused > 0 {
		s.sleep(paused)
	}
}

// pause makes all servers send nothing for a time, after which they go on.
func (s *testFleet) pause(duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pausedUntil = time.Now().Add(duration)
}

// setSlow multiplies the processing times of the first few servers by a factor.
func (s *testFleet) setSlow(factor, servers int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for index := range servers {
		s.slow[index] = time.Duration(factor)
	}
}

func (s *testFleet) runCount(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id]
}

// result is the outcome of one request at the forwarder.
type result struct {
	id      string
	began   time.Time
	took    time.Duration
	first   time.Duration
	gap     time.Duration
	text    string
	cut     bool
	refusal *fault.Refusal
}

func (r result) served(kind fleet.RouteKind) bool {
	if r.refusal != nil || r.cut {
		return false
	}
	if kind == fleet.Streaming {
		return r.first <= siteStreamTarget && r.gap <= siteGap
	}
	return r.took <= siteTarget
}

// recorder records when events are written.
type recorder struct {
	*httptest.ResponseRecorder
	began, last time.Time
	first, gap  time.Duration
}

func (r *recorder) Write(bytes []byte) (int, error) {
	now := time.Now()
	if r.last.IsZero() {
		r.first = now.Sub(r.began)
	} else {
		r.gap = max(r.gap, now.Sub(r.last))
	}
	r.last = now
	return r.ResponseRecorder.Write(bytes)
}

// send forwards one request; events is the length of a stream.
func (s *testFleet) send(kind fleet.RouteKind, id string, events int) (r result) {
	now := time.Now()
	request := &Request{
		Call: fleet.CallHeader{RequestID: id}, Method: http.MethodPost, Target: "/plain", Host: "h.example",
		Header: http.Header{"Request-Id": {id}}, Body: []byte("b"), Arrived: now, Deadline: now.Add(siteTimeout),
		Route: &fleet.Route{Kind: kind, Services: []fleet.WeightedService{{Service: "s", Weight: 1}}, Attempts: siteAttempts, Target: siteTarget},
	}
	if kind == fleet.Streaming {
		request.Target, request.Deadline = fmt.Sprintf("/stream/%d", events), now.Add(siteStreamTime)
		request.Route.Services[0].Service = s.streamService
		request.Route.Target, request.Route.TargetGap, request.Route.Resumable = siteStreamTarget, siteGap, true
	}
	writer := &recorder{ResponseRecorder: httptest.NewRecorder(), began: now}
	r = result{id: id, began: now}
	defer func() {
		r.cut = recover() != nil
		r.took, r.first, r.gap, r.text = time.Since(now), writer.first, writer.gap, writer.Body.String()
	}()
	r.refusal = s.forwarder.Serve(context.Background(), writer, request)
	return r
}

// silences are the two ways in which open connections go silent.
var silences = map[string]func(s *testFleet){
	"nothing is acknowledged": func(s *testFleet) {
		addresses := map[netip.AddrPort]bool{}
		for _, one := range s.targets {
			addresses[netip.MustParseAddrPort(one.Address)] = true
		}
		toServers := func(one netip.AddrPort) bool { return addresses[one] }
		count, err := silencer.Silence(silencer.Between(toServers, func(netip.AddrPort) bool { return true }))
		require.NoError(s.t, err)
		assert.Positive(s.t, count)
	},
	"all is acknowledged": func(s *testFleet) {
		count := 0
		for _, proxy := range s.proxies {
			count += proxy.Blackhole()
		}
		assert.Positive(s.t, count)
	},
}

// Open connections to servers go silent for good while new ones work: the requests on them are
// answered over new connections or, if they may run only once, end with an unknown outcome.
func TestRequestsSurviveSilentConnections(t *testing.T) {
	for name, silence := range silences {
		t.Run(name, func(t *testing.T) {
			t.Run("one repeatable call", func(t *testing.T) { testSilentRepeatable(t, silence) })
			t.Run("one call that may run once", func(t *testing.T) { testSilentOnce(t, silence) })
			t.Run("one stream before its first event", func(t *testing.T) { testSilentFirstEvent(t, silence) })
			t.Run("one stream midway", func(t *testing.T) { testSilentMidway(t, silence) })
			t.Run("all connections under traffic", func(t *testing.T) { testSilentTraffic(t, silence) })
		})
	}
}

// warm leaves an idle connection, and a known typical wait.
func (s *testFleet) warm(kind fleet.RouteKind, events int) {
	for number := range 3 {
		require.Nil(s.t, s.send(kind, fmt.Sprint("warm-", number), events).refusal)
	}
}

func testSilentRepeatable(t *testing.T, silence func(*testFleet)) {
	s := startTestFleet(t, 1)
	s.warm(fleet.Repeatable, 0)
	silence(s)
	r := s.send(fleet.Repeatable, "call", 0)
	assert.Nil(t, r.refusal)
	assert.Equal(t, "answer to call", r.text)
	t.Logf("answered after %s", r.took)
}

func testSilentOnce(t *testing.T, silence func(*testFleet)) {
	s := startTestFleet(t, 1)
	s.warm(fleet.AtMostOnce, 0)
	silence(s)
	r := s.send(fleet.AtMostOnce, "call", 0)
	assert.Nil(t, r.refusal, "uses a new connection")
	assert.Equal(t, 1, s.runCount("call"))
	s.setSlow(slowFactor, 1)
	go func() {
		for s.runCount("in flight") == 0 {
			time.Sleep(time.Millisecond)
		}
		silence(s)
	}()
	r = s.send(fleet.AtMostOnce, "in flight", 0)
	require.NotNil(t, r.refusal)
	assert.Equal(t, fault.ExecutionUnknown, r.refusal.Execution)
	assert.Equal(t, 1, s.runCount("in flight"))
	assert.Less(t, r.took, siteTimeout+50*time.Millisecond)
	s.setSlow(1, 1)
	next := s.send(fleet.AtMostOnce, "next", 0)
	assert.Nil(t, next.refusal, "the next request uses a new connection")
	assert.Equal(t, 1, s.runCount("next"))
}

func testSilentFirstEvent(t *testing.T, silence func(*testFleet)) {
	s := startTestFleet(t, 1)
	s.warm(fleet.Streaming, 3)
	silence(s)
	r := s.send(fleet.Streaming, "stream", 5)
	assert.Nil(t, r.refusal)
	assert.False(t, r.cut)
	assert.Equal(t, 5, strings.Count(r.text, "id: "))
	assert.Less(t, r.took, 2*time.Second, "callers abandon a stream after two seconds at the earliest")
	t.Logf("first event after %s", r.first)
}

func testSilentMidway(t *testing.T, silence func(*testFleet)) {
	s := startTestFleet(t, 1)
	time.AfterFunc(siteFirstEvent+10*siteEvent, func() { silence(s) })
	r := s.send(fleet.Streaming, "stream", 40)
	assert.Nil(t, r.refusal)
	assert.False(t, r.cut)
	assert.Equal(t, 40, strings.Count(r.text, "id: "))
	assert.Less(t, r.gap, 2*time.Second, "callers abandon a stream after two seconds at the earliest")
	t.Logf("longest pause %s", r.gap)
}

// load sends requests of a kind at a fixed pace; stop waits for the last one and returns the
// results.
func (s *testFleet) load(kind fleet.RouteKind, name string, pace time.Duration, events int) (stop func() []result) {
	ended := make(chan struct{})
	var mutex sync.Mutex
	var results []result
	var running, pacer sync.WaitGroup
	pacer.Go(func() {
		ticker := time.NewTicker(pace)
		defer ticker.Stop()
		for number := 0; ; number++ {
			running.Go(func() {
				r := s.send(kind, fmt.Sprintf("%s-%d", name, number), events)
				mutex.Lock()
				defer mutex.Unlock()
				results = append(results, r)
			})
			select {
			case <-ticker.C:
			case <-ended:
				return
			}
		}
	})
	return func() []result {
		close(ended)
		pacer.Wait()
		running.Wait()
		return results
	}
}

// servedRatio is the fraction of the requests begun in an interval that were served in time.
func servedRatio(results []result, kind fleet.RouteKind, from, to time.Time) float64 {
	all, served := 0.0, 0.0
	for _, r := range results {
		if r.began.Before(from) || !r.began.Before(to) {
			continue
		}
		all++
		if r.served(kind) {
			served++
		}
	}
	return served / max(1, all)
}

// Times of the test under traffic.
const (
	calmTime = 2 * time.Second
	// plainRecovery and streamRecovery are how long after the silence began service has recovered.
	plainRecovery  = time.Second
	streamRecovery = 1500 * time.Millisecond
	// recoveredRatio is the fraction of the ratio before the silence that counts as recovered.
	recoveredRatio = 0.9
	silenceTime    = 4 * time.Second
)

func testSilentTraffic(t *testing.T, silence func(*testFleet)) {
	s := startTestFleet(t, 4)
	kinds := []struct {
		name   string
		kind   fleet.RouteKind
		pace   time.Duration
		events int
		back   time.Duration
		stop   func() []result
	}{
		{name: "safe", kind: fleet.Repeatable, pace: 20 * time.Millisecond, back: plainRecovery},
		{name: "once", kind: fleet.AtMostOnce, pace: 50 * time.Millisecond, back: plainRecovery},
		{name: "stream", kind: fleet.Streaming, pace: 50 * time.Millisecond, events: 20, back: streamRecovery},
	}
	began := time.Now()
	for index := range kinds {
		kinds[index].stop = s.load(kinds[index].kind, kinds[index].name, kinds[index].pace, kinds[index].events)
	}
	time.Sleep(calmTime)
	silent := time.Now()
	silence(s)
	time.Sleep(silenceTime)
	for _, one := range kinds {
		results := one.stop()
		var line []string
		const window = 500 * time.Millisecond
		for from := silent.Add(-2 * window); from.Before(silent.Add(silenceTime)); from = from.Add(window) {
			line = append(line, fmt.Sprintf("%.2f", servedRatio(results, one.kind, from, from.Add(window))))
		}
		t.Logf("%s served in time by half seconds, silent from the third on: %s", one.name, strings.Join(line, " "))
		calm := servedRatio(results, one.kind, began, silent.Add(-time.Second))
		after := servedRatio(results, one.kind, silent.Add(one.back), silent.Add(silenceTime))
		assert.GreaterOrEqual(t, after, recoveredRatio*calm, "%s: ratio served after the recovery time, before the silence %.2f", one.name, calm)
		s.checkRuns(one.kind, results)
	}
}

// checkRuns checks that no request that may run once ran twice, that no request refused as not run
// has run, and that no stream was cut.
func (s *testFleet) checkRuns(kind fleet.RouteKind, results []result) {
	for _, r := range results {
		runs := s.runCount(r.id)
		switch {
		case kind == fleet.AtMostOnce:
			assert.LessOrEqual(s.t, runs, 1, "%s ran more than once", r.id)
		case kind == fleet.Streaming:
			assert.False(s.t, r.cut, "%s was cut, longest pause %s", r.id, r.gap)
		}
		if r.refusal != nil && r.refusal.Execution == fault.ExecutionNotRun {
			assert.Zero(s.t, runs, "%s was refused as not run, and ran", r.id)
		}
	}
}

// metricTotal is the sum of a metric over all its labels.
func (s *testFleet) metricTotal(name string) (total float64) {
	families, err := s.registry.Gather()
	require.NoError(s.t, err)
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, one := range family.GetMetric() {
			total += one.GetCounter().GetValue()
		}
	}
	return total
}

// Bounds on the cost of slow servers.
const (
	// slowFactor is how many times longer a slow server takes.
	slowFactor = 8
	// maxSlowRepeats is the maximum fraction of the requests that may be sent again because they
	// take many times the typical wait, before the typical wait has adapted.
	maxSlowRepeats = 0.1
)

// Servers that become slow, one or all of them, keep their connections, and few requests are sent
// again.
func TestSlowServersKeepTheirConnections(t *testing.T) {
	for name, slowServers := range map[string]int{"one": 1, "all": 4} {
		t.Run(name, func(t *testing.T) {
			s := startTestFleet(t, 4)
			stopPlain := s.load(fleet.Repeatable, "safe", 20*time.Millisecond, 0)
			stopStreams := s.load(fleet.Streaming, "stream", 50*time.Millisecond, 20)
			time.Sleep(calmTime)
			s.setSlow(slowFactor, slowServers)
			time.Sleep(2 * time.Second)
			plain, streams := stopPlain(), stopStreams()
			assert.Zero(t, s.metricTotal("pinevane_silent_server_connections_total"), "closed as silent")
			resent, all := s.metricTotal("pinevane_repeats_total"), float64(len(plain)+len(streams))
			t.Logf("%.0f of %.0f requests sent again", resent, all)
			assert.LessOrEqual(t, resent, maxSlowRepeats*all)
			s.checkRuns(fleet.Streaming, streams)
		})
	}
}

// A server that hangs, also for new connections, does not affect the connections to others.
func TestHangingServerDoesNotAffectOthers(t *testing.T) {
	s := startTestFleet(t, 4)
	stopPlain := s.load(fleet.Repeatable, "safe", 20*time.Millisecond, 0)
	stopOnce := s.load(fleet.AtMostOnce, "once", 50*time.Millisecond, 0)
	time.Sleep(calmTime)
	s.setSlow(1000, 1)
	time.Sleep(2 * time.Second)
	stopPlain()
	once := stopOnce()
	s.checkRuns(fleet.AtMostOnce, once)
	assert.Zero(t, s.metricTotal("pinevane_silent_server_connections_total"), "closed as silent")
}

// Heavy requests that may run once, at two healthy servers, keep their connections while light ones
// are answered over newer ones.
func TestHeavyRequestsThatMayRunOnceKeepTheirConnections(t *testing.T) {
	const (
		servers = 2
		heavy   = 8
		// heavyFactor makes the processing time of a heavy request up to 0.63 s, within its time
		// limit.
		heavyFactor = 7
	)
	s := startTestFleet(t, servers)
	for range 5 {
		s.warm(fleet.AtMostOnce, 0)
	}
	time.Sleep(maxReuseIdle) // so that light requests take new connections
	s.setSlow(heavyFactor, servers)
	results := make(chan result, heavy)
	for number := range heavy {
		go func() { results <- s.send(fleet.AtMostOnce, fmt.Sprint("heavy-", number), 0) }()
	}
	time.Sleep(100 * time.Millisecond)
	s.setSlow(1, servers)
	stopLight := s.load(fleet.Repeatable, "light", 20*time.Millisecond, 0)
	for range heavy {
		r := <-results
		assert.Nil(t, r.refusal, r.id)
		assert.Equal(t, 1, s.runCount(r.id), r.id)
	}
	stopLight()
	assert.Zero(t, s.metricTotal("pinevane_silent_server_connections_total"), "closed as silent")
}

// TWICE, REFUSED: a request is canceled over a connection that passes nothing on, so that the
// server never receives the cancellation and runs it. It does not count as not run.
func TestRequestCanceledOverASilentConnectionMayHaveRun(t *testing.T) {
	for name, silence := range silences {
		t.Run(name, func(t *testing.T) {
			s := startTestFleet(t, 1)
			s.setSlow(4, 1)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() {
				for s.runCount("taken-back") == 0 {
					time.Sleep(time.Millisecond)
				}
				silence(s)
				cancel()
			}()
			request := testRequest("taken-back", "b")
			_, failed := s.forwarder.open(ctx, request, fleet.SendHeader{Deadline: time.Second, Instance: "i-0"}, s.targets[0], nil)
			require.NotNil(t, failed)
			assert.Equal(t, fault.ReasonCanceled, failed.reason)
			assert.Equal(t, fault.ExecutionUnknown, failed.execution)
			time.Sleep(300 * time.Millisecond)
			assert.Equal(t, 1, s.runCount("taken-back"), "the server ran it")
		})
	}
}

// A late answer is not abandoned: nothing is sent beside it if the request can't be sent again, and
// otherwise it is awaited until another server has begun to answer.
func TestLateAnswerIsAwaitedWithoutARetry(t *testing.T) {
	s := startTestFleet(t, 2)
	s.warm(fleet.Repeatable, 0)
	bounds := s.forwarder.targets.bounds.Load()
	late := func(id string, limit func(*forwarding)) (*forwarding, func() error) {
		request := testRequest(id, "b")
		request.Route.Attempts = 2
		w := &forwarding{Forwarder: s.forwarder, request: request, attempts: 1}
		w.criteria.Service, w.criteria.Tried = "s", []*dispatch.Candidate{s.targets[0].Candidate}
		guard := w.newAttemptGuard(t.Context(), s.targets[0], 0)
		limit(w)
		silent, _ := net.Pipe()
		first := &connection{net: silent}
		first.typicalWait.Store(int64(time.Millisecond))
		return w, func() error { return guard.whileSilent(first, time.Minute) }
	}
	w, check := late("again", func(*forwarding) {})
	assert.NoError(t, check(), "nobody else has begun to answer")
	require.NotNil(t, w.hedge)
	require.Eventually(t, func() bool { return check() != nil }, siteTimeout, time.Millisecond)
	assert.ErrorIs(t, check(), errOverdue)
	assert.Equal(t, 1, s.runCount("again"))
	w.cancelHedge()
	for name, limit := range map[string]func(*forwarding){
		"attempts": func(w *forwarding) { w.request.Route.Attempts = 1 },
		"budget":   func(w *forwarding) { w.targets.bounds.Store(&fleet.Bounds{RetryWindow: time.Second}) },
		"time":     func(w *forwarding) { w.request.Deadline = time.Now().Add(minAttemptTime / 2) },
	} {
		w, check := late(name, limit)
		assert.NoError(t, check(), name)
		assert.Nil(t, w.hedge, name)
		s.forwarder.targets.bounds.Store(bounds)
		s.forwarder.retryBudgets.byService = map[string]*budget.Budget{}
	}
}
