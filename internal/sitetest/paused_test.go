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

	"pinevane.example/pinevane/internal/emulator/site"
)

// Incident: sound servers fell silent for about a second and went on. The entries gave up the
// requests that were open there before anything better was at hand, and closed the connections of
// the callers whose streams could not be continued.

// Streams of the tests of paused servers: 40 events, one every 40 ms, so that all of them are under
// way when the servers pause and would end in time if nobody gave up.
const (
	pausedStreams     = 24
	pausedEvents      = 40
	pausedEventTime   = 40 * time.Millisecond
	pauseAfter        = 500 * time.Millisecond
	warmUpStreams     = 16
	warmUpEvents      = 5
	pausedSlots       = 16
	pausedBudgetSlack = 100
)

// startPausableFleet starts a fleet whose streams last for more than a second, and sends traffic from
// which the entries learn the usual times.
func startPausableFleet(t *testing.T) *Fleet {
	t.Helper()
	options := DefaultOptions()
	options.EventTime, options.Slots, options.BudgetSlack = pausedEventTime, pausedSlots, pausedBudgetSlack
	f := Start(t, options)
	var waiting sync.WaitGroup
	for number := range warmUpStreams {
		waiting.Go(func() {
			_, _ = f.Stream(t.Context(), number%2, number/2%2, fmt.Sprintf("warm-%d", number), warmUpEvents)
		})
	}
	waiting.Wait()
	return f
}

// runStreams starts streams at all entries, calls disturb while they are under way, and returns their
// outcomes.
func runStreams(f *Fleet, count int, disturb func()) []outcome {
	outcomes := make([]outcome, count)
	var running sync.WaitGroup
	for number := range count {
		running.Go(func() {
			id, began := fmt.Sprintf("stream-%d", number), time.Now()
			answer, err := f.Stream(context.Background(), number%2, number/2%2, id, pausedEvents)
			outcomes[number] = outcome{id: id, startedAt: began, duration: time.Since(began), answer: answer, err: err}
		})
	}
	time.Sleep(pauseAfter)
	disturb()
	running.Wait()
	return outcomes
}

// assertCompleteStreams requires that every stream has delivered each of its events once, in order.
func assertCompleteStreams(t *testing.T, f *Fleet, outcomes []outcome) {
	t.Helper()
	complete := make([]int, pausedEvents)
	for index := range complete {
		complete[index] = index + 1
	}
	for _, result := range outcomes {
		if assert.NoError(t, result.err, result.id) {
			assert.Equal(t, http.StatusOK, result.answer.Status, result.id)
			assert.True(t, result.answer.Complete, "%s was cut after %d events", result.id, len(result.answer.Events))
			assert.Equal(t, complete, result.answer.Events, result.id)
		}
	}
	assert.Zero(t, strings.Count(f.Log.String(), `"PV4107"`), "streams cut")
}

// Guards against the cut of streams whose servers pause and go on: an attempt was given up for
// silence before another server had begun to answer, and none had a place.
func TestPauseOfAllServersCutsNoStream(t *testing.T) {
	for _, pause := range []time.Duration{400 * time.Millisecond, 700 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			f := startPausableFleet(t)
			outcomes := runStreams(f, pausedStreams, func() {
				for _, server := range f.Site.Models {
					server.Pause(pause)
				}
			})
			assertCompleteStreams(t, f, outcomes)
		})
	}
}

// Guards against the same cut where one server pauses while the others take nothing new.
func TestPauseOfOneServerBesideFullOnesCutsNoStream(t *testing.T) {
	f := startPausableFleet(t)
	outcomes := runStreams(f, pausedStreams, func() {
		paused := f.Site.Models[f.Site.Options.ModelIP(0, 0)]
		for _, server := range f.Site.Models {
			if server != paused {
				server.SetFaults(site.Faults{Shed: 1000})
			}
		}
		paused.Pause(1300 * time.Millisecond)
	})
	assertCompleteStreams(t, f, outcomes)
}
