package demo

import (
	"context"
	"maps"
	"slices"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/experiment/soak"
)

// Times of the pause of a server in the demo.
const (
	// serverPause is how long the server sends nothing before it goes on where it stopped.
	serverPause = time.Second
	// beforePause and afterPause are how long callers send requests before and after it: long enough that long
	// streams are under way at every server when it pauses.
	beforePause = 800 * time.Millisecond
	afterPause  = 500 * time.Millisecond
	// The seeds of these callers' requests beside the two pauses.
	onePauseSeed = 1
	allPauseSeed = 2
)

// checkPauses has the busiest model server, and then every server, send nothing for a time under load, and checks that
// every request that was read ends with an answer or a refusal.
func (d *systemDemo) checkPauses() {
	d.checkPause("a server", onePauseSeed, func() []*site.Server { return []*site.Server{d.busiestServer()} })
	d.checkPause("every server", allPauseSeed, func() []*site.Server {
		return slices.Concat(slices.Collect(maps.Values(d.site.Models)), slices.Collect(maps.Values(d.site.Plain)))
	})
}

// checkPause pauses servers, which are chosen when the load runs.
func (d *systemDemo) checkPause(who string, seed uint64, choose func() []*site.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	attempts := soak.StartCallers(ctx, d.site, seed)
	time.Sleep(beforePause)
	running := 0
	for _, paused := range choose() {
		running += paused.Running()
		paused.Pause(serverPause)
	}
	time.Sleep(serverPause + afterPause)
	cancel()
	record := soak.Record{Attempts: attempts(), Runs: d.site.Requests.Runs(), Arrivals: d.site.Requests.Arrivals(), RetryLimit: d.site.Options.RetryLimit()}
	violations := soak.Check(record)
	d.printf("%s with %d open requests paused for %s; of %d requests sent meanwhile %d had neither an answer nor a refusal", who, running,
		serverPause, len(record.Attempts), countUnanswered(violations))
	for _, violation := range violations {
		d.recordViolation("%s: %s, %s", violation.Request, violation.Guarantee, violation.Detail)
	}
}

func countUnanswered(violations []soak.Violation) int {
	count := 0
	for _, violation := range violations {
		if violation.Guarantee == soak.EveryRequestEnds {
			count++
		}
	}
	return count
}

// busiestServer returns the model server with the most running requests.
func (d *systemDemo) busiestServer() *site.Server {
	var busiest *site.Server
	for _, server := range d.site.Models {
		if busiest == nil || server.Running() > busiest.Running() {
			busiest = server
		}
	}
	return busiest
}
