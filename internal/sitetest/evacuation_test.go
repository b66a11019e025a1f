package sitetest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/emulator/site"
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
	zone         string
	asked, ended time.Time
}

// late counts the requests that reached the zone's servers after the bound and before the
// evacuation was taken back.
func (e evacuation) late(f *Fleet) int {
	count := 0
	for _, arrival := range f.Site.Ledger.Arrivals() {
		if arrival.Zone == e.zone && arrival.At.After(e.asked.Add(evacuateMs*time.Millisecond)) && arrival.At.Before(e.ended) {
			count++
		}
	}
	return count
}

// between counts the requests that reached a zone's servers in a span of time.
func (f *Fleet) between(zone string, from, until time.Time) int {
	count := 0
	for _, arrival := range f.Site.Ledger.Arrivals() {
		if arrival.Zone == zone && arrival.At.After(from) && arrival.At.Before(until) {
			count++
		}
	}
	return count
}

// evacuateFor evacuates a zone for a time, beginning now.
func (f *Fleet) evacuateFor(zone string, duration time.Duration) evacuation {
	done := evacuation{zone: zone, asked: time.Now()}
	f.Site.Evacuate(zone)
	time.Sleep(duration)
	f.Site.EndEvacuation(zone)
	done.ended = time.Now()
	return done
}

// busy sends short streams and plain calls through every entry, until the function returned
// is called, which returns how many were sent and how many not answered whole.
func busy(f *Fleet, callers int) (stop func() (sent, spoilt int)) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var mutex sync.Mutex
	sent, spoilt := 0, 0
	options := f.Site.Options
	for caller := range callers {
		running.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				id := fmt.Sprintf("busy-%d-%d", caller, number)
				zone, index := caller%options.Zones, caller/options.Zones%options.Entries
				var answer Answer
				var err error
				if number%4 == 3 {
					answer, err = f.Call(context.Background(), zone, index, http.MethodGet, site.SafePrefix+"a", id, nil, "")
				} else {
					answer, err = f.Stream(context.Background(), zone, index, id, 3)
				}
				mutex.Lock()
				sent++
				if err != nil || answer.Status != http.StatusOK || !answer.Whole {
					spoilt++
					f.t.Logf("request %s: %v %d %s", id, err, answer.Status, answer.Body)
				}
				mutex.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return func() (int, int) {
		cancel()
		running.Wait()
		return sent, spoilt
	}
}

// EVAC: under load, the servers of an evacuated zone receive nothing after the bound, every
// request is served elsewhere, and the zone serves again afterwards.
func TestEvacuatedZoneReceivesNothing(t *testing.T) {
	f := Start(t, evacuationOptions())
	stop := busy(f, 6)
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	done := f.evacuateFor(site.ZoneName(1), 3*time.Second)
	f.Eventually("the zone serves again", 3*time.Second, func() bool {
		return f.between(done.zone, done.ended, time.Now()) > 10
	})
	sent, spoilt := stop()
	assert.Greater(t, sent, 200)
	assert.Zero(t, spoilt)
	assert.Positive(t, f.between(done.zone, began.Add(-300*time.Millisecond), began), "the zone was in use before")
	assert.Zero(t, done.late(f))
	soon := f.between(done.zone, done.asked.Add(300*time.Millisecond), done.ended)
	assert.Zero(t, soon, "entries act when they hear of it, long before the bound")
}
