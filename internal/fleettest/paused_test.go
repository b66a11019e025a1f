package fleettest

import (
	"fmt"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/workload"
)

// Streams of the tests of paused engines are long enough that all are under way when the engines
// pause.
const (
	pausedStreams = 8
	pausedTokens  = 200
)

// streamsWhile runs streams, calls disturb while all are under way, and returns when they have ended.
func streamsWhile(f *Fleet, disturb func()) {
	var group sync.WaitGroup
	for i := range pausedStreams {
		group.Go(func() { f.Do(f.Entries[0], Stream(fmt.Sprint("paused ", i), pausedTokens)) })
	}
	f.Wait("the streams are under way", func() bool {
		running := 0
		for _, machine := range f.Engines {
			running += machine.Engine.Status().Running
		}
		return running == pausedStreams
	})
	disturb()
	group.Wait()
}

// Guards against streams that are cut because every engine falls silent for up to two seconds and goes
// on: nothing better is at hand than to wait.
func TestPauseOfAllEnginesCutsNoStream(t *testing.T) {
	t.Parallel()
	for _, duration := range []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second} {
		t.Run(duration.String(), func(t *testing.T) {
			t.Parallel()
			f := New(t, 2, 0, 1)
			streamsWhile(f, func() {
				for _, machine := range f.Engines {
					machine.Engine.Pause(duration)
				}
			})
			summary := workload.Summarize(f.Recorder.Results())
			assert.Equal(t, pausedStreams, summary.Answered, "%+v", summary)
			assert.Empty(t, f.Violations())
		})
	}
}

// Guards against an answer that is given up though its back end works on it: the outcome of a call
// whose link was lost is inquired, and "running" is an answer for which the caller can wait.
func TestCallWithLostLinkIsAnsweredWhenItTakesLong(t *testing.T) {
	t.Parallel()
	f := New(t, 1, 1, 1)
	service := f.Services[0]
	results := make(chan workload.Result, 1)
	go func() { results <- f.Do(f.Entries[0], Call("takes long")) }()
	f.Wait("the call runs", func() bool { return len(service.Service.Runs()) > 0 })
	service.Service.Pause(5 * time.Second)
	for _, link := range service.Node.Hub.Accepted() {
		_ = link.Close()
	}
	result := <-results
	assert.True(t, result.Answered, "%+v", result)
	assert.Empty(t, f.Violations())
}

// Guards against a version that is loaded again, and old ones that are never unloaded, because one
// status query to the engine went unanswered.
func TestPauseOfEngineLoadsNothingAgain(t *testing.T) {
	t.Parallel()
	f := New(t, 2, 0, 1)
	f.PublishVersion("2")
	f.WaitServing("2")
	paused := f.Engines[0]
	paused.Engine.Pause(2500 * time.Millisecond)
	f.Wait("the agent admits nothing to its silent engine", func() bool { return !paused.Serves("2") })
	assert.True(t, f.Do(f.Entries[0], Stream("during the pause", 8)).Answered)
	f.Wait("the engine is used again", func() bool { return paused.Serves("2") })
	f.Wait("the old version is unloaded", func() bool {
		loaded := paused.Engine.Status().Loaded
		return len(loaded) == 1 && loaded[0].Version == "2"
	})
	loads := map[string]int{}
	for _, record := range paused.Engine.Orders() {
		if record.Order.Action == external.ActionLoad {
			loads[record.Order.Version]++
		}
	}
	assert.Equal(t, map[string]int{"1": 1, "2": 1}, loads)
}

// Guards against a stream that is cut because its only engine is out of reach for the moment in which
// the link to its agent is made again.
func TestStreamGoesOnWhenItsOnlyLinkIsMadeAgain(t *testing.T) {
	t.Parallel()
	f := New(t, 1, 0, 1)
	begun := make(chan struct{})
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotFirstResponseByte: func() { close(begun) }})
	request := Stream("one engine", 400)
	request.Key = Key
	results := make(chan workload.Result, 1)
	go func() { results <- f.Client.Do(ctx, f.Entries[0].Address, request) }()
	<-begun
	for _, link := range f.Engines[0].Node.Hub.Accepted() {
		_ = link.Close()
	}
	result := <-results
	f.Recorder.Add(result)
	assert.True(t, result.Answered, "%+v", result)
	assert.Empty(t, f.Violations())
}
