package forward

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime/debug"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/platform"
	"pinevane.example/pinevane/platform/platformtest"
)

// Parameters of BenchmarkForwardingWhileConfigurationsChange.
const (
	// benchmarkCallers send one request per callerPace each, like the callers of a busy entry.
	benchmarkCallers = 8
	callerPace       = 5 * time.Millisecond
	// changePeriod is the interval of configuration changes.
	changePeriod = 250 * time.Millisecond
	// daemonMemory and daemonGarbage are the memory limit and GC percentage that a daemon sets
	// itself.
	daemonMemory  = 24 << 20
	daemonGarbage = 40
)

// limitLikeDaemon sets a daemon's memory limits for the duration of a benchmark.
func limitLikeDaemon(b *testing.B) {
	memory, garbage := debug.SetMemoryLimit(daemonMemory), debug.SetGCPercent(daemonGarbage)
	b.Cleanup(func() {
		debug.SetMemoryLimit(memory)
		debug.SetGCPercent(garbage)
	})
}

// changer applies configurations as an entry does: one is decoded, and the view is updated.
type changer struct {
	f       *Forwarder
	view    catalog.View
	decoder platform.Decoder
	records [][]byte
}

func (c *changer) change(b *testing.B, number int) {
	configuration, err := c.decoder.Configuration(c.records[number%len(c.records)])
	require.NoError(b, err)
	next := c.view
	next.Configuration = configuration
	c.f.Update(&next)
}

// startChanger returns a changer with one server, which answers at once, and two versions of a
// configuration.
func startChanger(b *testing.B, routes int) *changer {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
		writer.Header().Set("Response-Seal", "s")
		_, _ = writer.Write([]byte("answer"))
	}))
	b.Cleanup(server.Close)
	c := &changer{f: New(Options{
		Zone: "z", Dialect: platform.Dialect{}, Log: logging.Nop(), Registry: prometheus.NewRegistry(), Policy: DefaultPolicy(),
		Bounds: fleet.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 400}, Peers: func() int { return 0 },
	}), decoder: platform.NewDecoder(), view: catalog.View{Servers: map[string][]fleet.Server{
		platformtest.PlainService: {{ID: "i-0", Service: platformtest.PlainService, Address: server.Listener.Addr().(*net.TCPAddr).String(), Zone: "z", Slots: 64}},
	}}}
	for version := range 2 {
		c.records = append(c.records, platformtest.LargeConfiguration(b, version+1, routes))
	}
	c.change(b, 0)
	return c
}

// forward sends one request under the current configuration and returns how long its answer took.
func (c *changer) forward(b *testing.B, number, routes int) time.Duration {
	began := time.Now()
	configuration := c.f.targets.currentView().Configuration
	route, found := configuration.RouteOf(platformtest.RouteHost(number%routes), platformtest.RoutePath(number%routes))
	if !found {
		b.Error("no route")
		return 0
	}
	request := testRequest(fmt.Sprint("r-", number), "b")
	request.Route, request.Configuration, request.Deadline = route, configuration, began.Add(route.Timeout)
	writer := httptest.NewRecorder()
	if refusal := c.f.Serve(b.Context(), writer, request); refusal != nil {
		b.Error(refusal)
	}
	return time.Since(began)
}

// load sends the benchmark's requests and returns how long each took, in ascending order.
func (c *changer) load(b *testing.B, routes int) []time.Duration {
	took := make([]time.Duration, b.N)
	var work sync.WaitGroup
	for caller := range benchmarkCallers {
		work.Go(func() {
			ticker := time.NewTicker(callerPace)
			defer ticker.Stop()
			for number := caller; number < b.N; number += benchmarkCallers {
				<-ticker.C
				took[number] = c.forward(b, number, routes)
			}
		})
	}
	work.Wait()
	slices.Sort(took)
	return took
}

// BenchmarkForwardingWhileConfigurationsChange measures how long requests take while large
// configurations are decoded and applied, and without any change, under a daemon's memory limits.
func BenchmarkForwardingWhileConfigurationsChange(b *testing.B) {
	for _, routes := range []int{1000, 10000} {
		for _, changing := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d routes/changing=%t", routes, changing), func(b *testing.B) {
				c := startChanger(b, routes)
				limitLikeDaemon(b)
				stop, stopped := make(chan struct{}), make(chan struct{})
				changes, spent := 0, time.Duration(0)
				go func() {
					defer close(stopped)
					ticker := time.NewTicker(changePeriod)
					defer ticker.Stop()
					for changing {
						select {
						case <-ticker.C:
						case <-stop:
							return
						}
						began := time.Now()
						changes++
						c.change(b, changes)
						spent += time.Since(began)
					}
				}()
				b.ResetTimer()
				took := c.load(b, routes)
				b.StopTimer()
				close(stop)
				<-stopped
				report(b, took, changes, spent)
			})
		}
	}
}

func report(b *testing.B, took []time.Duration, changes int, spent time.Duration) {
	milliseconds := func(fraction float64) float64 {
		return took[min(len(took)-1, int(fraction*float64(len(took))))].Seconds() * 1000
	}
	b.ReportMetric(milliseconds(0.5), "p50-ms")
	b.ReportMetric(milliseconds(0.99), "p99-ms")
	b.ReportMetric(milliseconds(1), "longest-ms")
	if changes > 0 {
		b.ReportMetric(spent.Seconds()*1000/float64(changes), "change-ms")
	}
}
