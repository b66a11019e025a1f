package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/coordination/silence"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/platform"
)

// Guards against the cut of an interrupted stream that finds no server at that moment, though one is
// listed again before its caller gives up.
func TestInterruptedStreamWaitsForAServer(t *testing.T) {
	s := startTestFleet(t, 2)
	both := s.proxies
	s.proxies = both[:1]
	s.publish()
	time.AfterFunc(siteFirstEvent+10*siteEvent, both[0].Close)
	time.AfterFunc(siteFirstEvent+10*siteEvent+500*time.Millisecond, func() {
		s.forwarder.Update(&catalog.View{Servers: map[string][]fleet.Server{"s": {{ID: "i-1", Service: "s", Address: both[1].Address(), Zone: "z", Slots: 64}}}})
	})
	r := s.send(fleet.Streaming, "stream", 40)
	assert.Nil(t, r.refusal)
	assert.False(t, r.cut)
	assert.Equal(t, 40, strings.Count(r.text, "id: "))
}

// Guards against a request that may run once being given up because its connection has been silent for
// a while: its server may go on, and the caller would not learn what became of it.
func TestSilentConnectionOfARequestThatMayRunOnceIsAwaited(t *testing.T) {
	s := startTestFleet(t, 2)
	s.warm(fleet.AtMostOnce, 0)
	s.setSlow(slowFactor, 2)
	result := make(chan result, 1)
	go func() { result <- s.send(fleet.AtMostOnce, "once", 0) }()
	require.Eventually(t, func() bool { return s.runCount("once") == 1 }, siteTimeout, time.Millisecond)
	s.forwarder.watcher.mutex.Lock()
	for conn := range s.forwarder.watcher.connections {
		conn.silent.Store(true)
		conn.interrupt()
	}
	s.forwarder.watcher.mutex.Unlock()
	r := <-result
	assert.Nil(t, r.refusal)
	assert.Equal(t, "answer to once", r.text)
	assert.Equal(t, 1, s.runCount("once"))
}

// Guards against two answers to one stream: a server falls silent and goes on before, while and after a
// second one begins, and the caller gets each event once, in order.
func TestStreamContinuesFromOneServerAtATime(t *testing.T) {
	for _, silent := range []time.Duration{900 * time.Millisecond, 1050 * time.Millisecond, 1100 * time.Millisecond, 1150 * time.Millisecond, 1300 * time.Millisecond} {
		t.Run(silent.String(), func(t *testing.T) {
			s := startTestFleet(t, 2)
			s.warm(fleet.Streaming, 3)
			results := make(chan result, 4)
			for number := range cap(results) {
				go func() { results <- s.send(fleet.Streaming, fmt.Sprint("stream-", number), 40) }()
			}
			time.Sleep(siteFirstEvent + 10*siteEvent)
			s.pause(silent)
			for range cap(results) {
				r := <-results
				assert.Nil(t, r.refusal)
				assert.False(t, r.cut, r.id)
				assertEveryEventOnce(t, r.text, 40)
			}
			assertNothingHeld(t, s.forwarder)
		})
	}
}

// assertNothingHeld requires that the ended requests hold no place at a server and no connection, which
// ones that rest for further requests do not count for.
func assertNothingHeld(t *testing.T, f *Forwarder) {
	t.Helper()
	held := func() (requests, connections int) {
		for _, server := range f.Servers() {
			requests += server.InFlight
		}
		f.watcher.mutex.Lock()
		defer f.watcher.mutex.Unlock()
		for conn := range f.watcher.connections {
			if conn.awaiting.Load() {
				connections++
			}
		}
		return requests, connections
	}
	assert.Eventually(t, func() bool { requests, connections := held(); return requests == 0 && connections == 0 }, siteTimeout, time.Millisecond)
	requests, connections := held()
	assert.Zero(t, requests, "places")
	assert.Zero(t, connections, "connections")
}

// assertEveryEventOnce requires that a stream has each event once, in order.
func assertEveryEventOnce(t *testing.T, text string, events int) {
	t.Helper()
	next := 0
	for line := range strings.SplitSeq(text, "\n") {
		if strings.HasPrefix(line, "id: ") {
			next++
			assert.Equal(t, "id: "+strconv.Itoa(next), line)
		}
	}
	assert.Equal(t, events, next)
}

// Guards against a refusal that is not true: a second attempt that was canceled may have run.
func TestCanceledSecondAttemptMayHaveRun(t *testing.T) {
	s := startTestFleet(t, 2)
	s.warm(fleet.Repeatable, 0)
	request := testRequest("both", "b")
	request.Route.Attempts = 2
	w := &forwarding{Forwarder: s.forwarder, request: request, attempts: 1}
	w.criteria.Service = "s"
	silent, _ := net.Pipe()
	w.considerHedge(t.Context(), s.targets[0], &connection{net: silent}, errStalled)
	require.NotNil(t, w.hedge)
	w.cancelHedge()
	refusal := w.finalRefusal(&failure{reason: fault.ReasonOverloaded, execution: fault.ExecutionNotRun})
	assert.Equal(t, fault.ExecutionUnknown, refusal.Execution)
}

// secondSendPanics is a dialect that panics when a request is sent for the second time.
type secondSendPanics struct {
	fleet.Dialect
	sends atomic.Int64
}

func (d *secondSendPanics) WriteSend(header http.Header, send fleet.SendHeader) {
	if header.Get("Request-Id") == "late" && d.sends.Add(1) == 2 {
		panic("second send")
	}
	d.Dialect.WriteSend(header, send)
}

// Guards against the end of the process, and of all its requests, by a second attempt that panics: the
// first attempt goes on.
func TestSecondAttemptThatPanicsFailsAlone(t *testing.T) {
	s := startTestFleet(t, 2)
	s.warm(fleet.Streaming, 3)
	dialect := &secondSendPanics{Dialect: s.forwarder.dialect}
	s.forwarder.dialect = dialect
	s.pause(streamMinOverdue + 300*time.Millisecond)
	r := s.send(fleet.Streaming, "late", 10)
	assert.Nil(t, r.refusal)
	assert.False(t, r.cut)
	assertEveryEventOnce(t, r.text, 10)
	assert.Equal(t, int64(2), dialect.sends.Load())
}

// scriptedFleet is a fleet whose servers answer by the number of the attempt, from 1, of all requests.
type scriptedFleet struct {
	*Forwarder
	t *testing.T
	// residency restricts the requests; the servers are in the region "here".
	residency fleet.Residency
}

func startScriptedFleet(t *testing.T, servers int, answer func(connection net.Conn, id string, attempt int)) *scriptedFleet {
	t.Helper()
	f := New(Options{Zone: "z", Regions: map[string]string{"z": "here", "y": "there"}, Dialect: platform.Dialect{}, Log: logging.Nop(), Registry: prometheus.NewRegistry(),
		Bounds: fleet.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 400}, Policy: DefaultPolicy(), Peers: func() int { return 0 }, RetriesSince: longAgo()})
	var attempts atomic.Int64
	view := &catalog.View{Configuration: &fleet.Configuration{}, Servers: map[string][]fleet.Server{}}
	for number := range servers {
		server := startScriptedServer(t, func(connection net.Conn, request *http.Request, _ int) {
			answer(connection, request.Header.Get("Request-Id"), int(attempts.Add(1)))
		})
		view.Servers["s"] = append(view.Servers["s"], fleet.Server{ID: fmt.Sprint("i-", number), Service: "s", Address: server.Address, Zone: "z", Slots: 64})
	}
	f.Update(view)
	return &scriptedFleet{Forwarder: f, t: t}
}

// silenceAll holds the open connections silent, as the detector does.
func (f *scriptedFleet) silenceAll() {
	f.watcher.mutex.Lock()
	defer f.watcher.mutex.Unlock()
	for conn := range f.watcher.connections {
		conn.silent.Store(true)
		conn.interrupt()
	}
}

// received returns how many bytes the open connections have returned.
func (f *scriptedFleet) received() (count int64) {
	f.watcher.mutex.Lock()
	defer f.watcher.mutex.Unlock()
	for conn := range f.watcher.connections {
		count += conn.received.Load()
	}
	return count
}

// serve forwards a request of the kind that may be sent to so many servers.
func (f *scriptedFleet) serve(kind fleet.RouteKind, attempts int) (*httptest.ResponseRecorder, *fault.Refusal) {
	return f.serveUntil(f.t.Context(), kind, attempts)
}

// serveUntil is serve for a caller that leaves when the context ends.
func (f *scriptedFleet) serveUntil(ctx context.Context, kind fleet.RouteKind, attempts int) (*httptest.ResponseRecorder, *fault.Refusal) {
	request := testRequest("r", "b")
	request.Configuration, request.Residency = &fleet.Configuration{}, f.residency
	request.Route = &fleet.Route{Kind: kind, Resumable: true, Attempts: attempts, Services: []fleet.WeightedService{{Service: "s", Weight: 1}}}
	recorded := httptest.NewRecorder()
	return recorded, f.Serve(ctx, recorded, request)
}

func errorAnswer(id string) string {
	return "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: " + id + "\r\nResponse-Seal: s\r\nContent-Length: 1\r\n\r\nx"
}

// Guards against a server whose error is not held against it, and whose trial stays open, because the
// error answered a second attempt.
func TestErrorOfSecondAttemptCountsForItsServer(t *testing.T) {
	f := startScriptedFleet(t, 2, func(connection net.Conn, id string, _ int) { _, _ = io.WriteString(connection, errorAnswer(id)) })
	silent, ejected := f.server("i-0"), f.server("i-1")
	eject(f.targets, ejected.Candidate)
	time.Sleep(300 * time.Millisecond)
	request := testRequest("r", "b")
	request.Route.Attempts = 3
	w := &forwarding{Forwarder: f.Forwarder, request: request, attempts: 1}
	w.criteria.Service, w.criteria.Tried = "s", []*dispatch.Candidate{silent.Candidate}
	near, _ := net.Pipe()
	w.considerHedge(t.Context(), silent, &connection{net: near}, errStalled)
	require.NotNil(t, w.hedge)
	require.Equal(t, ejected, w.hedge.plan.chosen.target)
	require.True(t, w.hedge.plan.chosen.Trial)
	require.Eventually(t, func() bool { return !w.hedgeBegun() && w.hedge == nil }, siteTimeout, time.Millisecond)
	assert.Equal(t, health.Ejected.String(), f.state("i-1"), "the trial has ended")
}

// Guards against an error that ends a request while a second attempt is open, which may still answer, and
// against a retry that is charged but not made.
func TestErrorBesideSecondAttemptAwaitsIt(t *testing.T) {
	for kind, second := range map[fleet.RouteKind]string{fleet.Repeatable: "answer", fleet.Streaming: "id: 1\ndata: x\n\n"} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			reached, sent := make(chan struct{}), make(chan struct{})
			f := startScriptedFleet(t, 2, func(connection net.Conn, id string, attempt int) {
				if attempt > 1 {
					close(sent)
					time.Sleep(300 * time.Millisecond)
					_, _ = io.WriteString(connection, completeAnswer(id, second))
					return
				}
				head, end := errorAnswer(id), ""
				if kind == fleet.Repeatable {
					// The head would end the second attempt.
					end = head[len(head)-1:]
					_, _ = io.WriteString(connection, head[:len(head)-1])
					head = ""
				}
				close(reached)
				<-sent
				_, _ = io.WriteString(connection, head+end)
			})
			go func() {
				<-reached
				assert.Eventually(t, func() bool { return kind != fleet.Repeatable || f.received() > 0 }, siteTimeout, time.Millisecond)
				f.silenceAll()
			}()
			recorded, refusal := f.serve(kind, 2)
			assert.Nil(t, refusal)
			assert.Equal(t, http.StatusOK, recorded.Code)
			assert.Equal(t, second, recorded.Body.String())
			assertNothingHeld(t, f.Forwarder)
			spent := f.retryBudgets.state("s")
			assert.Equal(t, 1, spent.Requests)
			assert.Equal(t, 1, spent.Retries, "one retry was spent")
		})
	}
}

// Guards against a request that waits until its deadline for a second attempt whose server hangs, after
// its first server has closed the connection: a third server is tried beside the second.
func TestHangingSecondAttemptIsNotTheLast(t *testing.T) {
	reached, sent := make(chan struct{}), make(chan struct{})
	warming := atomic.Bool{}
	warming.Store(true)
	var late atomic.Int64
	f := startScriptedFleet(t, 3, func(connection net.Conn, id string, _ int) {
		if warming.Load() {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(connection, completeAnswer(id, "answer"))
			return
		}
		switch late.Add(1) {
		case 1:
			close(reached)
			<-sent
			_ = connection.Close()
		case 2:
			close(sent)
			time.Sleep(5 * time.Second)
		default:
			_, _ = io.WriteString(connection, completeAnswer(id, "answer"))
		}
	})
	for range 20 {
		_, refusal := f.serve(fleet.Repeatable, 3)
		require.Nil(t, refusal)
	}
	warming.Store(false)
	go func() {
		<-reached
		f.silenceAll()
	}()
	recorded, refusal := f.serve(fleet.Repeatable, 3)
	assert.Nil(t, refusal)
	assert.Equal(t, "answer", recorded.Body.String())
	assertNothingHeld(t, f.Forwarder)
}

// Guards against the cut of an interrupted stream whose region has no server at that moment: one in a
// region that is not allowed is no reason not to wait.
func TestInterruptedStreamWaitsForAServerInItsRegion(t *testing.T) {
	const whole, events = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", 2
	var f *scriptedFleet
	list := func(servers ...fleet.Server) {
		f.Update(&catalog.View{Configuration: &fleet.Configuration{}, Servers: map[string][]fleet.Server{"s": servers}})
	}
	there := fleet.Server{ID: "there", Service: "s", Address: "127.0.0.1:9", Zone: "y", Slots: 64}
	second := startScriptedServer(t, func(connection net.Conn, request *http.Request, _ int) {
		_, _ = io.WriteString(connection, completeAnswer(request.Header.Get("Request-Id"), whole[len(whole)/events:]))
	})
	f = startScriptedFleet(t, 1, func(connection net.Conn, id string, _ int) {
		answer := completeAnswer(id, whole)
		_, _ = io.WriteString(connection, answer[:len(answer)-len(whole)/events])
		list(there)
		time.AfterFunc(500*time.Millisecond, func() {
			list(there, fleet.Server{ID: "i-1", Service: "s", Address: second.Address, Zone: "z", Slots: 64})
		})
		_ = connection.Close()
	})
	f.residency = fleet.Residency{{"here"}}
	require.NotPanics(t, func() {
		recorded, refusal := f.serve(fleet.Streaming, 3)
		assert.Nil(t, refusal)
		assertEveryEventOnce(t, recorded.Body.String(), events)
	}, "the stream was cut")
}

// Guards against a second attempt that goes on reading a prompt for nobody: it ends as soon as the first
// server goes on, not with the request.
func TestProgressOfTheFirstServerEndsTheSecondAttempt(t *testing.T) {
	const event = "id: %d\ndata: x\n\n"
	reached, sent, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	f := startScriptedFleet(t, 2, func(connection net.Conn, id string, attempt int) {
		if attempt > 1 {
			close(sent)
			_, _ = connection.Read(make([]byte, 1))
			close(ended)
			return
		}
		answer := completeAnswer(id, fmt.Sprintf(event+event+event, 1, 2, 3))
		eventBytes := len(fmt.Sprintf(event, 1))
		_, _ = io.WriteString(connection, answer[:len(answer)-2*eventBytes])
		close(reached)
		<-sent
		_, _ = io.WriteString(connection, answer[len(answer)-2*eventBytes:len(answer)-eventBytes])
		select {
		case <-ended:
		case <-time.After(siteTimeout):
			assert.Fail(t, "the second attempt is still open")
		}
		_, _ = io.WriteString(connection, answer[len(answer)-eventBytes:])
	})
	go func() {
		<-reached
		f.silenceAll()
	}()
	recorded, refusal := f.serve(fleet.Streaming, 3)
	assert.Nil(t, refusal)
	assertEveryEventOnce(t, recorded.Body.String(), 3)
	assertNothingHeld(t, f.Forwarder)
}

// Guards against the connection and the place of a second attempt that has begun to answer when the first
// server goes on, and is not wanted any more.
func TestSecondAttemptThatHasBegunIsEnded(t *testing.T) {
	s := startTestFleet(t, 2)
	request := testRequest("r", "b")
	request.Route.Attempts = 3
	w := &forwarding{Forwarder: s.forwarder, request: request, attempts: 1}
	w.criteria.Service, w.criteria.Tried = "s", []*dispatch.Candidate{s.targets[0].Candidate}
	silent, _ := net.Pipe()
	first := &connection{net: silent}
	w.considerHedge(t.Context(), s.targets[0], first, errStalled)
	require.NotNil(t, w.hedge)
	require.Eventually(t, w.hedgeBegun, siteTimeout, time.Millisecond)
	require.Eventually(t, first.interrupted.Load, siteTimeout, time.Millisecond, "the first attempt learns of it at once")
	w.cancelHedge()
	assertNothingHeld(t, s.forwarder)
}

// Guards against a second attempt over a connection that is as silent as the first one's, and against one
// that keeps the place of another while its own connection is held silent.
func TestSecondAttemptUsesAFreshConnection(t *testing.T) {
	hedgeOf := func(s *testFleet, evidence error) *hedge {
		request := testRequest("r", "b")
		request.Route.Attempts = 3
		w := &forwarding{Forwarder: s.forwarder, request: request, attempts: 1}
		w.criteria.Service, w.criteria.Tried = "s", []*dispatch.Candidate{s.targets[0].Candidate}
		silent, _ := net.Pipe()
		w.considerHedge(t.Context(), s.targets[0], &connection{net: silent}, evidence)
		t.Cleanup(w.cancelHedge)
		return w.hedge
	}
	alone, two := startTestFleet(t, 1), startTestFleet(t, 2)
	alone.warm(fleet.Repeatable, 0)
	time.Sleep(silence.UnacknowledgedLimit)
	assert.Nil(t, hedgeOf(alone, errStalled), "the only server is silent itself")
	h := hedgeOf(alone, errSilent)
	require.NotNil(t, h, "only the connection is silent")
	assert.Nil(t, h.second.idleConnection(h.second.request, alone.targets[0]))
	h = hedgeOf(two, errStalled)
	require.NotNil(t, h)
	assert.Positive(t, h.second.request.openedAfter, "the connections to the other server may be silent too")
	fresh := &connection{}
	guard := &hedgeGuard{second: h.second}
	assert.NoError(t, guard.whileSilent(fresh, time.Minute))
	fresh.silent.Store(true)
	assert.ErrorIs(t, guard.whileSilent(fresh, time.Minute), errSilent)
}

// Guards against a server whose trial stays open after the second attempt that was its trial has been
// canceled.
func TestCanceledTrialMakesRoomForAnother(t *testing.T) {
	f := startScriptedFleet(t, 2, func(connection net.Conn, _ string, _ int) { _, _ = connection.Read(make([]byte, 1)) })
	silent := f.server("i-0")
	eject(f.targets, f.server("i-1").Candidate)
	time.Sleep(300 * time.Millisecond)
	for range 2 {
		request := testRequest("r", "b")
		request.Route.Attempts = 3
		w := &forwarding{Forwarder: f.Forwarder, request: request, attempts: 1}
		w.criteria.Service, w.criteria.Tried = "s", []*dispatch.Candidate{silent.Candidate}
		near, _ := net.Pipe()
		w.considerHedge(t.Context(), silent, &connection{net: near}, errStalled)
		require.NotNil(t, w.hedge)
		assert.True(t, w.hedge.plan.chosen.Trial)
		w.cancelHedge()
	}
}

// Guards against the place and the connection of a second attempt whose caller has left.
func TestSecondAttemptEndsWithItsCaller(t *testing.T) {
	for _, kind := range []fleet.RouteKind{fleet.Repeatable, fleet.Streaming} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			reached := make(chan struct{})
			ctx, leave := context.WithCancel(t.Context())
			f := startScriptedFleet(t, 2, func(connection net.Conn, _ string, attempt int) {
				if attempt == 1 {
					close(reached)
				} else {
					leave()
				}
				_, _ = connection.Read(make([]byte, 1))
			})
			go func() {
				<-reached
				f.silenceAll()
			}()
			_, refusal := f.serveUntil(ctx, kind, 3)
			require.NotNil(t, refusal)
			assert.Equal(t, fault.ExecutionUnknown, refusal.Execution)
			assertNothingHeld(t, f.Forwarder)
		})
	}
}

// Guards against a refusal that is not true: a second attempt that failed may have run, though the first
// one did not.
func TestFailedSecondAttemptMayHaveRun(t *testing.T) {
	f := startScriptedFleet(t, 2, func(connection net.Conn, _ string, _ int) { _ = connection.Close() })
	silent := f.server("i-0")
	request := testRequest("r", "b")
	request.Route.Attempts = 2
	w := &forwarding{Forwarder: f.Forwarder, request: request, attempts: 1}
	w.criteria.Service, w.criteria.Tried = "s", []*dispatch.Candidate{silent.Candidate}
	near, _ := net.Pipe()
	w.considerHedge(t.Context(), silent, &connection{net: near}, errStalled)
	require.NotNil(t, w.hedge)
	require.Eventually(t, func() bool { return !w.hedgeBegun() && w.hedge == nil }, siteTimeout, time.Millisecond)
	assert.Equal(t, 2, w.attempts)
	assert.Contains(t, w.criteria.Tried, f.server("i-1").Candidate, "the next attempt goes elsewhere")
	refusal := w.finalRefusal(&failure{reason: fault.ReasonOverloaded, execution: fault.ExecutionNotRun})
	assert.Equal(t, fault.ExecutionUnknown, refusal.Execution)
}

// Guards against the cut of a long answer whose server falls silent after a part of it has been passed on:
// another server can't supply the rest.
func TestLongAnswerIsAwaitedOnceItHasBegun(t *testing.T) {
	body := strings.Repeat("x", 2*maxBufferedBytes)
	var sends atomic.Int64
	var f *scriptedFleet
	f = startScriptedFleet(t, 2, func(connection net.Conn, id string, attempt int) {
		sends.Add(1)
		answer := completeAnswer(id, body)
		if attempt > 1 {
			_, _ = io.WriteString(connection, answer)
			return
		}
		half := len(answer) - maxBufferedBytes/2
		_, _ = io.WriteString(connection, answer[:half])
		assert.Eventually(t, func() bool { return f.received() == int64(half) }, siteTimeout, time.Millisecond)
		for range 2 {
			f.silenceAll()
			time.Sleep(silenceCheckPeriod)
		}
		_, _ = io.WriteString(connection, answer[half:])
	})
	require.NotPanics(t, func() {
		recorded, refusal := f.serve(fleet.Repeatable, 3)
		assert.Nil(t, refusal)
		assert.Len(t, recorded.Body.String(), len(body))
	}, "the answer was cut")
	assert.Equal(t, int64(1), sends.Load())
}
