package soak

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/launch"
)

// Kinds that are drawn only where they are named leave the schedules that draw from Kinds as they are: this is the
// schedule of the soak in every check.
func TestNamedKindsChangeNoOtherSchedule(t *testing.T) {
	const seed, duration = 67083181, 36 * time.Second
	var drawn []Kind
	for _, fault := range GenerateSchedule(seed, duration, 3, 3, Kinds) {
		drawn = append(drawn, fault.Kind)
	}
	assert.Equal(t, []Kind{
		Evacuate, TwoVersions, ServerStartsCold, ServerNoticeLeaving, TenantNarrows, Flap, ServerNoticeLimit, ServerNoticeBackoff,
		ServerNoticeLeaving, Burst, ServersExpire, FalselyHealthyHangs, StoreLosesHistory, SettingsInvalid, FreezeEntry,
	}, drawn)
	for _, kind := range PauseKinds {
		assert.NotContains(t, Kinds, kind)
		assert.Contains(t, NamedKinds, kind)
	}
	seen := map[Kind]bool{}
	for seed := range uint64(10) {
		for _, fault := range GenerateSchedule(seed, time.Minute, 3, 3, PauseKinds) {
			seen[fault.Kind] = true
		}
	}
	assert.Len(t, seen, len(PauseKinds))
}

// Pauses last from minPauseTime to maxPauseTime, whatever duration is drawn.
func TestPauseTimes(t *testing.T) {
	assert.Equal(t, minPauseTime, pauseTime(Fault{Duration: minFaultDuration}))
	assert.Equal(t, maxPauseTime, pauseTime(Fault{Duration: maxFaultDuration}))
	assert.Equal(t, (minPauseTime+maxPauseTime)/2, pauseTime(Fault{Duration: (minFaultDuration + maxFaultDuration) / 2}))
}

// idleProcess is a program that stands for an entry or an agent: it writes its process ID beside its settings and
// waits.
const idleProcess = "#!/bin/sh\necho $$ > \"$3.pid\"\nexec sleep 60\n"

// newIdleRun returns a run whose processes do nothing.
func newIdleRun(t *testing.T) *run {
	t.Helper()
	t.Setenv("TMPDIR", t.TempDir())
	executable := filepath.Join(t.TempDir(), "idle")
	require.NoError(t, os.WriteFile(executable, []byte(idleProcess), 0o700))
	fleet, err := launch.NewSiteFleet(executable, "", siteOptions())
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	for zone := range fleet.Site.Options.Zones {
		for index := range fleet.Site.Options.Entries {
			require.NoError(t, fleet.Start(site.RoleEntry, zone, index))
		}
		for index := range fleet.Site.Options.ModelServers {
			require.NoError(t, fleet.Start(site.RoleAgent, zone, index))
		}
	}
	processes := fleet.Site.Options.Zones * (fleet.Site.Options.Entries + fleet.Site.Options.ModelServers)
	require.Eventually(t, func() bool { return len(processIDs(t, "*")) == processes }, 10*time.Second, 10*time.Millisecond)
	return newRun(Options{Executable: executable, Output: io.Discard, Kinds: PauseKinds}, fleet)
}

// delays returns the times until the steps of a run's timeline.
func (r *run) delays(since time.Time) []time.Duration {
	var delays []time.Duration
	for _, step := range r.timeline {
		delays = append(delays, step.at.Sub(since).Round(50*time.Millisecond))
	}
	return delays
}

// processIDs returns the IDs of the processes of newIdleRun whose names match a pattern, of those that have begun.
func processIDs(t *testing.T, pattern string) []string {
	t.Helper()
	matches, err := filepath.Glob(filepath.Join(os.TempDir(), "pinevane-fleet*", pattern+".json.pid"))
	require.NoError(t, err)
	var ids []string
	for _, match := range matches {
		id, err := os.ReadFile(match)
		require.NoError(t, err)
		if text := strings.TrimSpace(string(id)); text != "" {
			ids = append(ids, text)
		}
	}
	return ids
}

// isSuspended reports whether a process of newIdleRun is suspended.
func isSuspended(t *testing.T, name string) bool {
	t.Helper()
	ids := processIDs(t, name)
	require.Len(t, ids, 1)
	status, err := os.ReadFile(filepath.Join("/proc", ids[0], "stat"))
	require.NoError(t, err)
	return strings.Contains(string(status), ") T ")
}

// One server, those of a zone, or all of them pause together, model servers and plain ones.
func TestScopesOfPauses(t *testing.T) {
	r := newIdleRun(t)
	options := r.site.Options
	perZone := options.ModelServers + options.PlainServers
	assert.Equal(t, []*site.Server{r.site.Models[options.ModelIP(1, 2)]}, r.pausedServers(oneServer, Fault{Zone: 1, Index: 2, Count: 1}))
	assert.Equal(t, []*site.Server{r.site.Plain[options.PlainIP(1, 0)]}, r.pausedServers(oneServer, Fault{Zone: 1, Index: 2, Count: 2}))
	inZone := r.pausedServers(zoneServers, Fault{Zone: 1})
	assert.Len(t, inZone, perZone)
	for _, server := range inZone {
		assert.Equal(t, site.ZoneName(1), server.Zone())
	}
	assert.Len(t, r.pausedServers(allServers, Fault{}), options.Zones*perZone)
}

// A server that pauses, or has just done so, pauses no second time, and is no disturbance that would excuse anything.
func TestPausesOfAServerDoNotAddUp(t *testing.T) {
	r := newIdleRun(t)
	all := r.pausedServers(allServers, Fault{})
	r.pauseServers(all[:1], time.Second)
	r.pauseServers(all, time.Second)
	assert.Len(t, r.timeline, len(all), "one end for each server")
	assert.Empty(t, r.record.Disturbances)
	for _, delay := range r.delays(time.Now()) {
		assert.Equal(t, time.Second+pauseGap, delay)
	}
}

// Agents pause as processes, in order over the zones, while the servers beside them go on.
func TestAgentsPauseApartFromServers(t *testing.T) {
	r := newIdleRun(t)
	require.NoError(t, r.inject(Fault{Kind: AgentsPause, Zone: 2, Index: 1, Count: 3, Duration: minFaultDuration}))
	paused := []string{"agent-2-1", "agent-2-2", "agent-0-0"}
	for index, name := range paused {
		assert.Eventually(t, func() bool { return isSuspended(t, name) }, time.Second, 10*time.Millisecond, name)
		assert.Equal(t, name, r.record.Disturbances[index].Name)
	}
	assert.False(t, isSuspended(t, "agent-0-1"))
	require.NoError(t, r.runTimeline())
	for _, name := range paused {
		assert.Eventually(t, func() bool { return !isSuspended(t, name) }, time.Second, 10*time.Millisecond, name)
	}
}

// An entry pauses as a process and goes on.
func TestEntryPauses(t *testing.T) {
	r := newIdleRun(t)
	require.NoError(t, r.inject(Fault{Kind: EntryPause, Zone: 1, Index: 1, Duration: minFaultDuration}))
	assert.Eventually(t, func() bool { return isSuspended(t, "entry-1-1") }, time.Second, 10*time.Millisecond)
	require.NoError(t, r.runTimeline())
	assert.Eventually(t, func() bool { return !isSuspended(t, "entry-1-1") }, time.Second, 10*time.Millisecond)
}

// routes returns the path prefixes of the published routes.
func (r *run) routes() []string {
	var prefixes []string
	r.site.Configure(func(configuration map[string]any) {
		for _, route := range configuration["routes"].([]any) {
			prefixes = append(prefixes, route.(map[string]any)["pathPrefix"].(string))
		}
	})
	return prefixes
}

// The changes beside a pause add a route and remove it by turns.
func TestChangesAddAndRemoveARoute(t *testing.T) {
	r := newIdleRun(t)
	before := r.routes()
	r.toggleRoute()
	assert.Equal(t, append(before, changedPrefix), r.routes())
	r.toggleRoute()
	assert.Equal(t, before, r.routes())
}

// Beside a pause the configuration changes every 0.2 to 0.3 s for one to two seconds.
func TestPauseBesideChanges(t *testing.T) {
	r := newIdleRun(t)
	for _, test := range []struct {
		fault    Fault
		interval time.Duration
		changes  int
	}{
		{Fault{Count: 3, Duration: minFaultDuration}, 200 * time.Millisecond, 6},
		{Fault{Count: 4, Duration: maxFaultDuration}, 250 * time.Millisecond, 8},
		{Fault{Count: 5, Duration: maxFaultDuration}, 300 * time.Millisecond, 6},
	} {
		r.timeline = nil
		began := time.Now()
		r.pauseBesideChanges(test.fault)
		want := []time.Duration{pauseAfterChange}
		for change := range test.changes {
			want = append(want, time.Duration(change)*test.interval)
		}
		assert.ElementsMatch(t, want, r.delays(began))
	}
}

// Every process of a zone rereads its settings in a change, but for those that are stopped.
func TestHangUpOfAZone(t *testing.T) {
	r := newIdleRun(t)
	r.busy["agent-1-0"] = true
	require.NoError(t, r.hangUpZone(1))
	var names []string
	for _, reload := range r.record.Reloads {
		names = append(names, reload.Name)
	}
	assert.ElementsMatch(t, []string{"entry-1-0", "entry-1-1", "agent-1-1", "agent-1-2"}, names)
}

// One entry of each zone stops, in turn, and servers pause early and late in the stops.
func TestPauseBesideStops(t *testing.T) {
	r := newIdleRun(t)
	began := time.Now()
	require.NoError(t, r.inject(Fault{Kind: PauseBesideStops, Zone: 2, Index: 1, Count: 2, Duration: minFaultDuration}))
	assert.Equal(t, []time.Duration{0, pauseAfterChange, stopInterval, 2 * stopInterval, pauseLateInStop}, r.delays(began))
	for _, step := range r.timeline[:4] {
		require.NoError(t, step.do())
	}
	var stopped []string
	for _, stop := range r.record.Stops {
		stopped = append(stopped, stop.Name)
	}
	assert.Equal(t, []string{"entry-2-1", "entry-0-1", "entry-1-1"}, stopped)
	assert.Empty(t, r.record.Disturbances)
}

// A version is announced, and servers pause shortly after it.
func TestPauseBesideVersion(t *testing.T) {
	r := newIdleRun(t)
	began := time.Now()
	require.NoError(t, r.inject(Fault{Kind: PauseBesideVersion, Duration: minFaultDuration}))
	assert.Len(t, r.record.VersionAnnouncements, 1)
	assert.Equal(t, []time.Duration{pauseAfterChange}, r.delays(began))
}

// An entry stops, and servers pause late in the stop and again until its grace period is over.
func TestPauseToEndOfStop(t *testing.T) {
	r := newIdleRun(t)
	began := time.Now()
	require.NoError(t, r.inject(Fault{Kind: PauseToEndOfStop, Zone: 1, Count: 2, Duration: minFaultDuration}))
	require.Len(t, r.record.Stops, 1)
	assert.Equal(t, "entry-1-0", r.record.Stops[0].Name)
	second := pauseLateInStop + latePauseTime + endPauseGap
	assert.Equal(t, []time.Duration{pauseLateInStop, second, r.record.Grace}, r.delays(began))
	assert.Greater(t, second+endPauseTime, r.record.Grace-400*time.Millisecond, "the servers are silent when the entry exits")
}

// However pauses fall, a long stream that starts at any time is complete before its deadline.
func TestPausesLeaveTimeForLongStreams(t *testing.T) {
	const (
		work     = maxLongEvents * 11 * time.Millisecond
		deadline = 6 * time.Second
	)
	type pause struct{ from, to time.Duration }
	complete := func(pauses []pause, from time.Duration) time.Duration {
		remaining, now := work, from
		for _, next := range pauses {
			if now+remaining <= next.from {
				break
			}
			if now < next.from {
				remaining -= next.from - now
				now = next.from
			}
			now = max(now, next.to)
		}
		return now + remaining
	}
	successive := []pause{}
	for begin := time.Duration(0); begin < 20*time.Second; begin += maxPauseTime + pauseGap {
		successive = append(successive, pause{begin, begin + maxPauseTime})
	}
	second := pauseLateInStop + latePauseTime + endPauseGap
	inStop := []pause{
		{pauseLateInStop - pauseGap - maxPauseTime, pauseLateInStop - pauseGap}, {pauseLateInStop, pauseLateInStop + latePauseTime},
		{second, second + endPauseTime}, {second + endPauseTime + pauseGap, second + endPauseTime + pauseGap + maxPauseTime},
	}
	for from := -2 * time.Second; from < 12*time.Second; from += 10 * time.Millisecond {
		assert.Less(t, complete(successive, from)-from, deadline-slack, from)
		assert.Less(t, complete(inStop, from)-from, deadline-slack, from)
	}
}
