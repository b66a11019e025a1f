package sitetest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/silencer"
)

// modelPort is that of the stand-in's servers.
const modelPort = 8001

// serverConnections are the open connections to servers, by both ends.
func serverConnections(t *testing.T) map[silencer.Connection]bool {
	open := map[silencer.Connection]bool{}
	_, err := silencer.Silence(func(c silencer.Connection) bool {
		if c.Local.Port() == modelPort || c.Remote.Port() == modelPort {
			open[c] = true
		}
		return false
	})
	require.NoError(t, err)
	return open
}

// lateCancelOptions make requests wait at servers: each stream holds one of few places for
// long, which the published times of a step do not tell.
func lateCancelOptions() site.Options {
	options := DefaultOptions()
	options.Slots = 2
	options.EventTime = 100 * time.Millisecond
	options.BudgetSlack = 200
	return options
}

const (
	// longStreamEvents at 100 ms each are longer than the time from the silence to the bound.
	longStreamEvents = 25
	// silenceBefore is how long before the bound the connections go silent: after the last
	// request was sent, and before those that wait are taken back.
	silenceBefore = 700 * time.Millisecond
	// holdBefore is how long before the bound the servers begin nothing more, until releasedAfter it. By
	// then every place has become free, so that entries that have learned how late servers begin send
	// to them again, and what they send waits. All that is not turned away begins when it is let go.
	holdBefore    = 2700 * time.Millisecond
	releasedAfter = 50 * time.Millisecond
	// burstBefore is how long before the bound burstStreams come at once, each entry's before it hears of
	// the others'. Entries send nothing to an old version from a second before its bound.
	burstBefore  = 1150 * time.Millisecond
	burstStreams = 24
	// checkAfter is how long after the bound the servers' records are looked at: what was
	// under way is over then, and what waited would have begun.
	checkAfter = 4 * time.Second
)

func holdQueues(f *Fleet, held bool) {
	for _, server := range f.Site.Models {
		server.HoldQueue(held)
	}
}

// lateRuns names version 2 under load, silences the connections between entries and servers
// while requests wait there, and returns the requests that began on version 1 after its bound
// and whether any was waiting when the connections went silent.
func lateRuns(t *testing.T, f *Fleet) (late []time.Duration, waiting int) {
	agents := serverConnections(t)
	stream := func(kind string) func(context.Context, int) outcome {
		return func(ctx context.Context, number int) outcome {
			one := outcome{id: fmt.Sprintf("%s-%d", kind, number), startedAt: time.Now()}
			one.answer, one.err = f.Stream(ctx, number%2, number/2%2, one.id, longStreamEvents)
			return one
		}
	}
	stop := startTraffic(120*time.Millisecond, stream("stream"))
	named := time.Now()
	f.Site.NameVersion(2)
	bound := named.Add(time.Duration(f.Site.Options.VersionMs) * time.Millisecond)
	time.Sleep(time.Until(bound.Add(-holdBefore)))
	holdQueues(f, true)
	time.Sleep(time.Until(bound.Add(-burstBefore)))
	var burst sync.WaitGroup
	for number := range burstStreams {
		burst.Go(func() { stream("burst")(context.Background(), number) })
	}
	defer burst.Wait()
	time.Sleep(time.Until(bound.Add(-silenceBefore)))
	for _, server := range f.Site.Models {
		waiting += server.Waiting()
	}
	_, err := silencer.Silence(func(c silencer.Connection) bool {
		return (c.Local.Port() == modelPort || c.Remote.Port() == modelPort) && !agents[c]
	})
	require.NoError(t, err)
	time.Sleep(time.Until(bound.Add(releasedAfter)))
	holdQueues(f, false)
	time.Sleep(time.Until(bound.Add(checkAfter)))
	stop()
	for _, run := range f.Site.Ledger.Runs() {
		if run.Service == site.ModelService && run.Version == 1 && run.At.After(bound) {
			late = append(late, run.At.Sub(bound))
		}
	}
	return late, waiting
}

// VERSION: requests wait at servers when the connections to them go silent, so that no
// cancelling arrives any more, and one piece of the new version is not to be had. No request
// begins on the old version after its bound, and once the piece is there all serve the new one.
func TestNoLateStartsWhenCancellationsAreLost(t *testing.T) {
	f := Start(t, lateCancelOptions())
	f.Eventually("version 1 is verified", 3*time.Second, func() bool { return countEvents(f, "PV3005", "") >= 4 })
	f.Site.Origin.Withhold(f.Site.Options.Weights.Pieces - 1)
	late, waiting := lateRuns(t, f)
	assert.Positive(t, waiting, "requests that waited at servers when the connections went silent")
	assert.Empty(t, late, "requests that began on the old version, by the time after its bound")
	f.Site.Origin.Withhold()
	f.Eventually("every server serves version 2", 5*time.Second, func() bool { return f.allServe(2) })
	attempts := 0
	f.Eventually("requests are served again", 2*time.Second, func() bool {
		attempts++
		answer, err := f.Stream(context.Background(), 0, 0, fmt.Sprintf("after-%d", attempts), 3)
		return err == nil && answer.Status == http.StatusOK && answer.Complete
	})
	for _, run := range f.Site.Ledger.Runs() {
		assert.False(t, run.Spoilt)
	}
}

// The same with the new version whole: the servers are ordered before the bound, whatever
// waits at them.
func TestNoLateStartsWhenNewVersionIsStaged(t *testing.T) {
	f := Start(t, lateCancelOptions())
	f.Eventually("version 1 is verified", 3*time.Second, func() bool { return countEvents(f, "PV3005", "") >= 4 })
	late, _ := lateRuns(t, f)
	assert.Empty(t, late, "requests that began on the old version, by the time after its bound")
	f.Eventually("every server serves version 2", 5*time.Second, func() bool { return f.allServe(2) })
	for _, run := range f.Site.Ledger.Runs() {
		assert.False(t, run.Spoilt)
	}
}

// VERSION: two versions follow each other. The first is here whole, and its own time would be
// over soon after the change to it, so that it is not taken into service any more; of the second no
// layer is here. Nothing begins on the old version after its bound though no cancelling arrives:
// a part of the first is ordered, which begins nothing.
func TestNoLateStartsWhenOnlyIntermediateVersionIsStaged(t *testing.T) {
	f := Start(t, lateCancelOptions())
	late, _ := lateRunsOfTwoVersions(t, f)
	assert.Empty(t, late, "requests that began on the old version, by the time after its bound")
	assert.Zero(t, countEvents(f, "PV3114", `"serving":1,`), "servers with version 1 that were left to the entries")
	f.Site.Origin.SetAway(false)
	f.Eventually("every server serves version 3", 6*time.Second, func() bool { return f.allServe(3) })
	for _, run := range f.Site.Ledger.Runs() {
		assert.False(t, run.Spoilt)
	}
}

// VERSION: the same, looked at from the version between. Some servers change over to it in their
// turn, and what waits there must not begin after its own bound either.
func TestNoLateStartsOnIntermediateVersion(t *testing.T) {
	f := Start(t, lateCancelOptions())
	_, named := lateRunsOfTwoVersions(t, f)
	bound := named.Add(time.Duration(f.Site.Options.VersionMs) * time.Millisecond)
	var late []time.Duration
	for _, run := range f.Site.Ledger.Runs() {
		if run.Service == site.ModelService && run.Version == 2 && run.At.After(bound) {
			late = append(late, run.At.Sub(bound))
		}
	}
	assert.Empty(t, late, "requests that began on version 2, by the time after its bound")
}

// lateRunsOfTwoVersions names a third version, which nobody can fetch, as soon as the second is
// here, and returns what began late on the first and when the third was named.
func lateRunsOfTwoVersions(t *testing.T, f *Fleet) ([]time.Duration, time.Time) {
	f.Eventually("version 1 is verified", 3*time.Second, func() bool { return countEvents(f, "PV3005", "") >= 4 })
	named := make(chan time.Time)
	go func() {
		for limit := time.Now().Add(2 * time.Second); time.Now().Before(limit) && countEvents(f, "PV3005", `"version":2`) < 4; {
			time.Sleep(5 * time.Millisecond)
		}
		f.Site.Origin.SetAway(true)
		now := time.Now()
		f.Site.NameVersion(3)
		named <- now
	}()
	late, _ := lateRuns(t, f)
	return late, <-named
}

// VERSION: every connection of the system's processes goes silent when a version is named that
// nobody can fetch. Whatever process hears of it first, and however late, nothing begins on the
// old version after its bound.
func TestDeadlineHoldsWhenAllConnectionsAreSilent(t *testing.T) {
	f := Start(t, DefaultOptions())
	named, bound := f.announceDuringSilence(systemConnections)
	before, late, latest := 0, 0, time.Duration(0)
	for _, run := range f.Site.Ledger.Runs() {
		switch {
		case run.Service != site.ModelService || run.Version != 1 || run.At.Before(named):
		case run.At.After(bound):
			late++
			latest = max(latest, run.At.Sub(bound))
		default:
			before++
		}
	}
	assert.Positive(t, before, "requests that began on the old version within its bound")
	assert.Zero(t, late, "requests that began on the old version after its bound, the last one %s after it", latest)
}
