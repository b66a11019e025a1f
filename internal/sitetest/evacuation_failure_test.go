package sitetest

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/emulator/site"
)

// maxUpdateDelay is the maximum time in which a connected entry acts on a change in the store; a
// watch waits half a second.
const maxUpdateDelay = time.Second

// twoEntryOptions returns a fleet of two zones with one entry each, so that the first entry is
// isolated once the second has been killed.
func twoEntryOptions() site.Options {
	options := evacuationOptions()
	options.Entries = 1
	return options
}

// isolateFirstEntry kills the second entry and makes the store refuse the first one, and waits
// until every pending watch has ended.
func (f *Fleet) isolateFirstEntry() {
	f.Kill(ProcessName(catalog.RoleEntry, 1, 0))
	f.Site.Store.Refuse(f.Site.Options.EntryIP(0, 0))
	time.Sleep(600 * time.Millisecond)
}

// sendStreams sends streams through the first entry, one after the other, and returns how many
// were answered completely.
func (f *Fleet) sendStreams(name string, count int) int {
	complete := 0
	for number := range count {
		answer, err := f.Stream(context.Background(), 0, 0, name+"-"+strconv.Itoa(number), 2)
		if err == nil && answer.Status == http.StatusOK && answer.Complete {
			complete++
		}
	}
	return complete
}

// endEvacuation ends a zone's evacuation and waits until the zone serves again.
func (f *Fleet) endEvacuation(zone string) {
	f.Site.EndEvacuation(zone)
	restoredAt := time.Now()
	f.Eventually(zone+" serves again", 3*time.Second, func() bool { return f.arrivalsBetween(zone, restoredAt, time.Now()) > 10 })
}

// EVAC, REFUSED: an entry that starts without access to the store and to other entries refuses
// requests as not-run until it is connected, and never sends a request to the zone, whichever
// source it is connected to first.
func TestEntryStartsIsolatedDuringEvacuation(t *testing.T) {
	connections := map[string]func(f *Fleet){
		"from the store":       func(f *Fleet) { f.Site.Store.Refuse() },
		"from the other entry": func(f *Fleet) { f.StartEntry(1, 0) },
	}
	for name, connect := range connections {
		t.Run(name, func(t *testing.T) {
			f := Start(t, twoEntryOptions())
			// Its own zone, which it prefers.
			zone := site.ZoneName(0)
			f.Site.Evacuate(zone)
			evacuatedAt := time.Now()
			f.Kill(ProcessName(catalog.RoleEntry, 0, 0))
			f.isolateFirstEntry()
			f.StartEntry(0, 0)
			time.Sleep(time.Until(evacuatedAt.Add(evacuateMs * time.Millisecond)))
			answer, err := f.Stream(context.Background(), 0, 0, "unheard", 2)
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, answer.Status)
			assert.Contains(t, answer.Body, "not-run")
			connect(f)
			f.Eventually("the entry is ready", 8*time.Second, func() bool { return f.ready(0, 0) })
			f.Eventually("the entry serves", 3*time.Second, func() bool { return f.sendStreams("first", 1) == 1 })
			assert.Equal(t, 20, f.sendStreams("heard", 20))
			assert.Zero(t, f.arrivalsBetween(zone, evacuatedAt, time.Now()))
		})
	}
}

// EVAC: an isolated entry keeps serving with its last known state when a zone is evacuated, and
// sends nothing to the zone once it learns of the evacuation.
func TestEntryLearnsOfEvacuationLate(t *testing.T) {
	f := Start(t, twoEntryOptions())
	// Its own zone, which it prefers.
	zone := site.ZoneName(0)
	f.isolateFirstEntry()
	f.Site.Evacuate(zone)
	evacuatedAt := time.Now()
	for time.Since(evacuatedAt) < evacuateMs*time.Millisecond+time.Second {
		assert.Equal(t, 5, f.sendStreams("cut-off-"+strconv.Itoa(int(time.Since(evacuatedAt))), 5))
	}
	assert.Positive(t, f.arrivalsBetween(zone, evacuatedAt, time.Now()), "the entry has not learned of the evacuation")
	f.Site.Store.Refuse()
	entry := f.Process(ProcessName(catalog.RoleEntry, 0, 0))
	f.Eventually("the entry knows of the evacuation", maxUpdateDelay, func() bool { return entry.Catalog.View().Evacuated(zone) })
	// The view is published shortly before the entry's routing uses it.
	time.Sleep(50 * time.Millisecond)
	knownAt := time.Now()
	assert.Equal(t, 50, f.sendStreams("heard", 50))
	assert.Zero(t, f.arrivalsBetween(zone, knownAt, time.Now()))
}

// EVAC: when all entries lose the store during an evacuation they keep the zone empty, even if the
// evacuation is ended meanwhile, and use the zone again once they learn of that.
func TestEntriesLoseStoreDuringEvacuation(t *testing.T) {
	f := Start(t, evacuationOptions())
	options := f.Site.Options
	zone := site.ZoneName(1)
	stop := startLoad(f, 6)
	time.Sleep(300 * time.Millisecond)
	f.Site.Evacuate(zone)
	evacuatedAt := time.Now()
	f.Eventually("the entries know of the evacuation", maxUpdateDelay, func() bool { return countEvents(f, "PV2009", zone) >= options.Zones*options.Entries })
	knownAt := time.Now()
	var refused []string
	for zone := range options.Zones {
		for index := range options.Entries {
			refused = append(refused, options.EntryIP(zone, index))
		}
	}
	f.Site.Store.Refuse(refused...)
	time.Sleep(time.Until(evacuatedAt.Add((evacuateMs + 700) * time.Millisecond)))
	f.Site.EndEvacuation(zone)
	time.Sleep(700 * time.Millisecond)
	restoredAt := time.Now()
	f.Site.Store.Refuse()
	assert.Zero(t, f.arrivalsBetween(zone, knownAt, restoredAt), "no entry knew that the evacuation had ended")
	f.Eventually("the zone serves again", 3*time.Second, func() bool { return f.arrivalsBetween(zone, restoredAt, time.Now()) > 10 })
	_, failed := stop()
	assert.Zero(t, failed)
}

// EVAC: a zone is evacuated while another is lost with its servers and entries. The third zone
// serves the requests to the remaining entries, and the evacuated one stays empty.
func TestEvacuationWhileAnotherZoneIsLost(t *testing.T) {
	options := evacuationOptions()
	options.Zones = 3
	f := Start(t, options)
	zone := site.ZoneName(1)
	f.Site.Evacuate(zone)
	startedAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	for index := range options.ModelServers {
		f.Site.Models[options.ModelIP(2, index)].Crash()
		f.Kill(ProcessName(catalog.RoleAgent, 2, index))
	}
	for index := range options.Entries {
		f.Kill(ProcessName(catalog.RoleEntry, 2, index))
	}
	lost := time.Now()
	served, sent := 0, 0
	for time.Since(lost) < 2500*time.Millisecond {
		for index := range options.Entries {
			answer, err := f.Stream(context.Background(), sent%2, index, "left-"+strconv.Itoa(sent), 2)
			sent++
			if err == nil && answer.Status == http.StatusOK && answer.Complete {
				served++
			}
		}
	}
	assert.Greater(t, sent, 50)
	assert.Equal(t, sent, served)
	assert.Zero(t, evacuation{zone: zone, startedAt: startedAt, endedAt: time.Now()}.lateArrivals(f))
	assert.Zero(t, f.arrivalsBetween(zone, lost, time.Now()))
}

// EVAC: two zones are evacuated at once. When the evacuation of one ends, it is used again while the
// other stays empty.
func TestTwoZonesAreEvacuatedAtOnce(t *testing.T) {
	options := evacuationOptions()
	options.Zones = 3
	f := Start(t, options)
	stop := startLoad(f, 9)
	time.Sleep(300 * time.Millisecond)
	first, second := site.ZoneName(0), site.ZoneName(1)
	f.Site.Evacuate(first)
	f.Site.Evacuate(second)
	evacuatedAt := time.Now()
	time.Sleep((evacuateMs + 500) * time.Millisecond)
	assert.Zero(t, f.arrivalsBetween(first, evacuatedAt.Add(maxUpdateDelay), time.Now()))
	f.endEvacuation(first)
	_, failed := stop()
	assert.Zero(t, failed)
	assert.Zero(t, f.arrivalsBetween(second, evacuatedAt.Add(maxUpdateDelay), time.Now()))
	assert.LessOrEqual(t, f.Site.Requests.MaxWhileCold(), 15)
}

// EVAC, FAILBACK: an evacuation is ended and requested again within a heartbeat, repeatedly. The
// last request decides, and the servers, which become cold each time, receive no more than a cold
// server's capacity.
func TestEvacuationToggledWithinHeartbeat(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := startLoad(f, 6)
	time.Sleep(300 * time.Millisecond)
	zone := site.ZoneName(1)
	f.Site.Evacuate(zone)
	time.Sleep(evacuateMs * time.Millisecond)
	for range 4 {
		f.Site.EndEvacuation(zone)
		time.Sleep(60 * time.Millisecond)
		f.Site.Evacuate(zone)
		time.Sleep(60 * time.Millisecond)
	}
	evacuatedAt := time.Now()
	time.Sleep((evacuateMs + 700) * time.Millisecond)
	assert.Zero(t, f.arrivalsBetween(zone, evacuatedAt.Add(maxUpdateDelay), time.Now()))
	f.endEvacuation(zone)
	_, failed := stop()
	assert.Zero(t, failed)
	assert.LessOrEqual(t, f.Site.Requests.MaxWhileCold(), 15)
	for _, server := range f.Site.Models {
		assert.False(t, server.Overloaded())
	}
}
