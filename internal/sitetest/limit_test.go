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

// The incident: servers in need named in their answers how many requests a second they take from all entries
// together. Entries that had passed such answers on went on sending as before: 25 requests in 4 s
// where 1.6 a second were named.

const (
	// limitKnownAfter is how long after a limit was named every entry has passed on an answer that names it, at a
	// pace at which each entry sends each server some requests a second, and half a second more.
	limitKnownAfter = 1500 * time.Millisecond
	// limitClearedAfter is how long after the last answer that named it every entry knows that a limit is over: the span in which
	// an entry with a share sends its next request, and what others need to be told.
	limitClearedAfter = admission.LimitWindow + noticePropagation + 500*time.Millisecond
)

// limitOptions are six entries, each of which is asked enough to use every server.
func limitOptions() site.Options {
	options := DefaultOptions()
	options.Zones, options.Entries, options.ModelServers = 3, 2, 2
	return options
}

// arrivalsAt are the moments at which requests came to a server, in order.
func (f *Fleet) arrivalsAt(server string, after time.Time) (moments []time.Time) {
	for _, arrival := range f.Site.Ledger.Arrivals() {
		if arrival.Server == server && arrival.At.After(after) {
			moments = append(moments, arrival.At)
		}
	}
	return moments
}

// maxWithin is the most of some moments in order that lie within a span.
func maxWithin(moments []time.Time, span time.Duration) (most int) {
	first := 0
	for last, at := range moments {
		for at.Sub(moments[first]) >= span {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// startPlainTraffic asks a plain service at all entries in turn.
func (f *Fleet) startPlainTraffic(pace time.Duration) (stop func() []outcome) {
	options := f.Site.Options
	return startTraffic(pace, func(ctx context.Context, number int) outcome {
		one := outcome{id: fmt.Sprintf("plain-%d", number), startedAt: time.Now()}
		one.answer, one.err = f.Call(ctx, number%options.Zones, number/options.Zones%options.Entries, http.MethodGet, site.SafePrefix+"a", one.id, nil, "")
		one.duration = time.Since(one.startedAt)
		return one
	})
}

// LIMIT: guards against entries that go on sending a server what they like after its answers have named how
// many requests a second it takes. The server is used up to that, and as before once it names none.
func TestServerRateLimitIsRespected(t *testing.T) {
	const rate = 1.5
	f := Start(t, limitOptions())
	limited := f.Site.Models[f.Site.Options.ModelIP(0, 0)]
	stop := f.startHarmlessTraffic(10 * time.Millisecond)
	time.Sleep(time.Second)
	limited.NameLimit(strconv.FormatFloat(rate, 'f', -1, 64))
	named := time.Now()
	time.Sleep(10 * time.Second)
	held := f.arrivalsAt(limited.ID(), named.Add(limitKnownAfter))
	limited.NameLimit("")
	over := time.Now()
	time.Sleep(limitClearedAfter + 2*time.Second)
	outcomes := stop()
	most := maxWithin(held, site.LimitSpan)
	t.Logf("most requests in %s: %d, in all of %s: %d", site.LimitSpan, most, over.Sub(named)-limitKnownAfter, len(held))
	assert.LessOrEqual(t, float64(most), site.LimitBears(rate))
	assert.GreaterOrEqual(t, len(held), 3, "the two entries of its zone go on using it")
	assert.GreaterOrEqual(t, len(f.arrivalsAt(limited.ID(), over.Add(limitClearedAfter))), 20, "requests in 2 s once all know that the limit is over")
	assert.GreaterOrEqual(t, servedRatio(outcomes, named, over.Add(limitClearedAfter+2*time.Second), time.Second), minServedRatio)
}

// LIMIT: the same for a service whose only server names one. What it can't take is refused at once, and the
// callers are told when to come back.
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
	only.NameLimit(strconv.FormatFloat(rate, 'f', -1, 64))
	named := time.Now()
	stop := f.startPlainTraffic(20 * time.Millisecond)
	time.Sleep(8 * time.Second)
	outcomes := stop()
	held := f.arrivalsAt(only.ID(), named.Add(limitKnownAfter))
	t.Logf("most requests in %s: %d, in all: %d", site.LimitSpan, maxWithin(held, site.LimitSpan), len(held))
	assert.LessOrEqual(t, float64(maxWithin(held, site.LimitSpan)), site.LimitBears(rate))
	assert.GreaterOrEqual(t, len(held), int(rate*(8*time.Second-limitKnownAfter).Seconds()/2), "half of what the server takes is used")
	refused := 0
	for _, one := range outcomes {
		if one.startedAt.Before(named.Add(limitKnownAfter)) || one.answer.Status == http.StatusOK {
			continue
		}
		refused++
		assert.Equal(t, http.StatusServiceUnavailable, one.answer.Status)
		assert.Less(t, one.duration, 200*time.Millisecond, "the time to an answer that nothing is needed for")
		assert.Positive(t, retryAfter(t, one.answer))
		assert.LessOrEqual(t, retryAfter(t, one.answer), 5*time.Second)
	}
	assert.Positive(t, refused)
}

// LIMIT: while all servers of a service name one, and more is asked than they take, each gets most of what it
// takes: shares of entries far away are used too.
func TestRateLimitsOfAllServersAreUsed(t *testing.T) {
	const rate = 2.5
	f := Start(t, limitOptions())
	for _, server := range f.Site.Models {
		server.NameLimit(strconv.FormatFloat(rate, 'f', -1, 64))
	}
	stop := f.startHarmlessTraffic(20 * time.Millisecond)
	named := time.Now()
	time.Sleep(11 * time.Second)
	stop()
	asked, total := time.Since(named)-limitKnownAfter, 0
	for _, server := range f.Site.Models {
		held := f.arrivalsAt(server.ID(), named.Add(limitKnownAfter))
		total += len(held)
		assert.LessOrEqual(t, float64(maxWithin(held, site.LimitSpan)), site.LimitBears(rate), server.ID())
		assert.GreaterOrEqual(t, len(held), int(rate*asked.Seconds()/2), "half of what %s takes is used", server.ID())
	}
	t.Logf("used: %.2f", float64(total)/(rate*asked.Seconds()*float64(len(f.Site.Models))))
	assert.GreaterOrEqual(t, float64(total), 0.7*rate*asked.Seconds()*float64(len(f.Site.Models)))
}
