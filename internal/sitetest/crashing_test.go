package sitetest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
)

// The incident: a request that ends each server which begins to run it was asked again and again, with a
// new id each time and at any entry. 43 servers ended under one request, and over a tenth of all others
// failed for seconds.
//
// How it came about: what an entry learned at the end of a server counted against the server. Nothing
// told requests apart by what they ask for, so that neither an entry nor the entries together could
// know that the servers had one content in common. What proves it: on the code before the repair the
// content below goes on reaching servers for as long as it is asked.

const (
	// endsAllowed is how many servers may end before the content is known.
	endsAllowed = 3
	// knownWithin is how soon after the third end every machine knows the content, latecomersAllowed how
	// many sends are allowed after that.
	knownWithin       = 3 * time.Second
	latecomersAllowed = 3
	// askedFor is how long the content is asked, askedEach how often.
	askedFor  = 8 * time.Second
	askedEach = 120 * time.Millisecond
	// endPause is the time from an end to the news of it at the last entry: two questions of the agent,
	// the way over two relays, or one refused connection.
	endPause = time.Second
	// servedAgain is the share of harmless requests that are served in time once the content is known
	// and the last server that it ended is back.
	servedAgain = 0.95

	culpritBody = "ends the server"
	culpritID   = "culprit-"
)

// crashingOptions are a fleet in which the loss of a server is not the loss of a zone.
func crashingOptions() site.Options {
	options := DefaultOptions()
	options.ModelServers = 4
	return options
}

// harmless sends streams whose content differs from one to the next, at all entries.
func (f *Fleet) harmless(pace time.Duration) (stop func() []outcome) {
	return traffic(pace, func(ctx context.Context, number int) outcome {
		one := outcome{id: fmt.Sprintf("harmless-%d", number), begun: time.Now()}
		one.answer, one.err = f.streamOf(ctx, number, fmt.Sprintf("harmless/%d", number), one.id, "prompt", 10)
		one.took = time.Since(one.begun)
		return one
	})
}

// streamOf asks for a stream with a target and body of its own, at the entry whose turn it is.
func (f *Fleet) streamOf(ctx context.Context, turn int, target, id, body string, events int) (Answer, error) {
	options := f.Site.Options
	header := map[string]string{"Model": options.Weights.Model, "Token-Usage": "10," + strconv.Itoa(events)}
	return f.Call(ctx, turn%options.Zones, turn/options.Zones%options.Entries, http.MethodPost, site.StreamPrefix+target, id, header, body)
}

// askCulprit asks for the content that ends servers at entries drawn by chance.
func (f *Fleet) askCulprit(pace time.Duration) (stop func() []outcome) {
	return traffic(pace, func(ctx context.Context, number int) outcome {
		one := outcome{id: culpritID + strconv.Itoa(number), begun: time.Now()}
		one.answer, one.err = f.streamOf(ctx, rand.IntN(4), "culprit", one.id, culpritBody, 10)
		one.took = time.Since(one.begun)
		return one
	})
}

// culpritArrivals are the times at which the content has come to servers after a moment.
func (f *Fleet) culpritArrivals(after time.Time) (late []time.Duration) {
	for _, arrival := range f.Site.Ledger.Arrivals() {
		if strings.HasPrefix(arrival.RequestID, culpritID) && arrival.At.After(after) {
			late = append(late, arrival.At.Sub(after))
		}
	}
	return late
}

// thirdEnd is when the third server ended.
func (f *Fleet) thirdEnd() time.Time {
	ends := f.Site.Ends()
	require.GreaterOrEqual(f.t, len(ends), endsAllowed, "servers that have ended")
	return ends[endsAllowed-1].At
}

// BUDGET: content that ends its servers reaches none any more once it has ended three, at whatever
// entry it is asked, and harmless requests are served.
func TestContentThatEndsItsServersIsKeptFromThem(t *testing.T) {
	f := Start(t, crashingOptions())
	f.Site.CrashOn(site.Crashing{Body: culpritBody, After: 50 * time.Millisecond, Away: 2 * time.Second})
	stopHarmless, stopCulprit := f.harmless(20*time.Millisecond), f.askCulprit(askedEach)
	time.Sleep(askedFor)
	culprits, harmless, ended := stopCulprit(), stopHarmless(), time.Now()
	third := f.thirdEnd()
	t.Logf("servers that ended: %d, sends after the third: %d", len(f.Site.Ends()), len(f.culpritArrivals(third)))
	assert.LessOrEqual(t, len(f.culpritArrivals(third.Add(knownWithin))), latecomersAllowed, "sends after the content must be known")
	assert.Empty(t, f.culpritArrivals(third.Add(endPause)), "sends after the content can be known")
	last := f.Site.Ends()[len(f.Site.Ends())-1].At
	if back := last.Add(3 * time.Second); back.Before(ended) {
		assert.GreaterOrEqual(t, shareServed(harmless, back, ended, time.Second), servedAgain, "harmless requests served once the servers are back")
	}
	for _, one := range culprits {
		if one.begun.Before(third.Add(endPause)) {
			continue
		}
		assert.NotEqual(t, http.StatusOK, one.answer.Status)
		assert.Less(t, one.took, 100*time.Millisecond, "the time to an answer that nothing is needed for")
	}
}
