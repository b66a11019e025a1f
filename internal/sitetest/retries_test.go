package sitetest

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/logging"
)

// Parameters of the kills that the retry limit has to survive.
const (
	// retryLifetime is how long entries live between two kills: longer than the time after which an entry
	// trusts the number of others that it knows.
	retryLifetime = 3700 * time.Millisecond
	retryLives    = 4
	retryCallers  = 12
	// retryCallInterval is the time between two requests of a caller, beside callerPause.
	retryCallInterval = 100 * time.Millisecond
)

// sentRequests records what callers sent.
type sentRequests struct {
	mutex sync.Mutex
	all   []site.SentRequest
}

func (s *sentRequests) add(id, service string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.all = append(s.all, site.SentRequest{ID: id, Service: service, At: time.Now()})
}

// Guards against entries that spend the whole retry budget in each of their lives: with all entries killed
// again and again while servers fail, a service received more retries than the platform's limit.
func TestRetryLimitHoldsAcrossKillsOfEntries(t *testing.T) {
	options := DefaultOptions()
	options.Zones, options.Entries, options.ModelServers, options.BudgetSlack = 1, 4, 4, 120
	f := Start(t, options)
	time.Sleep(retryLifetime)
	for _, server := range f.Site.Models {
		server.SetFaults(site.Faults{Failure: site.FailWithErrors})
	}
	sent := &sentRequests{}
	stop := runCallers(retryCallers, func(caller, number int) bool {
		id := fmt.Sprintf("s-%d-%d", caller, number)
		sent.add(id, site.ModelService)
		answer, err := f.Stream(context.Background(), 0, caller%options.Entries, id, 3)
		time.Sleep(retryCallInterval)
		return err == nil && answer.Status == 200
	})
	for range retryLives - 1 {
		time.Sleep(retryLifetime)
		for index := range options.Entries {
			f.Kill(ProcessName(catalog.RoleEntry, 0, index))
		}
		for index := range options.Entries {
			f.StartEntry(0, index)
		}
	}
	time.Sleep(retryLifetime)
	stop()
	worst, found := site.WorstRetryWindow(site.ModelService, f.Site.Requests.Arrivals(), sent.all, options.RetryLimit())
	require.True(t, found, "servers failed and requests were retried")
	t.Logf("%d retries in the worst window, %d requests, %.0f allowed", worst.Retries, worst.Requests, worst.Allowed)
	assert.LessOrEqual(t, worst.Excess(), 0.0)
}

// resumedBy counts the entries that have gone on with the retry budget of their former process.
func resumedBy(f *Fleet) int {
	processes := map[string]bool{}
	for line := range strings.Lines(f.Log.String()) {
		var event struct{ Event, Process, Result string }
		if json.Unmarshal([]byte(line), &event) == nil && event.Event == logging.RetryAccountReceived.Number && event.Result == "resumed" {
			processes[event.Process] = true
		}
	}
	return len(processes)
}

// Guards against restarted entries that know nothing of what their former processes have spent, and so deny the retries
// that these would have made. When all entries were killed, agents tell them, otherwise the zone's other entries.
func TestRestartedEntryGoesOnWithTheFormerRetryBudget(t *testing.T) {
	for what, killed := range map[string]int{"all": 3, "one": 1} {
		t.Run(what, func(t *testing.T) {
			options := DefaultOptions()
			options.Zones, options.Entries, options.ModelServers, options.BudgetSlack = 1, 3, 4, 120
			f := Start(t, options)
			for _, server := range f.Site.Models {
				server.SetFaults(site.Faults{Failure: site.FailWithErrors})
			}
			stop := runCallers(retryCallers, func(caller, number int) bool {
				answer, err := f.Stream(context.Background(), 0, caller%options.Entries, fmt.Sprintf("s-%d-%d", caller, number), 3)
				time.Sleep(retryCallInterval)
				return err == nil && answer.Status == 200
			})
			defer stop()
			time.Sleep(time.Second)
			for index := range killed {
				f.Kill(ProcessName(catalog.RoleEntry, 0, index))
			}
			assert.Zero(t, resumedBy(f))
			for index := range killed {
				f.StartEntry(0, index)
			}
			f.Eventually("the started entries go on with their former budgets", retryLifetime, func() bool { return resumedBy(f) == killed })
		})
	}
}
