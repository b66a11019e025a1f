package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/platform"
)

// startScriptedServer starts a server that answers each request of a connection with a function
// that writes raw bytes.
func startScriptedServer(t *testing.T, answer func(connection net.Conn, request *http.Request, number int)) *target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var answered atomic.Int64
	serve := func(connection net.Conn) {
		defer func() { _ = connection.Close() }()
		reader := bufio.NewReader(connection)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			answer(connection, request, int(answered.Add(1)-1))
		}
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection)
		}
	}()
	return &target{Candidate: &dispatch.Candidate{ID: "i-1", Address: listener.Addr().String()}}
}

func testForwarder() *Forwarder {
	return New(Options{Dialect: platform.Dialect{}, Log: logging.Nop(), Registry: prometheus.NewRegistry(), Peers: func() int { return 0 }, Policy: DefaultPolicy(), RetriesSince: longAgo()})
}

func testRequest(id string, body string) *Request {
	return &Request{
		Call: fleet.CallHeader{RequestID: id}, Route: &fleet.Route{Kind: fleet.Repeatable}, Method: http.MethodPost, Target: "/x/?a=%20b", Host: "h.example",
		Header: http.Header{"Request-Id": {id}}, Body: []byte(body), Arrived: time.Now(), Deadline: time.Now().Add(2 * time.Second),
	}
}

func roundTrip(t *testing.T, f *Forwarder, server *target, request *Request) (string, *failure) {
	t.Helper()
	started, failed := f.open(context.Background(), request, fleet.SendHeader{Deadline: time.Second, Instance: "i-1"}, server, nil)
	if failed != nil {
		return "", failed
	}
	body, err := io.ReadAll(started.response.Body)
	if err != nil {
		started.abort()
		return string(body), &failure{reason: fault.ReasonBackendFailed, execution: fault.ExecutionUnknown, cause: err}
	}
	started.finish()
	return string(body), nil
}

func completeAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// MIXED: a late answer to an earlier request, which arrives in place of the next one's, is
// discarded.
func TestLateAnswerIsSkipped(t *testing.T) {
	server := startScriptedServer(t, func(connection net.Conn, request *http.Request, number int) {
		id := request.Header.Get("Request-Id")
		if number == 1 {
			_, _ = io.WriteString(connection, completeAnswer("first", "late"))
		}
		_, _ = io.WriteString(connection, completeAnswer(id, "answer to "+id))
	})
	f := testForwarder()
	for _, id := range []string{"first", "second", "third"} {
		body, failed := roundTrip(t, f, server, testRequest(id, "b"))
		require.Nil(t, failed)
		assert.Equal(t, "answer to "+id, body)
	}
}

// A connection that was idle for longer than the silence check period is reused, but no connection,
// however recent, is reused for a request that must not be sent twice.
func TestIdleConnectionIsReused(t *testing.T) {
	server := startScriptedServer(t, func(connection net.Conn, request *http.Request, _ int) {
		id := request.Header.Get("Request-Id")
		_, _ = io.WriteString(connection, completeAnswer(id, "from "+connection.RemoteAddr().String()))
	})
	f := testForwarder()
	var callers []string
	for number, kind := range []fleet.RouteKind{fleet.Repeatable, fleet.Repeatable, fleet.AtMostOnce} {
		request := testRequest(fmt.Sprint("request-", number), "b")
		request.Route = &fleet.Route{Kind: kind}
		body, failed := roundTrip(t, f, server, request)
		require.Nil(t, failed)
		callers = append(callers, body)
		time.Sleep(550 * time.Millisecond)
	}
	assert.Equal(t, callers[0], callers[1])
	assert.NotEqual(t, callers[1], callers[2])
	for _, id := range []string{"once-1", "once-2"} {
		request := testRequest(id, "b")
		request.Route = &fleet.Route{Kind: fleet.AtMostOnce}
		body, failed := roundTrip(t, f, server, request)
		require.Nil(t, failed)
		assert.NotContains(t, callers, body)
		callers = append(callers, body)
	}
}

// MIXED: bytes after a complete answer belong to no request; the connection is not reused.
func TestSurplusBytesCloseTheConnection(t *testing.T) {
	server := startScriptedServer(t, func(connection net.Conn, request *http.Request, number int) {
		id := request.Header.Get("Request-Id")
		_, _ = io.WriteString(connection, completeAnswer(id, "answer to "+id)+completeAnswer(id, "again"))
	})
	f := testForwarder()
	for _, id := range []string{"first", "second"} {
		body, failed := roundTrip(t, f, server, testRequest(id, "b"))
		require.Nil(t, failed)
		assert.Equal(t, "answer to "+id, body)
		time.Sleep(20 * time.Millisecond)
		assert.Nil(t, server.pool.get(time.Minute, 0))
	}
}

// MIXED, TWICE: with an answer to another request only, or none, it is unknown whether the request
// ran, and it is not sent again at this level.
func TestOutcomeIsUnknownWithoutAnAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"another's answer": completeAnswer("other", "x"), "no answer": "", "no HTTP": "garbage\r\n\r\n",
		"cut in the body": "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 10\r\n\r\nabc",
	} {
		seen := 0
		server := startScriptedServer(t, func(connection net.Conn, _ *http.Request, _ int) {
			seen++
			_, _ = io.WriteString(connection, text)
			_ = connection.Close()
		})
		_, failed := roundTrip(t, testForwarder(), server, testRequest("r", "b"))
		require.NotNil(t, failed, name)
		assert.Equal(t, fault.ExecutionUnknown, failed.execution, name)
		assert.Equal(t, 1, seen, name)
	}
}

// REFUSED: a server that can't be reached has run nothing.
func TestUnreachableServerRanNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, failed := roundTrip(t, testForwarder(), &target{Candidate: &dispatch.Candidate{ID: "i-1", Address: address}}, testRequest("r", "b"))
	require.NotNil(t, failed)
	assert.Equal(t, fault.ExecutionNotRun, failed.execution)
}

// UNASKED: a server that answers before it has read a long body is sent no other request where the
// rest of that body is due.
func TestEarlyAnswerClosesTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(connection))
			if err != nil {
				continue
			}
			_, _ = io.WriteString(connection, completeAnswer(request.Header.Get("Request-Id"), "early"))
			time.Sleep(300 * time.Millisecond)
		}
	}()
	server := &target{Candidate: &dispatch.Candidate{ID: "i-1", Address: listener.Addr().String()}}
	body, failed := roundTrip(t, testForwarder(), server, testRequest("r", strings.Repeat("x", 8<<20)))
	require.Nil(t, failed)
	assert.Equal(t, "early", body)
	assert.Nil(t, server.pool.get(time.Minute, 0))
}

// Method, path, query, host and body are forwarded byte for byte.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	server := startScriptedServer(t, func(connection net.Conn, request *http.Request, _ int) {
		body, _ := io.ReadAll(request.Body)
		_, _ = io.WriteString(connection, completeAnswer(request.Header.Get("Request-Id"), request.Method+" "+request.RequestURI+" "+request.Host+" "+string(body)))
	})
	body, failed := roundTrip(t, testForwarder(), server, testRequest("r", "words"))
	require.Nil(t, failed)
	assert.Equal(t, "POST /x/?a=%20b h.example words", body)
}

func TestStreamIsSplitIntoCompleteEvents(t *testing.T) {
	read, write := io.Pipe()
	go func() {
		for _, part := range []string{"id: 1\ndata: a", "\n\nid: 2\nda", "ta: b\n\n", "id: 3\r\ndata: c\r\n\r\nid: 4\nda"} {
			_, _ = io.WriteString(write, part)
		}
		_ = write.Close()
	}()
	splitter := &eventSplitter{source: read}
	for _, id := range []string{"1", "2", "3"} {
		next, err := splitter.next()
		require.NoError(t, err)
		assert.Equal(t, id, next.id)
	}
	_, err := splitter.next()
	assert.ErrorIs(t, err, errTruncatedEvent, "a truncated event means an incomplete stream")
}

// VERSION: a request that a server has not begun is withdrawn shortly before the deadline of the
// server's version; one that has begun continues.
func TestRequestIsWithdrawnBeforeTheVersionDeadline(t *testing.T) {
	for _, begun := range []bool{false, true} {
		server := startScriptedServer(t, func(net.Conn, *http.Request, int) { time.Sleep(3 * time.Second) })
		f := testForwarder()
		request := testRequest("late", "b")
		f.targets.bounds.Store(&fleet.Bounds{VersionApply: 8 * time.Second})
		request.Call.Model = "m"
		f.targets.update(&catalog.View{Versions: map[string][]catalog.VersionAnnouncement{"m": {{Version: 2, Since: time.Now().Add(-7 * time.Second)}}}})
		w := &forwarding{Forwarder: f, request: request, criteria: dispatch.Request{Engine: &dispatch.Engine{}}}
		guard := w.newAttemptGuard(t.Context(), server, 1)
		w.attemptBegun = begun
		began := time.Now()
		_, failed := f.open(context.Background(), request, fleet.SendHeader{Deadline: time.Second, Instance: "i-1"}, server, guard)
		require.NotNil(t, failed)
		if begun {
			assert.Equal(t, fault.ReasonDeadline, failed.reason)
			continue
		}
		assert.Equal(t, fault.ReasonVersionDeadline, failed.reason)
		assert.Equal(t, fault.ExecutionUnknown, failed.execution)
		assert.Less(t, time.Since(began), time.Second, "withdrawn before the version deadline")
	}
}

// VERSION: a waiting request is withdrawn for a version that is announced after it was sent. If the
// deadline is fixed at the send, from the versions known then, a request sent while the store's
// watch received nothing for a second waits at a full server and begins on the old version 10 to
// 133 ms past its deadline.
func TestRequestIsWithdrawnForAVersionAnnouncedLater(t *testing.T) {
	f := testForwarder()
	f.targets.bounds.Store(&fleet.Bounds{VersionApply: 8 * time.Second})
	w := &forwarding{Forwarder: f, request: testRequest("early", "b"), criteria: dispatch.Request{Engine: &dispatch.Engine{}}}
	w.request.Call.Model = "m"
	check := w.newSilenceCheck(&target{}, 1)
	require.NoError(t, check(time.Millisecond, time.Second))
	f.targets.update(&catalog.View{Versions: map[string][]catalog.VersionAnnouncement{"m": {{Version: 2, Since: time.Now().Add(-7800 * time.Millisecond)}}}})
	assert.ErrorIs(t, check(time.Millisecond, time.Second), errVersionDeadline)
}

// VERSION: the version deadline is checked again after connecting, and nothing is sent once it is
// near. If it were checked only before connecting, which takes up to dialTimeout, and again 0.2 s
// after the send, only a cancellation that arrives in time would keep the request from beginning
// late.
func TestNothingIsSentWhenTheVersionDeadlineNearsWhileConnecting(t *testing.T) {
	var received atomic.Int64
	server := startScriptedServer(t, func(net.Conn, *http.Request, int) { received.Add(1) })
	f := testForwarder()
	f.targets.bounds.Store(&fleet.Bounds{VersionApply: 8 * time.Second})
	w := &forwarding{Forwarder: f, request: testRequest("late", "b"), criteria: dispatch.Request{Engine: &dispatch.Engine{}}}
	w.request.Call.Model = "m"
	guard := w.newAttemptGuard(t.Context(), server, 1)
	f.targets.update(&catalog.View{Versions: map[string][]catalog.VersionAnnouncement{"m": {{Version: 2, Since: time.Now().Add(-7800 * time.Millisecond)}}}})
	_, failed := f.open(context.Background(), w.request, fleet.SendHeader{Deadline: time.Second, Instance: "i-1"}, server, guard)
	require.NotNil(t, failed)
	assert.Equal(t, fault.ReasonVersionDeadline, failed.reason)
	assert.Equal(t, fault.ExecutionNotRun, failed.execution)
	time.Sleep(50 * time.Millisecond)
	assert.Zero(t, received.Load(), "requests that reached the server")
}

// Guards against sending a request to a server that requested a backoff, or announced that it is
// leaving, in an answer to another request while the connection for this one was being made.
func TestNothingIsSentToAServerThatBecameUnwillingWhileConnecting(t *testing.T) {
	for what, head := range map[string]fleet.AnswerHeader{
		"rest":    {Backoff: fleet.Backoff{Duration: time.Second}},
		"leaving": {Leaving: true},
	} {
		t.Run(what, func(t *testing.T) {
			var received atomic.Int64
			server := startScriptedServer(t, func(net.Conn, *http.Request, int) { received.Add(1) })
			f := testForwarder()
			f.targets.applyNotice(server, head, time.Now())
			_, failed := f.open(context.Background(), testRequest("unwilling", "b"), fleet.SendHeader{Deadline: time.Second, Instance: "i-1"}, server, nil)
			require.NotNil(t, failed)
			assert.Equal(t, fault.ReasonServerUnwilling, failed.reason)
			assert.Equal(t, fault.ExecutionNotRun, failed.execution)
			time.Sleep(50 * time.Millisecond)
			assert.Zero(t, received.Load(), "requests that reached the server")
		})
	}
}

// An answer that names another instance says nothing about this server, and an answer without a
// signature does not lift a limit.
func TestWhichAnswersCarryServerNotices(t *testing.T) {
	server := startScriptedServer(t, func(net.Conn, *http.Request, int) {})
	f := testForwarder()
	limits := func() int { servers, _ := f.targets.limitCounts(); return servers }
	named := fleet.RateLimit{Kind: fleet.RateLimitStated, PerSecond: 2}
	f.targets.core.Update(dispatch.Fleet{Servers: []dispatch.Server{{ID: server.ID, Service: "s", Address: server.Address, Zone: server.Zone}}}, time.Now())
	listed := &target{Candidate: f.targets.core.Candidates("s")[0]}
	f.targets.applyNotice(listed, fleet.AnswerHeader{Instance: "another", Limit: named}, time.Now())
	assert.Zero(t, limits())
	f.targets.applyNotice(listed, fleet.AnswerHeader{Limit: named}, time.Now())
	assert.Equal(t, 1, limits())
	f.targets.applyNotice(listed, fleet.AnswerHeader{}, time.Now().Add(time.Second))
	assert.Equal(t, 1, limits(), "unsigned")
	f.targets.applyNotice(listed, fleet.AnswerHeader{Signed: true, Limit: fleet.RateLimit{Kind: fleet.RateLimitUnreadable}}, time.Now().Add(time.Second))
	assert.Equal(t, 1, limits(), "unreadable")
	f.targets.applyNotice(listed, fleet.AnswerHeader{Signed: true}, time.Now().Add(time.Second))
	assert.Zero(t, limits())
}

// Guards against a connection that is kept although the rest of an answer is still to come on it, in place
// of the next request's.
func TestConnectionOfAnInterruptedAnswerIsNotReused(t *testing.T) {
	f := startScriptedFleet(t, 1, func(connection net.Conn, id string, _ int) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, 3*maxBufferedBytes, strings.Repeat("x", 2*maxBufferedBytes))
	})
	assert.PanicsWithValue(t, http.ErrAbortHandler, func() { _, _ = f.serve(fleet.Repeatable, 3) })
	assert.Empty(t, f.server("i-0").pool.idle)
}
