package sitetest

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/internal/emulator/site"
)

// Incident: overloaded servers announced in their answers how many requests a second they accept from
// all entries together. Entries that had forwarded such answers kept sending as before: 25 requests
// in 4 s where 1.6 a second were announced.

const (
	// limitKnownAfter is how long after a limit was announced every entry has forwarded an answer
	// that announces it, when each entry sends each server some requests a second, plus half a second.
	limitKnownAfter = 1500 * time.Millisecond
	// limitClearedAfter is how long after the last answer that announced a limit every entry knows
	// that it has ended: the window in which an entry with a share sends its next request, plus the
	// propagation to the others.
	limitClearedAfter = admission.LimitWindow + noticePropagation + 500*time.Millisecond
)

// limitOptions returns a fleet of six entries; the load on each is enough to use every server.
func limitOptions() site.Options {
	options := DefaultOptions()
	options.Zones, options.Entries, options.ModelServers = 3, 2, 2
	return options
}

// arrivalTimes returns when requests arrived at a server after the given time, in order.
func (f *Fleet) arrivalTimes(server string, after time.Time) (times []time.Time) {
	for _, arrival := range f.Site.Requests.Arrivals() {
		if arrival.Server == server && arrival.At.After(after) {
			times = append(times, arrival.At)
		}
	}
	return times
}

// maxWithin returns the maximum number of the sorted times that lie within any interval of the given
// length.
func maxWithin(times []time.Time, span time.Duration) (highest int) {
	first := 0
	for last, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// startPlainTraffic sends requests for a plain service through all entries in turn.
func (f *Fleet) startPlainTraffic(pace time.Duration) (stop func() []outcome) {
	options := f.Site.Options
	return startTraffic(pace, func(ctx context.Context, number int) outcome {
		result := outcome{id: fmt.Sprintf("plain-%d", number), startedAt: time.Now()}
		result.answer, result.err = f.Call(ctx, number%options.Zones, number/options.Zones%options.Entries, http.MethodGet, site.SafePrefix+"a", result.id, nil, "")
		result.duration = time.Since(result.startedAt)
		return result
	})
}

// LIMIT: guards against entries that exceed the rate limit that a server has announced in its
// answers. The server is used up to that limit, and without one as before.
func TestServerRateLimitIsRespected(t *testing.T) {
	const rate = 1.5
	f := Start(t, limitOptions())
	limited := f.Site.Models[f.Site.Options.ModelIP(0, 0)]
	stop := f.startHarmlessTraffic(10 * time.Millisecond)
	time.Sleep(time.Second)
	limited.AnnounceLimit(strconv.FormatFloat(rate, 'f', -1, 64))
	announcedAt := time.Now()
	time.Sleep(10 * time.Second)
	arrivals := f.arrivalTimes(limited.ID(), announcedAt.Add(limitKnownAfter))
	limited.AnnounceLimit("")
	clearedAt := time.Now()
	time.Sleep(limitClearedAfter + 2*time.Second)
	outcomes := stop()
	highest := maxWithin(arrivals, site.LimitWindow)
	t.Logf("most requests in %s: %d, in all of %s: %d", site.LimitWindow, highest, clearedAt.Sub(announcedAt)-limitKnownAfter, len(arrivals))
	assert.LessOrEqual(t, float64(highest), site.MaxUnderLimit(rate))
	assert.GreaterOrEqual(t, len(arrivals), 3, "the two entries of its zone keep using it")
	assert.GreaterOrEqual(t, len(f.arrivalTimes(limited.ID(), clearedAt.Add(limitClearedAfter))), 20, "requests in 2 s once all entries know that the limit has ended")
	assert.GreaterOrEqual(t, servedRatio(outcomes, announcedAt, clearedAt.Add(limitClearedAfter+2*time.Second), time.Second), minServedRatio)
}

// LIMIT: the same for a service whose only server announces a limit. Requests beyond it are refused at
// once, with a Retry-After.
func TestRateLimitOfOnlyServer(t *testing.T) {
	const rate = 5.0
	options := limitOptions()
	options.PlainServers = 1
	f := Start(t, options)
	for zone := 1; zone < options.Zones; zone++ {
		f.Site.Plain[options.PlainIP(zone, 0)].Leave()
	}
	only := f.Site.Plain[options.PlainIP(0, 0)]
	time.Sleep(time.Second)
	only.AnnounceLimit(strconv.FormatFloat(rate, 'f', -1, 64))
	announcedAt := time.Now()
	stop := f.startPlainTraffic(20 * time.Millisecond)
	time.Sleep(8 * time.Second)
	outcomes := stop()
	arrivals := f.arrivalTimes(only.ID(), announcedAt.Add(limitKnownAfter))
	t.Logf("most requests in %s: %d, in all: %d", site.LimitWindow, maxWithin(arrivals, site.LimitWindow), len(arrivals))
	assert.LessOrEqual(t, float64(maxWithin(arrivals, site.LimitWindow)), site.MaxUnderLimit(rate))
	assert.GreaterOrEqual(t, len(arrivals), int(rate*(8*time.Second-limitKnownAfter).Seconds()/2), "half of the server's limit is used")
	refused := 0
	for _, result := range outcomes {
		if result.startedAt.Before(announcedAt.Add(limitKnownAfter)) || result.answer.Status == http.StatusOK {
			continue
		}
		refused++
		assert.Equal(t, http.StatusServiceUnavailable, result.answer.Status)
		assert.Less(t, result.duration, 200*time.Millisecond, "time to a local refusal")
		assert.Positive(t, retryAfter(t, result.answer))
		assert.LessOrEqual(t, retryAfter(t, result.answer), 5*time.Second)
	}
	assert.Positive(t, refused)
}

// LIMIT: when all servers of a service announce a limit and demand exceeds it, each server receives
// most of its limit, including the shares of the entries in other zones.
func TestRateLimitsOfAllServersAreUsed(t *testing.T) {
	const rate = 2.5
	f := Start(t, limitOptions())
	for _, server := range f.Site.Models {
		server.AnnounceLimit(strconv.FormatFloat(rate, 'f', -1, 64))
	}
	stop := f.startHarmlessTraffic(20 * time.Millisecond)
	announcedAt := time.Now()
	time.Sleep(11 * time.Second)
	stop()
	elapsed, total := time.Since(announcedAt)-limitKnownAfter, 0
	for _, server := range f.Site.Models {
		arrivals := f.arrivalTimes(server.ID(), announcedAt.Add(limitKnownAfter))
		total += len(arrivals)
		assert.LessOrEqual(t, float64(maxWithin(arrivals, site.LimitWindow)), site.MaxUnderLimit(rate), server.ID())
		assert.GreaterOrEqual(t, len(arrivals), int(rate*elapsed.Seconds()/2), "half of the limit of %s is used", server.ID())
	}
	t.Logf("used: %.2f", float64(total)/(rate*elapsed.Seconds()*float64(len(f.Site.Models))))
	assert.GreaterOrEqual(t, float64(total), 0.7*rate*elapsed.Seconds()*float64(len(f.Site.Models)))
}
