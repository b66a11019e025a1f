package sitetest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/emulator/site"
)

// healthOptions returns a fleet of one zone with three entries and four servers of each service.
func healthOptions() site.Options {
	options := DefaultOptions()
	options.Zones, options.Entries, options.ModelServers, options.PlainServers = 1, 3, 4, 4
	options.BudgetSlack = 400
	return options
}

// modelServer returns the model server with the given index.
func (f *Fleet) modelServer(index int) *site.Server {
	return f.Site.Models[f.Site.Options.ModelIP(0, index)]
}

func (f *Fleet) plainServer(index int) *site.Server {
	for _, server := range f.Site.Plain {
		if strings.HasPrefix(server.ID(), fmt.Sprintf("p-0-%d-", index)) {
			return server
		}
	}
	return nil
}

// receivedBy lists the requests that a server received after the given time.
func (f *Fleet) receivedBy(server *site.Server, after time.Time) []site.Delivery {
	var received []site.Delivery
	for _, delivery := range f.Site.Requests.Deliveries() {
		if delivery.Server == server.ID() && delivery.At.After(after) {
			received = append(received, delivery)
		}
	}
	return received
}

// startAtMostOnceTraffic sends at-most-once requests, one after the other, through every entry until stop is
// called. Stop returns how many were sent and how many were not served.
func startAtMostOnceTraffic(f *Fleet, callers int) (stop func() (sent, lost int)) {
	return runCallers(callers, func(caller, number int) bool {
		answer, err := f.Call(context.Background(), 0, caller%f.Site.Options.Entries, http.MethodPost, site.OncePrefix+"a",
			fmt.Sprintf("save-%d-%d", caller, number), map[string]string{"Deadline-Ms": "600"}, "body")
		return err == nil && answer.Status == http.StatusOK
	})
}

// assertNoneRanTwice checks that no at-most-once request ran twice.
func assertNoneRanTwice(t *testing.T, f *Fleet) {
	t.Helper()
	ran := map[string]int{}
	for _, run := range f.Site.Requests.Runs() {
		if strings.HasPrefix(run.RequestID, "save-") {
			ran[run.RequestID]++
			assert.Equal(t, 1, ran[run.RequestID], run.RequestID)
		}
	}
}

// A server that is reported healthy and fails every request costs each entry one or two requests,
// and the zone one trial each time its ejection ends. No caller of a repeatable request is
// affected, and the server is used again after it recovers.
func TestFailingServerReportedHealthyCostsFewRequests(t *testing.T) {
	for name, failure := range map[string]site.FailureMode{"errors": site.FailWithErrors, "resets": site.FailWithResets, "hangs": site.FailWithHangs} {
		t.Run(name, func(t *testing.T) {
			f := Start(t, healthOptions())
			stop, stopAtMostOnce := startLoad(f, 9), startAtMostOnceTraffic(f, 6)
			time.Sleep(500 * time.Millisecond)
			model, plain := f.modelServer(0), f.plainServer(0)
			startedAt := time.Now()
			model.SetFaults(site.Faults{Failure: failure})
			plain.SetFaults(site.Faults{Failure: failure})
			time.Sleep(4 * time.Second)
			toModel, toPlain := len(f.receivedBy(model, startedAt)), len(f.receivedBy(plain, startedAt))
			model.SetFaults(site.Faults{})
			plain.SetFaults(site.Faults{})
			recoveredAt := time.Now()
			f.Eventually("both servers are in use again", 8*time.Second, func() bool {
				return len(f.receivedBy(model, recoveredAt)) > 20 && len(f.receivedBy(plain, recoveredAt)) > 20
			})
			sent, failed := stop()
			saved, lost := stopAtMostOnce()
			t.Logf("%d streams and calls, %d saves; the failing servers received %d and %d, %d saves were lost", sent, saved, toModel, toPlain, lost)
			assert.Zero(t, failed)
			assertNoneRanTwice(t, f)
			// Nine callers have one request each; two failures or three overdue answers eject the server, and
			// there is time for two trials.
			assert.LessOrEqual(t, toModel, 15)
			assert.LessOrEqual(t, toPlain, 15)
			assert.LessOrEqual(t, lost, 12)
		})
	}
}

// A server that alternates between up and down is ejected for longer each time; no request fails
// because of it or is sent to two such servers.
func TestFlappingServersFailEachRequestOnce(t *testing.T) {
	f := Start(t, healthOptions())
	stop := startLoad(f, 9)
	time.Sleep(500 * time.Millisecond)
	flapping := []*site.Server{f.modelServer(0), f.modelServer(1)}
	for turn := range 12 {
		for index, server := range flapping {
			failure := site.NoFailure
			if (turn+index)%2 == 0 {
				failure = site.FailWithResets
			}
			server.SetFaults(site.Faults{Failure: failure})
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, server := range flapping {
		server.SetFaults(site.Faults{})
	}
	sent, failed := stop()
	times, highest := map[string]int{}, 0
	for line := range strings.SplitSeq(f.Log.String(), "\n") {
		if strings.Contains(line, `"event":"PV4105"`) {
			_, id, _ := strings.Cut(line, `"request":"`)
			id, _, _ = strings.Cut(id, `"`)
			times[id]++
			highest = max(highest, times[id])
		}
	}
	t.Logf("%d requests, %d met a server that was down, one up to %d times, %d ejections", sent, len(times), highest, countEvents(f, "PV4204", "server"))
	assert.LessOrEqual(t, highest, 1)
	// Five in each of the 12 rounds.
	assert.LessOrEqual(t, len(times), 60)
	assert.Zero(t, failed)
}

// A server that serves requests stays in use although its reports and health checks fail.
func TestServerThatIsFalselyIllStaysInUse(t *testing.T) {
	f := Start(t, healthOptions())
	stop := startLoad(f, 9)
	time.Sleep(500 * time.Millisecond)
	startedAt := time.Now()
	for index := range 2 {
		f.modelServer(index).SetFaults(site.Faults{FailHealthChecks: true})
	}
	f.Eventually("the entries have received the reports", 2*time.Second, func() bool { return countEvents(f, "PV4203", `"reachable":false`) >= 2 })
	time.Sleep(2 * time.Second)
	late := time.Now().Add(-500 * time.Millisecond)
	sent, failed := stop()
	assert.Zero(t, failed)
	for index := range 2 {
		received := len(f.receivedBy(f.modelServer(index), startedAt))
		t.Logf("server %d received %d of %d", index, received, sent)
		assert.NotEmpty(t, f.receivedBy(f.modelServer(index), late), "the server is in use to the end")
		assert.Greater(t, received, sent/20)
	}
}

// Half of the servers respond neither to their agents nor to requests. They receive occasional
// trials, no caller is affected, and they are used again once they respond.
func TestUnresponsiveServersCostFewRequests(t *testing.T) {
	f := Start(t, healthOptions())
	stop := startLoad(f, 9)
	time.Sleep(500 * time.Millisecond)
	for index := range 2 {
		f.modelServer(index).SetFaults(site.Faults{Silent: true})
	}
	f.Eventually("the entries have received the reports", 2*time.Second, func() bool { return countEvents(f, "PV4203", `"reachable":false`) >= 2 })
	time.Sleep(500 * time.Millisecond)
	sentTo := func(index int) int { return countEvents(f, "PV4101", f.modelServer(index).ID()) }
	before := []int{sentTo(0), sentTo(1)}
	time.Sleep(6 * time.Second)
	for index := range 2 {
		received := sentTo(index) - before[index]
		t.Logf("server %d was sent %d while it was lost", index, received)
		// Trials are at least 1.5 s, 1.5 s and 3 s apart, and another entry may add one in its turn.
		assert.Positive(t, received)
		assert.LessOrEqual(t, received, 5)
	}
	for index := range 2 {
		f.modelServer(index).SetFaults(site.Faults{})
	}
	recoveredAt := time.Now()
	f.Eventually("both servers are in use again", 3*time.Second, func() bool {
		return len(f.receivedBy(f.modelServer(0), recoveredAt)) > 20 && len(f.receivedBy(f.modelServer(1), recoveredAt)) > 20
	})
	sent, failed := stop()
	t.Logf("%d requests", sent)
	assert.Zero(t, failed)
}

// An ejection by one entry applies at every entry of the zone at once, and an entry that starts
// afterwards learns of it too.
func TestEjectionIsSharedWithinZone(t *testing.T) {
	f := Start(t, healthOptions())
	model := f.modelServer(0)
	model.SetFaults(site.Faults{Failure: site.FailWithErrors})
	for number := 0; countEvents(f, "PV4204", model.ID()) == 0; number++ {
		answer, err := f.Stream(context.Background(), 0, 0, fmt.Sprint("learn-", number), 2)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.Status)
	}
	learnedAt := time.Now()
	f.Eventually("every entry of the zone knows of the ejection", 300*time.Millisecond, func() bool {
		return countEvents(f, "PV4204", model.ID()) == f.Site.Options.Entries
	})
	elapsed := time.Since(learnedAt)
	t.Logf("every entry of the zone knows after %s", elapsed)
	f.Kill(ProcessName(catalog.RoleEntry, 0, 2))
	f.StartEntry(0, 2)
	f.Eventually("the entry is ready", 5*time.Second, func() bool { return f.ready(0, 2) && f.hasAllReports(0, 2) })
	f.Eventually("the new entry knows of the ejection", 300*time.Millisecond, func() bool {
		return countEvents(f, "PV4204", model.ID()) == f.Site.Options.Entries+1
	})
	before := len(f.receivedBy(model, learnedAt))
	for number := range 60 {
		answer, err := f.Stream(context.Background(), 0, 1+number%2, fmt.Sprint("known-", number), 2)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, answer.Status)
	}
	received := len(f.receivedBy(model, learnedAt)) - before
	// A log line is written up to 0.1 s after its event.
	f.Eventually("as many trials are logged as reached the server", 500*time.Millisecond, func() bool {
		return countEvents(f, "PV4209", model.ID()) >= received
	})
}
