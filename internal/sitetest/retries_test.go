package sitetest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/emulator/site"
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
