package sitetest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/logging"
)

// Requests of the tests in underway_*_test.go are open for more than a second: streams of
// underWayEvents events, one every underWayEventTime, and plain requests that take as long. While
// they are open, the configuration changes. Nothing else is wrong with the fleet.
const (
	underWayEvents    = 30
	underWayEventTime = 40 * time.Millisecond
	underWayPlainTime = underWayEvents * underWayEventTime
	underWaySlots     = 16
	// A slow stream has slowStreamEvents events, one every slowStreamEventTime.
	slowStreamEvents    = 6
	slowStreamEventTime = 500 * time.Millisecond
	// underWayCount is how many requests of each kind are open.
	underWayCount = 8
	// secondService is a plain service that routes can be moved to.
	secondService = "archive"
)

// requestKinds are the kinds of requests, by the name of their route.
var requestKinds = []string{"stream", "safe", "once"}

// underWayOptions returns a fleet with long requests and ample places and retries.
func underWayOptions() site.Options {
	options := DefaultOptions()
	options.EventTime, options.PlainTime, options.Slots, options.BudgetSlack = underWayEventTime, underWayPlainTime, underWaySlots, 200
	return options
}

// startUnderWayFleet starts a fleet with long requests, and sends traffic from which the entries
// learn the usual times.
func startUnderWayFleet(t *testing.T, options site.Options, changes ...func(map[string]any)) *Fleet {
	t.Helper()
	f := Start(t, options)
	if len(changes) > 0 {
		f.configure(changes...)
	}
	for _, result := range openRequests(f, "warm", underWayCount, requestKinds...).outcomes() {
		require.True(t, result.answeredCompletely(), "%s: %d %v", result.id, result.answer.Status, result.err)
	}
	return f
}

// send sends a request of a kind.
func (f *Fleet) send(ctx context.Context, kind string, zone, index int, id string) outcome {
	result := outcome{id: id, startedAt: time.Now()}
	switch kind {
	case "patient-stream":
		header := map[string]string{"Model": f.Site.Options.Weights.Model, "Token-Usage": fmt.Sprintf("%d,%d", shortPrompt, underWayEvents), "Deadline-Ms": "8000"}
		result.answer, result.err = f.Call(ctx, zone, index, http.MethodPost, site.StreamPrefix+"a", id, header, "prompt")
	case "slow-stream":
		result.answer, result.err = f.Stream(ctx, zone, index, id, slowStreamEvents)
	case "stream":
		result.answer, result.err = f.Stream(ctx, zone, index, id, underWayEvents)
	case "safe":
		result.answer, result.err = f.Call(ctx, zone, index, http.MethodGet, site.SafePrefix, id, nil, "")
	default:
		result.answer, result.err = f.Call(ctx, zone, index, http.MethodPost, site.OncePrefix, id, nil, "save")
	}
	result.duration = time.Since(result.startedAt)
	return result
}

// openedRequests are requests that are open at all entries.
type openedRequests struct {
	running sync.WaitGroup
	results []outcome
}

// openRequests sends requests of the given kinds to all entries, and returns when a server works on
// each of them.
func openRequests(f *Fleet, name string, count int, kinds ...string) *openedRequests {
	f.t.Helper()
	opened := &openedRequests{results: make([]outcome, count*len(kinds))}
	for at := range opened.results {
		opened.running.Go(func() {
			kind := kinds[at%len(kinds)]
			number := at / len(kinds)
			opened.results[at] = f.send(context.Background(), kind, number%f.Site.Options.Zones, number/f.Site.Options.Zones%f.Site.Options.Entries, fmt.Sprintf("%s-%s-%d", name, kind, number))
		})
	}
	f.Eventually("servers work on all requests", 2*time.Second, func() bool {
		working := map[string]bool{}
		for _, run := range f.Site.Requests.Runs() {
			if strings.HasPrefix(run.RequestID, name+"-") {
				working[run.RequestID] = true
			}
		}
		return len(working) == len(opened.results)
	})
	return opened
}

// outcomes waits until all requests have ended.
func (o *openedRequests) outcomes() []outcome {
	o.running.Wait()
	return o.results
}

// answeredCompletely reports whether a request got a server's complete answer.
func (o outcome) answeredCompletely() bool {
	return o.err == nil && o.answer.Status == http.StatusOK && o.answer.Complete
}

// assertAnswered requires that each request got a server's complete answer, a stream with each of
// its events once and in order, and that no entry has logged an ending without an answer.
func assertAnswered(t *testing.T, f *Fleet, outcomes []outcome) {
	t.Helper()
	for _, result := range outcomes {
		if !assert.True(t, result.answeredCompletely(), "%s after %s: status %d, error %v, %d events", result.id, result.duration, result.answer.Status, result.err, len(result.answer.Events)) {
			continue
		}
		switch {
		case strings.Contains(result.id, "-slow-stream-"):
			assert.Equal(t, consecutive(slowStreamEvents), result.answer.Events, result.id)
		case strings.Contains(result.id, "stream-"):
			assert.Equal(t, consecutive(underWayEvents), result.answer.Events, result.id)
		}
	}
	assertNoUnanswered(t, f)
}

// assertNoUnanswered requires that no entry has logged the end of a request without an answer.
func assertNoUnanswered(t *testing.T, f *Fleet) {
	t.Helper()
	for _, event := range []logging.Event{logging.StreamCut, logging.RequestUnanswered, logging.HandlerPanicked} {
		assert.Zero(t, countEvents(f, event.Number, ""), event.Number)
	}
}

// assertNotRunTwice requires that no request of a kind was run more than once.
func assertNotRunTwice(t *testing.T, f *Fleet, kind string) {
	t.Helper()
	runs := map[string]int{}
	for _, run := range f.Site.Requests.Runs() {
		if strings.Contains(run.RequestID, "-"+kind+"-") {
			runs[run.RequestID]++
		}
	}
	for id, count := range runs {
		assert.Equal(t, 1, count, id)
	}
}

// breakOffZone makes all servers of a zone break off what they answer.
func breakOffZone(f *Fleet, zone int) {
	for _, server := range serversOf(f, zone) {
		server.BreakOff()
	}
}

// furtherAttempts returns the arrivals of requests, by kind, at servers that they reached after a
// moment.
func furtherAttempts(f *Fleet, kind string, after time.Time) []site.Arrival {
	var later []site.Arrival
	for _, arrival := range f.Site.Requests.Arrivals() {
		if arrival.At.After(after) && strings.Contains(arrival.RequestID, "-"+kind+"-") {
			later = append(later, arrival)
		}
	}
	return later
}

// statusOfKind sends a request of a kind to the first entry and returns its status.
func statusOfKind(t *testing.T, f *Fleet, kind, id string) int {
	t.Helper()
	result := f.send(context.Background(), kind, 0, 0, id)
	require.NoError(t, result.err)
	return result.answer.Status
}
