package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/fleet"
)

func evacuationRecord(zone string, revision uint64) mirror.Record {
	return mirror.Record{Key: "op/evacuate/" + zone, Value: []byte(`{}`), Revision: revision}
}

// An evacuation is in force from when it is received, from any source, until it is removed. An
// older revision that peers send later changes nothing.
func TestEvacuationsAreAppliedAndLifted(t *testing.T) {
	c := newTestCatalog()
	urgent := c.urgentSequence
	c.applyReceived([]mirror.Record{evacuationRecord("a", 5), evacuationRecord("b", 6)}, nil)
	assert.Contains(t, c.View().Evacuations, "a")
	assert.Contains(t, c.View().Evacuations, "b")
	assert.Greater(t, c.urgentSequence, urgent, "others are sent it at once, even by a process that received it from a peer")
	c.applyWatched([]mirror.Record{{Key: "op/evacuate/a", Revision: 8, Deleted: true}})
	c.applyReceived([]mirror.Record{evacuationRecord("a", 5)}, nil)
	assert.NotContains(t, c.View().Evacuations, "a")
	c.applyListing("", fleet.Listing{Revision: 12})
	assert.Empty(t, c.View().Evacuations, "a listing without it ends it")
}

// An evacuation is sent to processes that lack it, like other records.
func TestEvacuationsAreForwarded(t *testing.T) {
	c := newTestCatalog()
	c.applyWatched([]mirror.Record{evacuationRecord("a", 5)})
	c.mutex.Lock()
	message := c.composeUpdate(&peerLink{compared: true})
	c.mutex.Unlock()
	assert.True(t, slices.ContainsFunc(message.Records, func(r mirror.Record) bool { return r.Key == "op/evacuate/a" }))
}

func coldRecord(revision uint64, remaining time.Duration) mirror.Record {
	value := fmt.Sprintf(`{"service":"m","address":"10.1.0.1:80","zone":"z","state":"ready","coldRemainingMs":%d,"sequence":%d}`, remaining.Milliseconds(), revision)
	return mirror.Record{Key: "servers/s", Value: []byte(value), Revision: revision}
}

// A server that turns cold again changes the view. A cold server that repeats the same time does
// not, nor does its becoming warm at the expected time.
func TestColdServerIsReportedOnce(t *testing.T) {
	c := newTestCatalog()
	views := 0
	c.OnChange(func(*View) { views++ })
	c.applyWatched([]mirror.Record{coldRecord(1, 0)})
	c.applyWatched([]mirror.Record{coldRecord(2, 0)})
	assert.Equal(t, 1, views)
	c.applyWatched([]mirror.Record{coldRecord(3, 3*time.Second)})
	assert.Equal(t, 2, views)
	until := c.View().Servers["m"][0].ColdUntil
	assert.WithinDuration(t, time.Now().Add(3*time.Second), until, time.Second)
	c.applyWatched([]mirror.Record{coldRecord(4, 2900*time.Millisecond)})
	assert.Equal(t, 2, views)
	assert.Equal(t, until, c.servers["servers/s"].ColdUntil, "small differences do not add up")
	c.applyWatched([]mirror.Record{coldRecord(5, 0)})
	assert.Equal(t, 3, views, "warm sooner than announced")
	c.applyWatched([]mirror.Record{coldRecord(6, 5*time.Second)})
	assert.Equal(t, 4, views)
}

// A server in use that turns cold is an urgent change even if it was received from a peer: waiting
// for the usual interval at each hop would be too late.
func TestServerTurningColdIsUrgent(t *testing.T) {
	c := newTestCatalog()
	receive := func(record mirror.Record) bool {
		before := c.urgentSequence
		c.applyReceived([]mirror.Record{record}, nil)
		return c.urgentSequence > before
	}
	assert.False(t, receive(coldRecord(1, 0)), "a new server")
	assert.True(t, receive(coldRecord(2, 3*time.Second)))
	assert.False(t, receive(coldRecord(3, 2500*time.Millisecond)), "cold for longer")
	assert.False(t, receive(coldRecord(4, 0)), "warm again")
	assert.True(t, receive(coldRecord(5, time.Second)))

	other := newTestCatalog()
	other.applyReceived([]mirror.Record{coldRecord(1, 3*time.Second)}, nil)
	assert.Zero(t, other.urgentSequence, "nobody sends to a server before its record arrives")
}

// The watch interval is short for a while after a server has turned cold, because others of its
// group do so too.
func TestWatchIntervalShortensWhenServersTurnCold(t *testing.T) {
	c := newTestCatalog()
	assert.Equal(t, watchInterval, c.watchInterval(time.Now()))
	c.applyWatched([]mirror.Record{coldRecord(1, 0)})
	assert.Equal(t, watchInterval, c.watchInterval(time.Now()))
	c.applyWatched([]mirror.Record{coldRecord(2, 3*time.Second)})
	assert.Equal(t, coldWatchInterval, c.watchInterval(time.Now()))
	assert.Equal(t, watchInterval, c.watchInterval(time.Now().Add(coldWatchDuration)))
}

// Servers that turn cold continuously do not keep the interval short: each process watches at the
// short interval for at most one second in five.
func TestShortWatchIntervalIsBounded(t *testing.T) {
	var watch watchPacer
	start := time.Now()
	const step, steps = 10 * time.Millisecond, 3000
	calls, close := 0, 0
	var called time.Time
	for index := range steps {
		now := start.Add(time.Duration(index) * step)
		watch.recordTurnedCold(now)
		if watch.interval(now) == coldWatchInterval {
			close++
		}
		if now.Sub(called) >= watch.interval(now) {
			calls, called = calls+1, now
		}
	}
	assert.Equal(t, 6*time.Second, time.Duration(close)*step, "in 30 s")
	assert.LessOrEqual(t, calls, 6*(20+4*5), "20 in each first second, 5 in each other")
}

// After the minimum spacing, the next server that turns cold shortens the interval again.
func TestWatchIntervalShortensAgainAfterSpacing(t *testing.T) {
	var watch watchPacer
	start := time.Now()
	watch.recordTurnedCold(start)
	watch.recordTurnedCold(start.Add(coldWatchDuration / 2))
	assert.Equal(t, watchInterval, watch.interval(start.Add(coldWatchDuration)), "the second server does not prolong the period")
	watch.recordTurnedCold(start.Add(minColdWatchSpacing))
	assert.Equal(t, coldWatchInterval, watch.interval(start.Add(minColdWatchSpacing)))
}
