package sitetest

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/silencer"
)

// Incident: open connections between the system's machines, to the store and to servers went silent
// for good, without a reset, while new ones worked. The ratio of requests served fell to 38% while
// that lasted, and a request started on a version of the weights after that version's deadline.
//
// Cause: a connection was trusted until its own timeout ended it, after one to three seconds each,
// one request at a time; and a version counted as announced at the moment at which a process learned
// of it, however long the connection that should have delivered it had been silent. Both tests fail
// for these reasons on the code before the fix.

// Ports of the emulated site: those on which callers and the platform's balancer reach an entry, and
// that of the store.
const (
	callerPort = 8005
	readyPort  = 8002
	storePort  = 8007
)

// systemConnections selects the connections of the system's own processes, without those of callers.
func systemConnections(c silencer.Connection) bool {
	for _, port := range []uint16{c.Local.Port(), c.Remote.Port()} {
		if port == callerPort || port == readyPort {
			return false
		}
	}
	return true
}

// storeConnections selects the connections to the store.
var storeConnections = silencer.Between(func(address netip.AddrPort) bool { return address.Port() == storePort }, func(netip.AddrPort) bool { return true })

// outcome records the result of one request.
type outcome struct {
	id        string
	startedAt time.Time
	duration  time.Duration
	answer    Answer
	err       error
}

// served reports whether a request was answered completely within a duration.
func (o outcome) served(within time.Duration) bool {
	return o.err == nil && o.answer.Status == http.StatusOK && o.answer.Complete && o.duration <= within
}

// startTraffic sends requests at a fixed pace, each in its own goroutine, without waiting for earlier
// ones; stop waits for the last one and returns all outcomes.
func startTraffic(pace time.Duration, send func(ctx context.Context, number int) outcome) (stop func() []outcome) {
	ctx, cancel := context.WithCancel(context.Background())
	var mutex sync.Mutex
	var outcomes []outcome
	var running, pacer sync.WaitGroup
	pacer.Go(func() {
		ticker := time.NewTicker(pace)
		defer ticker.Stop()
		for number := 0; ; number++ {
			running.Go(func() {
				result := send(context.Background(), number)
				mutex.Lock()
				defer mutex.Unlock()
				outcomes = append(outcomes, result)
			})
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return func() []outcome {
		cancel()
		pacer.Wait()
		running.Wait()
		return outcomes
	}
}

// servedRatio returns the ratio of the requests started in an interval that were served in time.
func servedRatio(outcomes []outcome, from, to time.Time, within time.Duration) float64 {
	all, served := 0, 0
	for _, result := range outcomes {
		if result.startedAt.Before(from) || !result.startedAt.Before(to) {
			continue
		}
		all++
		if result.served(within) {
			served++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(served) / float64(all)
}

// Times of the test of service while connections are silent.
const (
	baselineTime = 2 * time.Second
	// plainRecovery and streamRecovery are the times from the start of the silence until service has
	// recovered.
	plainRecovery  = time.Second
	streamRecovery = 1500 * time.Millisecond
	// minRecoveredRatio is the part of the baseline ratio that counts as recovered.
	minRecoveredRatio = 0.9
	// observedTime is how long service is observed after it must have recovered.
	observedTime = 3 * time.Second
	// targetLatency is the latency within which a request counts as served in time: the route's target.
	targetLatency = time.Second
	// streamEvents at 20 ms each keep some streams open at any time.
	streamEvents = 20
)

// SHORT: all open connections go silent at once, under load. Service recovers within a second for
// plain calls and within a second and a half for streams; no stream is cut, and no at-most-once
// request runs twice.
func TestServiceRecoversAfterConnectionsGoSilent(t *testing.T) {
	options := DefaultOptions()
	options.EventTime = 20 * time.Millisecond
	options.BudgetSlack = 200
	f := Start(t, options)
	call := func(kind, method, path string) func(context.Context, int) outcome {
		return func(ctx context.Context, number int) outcome {
			result := outcome{id: fmt.Sprintf("%s-%d", kind, number), startedAt: time.Now()}
			result.answer, result.err = f.Call(ctx, number%2, number/2%2, method, path, result.id, nil, "")
			result.duration = time.Since(result.startedAt)
			return result
		}
	}
	stopSafe := startTraffic(20*time.Millisecond, call("safe", http.MethodGet, site.SafePrefix))
	stopOnce := startTraffic(50*time.Millisecond, call("once", http.MethodPost, site.OncePrefix))
	stopStreams := startTraffic(30*time.Millisecond, func(ctx context.Context, number int) outcome {
		result := outcome{id: fmt.Sprintf("stream-%d", number), startedAt: time.Now()}
		result.answer, result.err = f.Stream(ctx, number%2, number/2%2, result.id, streamEvents)
		result.duration = time.Since(result.startedAt)
		return result
	})
	startedAt := time.Now()
	time.Sleep(baselineTime)
	silencedAt := time.Now()
	count, err := silencer.Silence(systemConnections)
	require.NoError(t, err)
	time.Sleep(streamRecovery + observedTime)
	safe, once, streams := stopSafe(), stopOnce(), stopStreams()
	t.Logf("%d connection ends silenced", count)
	for name, kind := range map[string]struct {
		outcomes []outcome
		recovery time.Duration
	}{"safe": {safe, plainRecovery}, "once": {once, plainRecovery}, "streams": {streams, streamRecovery}} {
		const window = 500 * time.Millisecond
		var line []string
		for from := silencedAt.Add(-time.Second); from.Before(silencedAt.Add(streamRecovery + observedTime)); from = from.Add(window) {
			line = append(line, fmt.Sprintf("%.2f", servedRatio(kind.outcomes, from, from.Add(window), targetLatency)))
		}
		t.Logf("%s served in time by half seconds, silent from the third on: %s", name, strings.Join(line, " "))
		baseline := servedRatio(kind.outcomes, startedAt, silencedAt.Add(-targetLatency), targetLatency)
		after := servedRatio(kind.outcomes, silencedAt.Add(kind.recovery), silencedAt.Add(streamRecovery+observedTime), targetLatency)
		assert.GreaterOrEqual(t, after, minRecoveredRatio*baseline, "%s: ratio served after the service must have recovered, baseline %.2f", name, baseline)
	}
	for _, result := range streams {
		assert.True(t, result.err == nil && (result.answer.Status != http.StatusOK || result.answer.Complete), "stream %s: cut after %d events: %v", result.id, len(result.answer.Events), result.err)
	}
	for _, result := range once {
		runs := len(runsOf(f, result.id))
		assert.LessOrEqual(t, runs, 1, "%s ran more than once", result.id)
		refused := result.err == nil && result.answer.Status == http.StatusServiceUnavailable
		assert.False(t, refused && runs > 0, "%s was refused as not-run but ran", result.id)
	}
}

// announceDuringSilence sends streams, silences the selected connections just before version 2 is
// announced, which no machine can fetch, and returns two seconds after the deadline of version 1.
func (f *Fleet) announceDuringSilence(silenced silencer.Filter) (announcedAt, deadline time.Time) {
	f.t.Helper()
	f.Site.Origin.SetDown(true)
	stop := startTraffic(15*time.Millisecond, func(ctx context.Context, number int) outcome {
		result := outcome{id: fmt.Sprintf("stream-%d", number), startedAt: time.Now()}
		result.answer, result.err = f.Stream(ctx, number%2, number/2%2, result.id, 4)
		return result
	})
	time.Sleep(baselineTime)
	_, err := silencer.Silence(silenced)
	require.NoError(f.t, err)
	announcedAt = time.Now()
	f.Site.AnnounceVersion(2)
	deadline = announcedAt.Add(time.Duration(f.Site.Options.VersionMs) * time.Millisecond)
	time.Sleep(time.Until(deadline.Add(2 * time.Second)))
	stop()
	return announcedAt, deadline
}

// VERSION: the connections to the store go silent just before a version is announced that no machine
// can fetch. After the deadline nothing starts on the old version, whenever the entries learned of
// the new one.
func TestDeadlineHoldsWhenStoreConnectionsAreSilent(t *testing.T) {
	f := Start(t, DefaultOptions())
	_, deadline := f.announceDuringSilence(storeConnections)
	late := 0
	latest := time.Duration(0)
	for _, run := range f.Site.Requests.Runs() {
		if run.Service == site.ModelService && run.Version == 1 && run.At.After(deadline) {
			late++
			latest = max(latest, run.At.Sub(deadline))
		}
	}
	assert.Zero(t, late, "requests that started on the old version after its deadline, the last one %s after it", latest)
}

// VERSION: versions 2 and 3 are announced shortly after each other while the origin is unavailable,
// and an entry restarts right after the second announcement. Nothing starts on version 1 after the
// deadline that version 2 set.
//
// Observed: 63 requests started on version 1, the last one 1.25 s after that deadline. Cause: the
// store and the exchange of records hold only the newest version, so that a process that learns of
// version 3 alone lets version 1 run until the deadline that version 3 sets.
func TestRestartedEntryKeepsEarlierDeadline(t *testing.T) {
	f := Start(t, DefaultOptions())
	f.Site.Origin.SetDown(true)
	time.Sleep(500 * time.Millisecond)
	announcedAt := time.Now()
	f.Site.AnnounceVersion(2)
	deadline := announcedAt.Add(time.Duration(f.Site.Options.VersionMs) * time.Millisecond)
	time.Sleep(2500 * time.Millisecond)
	f.Site.AnnounceVersion(3)
	time.Sleep(200 * time.Millisecond)
	name := ProcessName(catalog.RoleEntry, 1, 1)
	f.Kill(name)
	time.Sleep(100 * time.Millisecond)
	f.StartEntry(1, 1)
	f.Eventually("the entry is ready again", 3*time.Second, func() bool { return f.ready(1, 1) })
	t.Logf("ready again %s before the deadline", time.Until(deadline).Round(time.Millisecond))
	stop := startTraffic(20*time.Millisecond, func(ctx context.Context, number int) outcome {
		result := outcome{id: fmt.Sprintf("stream-%d", number), startedAt: time.Now()}
		result.answer, result.err = f.Stream(ctx, 1, 1, result.id, 4)
		return result
	})
	time.Sleep(time.Until(deadline.Add(2500 * time.Millisecond)))
	stop()
	late, latest := 0, time.Duration(0)
	for _, run := range f.Site.Requests.Runs() {
		if run.Service == site.ModelService && run.Version == 1 && run.At.After(deadline) {
			late++
			latest = max(latest, run.At.Sub(deadline))
		}
	}
	t.Logf("%d late on version 1, the last %s after the deadline", late, latest)
	assert.Zero(t, late)
}
