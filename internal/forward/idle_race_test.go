package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/platform"
)

// races are the ways in which a server ends a connection on which bytes have just come in, none of
// which it has read as a request.
var races = map[string]func(connection *net.TCPConn){
	"closes": func(connection *net.TCPConn) { _ = connection.Close() },
	"resets": func(connection *net.TCPConn) {
		_ = connection.SetLinger(0)
		_ = connection.Close()
	},
	"closes its half": func(connection *net.TCPConn) {
		_ = connection.CloseWrite()
		_, _ = io.Copy(io.Discard, connection)
	},
	"forgets": func(connection *net.TCPConn) {},
}

// racingServer is a server that ends connections as requests come in.
type racingServer struct {
	t        *testing.T
	listener net.Listener

	mutex sync.Mutex
	open  []*net.TCPConn
	// race, when set, is what happens to connections that have carried a request, or to new ones.
	race func(connection *net.TCPConn)
	news bool
	// runs counts the runs of each request, raced the requests that were not read.
	runs  map[string]int
	raced int
}

func startRacing(t *testing.T) *racingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &racingServer{t: t, listener: listener, runs: map[string]int{}}
	go s.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for _, connection := range s.open {
			_ = connection.Close()
		}
	})
	return s
}

func (s *racingServer) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		kept := connection.(*net.TCPConn)
		s.mutex.Lock()
		s.open = append(s.open, kept)
		s.mutex.Unlock()
		go s.serve(kept)
	}
}

// awaitBytes waits until bytes are there to be read, and leaves them there.
func awaitBytes(connection *net.TCPConn) error {
	raw, err := connection.SyscallConn()
	if err != nil {
		return err
	}
	failure := io.EOF
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK)
		if err == syscall.EAGAIN {
			return false
		}
		if count > 0 {
			failure = nil
		}
		return true
	})
	if err != nil {
		return err
	}
	return failure
}

func (s *racingServer) serve(connection *net.TCPConn) {
	reader := bufio.NewReader(connection)
	for used := false; ; used = true {
		if awaitBytes(connection) != nil {
			_ = connection.Close()
			return
		}
		if race := s.racing(used); race != nil {
			race(connection)
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			_ = connection.Close()
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.answer(connection, request)
	}
}

// racing returns what happens to a connection on which a request comes in, or nil.
func (s *racingServer) racing(used bool) func(*net.TCPConn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.race == nil || used == s.news {
		return nil
	}
	s.raced++
	return s.race
}

func (s *racingServer) answer(connection net.Conn, request *http.Request) {
	id := request.Header.Get("Request-Id")
	s.mutex.Lock()
	s.runs[id]++
	s.mutex.Unlock()
	body := "answer to " + id
	if strings.HasPrefix(request.URL.Path, "/stream/") {
		body = "id: 1\ndata: " + id + "\n\nid: 2\ndata: " + id + "\n\n"
	}
	_, _ = io.WriteString(connection, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body))
}

// endNew makes new connections end in a way from now on, or those that have carried a request.
func (s *racingServer) end(race func(*net.TCPConn), news bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.race, s.news, s.raced = race, news, 0
}

func (s *racingServer) seen(id string) (runs, raced int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id], s.raced
}

// racedFleet is a forwarder that knows racing servers.
type racedFleet struct {
	*Forwarder
	servers  []*racingServer
	attempts int
}

// forwarderWithBudget is a forwarder that may send requests again.
func forwarderWithBudget() *Forwarder {
	bounds := fleet.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 400}
	return New(Options{
		Zone: "z", Dialect: platform.Dialect{}, Log: logging.Nop(), Registry: prometheus.NewRegistry(), Bounds: bounds,
		Policy: DefaultPolicy(), Peers: func() int { return 0 },
	})
}

func startRaced(t *testing.T, servers int) *racedFleet {
	t.Helper()
	f := &racedFleet{attempts: siteAttempts, Forwarder: forwarderWithBudget()}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	view := &catalog.View{Servers: map[string][]fleet.Server{}}
	for index := range servers {
		server := startRacing(t)
		f.servers = append(f.servers, server)
		view.Servers["s"] = append(view.Servers["s"], fleet.Server{ID: fmt.Sprint("i-", index), Service: "s", Address: server.listener.Addr().String(), Zone: "z", Slots: 64})
	}
	f.Update(view)
	return f
}

// call forwards one request; it returns the answer's text, or why there is none.
func (f *racedFleet) call(kind fleet.RouteKind, id string) (text string, refusal *fault.Refusal) {
	now := time.Now()
	request := &Request{
		Call: fleet.CallHeader{RequestID: id}, Method: http.MethodPost, Target: "/plain", Host: "h.example",
		Header: http.Header{"Request-Id": {id}}, Body: []byte("b"), Arrived: now, Deadline: now.Add(2 * time.Second),
		Route: &fleet.Route{Name: "r", Kind: kind, Services: []fleet.WeightedService{{Service: "s", Weight: 1}}, Attempts: f.attempts, Target: siteTarget},
	}
	if kind == fleet.Streaming {
		request.Target, request.Route.Resumable = "/stream/2", true
		request.Route.Target, request.Route.TargetGap = siteStreamTarget, siteGap
	}
	writer := httptest.NewRecorder()
	refusal = f.Serve(context.Background(), writer, request)
	return writer.Body.String(), refusal
}

// end sets how connections end at all servers.
func (f *racedFleet) end(race func(*net.TCPConn), news bool) {
	for _, server := range f.servers {
		server.end(race, news)
	}
}

func (f *racedFleet) seen(id string) (runs, raced int) {
	for _, server := range f.servers {
		ran, ended := server.seen(id)
		runs, raced = runs+ran, raced+ended
	}
	return runs, raced
}

// warm leaves a connection at rest.
func (f *racedFleet) warm(t *testing.T, kind fleet.RouteKind) {
	t.Helper()
	for number := range 4 {
		text, refusal := f.call(kind, fmt.Sprint("warm-", number))
		require.Nil(t, refusal)
		require.Contains(t, text, "warm-")
	}
}

// raceRounds is how many connections are ended in a row: more than the failures for which a
// server is ejected.
const raceRounds = 8

// forgottenRounds are those where nothing tells that a connection has ended: each takes up to
// streamPatience.
const forgottenRounds = 3

// A server ends connections that have rested as the next requests come in on them. Requests that
// may be repeated are answered within the caller's first try, also where their route allows one
// server only, or there is only one, and where the end shows it is no evidence against the server.
func TestRequestsSurviveEndedIdleConnections(t *testing.T) {
	for name, race := range races {
		for kindName, kind := range map[string]fleet.RouteKind{"repeatable": fleet.Repeatable, "stream": fleet.Streaming} {
			for _, attempts := range []int{1, siteAttempts} {
				for _, servers := range []int{1, 3} {
					if name == "forgets" && attempts == 1 {
						// Nothing tells that the connection has ended: the answer is awaited.
						continue
					}
					t.Run(fmt.Sprintf("%s/%s/%d attempts/%d servers", name, kindName, attempts, servers), func(t *testing.T) {
						t.Parallel()
						f := startRaced(t, servers)
						f.attempts = attempts
						if name == "forgets" {
							testEndedIdle(t, f, kind, race, forgottenRounds)
							assertInUse(t, f)
							return
						}
						testEndedIdle(t, f, kind, race, raceRounds)
						assertInOrder(t, f)
					})
				}
			}
		}
	}
}

func testEndedIdle(t *testing.T, f *racedFleet, kind fleet.RouteKind, race func(*net.TCPConn), rounds int) {
	races := 0
	for round := range rounds {
		f.warm(t, kind)
		f.end(race, false)
		id := fmt.Sprint("raced-", round)
		text, refusal := f.call(kind, id)
		runs, raced := f.seen(id)
		races += raced
		f.end(nil, false)
		if assert.Nil(t, refusal, "round %d", round) {
			assert.Contains(t, text, id)
			assert.Equal(t, 1, runs, "runs")
			assert.LessOrEqual(t, raced, 1, "sends over connections that were ended")
		}
	}
	assert.GreaterOrEqual(t, races, rounds/2, "requests that came in on a connection as it was ended")
}

func assertInOrder(t *testing.T, f *racedFleet) {
	t.Helper()
	for _, server := range f.Servers() {
		assert.Equal(t, health.InOrder.String(), server.Health.State, "state of the server's health")
	}
}

// assertInUse allows for evidence: an answer that does not come, on a connection that nothing tells
// to have ended, may be the server's fault.
func assertInUse(t *testing.T, f *racedFleet) {
	t.Helper()
	for _, server := range f.Servers() {
		assert.NotEqual(t, health.Ejected.String(), server.Health.State, "state of the server's health")
	}
}

// Requests that may run once take no connection that has rested, so that none is lost with one.
func TestRequestsThatRunOnceTakeNoIdleConnection(t *testing.T) {
	for name, race := range races {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startRaced(t, 1)
			f.warm(t, fleet.Repeatable)
			f.end(race, false)
			for number := range raceRounds {
				id := fmt.Sprint("once-", number)
				text, refusal := f.call(fleet.AtMostOnce, id)
				require.Nil(t, refusal)
				assert.Contains(t, text, id)
				runs, raced := f.seen(id)
				assert.Equal(t, 1, runs)
				assert.Zero(t, raced)
			}
		})
	}
}

// A new connection that ends after the request was sent leaves open whether it ran: a request
// that may run once is sent nowhere else, and nothing is promised.
func TestNothingIsPromisedOfARequestSentOverANewConnection(t *testing.T) {
	for name, race := range races {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startRaced(t, 2)
			f.end(race, true)
			_, refusal := f.call(fleet.AtMostOnce, "once")
			runs, raced := f.seen("once")
			require.NotNil(t, refusal)
			assert.Equal(t, fault.ExecutionUnknown, refusal.Execution)
			assert.Zero(t, runs)
			assert.Equal(t, 1, raced, "sends")
		})
	}
}

// A connection that has ended before anything was sent on it has carried nothing: the request has
// not run there, whatever its kind.
func TestNothingRanOverAConnectionThatEndedBeforeTheSend(t *testing.T) {
	for name, race := range races {
		if name == "forgets" {
			continue
		}
		for _, kind := range []fleet.RouteKind{fleet.AtMostOnce, fleet.Repeatable} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			go func() {
				for {
					connection, err := listener.Accept()
					if err != nil {
						return
					}
					go race(connection.(*net.TCPConn))
				}
			}()
			f := startRaced(t, 1)
			request := testRequest("r", "b")
			request.Route = &fleet.Route{Kind: kind}
			target := f.server("i-0")
			target.Candidate.Address = listener.Addr().String()
			slow := func(time.Duration, time.Duration) error {
				time.Sleep(50 * time.Millisecond)
				return nil
			}
			_, failed := f.open(context.Background(), request, fleet.SendHeader{Deadline: time.Second, Instance: "i-0"}, target, slow)
			require.NotNil(t, failed, name)
			assert.Equal(t, fault.ExecutionNotRun, failed.execution, "%s, kind %v", name, kind)
			_ = listener.Close()
		}
	}
}
