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

// evacuateMs is the bound of the tests' evacuations.
const evacuateMs = 1500

// evacuationOptions is a fleet of two zones with three entries each, whose cold servers bear
// 15 requests a second.
func evacuationOptions() site.Options {
	options := DefaultOptions()
	options.Entries = 3
	options.EvacuateMs = evacuateMs
	options.ColdPerS, options.ColdStartS, options.ColdOvershoot, options.ColdSlack = 8, 1.5, 1.5, 3
	return options
}

// evacuation is what a test did to a zone, and when.
type evacuation struct {
	zone               string
	startedAt, endedAt time.Time
}

// lateArrivals counts the requests that reached the zone's servers after the bound and before the
// evacuation was taken back.
func (e evacuation) lateArrivals(f *Fleet) int {
	return f.arrivalsBetween(e.zone, e.startedAt.Add(evacuateMs*time.Millisecond), e.endedAt)
}

// arrivalsBetween counts the requests that reached a zone's servers in a span of time.
func (f *Fleet) arrivalsBetween(zone string, from, until time.Time) int {
	count := 0
	for _, arrival := range f.Site.Ledger.Deliveries() {
		if arrival.Zone == zone && arrival.At.After(from) && arrival.At.Before(until) {
			count++
		}
	}
	return count
}

// evacuateFor evacuates a zone for a time, beginning now.
func (f *Fleet) evacuateFor(zone string, duration time.Duration) evacuation {
	done := evacuation{zone: zone, startedAt: time.Now()}
	f.Site.Evacuate(zone)
	time.Sleep(duration)
	f.Site.EndEvacuation(zone)
	done.endedAt = time.Now()
	return done
}

// startLoad sends short streams and plain calls through every entry, until the function returned
// is called, which returns how many were sent and how many not answered whole.
func startLoad(f *Fleet, callers int) (stop func() (sent, spoilt int)) {
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

// callerPause is the time between two requests of a caller of untilStopped.
const callerPause = 10 * time.Millisecond

// runCallers has each of some callers send requests one after the other, until the function
// returned is called, which returns how many were sent and how many failed. Send reports whether a
// request was answered as it should be.
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

// EVAC: under load, the servers of an evacuated zone receive nothing after the bound, every
// request is served elsewhere, and the zone serves again afterwards.
func TestEvacuatedZoneReceivesNothing(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := startLoad(f, 6)
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	done := f.evacuateFor(site.ZoneName(1), 3*time.Second)
	f.Eventually("the zone serves again", 3*time.Second, func() bool {
		return f.arrivalsBetween(done.zone, done.endedAt, time.Now()) > 10
	})
	sent, spoilt := stop()
	assert.Greater(t, sent, 200)
	assert.Zero(t, spoilt)
	assert.Positive(t, f.arrivalsBetween(done.zone, began.Add(-300*time.Millisecond), began), "the zone was in use before")
	assert.Zero(t, done.lateArrivals(f))
	soon := f.arrivalsBetween(done.zone, done.startedAt.Add(300*time.Millisecond), done.endedAt)
	assert.Zero(t, soon, "entries act when they hear of it, long before the bound")
}

// EVAC: the same while every answer of the store takes 0.3 s.
func TestEvacuationWhileTheStoreIsSlow(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := startLoad(f, 6)
	f.Site.Store.SetDelay(300 * time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	done := f.evacuateFor(site.ZoneName(0), 2500*time.Millisecond)
	_, spoilt := stop()
	assert.Zero(t, spoilt)
	assert.Zero(t, done.lateArrivals(f))
}

// EVAC, VERSION: weights are named at the same moment; the emptied zone's servers take them
// too, and requests find servers of the right version all the time.
func TestEvacuationDuringVersionChange(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := startLoad(f, 6)
	time.Sleep(300 * time.Millisecond)
	named := time.Now()
	f.Site.NameVersion(2)
	done := f.evacuateFor(site.ZoneName(1), 2500*time.Millisecond)
	bound := time.Duration(f.Site.Options.VersionMs) * time.Millisecond
	f.Eventually("every server serves version 2", time.Until(named.Add(bound)), func() bool { return f.allServe(2) })
	time.Sleep(time.Until(named.Add(bound + 200*time.Millisecond)))
	_, spoilt := stop()
	assert.Zero(t, spoilt)
	assert.Zero(t, done.lateArrivals(f))
	for _, run := range f.Site.Ledger.Runs() {
		if run.Service == site.ModelService && run.At.After(named.Add(bound)) {
			assert.Equal(t, uint64(2), run.Version)
		}
	}
}

// EVAC: one that is taken back before its bound, and asked for again at once, counts from the
// second asking, and the zone is in use afterwards.
func TestEvacuationCancelledBeforeDeadline(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := startLoad(f, 6)
	time.Sleep(300 * time.Millisecond)
	first := f.evacuateFor(site.ZoneName(1), 700*time.Millisecond)
	second := f.evacuateFor(site.ZoneName(1), 2*time.Second)
	f.Eventually("the zone serves again", 3*time.Second, func() bool {
		return f.arrivalsBetween(second.zone, second.endedAt, time.Now()) > 10
	})
	_, spoilt := stop()
	assert.Zero(t, spoilt)
	assert.Zero(t, first.lateArrivals(f))
	assert.Zero(t, second.lateArrivals(f))
}

// EVAC: a stream that is open in the zone goes on there to its end.
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
	f.Eventually("the streams are open", time.Second, func() bool { return len(f.Site.Ledger.Runs()) >= streams })
	done := f.evacuateFor(site.ZoneName(1), 2500*time.Millisecond)
	open.Wait()
	assert.Len(t, f.Site.Ledger.Runs(), streams, "no stream was moved")
	assert.Positive(t, f.arrivalsBetween(done.zone, done.startedAt.Add(-time.Second), done.startedAt), "some were open in the zone")
	assert.Positive(t, countEvents(f, "PV2013", done.zone), "their entries say when the last has ended")
	assert.Zero(t, done.lateArrivals(f))
}

// EVAC: a stream that breaks off in an evacuated zone is continued outside it.
func TestBrokenStreamsResumeOutsideEvacuatedZone(t *testing.T) {
	options := evacuationOptions()
	options.EventTime = 50 * time.Millisecond
	// Entries that have just started spend a cautious part of the slack; all break at once here.
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
	f.Eventually("the streams are open", time.Second, func() bool { return len(f.Site.Ledger.Runs()) >= streams })
	asked := time.Now()
	inZone := f.arrivalsBetween(zone, asked.Add(-time.Second), asked)
	f.Site.Evacuate(zone)
	open.Wait()
	assert.Positive(t, inZone)
	assert.Len(t, f.Site.Ledger.Runs(), streams+inZone, "each broken stream was continued once")
	assert.Zero(t, f.arrivalsBetween(zone, asked, time.Now()))
}

// EVAC: an entry that starts meanwhile learns it with everything else.
func TestEntryStartsDuringEvacuation(t *testing.T) {
	f := Start(t, evacuationOptions())
	zone := site.ZoneName(0)
	f.Site.Evacuate(zone)
	asked := time.Now()
	time.Sleep(evacuateMs * time.Millisecond)
	f.Kill(ProcessName(catalog.RoleEntry, 0, 2))
	f.StartEntry(0, 2)
	f.Eventually("the entry is ready", 5*time.Second, func() bool { return f.ready(0, 2) })
	for number := range 20 {
		_, err := f.Stream(context.Background(), 0, 2, "late-"+strconv.Itoa(number), 2)
		require.NoError(t, err)
	}
	assert.Zero(t, evacuation{zone: zone, startedAt: asked, endedAt: time.Now()}.lateArrivals(f))
}

// EVAC, REFUSED: when the evacuated zone is the only one, requests are refused at once and
// truly, with a time to come back.
func TestEvacuationOfTheOnlyZone(t *testing.T) {
	options := evacuationOptions()
	options.Zones = 1
	f := Start(t, options)
	zone := site.ZoneName(0)
	f.Site.Evacuate(zone)
	f.Eventually("the entries know", 2*time.Second, func() bool { return countEvents(f, "PV2009", zone) >= options.Entries })
	began := time.Now()
	for number := range options.Entries {
		answer, err := f.Stream(context.Background(), 0, number, "only-"+strconv.Itoa(number), 2)
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, answer.Status)
		assert.NotEmpty(t, answer.Header.Get("Retry-After"))
		assert.Contains(t, answer.Body, "not-run")
	}
	assert.Less(t, time.Since(began), 500*time.Millisecond)
	assert.Empty(t, f.Site.Ledger.Runs())
	f.Site.EndEvacuation(zone)
	f.Eventually("service is back", 2*time.Second, func() bool {
		answer, err := f.Stream(context.Background(), 0, 0, "back-"+strconv.FormatInt(time.Now().UnixNano(), 10), 2)
		return err == nil && answer.Status == http.StatusOK
	})
}

// Bad input: what can't be read or names no zone of the fleet is logged, and the rest is in
// force.
func TestFaultyEvacuations(t *testing.T) {
	f := Start(t, evacuationOptions())
	f.Site.Store.PutRaw("op/evacuate/", []byte(`{}`))
	f.Site.Store.PutRaw("op/evacuate/hall-of-nowhere", []byte(`{}`))
	f.Site.Store.PutRaw("op/evacuate/"+site.ZoneName(1), []byte(`{"unfinished`))
	f.Eventually("the faults are logged", 2*time.Second, func() bool {
		return countEvents(f, "PV2011", "names no zone") > 0 && countEvents(f, "PV2011", "hall-of-nowhere") > 0 &&
			countEvents(f, "PV2011", "op/evacuate/"+site.ZoneName(1)) > 0
	})
	f.Eventually("the entries know", 2*time.Second, func() bool {
		return countEvents(f, "PV2009", site.ZoneName(1)) >= f.Site.Options.Zones*f.Site.Options.Entries
	})
	known := time.Now()
	for number := range 20 {
		answer, err := f.Stream(context.Background(), 1, number%3, "faulty-"+strconv.Itoa(number), 2)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, answer.Status)
	}
	assert.Zero(t, f.arrivalsBetween(site.ZoneName(1), known, time.Now()))
}

// FAILBACK: under load from several entries, the servers of a zone that comes back cold from
// an evacuation receive what they bear and no more, in any second, and something at all.
func TestColdZoneIsNotOverloadedAfterEvacuation(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := startLoad(f, 18)
	time.Sleep(300 * time.Millisecond)
	done := f.evacuateFor(site.ZoneName(1), 2*time.Second)
	time.Sleep(2 * time.Second)
	_, spoilt := stop()
	assert.Zero(t, spoilt)
	assert.Zero(t, done.lateArrivals(f))
	most := f.Site.Ledger.MostWhileCold()
	t.Logf("a cold server received up to %d requests in a second", most)
	assert.LessOrEqual(t, most, 15)
	assert.Greater(t, most, 4, "cold servers are used")
	for _, server := range f.Site.Models {
		assert.False(t, server.Fallen())
	}
}

// FAILBACK: many requests come right after servers have become cold in ordinary use.
func TestBurstAtColdServers(t *testing.T) {
	f := Start(t, evacuationOptions())
	calm := startLoad(f, 1)
	time.Sleep(500 * time.Millisecond)
	for _, server := range f.Site.Models {
		server.SetCold(true)
	}
	time.Sleep(300 * time.Millisecond)
	burst := startLoad(f, 18)
	time.Sleep(time.Second)
	burst()
	calm()
	most := f.Site.Ledger.MostWhileCold()
	assert.LessOrEqual(t, most, 15)
	assert.Greater(t, most, 4, "cold servers are used")
	for _, server := range f.Site.Models {
		assert.False(t, server.Fallen())
	}
}

// FAILBACK: servers become cold while each receives twice what a cold one bears. That holds
// only if entries hear of it within half a second.
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
	assert.LessOrEqual(t, f.Site.Ledger.MostWhileCold(), 15)
	for _, server := range f.Site.Models {
		assert.False(t, server.Fallen())
	}
}

// FAILBACK: agents tell entries that their servers are cold, and how many requests these have
// received over all entries.
func TestAgentsReportColdServers(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := startLoad(f, 4)
	for _, server := range f.Site.Models {
		server.SetCold(true)
	}
	f.Eventually("every entry has it from the agents", time.Second, func() bool {
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

// hasColdReports reports whether an entry has the words of all agents that their servers are cold,
// one of them with requests received.
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
