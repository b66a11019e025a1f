package sitetest

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Incident: a server refused a request of an entry and requested a backoff of 3 s. The entry sent it
// up to seven more requests in that time, each of which was refused too.

const (
	// backoffRequested is the backoff that servers request, backoffGrace how long after that
	// requests may still arrive, and maxDuringBackoff how many may arrive later.
	backoffRequested = 3 * time.Second
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// oneEntryOptions returns a fleet with one entry, so that all requests to a server come from it.
func oneEntryOptions() site.Options {
	options := DefaultOptions()
	options.Zones, options.Entries, options.ModelServers, options.PlainServers = 1, 1, 4, 2
	return options
}

// BUDGET: guards against requests to a server that has refused some and requested a backoff. The
// requests are served elsewhere, and the server is used again after its backoff.
func TestServerBackoffIsRespected(t *testing.T) {
	f := Start(t, oneEntryOptions())
	stop := f.startHarmlessTraffic(5 * time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	backingOff := f.Site.Models[f.Site.Options.ModelIP(0, 0)]
	backingOff.SetFaults(site.Faults{Shed: 1, ShedBackoff: backoffRequested})
	requestedAt := time.Now()
	time.Sleep(6 * time.Second)
	outcomes := stop()
	arrivals := f.arrivalTimes(backingOff.ID(), requestedAt)
	during := 0
	for _, at := range arrivals {
		if since := at.Sub(arrivals[0]); since > backoffGrace && since < backoffRequested {
			during++
		}
	}
	t.Logf("requests during the backoff: %d, total since its start: %d", during, len(arrivals))
	assert.LessOrEqual(t, during, maxDuringBackoff)
	assert.GreaterOrEqual(t, len(f.arrivalTimes(backingOff.ID(), requestedAt.Add(backoffRequested+time.Second))), 10, "requests after the backoff")
	assert.GreaterOrEqual(t, servedRatio(outcomes, requestedAt, requestedAt.Add(6*time.Second), time.Second), minServedRatio)
}

// BUDGET: all servers of a service request a backoff. Requests are refused at once, with a
// Retry-After at the end of the first backoff.
func TestAllServersRequestBackoff(t *testing.T) {
	f := Start(t, oneEntryOptions())
	for _, server := range f.Site.Plain {
		server.SetFaults(site.Faults{Shed: 1000, ShedBackoff: backoffRequested})
	}
	startedAt := time.Now()
	stop := f.startPlainTraffic(20 * time.Millisecond)
	time.Sleep(2500 * time.Millisecond)
	outcomes := stop()
	for _, server := range f.Site.Plain {
		assert.LessOrEqual(t, len(f.arrivalTimes(server.ID(), startedAt.Add(backoffGrace))), maxDuringBackoff)
	}
	for _, result := range outcomes {
		assert.Equal(t, http.StatusServiceUnavailable, result.answer.Status)
		if result.startedAt.Before(startedAt.Add(backoffGrace)) {
			continue
		}
		assert.Less(t, result.duration, 100*time.Millisecond, "time to a local refusal")
		assert.GreaterOrEqual(t, retryAfter(t, result.answer), backoffRequested-result.startedAt.Sub(startedAt)-200*time.Millisecond, "until the first backoff ends")
	}
}
