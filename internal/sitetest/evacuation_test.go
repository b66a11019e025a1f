package sitetest

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/forward"
)

// evacuateMs is the time limit for evacuations in these tests.
const evacuateMs = 1500

// evacuationOptions returns a fleet of two zones with three entries each, whose cold servers
// tolerate 15 requests a second.
func evacuationOptions() site.Options {
	options := DefaultOptions()
	options.Entries = 3
	options.EvacuateMs = evacuateMs
	options.ColdPerS, options.ColdStartS, options.ColdOvershoot, options.ColdSlack = 8, 1.5, 1.5, 3
	return options
}

// evacuation records which zone a test evacuated, and when.
type evacuation struct {
	zone               string
	startedAt, endedAt time.Time
}

// lateArrivals counts the requests that reached the zone's servers between the time limit and the
// end of the evacuation.
func (e evacuation) lateArrivals(f *Fleet) int {
	return f.arrivalsBetween(e.zone, e.startedAt.Add(evacuateMs*time.Millisecond), e.endedAt)
}

// arrivalsBetween counts the requests that reached a zone's servers in an interval.
func (f *Fleet) arrivalsBetween(zone string, from, until time.Time) int {
	count := 0
	for _, arrival := range f.Site.Requests.Deliveries() {
		if arrival.Zone == zone && arrival.At.After(from) && arrival.At.Before(until) {
			count++
		}
	}
	return count
}

// evacuateFor evacuates a zone now, for the given duration.
func (f *Fleet) evacuateFor(zone string, duration time.Duration) evacuation {
	done := evacuation{zone: zone, startedAt: time.Now()}
	f.Site.Evacuate(zone)
	time.Sleep(duration)
	f.Site.EndEvacuation(zone)
	done.endedAt = time.Now()
	return done
}

// startLoad sends short streams and plain calls through every entry until stop is called. Stop
// returns how many were sent and how many were not answered completely.
func startLoad(f *Fleet, callers int) (stop func() (sent, failed int)) {
	options := f.Site.Options
	return runCallers(callers, func(caller, number int) bool {
		id := fmt.Sprintf("busy-%d-%d", caller, number)
		zone, index := caller%options.Zones, caller/options.Zones%options.Entries
		var answer Answer
		var err error
		if number%4 == 3 {
			answer, err = f.Call(context.Background(), zone, index, http.MethodGet, site.SafePrefix+"a", id, nil, "")
		} else {
			answer, err = f.Stream(context.Background(), zone, index, id, 3)
		}
		if err == nil && answer.Status == http.StatusOK && answer.Complete {
			return true
		}
		f.t.Logf("request %s: %v %d %s", id, err, answer.Status, answer.Body)
		return false
	})
}

// callerPause is the time between two requests of one caller of runCallers.
const callerPause = 10 * time.Millisecond

// runCallers runs callers that each send requests one after the other until stop is called. Send
// reports whether a request was answered as expected; stop returns how many requests were sent and
// how many failed.
func runCallers(callers int, send func(caller, number int) bool) (stop func() (sent, failed int)) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var mutex sync.Mutex
	sent, failed := 0, 0
	for caller := range callers {
		running.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				served := send(caller, number)
				mutex.Lock()
				sent++
				if !served {
					failed++
				}
				mutex.Unlock()
				time.Sleep(callerPause)
			}
		})
	}
	return func() (int, int) {
		cancel()
		running.Wait()
		return sent, failed
	}
}

// EVAC: under load, the servers of an evacuated zone receive nothing after the time limit, every
// request is served elsewhere, and the zone serves again afterwards.
func TestEvacuatedZoneReceivesNothing(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := startLoad(f, 6)
	time.Sleep(300 * time.Millisecond)
	startedAt := time.Now()
	done := f.evacuateFor(site.ZoneName(1), 3*time.Second)
	f.Eventually("the zone serves again", 3*time.Second, func() bool {
		return f.arrivalsBetween(done.zone, done.endedAt, time.Now()) > 10
	})
	sent, failed := stop()
	assert.Greater(t, sent, 200)
	assert.Zero(t, failed)
	assert.Positive(t, f.arrivalsBetween(done.zone, startedAt.Add(-300*time.Millisecond), startedAt), "the zone was in use before the evacuation")
	assert.Zero(t, done.lateArrivals(f))
	soon := f.arrivalsBetween(done.zone, done.startedAt.Add(300*time.Millisecond), done.endedAt)
	assert.Zero(t, soon, "entries act on the announcement, long before the time limit")
}

// EVAC: the same while every response of the store takes 0.3 s.
func TestEvacuationWhileTheStoreIsSlow(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := startLoad(f, 6)
	f.Site.Store.SetDelay(300 * time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	done := f.evacuateFor(site.ZoneName(0), 2500*time.Millisecond)
	_, failed := stop()
	assert.Zero(t, failed)
	assert.Zero(t, done.lateArrivals(f))
}

// EVAC, VERSION: a version is announced at the same moment. The evacuated zone's servers load it
// too, and requests find servers of a permitted version at any time.
func TestEvacuationDuringVersionChange(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := startLoad(f, 6)
	time.Sleep(300 * time.Millisecond)
	announcedAt := time.Now()
	f.Site.AnnounceVersion(2)
	done := f.evacuateFor(site.ZoneName(1), 2500*time.Millisecond)
	timeLimit := time.Duration(f.Site.Options.VersionMs) * time.Millisecond
	f.Eventually("every server serves version 2", time.Until(announcedAt.Add(timeLimit)), func() bool { return f.allServe(2) })
	time.Sleep(time.Until(announcedAt.Add(timeLimit + 200*time.Millisecond)))
	_, failed := stop()
	assert.Zero(t, failed)
	assert.Zero(t, done.lateArrivals(f))
	for _, run := range f.Site.Requests.Runs() {
		if run.Service == site.ModelService && run.At.After(announcedAt.Add(timeLimit)) {
			assert.Equal(t, uint64(2), run.Version)
		}
	}
}

// EVAC: an evacuation that is ended before its time limit and requested again at once counts from
// the second request, and the zone is used afterwards.
func TestEvacuationCancelledBeforeDeadline(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := startLoad(f, 6)
	time.Sleep(300 * time.Millisecond)
	first := f.evacuateFor(site.ZoneName(1), 700*time.Millisecond)
	second := f.evacuateFor(site.ZoneName(1), 2*time.Second)
	f.Eventually("the zone serves again", 3*time.Second, func() bool {
		return f.arrivalsBetween(second.zone, second.endedAt, time.Now()) > 10
	})
	_, failed := stop()
	assert.Zero(t, failed)
	assert.Zero(t, first.lateArrivals(f))
	assert.Zero(t, second.lateArrivals(f))
}

// EVAC: a stream that is open in the zone runs there to its end.
func TestOpenStreamsFinishDuringEvacuation(t *testing.T) {
	options := evacuationOptions()
	options.EventTime = 50 * time.Millisecond
	f := Start(t, options)
	const streams, events = 8, 40
	var open sync.WaitGroup
	for number := range streams {
		open.Go(func() {
			answer, err := f.Stream(context.Background(), 1, number%options.Entries, "open-"+strconv.Itoa(number), events)
			assert.NoError(t, err)
			assert.Len(t, answer.Events, events)
		})
	}
	f.Eventually("the streams are open", time.Second, func() bool { return len(f.Site.Requests.Runs()) >= streams })
	done := f.evacuateFor(site.ZoneName(1), 2500*time.Millisecond)
	open.Wait()
	assert.Len(t, f.Site.Requests.Runs(), streams, "no stream was moved")
	assert.Positive(t, f.arrivalsBetween(done.zone, done.startedAt.Add(-time.Second), done.startedAt), "some streams were open in the zone")
	assert.Positive(t, countEvents(f, "PV2013", done.zone), "entries log the end of the last open stream")
	assert.Zero(t, done.lateArrivals(f))
}

// EVAC: a stream that breaks in an evacuated zone is resumed outside it.
func TestBrokenStreamsResumeOutsideEvacuatedZone(t *testing.T) {
	options := evacuationOptions()
	options.EventTime = 50 * time.Millisecond
	// Freshly started entries spend only part of the retry slack; here all streams break at once.
	options.BudgetSlack = 400
	f := Start(t, options)
	const streams, events, cutAfter = 8, 40, 20
	zone := site.ZoneName(1)
	for index := range options.ModelServers {
		f.Site.Models[options.ModelIP(1, index)].SetFaults(site.Faults{CutAfter: cutAfter, CutCount: streams})
	}
	var open sync.WaitGroup
	for number := range streams {
		open.Go(func() {
			answer, err := f.Stream(context.Background(), 1, number%options.Entries, "broken-"+strconv.Itoa(number), events)
			assert.NoError(t, err)
			assert.True(t, answer.Complete)
			assert.Len(t, answer.Events, events)
		})
	}
	f.Eventually("the streams are open", time.Second, func() bool { return len(f.Site.Requests.Runs()) >= streams })
	evacuatedAt := time.Now()
	inZone := f.arrivalsBetween(zone, evacuatedAt.Add(-time.Second), evacuatedAt)
	f.Site.Evacuate(zone)
	open.Wait()
	assert.Positive(t, inZone)
	assert.Len(t, f.Site.Requests.Runs(), streams+inZone, "each broken stream was resumed once")
	assert.Zero(t, f.arrivalsBetween(zone, evacuatedAt, time.Now()))
}

// EVAC: an entry that starts during an evacuation learns of it with the rest of the state.
func TestEntryStartsDuringEvacuation(t *testing.T) {
	f := Start(t, evacuationOptions())
	zone := site.ZoneName(0)
	f.Site.Evacuate(zone)
	startedAt := time.Now()
	time.Sleep(evacuateMs * time.Millisecond)
	f.Kill(ProcessName(catalog.RoleEntry, 0, 2))
	f.StartEntry(0, 2)
	f.Eventually("the entry is ready", 5*time.Second, func() bool { return f.ready(0, 2) })
	for number := range 20 {
		_, err := f.Stream(context.Background(), 0, 2, "late-"+strconv.Itoa(number), 2)
		require.NoError(t, err)
	}
	assert.Zero(t, evacuation{zone: zone, startedAt: startedAt, endedAt: time.Now()}.lateArrivals(f))
}

// EVAC, REFUSED: when the evacuated zone is the only one, requests are refused at once as not-run,
// with a Retry-After.
func TestEvacuationOfTheOnlyZone(t *testing.T) {
	options := evacuationOptions()
	options.Zones = 1
	f := Start(t, options)
	zone := site.ZoneName(0)
	f.Site.Evacuate(zone)
	f.Eventually("the entries know of the evacuation", 2*time.Second, func() bool { return countEvents(f, "PV2009", zone) >= options.Entries })
	startedAt := time.Now()
	for number := range options.Entries {
		answer, err := f.Stream(context.Background(), 0, number, "only-"+strconv.Itoa(number), 2)
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, answer.Status)
		assert.NotEmpty(t, answer.Header.Get("Retry-After"))
		assert.Contains(t, answer.Body, "not-run")
	}
	assert.Less(t, time.Since(startedAt), 500*time.Millisecond)
	assert.Empty(t, f.Site.Requests.Runs())
	f.Site.EndEvacuation(zone)
	f.Eventually("service is back", 2*time.Second, func() bool {
		answer, err := f.Stream(context.Background(), 0, 0, "back-"+strconv.FormatInt(time.Now().UnixNano(), 10), 2)
		return err == nil && answer.Status == http.StatusOK
	})
}

// Invalid records, which cannot be read or name no zone of the fleet, are logged; valid ones apply.
func TestFaultyEvacuations(t *testing.T) {
	f := Start(t, evacuationOptions())
	f.Site.Store.PutRaw("op/evacuate/", []byte(`{}`))
	f.Site.Store.PutRaw("op/evacuate/hall-of-nowhere", []byte(`{}`))
	f.Site.Store.PutRaw("op/evacuate/"+site.ZoneName(1), []byte(`{"unfinished`))
	f.Eventually("the faults are logged", 2*time.Second, func() bool {
		return countEvents(f, "PV2011", "names no zone") > 0 && countEvents(f, "PV2011", "hall-of-nowhere") > 0 &&
			countEvents(f, "PV2011", "op/evacuate/"+site.ZoneName(1)) > 0
	})
	f.Eventually("the entries know of the evacuation", 2*time.Second, func() bool {
		return countEvents(f, "PV2009", site.ZoneName(1)) >= f.Site.Options.Zones*f.Site.Options.Entries
	})
	knownAt := time.Now()
	for number := range 20 {
		answer, err := f.Stream(context.Background(), 1, number%3, "faulty-"+strconv.Itoa(number), 2)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, answer.Status)
	}
	assert.Zero(t, f.arrivalsBetween(site.ZoneName(1), knownAt, time.Now()))
}

// FAILBACK: under load from several entries, the cold servers of a zone whose evacuation has ended
// receive requests, but in no second more than they tolerate.
func TestColdZoneIsNotOverloadedAfterEvacuation(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := startLoad(f, 18)
	time.Sleep(300 * time.Millisecond)
	done := f.evacuateFor(site.ZoneName(1), 2*time.Second)
	time.Sleep(2 * time.Second)
	_, failed := stop()
	assert.Zero(t, failed)
	assert.Zero(t, done.lateArrivals(f))
	highest := f.Site.Requests.MaxWhileCold()
	t.Logf("a cold server received up to %d requests in a second", highest)
	assert.LessOrEqual(t, highest, 15)
	assert.Greater(t, highest, 4, "cold servers are used")
	for _, server := range f.Site.Models {
		assert.False(t, server.Overloaded())
	}
}

// FAILBACK: a burst of requests arrives right after servers have become cold in normal use.
func TestBurstAtColdServers(t *testing.T) {
	f := Start(t, evacuationOptions())
	stopLoad := startLoad(f, 1)
	time.Sleep(500 * time.Millisecond)
	for _, server := range f.Site.Models {
		server.SetCold(true)
	}
	time.Sleep(300 * time.Millisecond)
	stopBurst := startLoad(f, 18)
	time.Sleep(time.Second)
	stopBurst()
	stopLoad()
	highest := f.Site.Requests.MaxWhileCold()
	assert.LessOrEqual(t, highest, 15)
	assert.Greater(t, highest, 4, "cold servers are used")
	for _, server := range f.Site.Models {
		assert.False(t, server.Overloaded())
	}
}

// FAILBACK: servers become cold while each receives twice what a cold one tolerates. The limit holds
// only if entries learn of it within half a second.
func TestServerTurningColdUnderLoadIsNotOverloaded(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := startLoad(f, 4)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		for _, server := range f.Site.Models {
			server.SetCold(true)
		}
		time.Sleep(2 * time.Second)
	}
	stop()
	assert.LessOrEqual(t, f.Site.Requests.MaxWhileCold(), 15)
	for _, server := range f.Site.Models {
		assert.False(t, server.Overloaded())
	}
}

// FAILBACK: agents report to entries that their servers are cold, and how many requests these have
// received from all entries.
func TestAgentsReportColdServers(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := startLoad(f, 4)
	for _, server := range f.Site.Models {
		server.SetCold(true)
	}
	f.Eventually("every entry has reports of cold servers from all agents", time.Second, func() bool {
		for zone := range f.Site.Options.Zones {
			for index := range f.Site.Options.Entries {
				if !f.hasColdReports(zone, index) {
					return false
				}
			}
		}
		return true
	})
	stop()
}

// hasColdReports reports whether an entry has status reports of all agents that say that their
// servers are cold, at least one of them with received requests.
func (f *Fleet) hasColdReports(zone, index int) bool {
	views, _ := f.Process(ProcessName(catalog.RoleEntry, zone, index)).Dump()["servers"].([]forward.ServerView)
	cold, received := 0, 0
	for _, view := range views {
		received += view.Status.Received
		if view.Status.ColdMilliseconds > 0 {
			cold++
		}
	}
	return cold == len(f.Site.Models) && received > 0
}
