package demo

import (
	"context"
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
	// pauseSeed is the seed of these callers' requests.
	pauseSeed = 1
)

// checkPause has the busiest model server send nothing for a time under load, and checks that every request that was
// read ends with an answer or a refusal.
func (d *systemDemo) checkPause() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	attempts := soak.StartCallers(ctx, d.site, pauseSeed)
	time.Sleep(beforePause)
	paused := d.busiestServer()
	running := paused.Running()
	paused.Pause(serverPause)
	time.Sleep(serverPause + afterPause)
	cancel()
	record := soak.Record{Attempts: attempts(), Runs: d.site.Requests.Runs(), Arrivals: d.site.Requests.Arrivals()}
	violations := soak.Check(record)
	d.printf("a server with %d open requests paused for %s; %d requests sent meanwhile, %d of them without an answer or a refusal", running,
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
