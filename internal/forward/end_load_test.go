package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
)

// Parameters of the servers under load.
const (
	loadedServers = 2
	loadedSlots   = 8
	loadedQueue   = 8
	loadedRunTime = 20 * time.Millisecond
	// unmarkedEvery is how many answers come for one that has no marked end.
	unmarkedEvery = 10
	loadTime      = 2 * time.Second
	// loadedTimeout leaves time for a whole answer where the tests' own processor is overloaded too.
	loadedTimeout = 15 * time.Second
)

// loadedServer is a sound server with a few slots and a short queue. Health checks take a slot too, or are rejected.
type loadedServer struct {
	id         string
	slots      chan struct{}
	waiting    atomic.Int64
	closesEach bool
	answered   atomic.Int64
	// unmarked counts the answers without a marked end, unmarkedOnce those of them to requests that may run once.
	unmarked     atomic.Int64
	unmarkedOnce atomic.Int64
	connections  atomic.Int64
}

func (s *loadedServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if s.closesEach {
		writer.Header().Set("Connection", "close")
	}
	writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
	_, _ = io.Copy(io.Discard, request.Body)
	if s.waiting.Add(1) > loadedQueue {
		s.waiting.Add(-1)
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	defer func() { <-s.slots }()
	if request.URL.Path == "/healthz" {
		writer.Header().Set("Instance-Id", s.id)
		return
	}
	time.Sleep(loadedRunTime)
	writer.Header().Set("Response-Seal", "s")
	if s.answered.Add(1)%unmarkedEvery != 0 {
		_, _ = io.WriteString(writer, "whole")
		return
	}
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(err)
	}
	s.unmarked.Add(1)
	if request.Method == http.MethodPost {
		s.unmarkedOnce.Add(1)
	}
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\nunmarked", request.Header.Get("Request-Id"))
	_ = connection.Close()
}

// loadResult counts the answers of a load.
type loadResult struct {
	sent, served, refused int
	// lost are requests that may have run and got no answer.
	lost                                int
	unmarkedServed, unmarkedOnceServed  int
	unmarked, unmarkedOnce, connections int64
	took                                []time.Duration
}

// playLoad sends requests at a multiple of what the servers can serve.
func playLoad(t *testing.T, load float64, closesEach bool) loadResult {
	f := startScriptedFleet(t, 0, nil)
	view := &catalog.View{
		Configuration: &fleet.Configuration{Services: map[string]fleet.Service{"s": {HealthPath: "/healthz"}}}, Servers: map[string][]fleet.Server{},
	}
	var servers []*loadedServer
	for number := range loadedServers {
		server := &loadedServer{id: fmt.Sprint("i-", number), slots: make(chan struct{}, loadedSlots), closesEach: closesEach}
		listening := httptest.NewUnstartedServer(server)
		listening.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				server.connections.Add(1)
			}
		}
		listening.Start()
		t.Cleanup(listening.Close)
		servers = append(servers, server)
		view.Servers["s"] = append(view.Servers["s"], fleet.Server{ID: server.id, Service: "s", Address: listening.Listener.Addr().String(), Zone: "z", Slots: loadedSlots})
	}
	f.Update(view)
	var mutex sync.Mutex
	var work sync.WaitGroup
	result := loadResult{}
	pause := time.Duration(float64(loadedRunTime) / (loadedServers * loadedSlots * load))
	for began, number := time.Now(), 0; time.Since(began) < loadTime; number++ {
		work.Go(func() {
			kind := []fleet.RouteKind{fleet.AtMostOnce, fleet.Repeatable}[number%2]
			request := testRequest(fmt.Sprint("r-", number), "b")
			if kind == fleet.Repeatable {
				request.Method = http.MethodPut
			}
			request.Configuration, request.Deadline = view.Configuration, time.Now().Add(loadedTimeout)
			request.Route = &fleet.Route{Kind: kind, Attempts: 2, Services: []fleet.WeightedService{{Service: "s", Weight: 1}}}
			recorded := httptest.NewRecorder()
			sentAt := time.Now()
			refusal := f.Serve(t.Context(), recorded, request)
			mutex.Lock()
			defer mutex.Unlock()
			result.sent++
			switch {
			case refusal != nil:
				result.refused++
				if refusal.Execution != fault.ExecutionNotRun {
					result.lost++
				}
			default:
				result.served++
				result.took = append(result.took, time.Since(sentAt))
				if recorded.Body.String() == "unmarked" {
					result.unmarkedServed++
				}
				if recorded.Body.String() == "unmarked" && kind == fleet.AtMostOnce {
					result.unmarkedOnceServed++
				}
			}
		})
		time.Sleep(time.Until(began.Add(time.Duration(number+1) * pause)))
	}
	work.Wait()
	for _, server := range servers {
		result.unmarked += server.unmarked.Load()
		result.unmarkedOnce += server.unmarkedOnce.Load()
		result.connections += server.connections.Load()
	}
	slices.Sort(result.took)
	return result
}

// Guards against sound answers that are given up because their server, which is full, can't say at once that it runs.
func TestUnmarkedAnswersOfFullServersArriveWhole(t *testing.T) {
	for _, closesEach := range []bool{false, true} {
		for _, load := range []float64{0.5, 1, 2, 4} {
			name := fmt.Sprintf("load %.1f", load)
			if closesEach {
				name += ", each connection is closed"
			}
			t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
				result := playLoad(t, load, closesEach)
				require.NotEmpty(t, result.took)
				t.Logf("sent %d, served %d, refused %d, lost %d; unmarked %d, whole %d; connections %d; p50 %s, p99 %s", result.sent, result.served, result.refused, result.lost,
					result.unmarked, result.unmarkedServed, result.connections, result.took[len(result.took)/2], result.took[len(result.took)*99/100])
				assert.Zero(t, result.lost)
				assert.Equal(t, int(result.unmarkedOnce), result.unmarkedOnceServed, "a request that may be repeated may get another server's answer instead")
			})
		}
	}
}
