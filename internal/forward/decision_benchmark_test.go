package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// benchmarkFleet returns a forwarder that knows model servers in four zones of two regions, each
// with a fresh status report.
func benchmarkFleet(servers int) (*Forwarder, *fleet.Route) {
	zones := []string{"a1", "a2", "b1", "b2"}
	f := New(Options{
		Zone: "a1", Regions: map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}, Log: logging.Nop(),
		Registry: prometheus.NewRegistry(), Policy: DefaultPolicy(), Peers: func() int { return 8 },
		Bounds: fleet.Bounds{VersionApply: 8 * time.Second},
	})
	view := &catalog.View{Servers: map[string][]fleet.Server{}, Configuration: &fleet.Configuration{Services: map[string]fleet.Service{
		"s": {Engine: &fleet.Engine{Slots: 12, StepMilliseconds: 7, Stride: 6, ReadPerSecond: 30000, UsualPrompt: 1000, UsualAnswer: 100}},
	}}}
	for number := range servers {
		view.Servers["s"] = append(view.Servers["s"], fleet.Server{
			ID: fmt.Sprintf("server-%04d", number), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", number/200, number%200),
			Zone: zones[number%len(zones)], Slots: 12, Models: []fleet.HeldModel{{Name: "m", Version: 1}},
		})
	}
	f.Update(view)
	applyBenchmarkStatuses(f, view)
	return f, &fleet.Route{Kind: fleet.Streaming, Target: 400 * time.Millisecond}
}

func applyBenchmarkStatuses(f *Forwarder, view *catalog.View) {
	for number, server := range view.Servers["s"] {
		f.ApplyStatus(fleet.MachineStatus{
			Address: server.Address, Reachable: true, Model: "m", Version: 1, Running: number % 9, Waiting: number % 3,
			SwitchMilliseconds: fleet.NoSwitch,
		}, time.Now(), false)
	}
}

// BenchmarkDecision measures the complete decision on one request: which agents to query, the
// choice, and the updates when the request begins and ends. The network is left out.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{58, 200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			f, route := benchmarkFleet(servers)
			b.ReportAllocs()
			reported := time.Now()
			for b.Loop() {
				if time.Since(reported) > time.Second/2 {
					b.StopTimer()
					applyBenchmarkStatuses(f, f.targets.currentView())
					reported = time.Now()
					b.StartTimer()
				}
				decideOnce(b, f, route)
			}
		})
	}
}

func decideOnce(b *testing.B, f *Forwarder, route *fleet.Route) {
	w := &forwarding{Forwarder: f, request: &Request{Route: route}}
	w.criteria = dispatch.Request{Service: "s", Target: route.Target, Streaming: true, OtherEntries: 8, Prompt: 1000, Answer: 100}
	f.targets.fillEngine(&w.criteria)
	w.bindVersion()
	if len(f.targets.serversToQuery(&w.criteria, nil)) == 0 {
		b.Fatal("no server to query")
	}
	if _, refusal := f.targets.choose(w); refusal != nil {
		b.Fatal(refusal)
	}
	w.attemptBegun = true
	w.releaseAttempt()
}
