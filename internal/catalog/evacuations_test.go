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

// An evacuation is in force from when it is heard, from whomever, until it is taken away; what
// others tell later of an older revision changes nothing.
func TestEvacuationsAreTakenAndTakenBack(t *testing.T) {
	c := newTestCatalog()
	urgent := c.urgent
	c.takeTold([]mirror.Record{evacuationRecord("a", 5), evacuationRecord("b", 6)}, nil)
	assert.Contains(t, c.View().Evacuations, "a")
	assert.Contains(t, c.View().Evacuations, "b")
	assert.Greater(t, c.urgent, urgent, "others are told at once, also by one who was told")
	c.takeWatched([]mirror.Record{{Key: "op/evacuate/a", Revision: 8, Deleted: true}})
	c.takeTold([]mirror.Record{evacuationRecord("a", 5)}, nil)
	assert.NotContains(t, c.View().Evacuations, "a")
	c.replace("", fleet.Listing{At: 12})
	assert.Empty(t, c.View().Evacuations, "a listing without it takes it back")
}

// An evacuation is passed on to those who lack it, as other records are.
func TestEvacuationsArePassedOn(t *testing.T) {
	c := newTestCatalog()
	c.takeWatched([]mirror.Record{evacuationRecord("a", 5)})
	c.mutex.Lock()
	message := c.compose(&peerLink{compared: true})
	c.mutex.Unlock()
	assert.True(t, slices.ContainsFunc(message.Records, func(r mirror.Record) bool { return r.Key == "op/evacuate/a" }))
}

func coldRecord(revision uint64, remaining time.Duration) mirror.Record {
	value := fmt.Sprintf(`{"service":"m","address":"10.1.0.1:80","zone":"z","state":"ready","coldRemainingMs":%d,"sequence":%d}`, remaining.Milliseconds(), revision)
	return mirror.Record{Key: "servers/s", Value: []byte(value), Revision: revision}
}

// A server that becomes cold again is news; that a cold one says the same again is not, and
// neither is its becoming warm when that was expected.
func TestColdServersAreNewsOnce(t *testing.T) {
	c := newTestCatalog()
	views := 0
	c.OnChange(func(*View) { views++ })
	c.takeWatched([]mirror.Record{coldRecord(1, 0)})
	c.takeWatched([]mirror.Record{coldRecord(2, 0)})
	assert.Equal(t, 1, views)
	c.takeWatched([]mirror.Record{coldRecord(3, 3*time.Second)})
	assert.Equal(t, 2, views)
	until := c.View().Servers["m"][0].ColdUntil
	assert.WithinDuration(t, time.Now().Add(3*time.Second), until, time.Second)
	c.takeWatched([]mirror.Record{coldRecord(4, 2900*time.Millisecond)})
	assert.Equal(t, 2, views)
	assert.Equal(t, until, c.servers["servers/s"].ColdUntil, "small differences do not add up")
	c.takeWatched([]mirror.Record{coldRecord(5, 0)})
	assert.Equal(t, 3, views, "warm sooner than said")
	c.takeWatched([]mirror.Record{coldRecord(6, 5*time.Second)})
	assert.Equal(t, 4, views)
}

// That a server in use has turned cold is passed on at once, also by a process that was told
// it by another: each hop at its usual pace would be too late.
func TestServerThatTurnsColdIsUrgentNews(t *testing.T) {
	c := newTestCatalog()
	tell := func(record mirror.Record) bool {
		before := c.urgent
		c.takeTold([]mirror.Record{record}, nil)
		return c.urgent > before
	}
	assert.False(t, tell(coldRecord(1, 0)), "a server that is new")
	assert.True(t, tell(coldRecord(2, 3*time.Second)))
	assert.False(t, tell(coldRecord(3, 2500*time.Millisecond)), "cold for longer")
	assert.False(t, tell(coldRecord(4, 0)), "warm again")
	assert.True(t, tell(coldRecord(5, time.Second)))

	other := newTestCatalog()
	other.takeTold([]mirror.Record{coldRecord(1, 3*time.Second)}, nil)
	assert.Zero(t, other.urgent, "nobody sends to a server before its line is heard")
}

// The store is watched without a pause for a while after a server has turned cold: others of
// its group do so too.
func TestStoreIsWatchedCloselyWhenServersTurnCold(t *testing.T) {
	c := newTestCatalog()
	assert.Equal(t, watchPace, c.pace(time.Now()))
	c.takeWatched([]mirror.Record{coldRecord(1, 0)})
	assert.Equal(t, watchPace, c.pace(time.Now()))
	c.takeWatched([]mirror.Record{coldRecord(2, 3*time.Second)})
	assert.Equal(t, coldWatchPace, c.pace(time.Now()))
	assert.Equal(t, watchPace, c.pace(time.Now().Add(coldNewsTime)))
}

// Servers that turn cold one after the other all the time do not have the store watched closely
// all the time: each process calls it closely for a second of five at most.
func TestStoreIsNotWatchedCloselyAllTheTime(t *testing.T) {
	var watch closeWatch
	start := time.Now()
	const step, steps = 10 * time.Millisecond, 3000
	calls, close := 0, 0
	var called time.Time
	for index := range steps {
		now := start.Add(time.Duration(index) * step)
		watch.turnedCold(now)
		if watch.pace(now) == coldWatchPace {
			close++
		}
		if now.Sub(called) >= watch.pace(now) {
			calls, called = calls+1, now
		}
	}
	assert.Equal(t, 6*time.Second, time.Duration(close)*step, "in 30 s")
	assert.LessOrEqual(t, calls, 6*(20+4*5), "20 in each first second, 5 in each other")
}

// After a pause the next server that turns cold is news again.
func TestStoreIsWatchedCloselyAgainAfterAPause(t *testing.T) {
	var watch closeWatch
	start := time.Now()
	watch.turnedCold(start)
	watch.turnedCold(start.Add(coldNewsTime / 2))
	assert.Equal(t, watchPace, watch.pace(start.Add(coldNewsTime)), "it is not prolonged")
	watch.turnedCold(start.Add(coldNewsPeriod))
	assert.Equal(t, coldWatchPace, watch.pace(start.Add(coldNewsPeriod)))
}
