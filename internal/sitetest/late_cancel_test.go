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

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/silencer"
)

// modelPort is the port of the emulated model servers.
const modelPort = 8001

// serverConnections returns the open connections to servers, as seen from both ends.
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

// lateCancelOptions makes requests queue at servers: each stream holds one of few slots for a long
// time, which the published step time does not reveal.
func lateCancelOptions() site.Options {
	options := DefaultOptions()
	options.Slots = 2
	options.EventTime = 100 * time.Millisecond
	options.BudgetSlack = 200
	return options
}

const (
	// longStreamEvents at 100 ms each take longer than the time from the silence to the deadline.
	longStreamEvents = 25
	// silenceBefore is how long before the assumed deadline the connections go silent: after the last
	// request was sent, and before queued requests are cancelled.
	silenceBefore = 700 * time.Millisecond
	// holdBefore is how long before the assumed deadline the servers stop starting requests, until
	// releasedAfter the deadline. By then every slot is free, so that entries that have learned how late
	// servers start requests send to them again, and these requests queue. All requests that are not
	// refused start when the queues are released.
	holdBefore    = 2700 * time.Millisecond
	releasedAfter = 50 * time.Millisecond
	// burstBefore is how long before the deadline burstStreams arrive at once, each entry's before
	// it learns of the others'. Entries send nothing to an old version from a second before its
	// deadline.
	burstBefore  = 1150 * time.Millisecond
	burstStreams = 24
	// checkAfter is how long after the deadline the servers' records are checked: running requests
	// have ended by then, and queued ones would have started.
	checkAfter = 4 * time.Second
)

func holdQueues(f *Fleet, held bool) {
	for _, server := range f.Site.Models {
		server.HoldQueue(held)
	}
}

// assumedDeadline returns the earliest deadline of version 1 that any process assumes, once all have
// received a later version. It is not after the real one: a process counts a version as announced since
// its copy was last known to be complete. Requests are sent, and cancelled, with regard to it.
func (f *Fleet) assumedDeadline() time.Time {
	options := f.Site.Options
	var names []string
	for zone := range options.Zones {
		for index := range options.Entries {
			names = append(names, ProcessName(catalog.RoleEntry, zone, index))
		}
		for index := range options.ModelServers {
			names = append(names, ProcessName(catalog.RoleAgent, zone, index))
		}
	}
	var earliest time.Time
	f.Eventually("every process has received the version", time.Second, func() bool {
		earliest = time.Time{}
		for _, name := range names {
			announcement, received := f.Process(name).Catalog.View().FirstAfter(options.Weights.Model, 1)
			if !received {
				return false
			}
			if earliest.IsZero() || announcement.Since.Before(earliest) {
				earliest = announcement.Since
			}
		}
		return true
	})
	return earliest.Add(time.Duration(options.VersionMs) * time.Millisecond)
}

// lateStarts announces version 2 under load and silences the connections between entries and servers
// while requests are queued there. It returns how long after the deadline of version 1 requests started
// on it, one duration a request, and how many requests were queued when the connections went silent.
func lateStarts(t *testing.T, f *Fleet) (late []time.Duration, waiting int) {
	agents := serverConnections(t)
	stream := func(kind string) func(context.Context, int) outcome {
		return func(ctx context.Context, number int) outcome {
			result := outcome{id: fmt.Sprintf("%s-%d", kind, number), startedAt: time.Now()}
			result.answer, result.err = f.Stream(ctx, number%2, number/2%2, result.id, longStreamEvents)
			return result
		}
	}
	time.Sleep(settleTime)
	stop := startTraffic(120*time.Millisecond, stream("stream"))
	announcedAt := time.Now()
	f.Site.AnnounceVersion(2)
	deadline := announcedAt.Add(time.Duration(f.Site.Options.VersionMs) * time.Millisecond)
	assumed := f.assumedDeadline()
	t.Logf("version 1 is assumed to end %s before its deadline", deadline.Sub(assumed))
	time.Sleep(time.Until(assumed.Add(-holdBefore)))
	holdQueues(f, true)
	time.Sleep(time.Until(assumed.Add(-burstBefore)))
	var burst sync.WaitGroup
	for number := range burstStreams {
		burst.Go(func() { stream("burst")(context.Background(), number) })
	}
	defer burst.Wait()
	time.Sleep(time.Until(assumed.Add(-silenceBefore)))
	for _, server := range f.Site.Models {
		waiting += server.Waiting()
	}
	_, err := silencer.Silence(func(c silencer.Connection) bool {
		return (c.Local.Port() == modelPort || c.Remote.Port() == modelPort) && !agents[c]
	})
	require.NoError(t, err)
	time.Sleep(time.Until(deadline.Add(releasedAfter)))
	holdQueues(f, false)
	time.Sleep(time.Until(deadline.Add(checkAfter)))
	stop()
	for _, run := range f.Site.Requests.Runs() {
		if run.Service == site.ModelService && run.Version == 1 && run.At.After(deadline) {
			late = append(late, run.At.Sub(deadline))
		}
	}
	return late, waiting
}

// VERSION: requests are queued at servers when the connections to them go silent, so that no
// cancellation arrives, and one piece of the new version is unavailable. No request starts on the
// old version after its deadline, and once the piece is available all servers switch.
func TestNoLateStartsWhenCancellationsAreLost(t *testing.T) {
	f := Start(t, lateCancelOptions())
	f.Eventually("version 1 is verified", 3*time.Second, func() bool { return countEvents(f, "PV3005", "") >= 4 })
	f.Site.Origin.Withhold(f.Site.Options.Weights.Pieces - 1)
	late, waiting := lateStarts(t, f)
	t.Logf("%d requests queued at servers when the connections went silent", waiting)
	assert.Positive(t, waiting, "requests queued at servers when the connections went silent")
	assert.Empty(t, late, "requests that started on the old version, by the time after its deadline")
	f.Site.Origin.Withhold()
	f.Eventually("every server serves version 2", 5*time.Second, func() bool { return f.allServe(2) })
	attempts := 0
	f.Eventually("requests are served again", 2*time.Second, func() bool {
		attempts++
		answer, err := f.Stream(context.Background(), 0, 0, fmt.Sprintf("after-%d", attempts), 3)
		return err == nil && answer.Status == http.StatusOK && answer.Complete
	})
	for _, run := range f.Site.Requests.Runs() {
		assert.False(t, run.Corrupt)
	}
}

// The same with the new version completely staged: the servers are ordered to switch before
// the deadline, whatever is queued there.
func TestNoLateStartsWhenNewVersionIsStaged(t *testing.T) {
	f := Start(t, lateCancelOptions())
	f.Eventually("version 1 is verified", 3*time.Second, func() bool { return countEvents(f, "PV3005", "") >= 4 })
	late, _ := lateStarts(t, f)
	assert.Empty(t, late, "requests that started on the old version, by the time after its deadline")
	f.Eventually("every server serves version 2", 5*time.Second, func() bool { return f.allServe(2) })
	for _, run := range f.Site.Requests.Runs() {
		assert.False(t, run.Corrupt)
	}
}

// VERSION: two versions follow each other. The first is completely staged, but would expire soon
// after the switch to it, so that it does not enter service; of the second no layer is staged.
// Nothing starts on the old version after its deadline although no cancellation arrives, because a
// server is ordered to load a part of the first version, which starts no requests.
func TestNoLateStartsWhenOnlyIntermediateVersionIsStaged(t *testing.T) {
	f := Start(t, lateCancelOptions())
	late, _ := lateStartsOfTwoVersions(t, f)
	assert.Empty(t, late, "requests that started on the old version, by the time after its deadline")
	assert.Zero(t, countEvents(f, "PV3114", `"serving":1,`), "servers with version 1 left to the entries")
	f.Site.Origin.SetDown(false)
	f.Eventually("every server serves version 3", 6*time.Second, func() bool { return f.allServe(3) })
	for _, run := range f.Site.Requests.Runs() {
		assert.False(t, run.Corrupt)
	}
}

// VERSION: the same for the intermediate version. Some servers switch to it in their turn, and what
// is queued there must not start after its own deadline either.
func TestNoLateStartsOnIntermediateVersion(t *testing.T) {
	f := Start(t, lateCancelOptions())
	_, announcedAt := lateStartsOfTwoVersions(t, f)
	deadline := announcedAt.Add(time.Duration(f.Site.Options.VersionMs) * time.Millisecond)
	var late []time.Duration
	for _, run := range f.Site.Requests.Runs() {
		if run.Service == site.ModelService && run.Version == 2 && run.At.After(deadline) {
			late = append(late, run.At.Sub(deadline))
		}
	}
	assert.Empty(t, late, "requests that started on version 2, by the time after its deadline")
}

// lateStartsOfTwoVersions announces a third version, which no machine can fetch, as soon as the second
// is staged. It returns the late starts on the first version, as lateStarts does, and when the third
// was announced.
func lateStartsOfTwoVersions(t *testing.T, f *Fleet) ([]time.Duration, time.Time) {
	f.Eventually("version 1 is verified", 3*time.Second, func() bool { return countEvents(f, "PV3005", "") >= 4 })
	announced := make(chan time.Time)
	go func() {
		for limit := time.Now().Add(2 * time.Second); time.Now().Before(limit) && countEvents(f, "PV3005", `"version":2`) < 4; {
			time.Sleep(5 * time.Millisecond)
		}
		f.Site.Origin.SetDown(true)
		now := time.Now()
		f.Site.AnnounceVersion(3)
		announced <- now
	}()
	late, _ := lateStarts(t, f)
	return late, <-announced
}

// VERSION: every connection of the system's processes goes silent just before a version is announced
// that no machine can fetch. Whichever process learns of it first, and however late, nothing starts
// on the old version after its deadline.
func TestDeadlineHoldsWhenAllConnectionsAreSilent(t *testing.T) {
	f := Start(t, DefaultOptions())
	announcedAt, deadline := f.announceDuringSilence(systemConnections)
	before, late, latest := 0, 0, time.Duration(0)
	for _, run := range f.Site.Requests.Runs() {
		switch {
		case run.Service != site.ModelService || run.Version != 1 || run.At.Before(announcedAt):
		case run.At.After(deadline):
			late++
			latest = max(latest, run.At.Sub(deadline))
		default:
			before++
		}
	}
	assert.Positive(t, before, "requests that started on the old version before its deadline")
	assert.Zero(t, late, "requests that started on the old version after its deadline, the last one %s after it", latest)
}
