package sitetest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/emulator/site"
)

// startStreams sends streams until stop is called, which waits for the last one and returns how many
// were sent and how many were not answered completely.
func startStreams(f *Fleet, t *testing.T) (stop func() (sent, failed int)) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	var mutex sync.Mutex
	sent, failed := 0, 0
	for caller := range 6 {
		callers.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				answer, err := f.Stream(context.Background(), caller%2, caller/2%2, fmt.Sprintf("load-%d-%d", caller, number), 8)
				mutex.Lock()
				sent++
				if err != nil || answer.Status != 200 || !answer.Complete || len(answer.Events) != 8 {
					failed++
					t.Logf("stream %d-%d: %v %d %v", caller, number, err, answer.Status, answer.Events)
				}
				mutex.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() (int, int) {
		cancel()
		callers.Wait()
		return sent, failed
	}
}

func (f *Fleet) allServe(version uint64) bool {
	for _, server := range f.Site.Models {
		if server.Version() != version {
			return false
		}
	}
	return true
}

// WHOLE, VERSION: under load, a new version enters service everywhere in time with about one copy
// fetched from the origin. No stream is lost, starts too late on the old version, or runs on corrupt
// weights.
func TestNewVersionUnderLoad(t *testing.T) {
	f := Start(t, DefaultOptions())
	stop := startStreams(f, t)
	time.Sleep(300 * time.Millisecond)
	announcedAt := time.Now()
	f.Site.AnnounceVersion(2)
	timeLimit := time.Duration(f.Site.Options.VersionMs) * time.Millisecond
	f.Eventually("every server serves version 2", timeLimit, func() bool { return f.allServe(2) })
	time.Sleep(time.Until(announcedAt.Add(timeLimit + 300*time.Millisecond)))
	sent, failed := stop()
	assert.Greater(t, sent, 100)
	assert.Zero(t, failed)
	for _, run := range f.Site.Requests.Runs() {
		assert.False(t, run.Corrupt)
		if run.Service == site.ModelService && run.At.After(announcedAt.Add(timeLimit)) {
			assert.Equal(t, uint64(2), run.Version)
		}
	}
	assert.LessOrEqual(t, f.Site.Origin.Copies(), 1.3)
}

// A version that is replaced during its transfer is dropped, and the newest is served in time,
// counted from the first announcement.
func TestTwoVersionsInQuickSuccession(t *testing.T) {
	f := Start(t, DefaultOptions())
	f.Site.AnnounceVersion(2)
	time.Sleep(400 * time.Millisecond)
	f.Site.AnnounceVersion(3)
	f.Eventually("every server serves version 3", time.Duration(f.Site.Options.VersionMs)*time.Millisecond, func() bool { return f.allServe(3) })
}

// BUDGET: a version that is announced long after the previous one enters service without refusals:
// entries send no requests for the previous version to servers that have switched.
func TestLaterVersionCausesNoWrongVersionRefusals(t *testing.T) {
	f := Start(t, DefaultOptions())
	timeLimit := time.Duration(f.Site.Options.VersionMs) * time.Millisecond
	f.Site.AnnounceVersion(2)
	f.Eventually("every server serves version 2", timeLimit, func() bool { return f.allServe(2) })
	time.Sleep(timeLimit)
	stop := startStreams(f, t)
	f.Site.AnnounceVersion(3)
	f.Eventually("every server serves version 3", timeLimit, func() bool { return f.allServe(3) })
	_, failed := stop()
	assert.Zero(t, failed)
	turnedAway := countEvents(f, "PV4105", `"reason":"wrong-version"`)
	assert.LessOrEqual(t, turnedAway, 3, "requests that a server refused as wrong-version")
}

// WHOLE: pieces that become corrupt after they were staged are detected before the order.
func TestPiecesCorruptedAfterStagingAreFetchedAgain(t *testing.T) {
	f := Start(t, DefaultOptions())
	f.Site.AnnounceVersion(2)
	f.Eventually("pieces are staged", 3*time.Second, func() bool { return countEvents(f, "PV3005", `"version":2`) >= 4 })
	for _, server := range f.Site.Models {
		server.CorruptStaged(3)
		server.CorruptStaged(17)
	}
	f.Eventually("every server serves version 2", 6*time.Second, func() bool { return f.allServe(2) })
	_, err := f.Stream(context.Background(), 0, 0, "after", 3)
	assert.NoError(t, err)
	for _, run := range f.Site.Requests.Runs() {
		assert.False(t, run.Corrupt)
	}
}

// WHOLE: data from the origin is verified, and a manifest that does not match its own pieces is soon
// discarded.
func TestOriginServesCorruptPieces(t *testing.T) {
	f := Start(t, DefaultOptions())
	f.Site.Origin.CorruptPieces(5)
	f.Site.Origin.CorruptManifest()
	f.Site.AnnounceVersion(2)
	f.Eventually("every server serves version 2", 10*time.Second, func() bool { return f.allServe(2) })
	_, err := f.Stream(context.Background(), 0, 0, "after", 3)
	assert.NoError(t, err)
	for _, run := range f.Site.Requests.Runs() {
		assert.False(t, run.Corrupt)
	}
}

// A crashed server serves again from its local copy, without the origin; an empty one gets its pieces
// from its peers.
func TestRestartedAndEmptyServersRecover(t *testing.T) {
	f := Start(t, DefaultOptions())
	f.Eventually("pieces are verified", 3*time.Second, func() bool { return countEvents(f, "PV3005", "") >= 4 })
	before := f.Site.Origin.Copies()
	assert.NoError(t, f.Site.RestartModel(0, 0))
	f.Eventually("the restarted server serves", 3*time.Second, func() bool { return f.allServe(1) })
	_, err := f.Site.StartModel(1, 5, 0)
	assert.NoError(t, err)
	f.StartAgent(1, 5)
	f.Eventually("the new server serves", 4*time.Second, func() bool { return f.allServe(1) })
	assert.LessOrEqual(t, f.Site.Origin.Copies()-before, 0.05)
}

// RECOVER: after a power loss no server holds any pieces; they are fetched from the origin once more.
func TestAllServersStartEmpty(t *testing.T) {
	options := DefaultOptions()
	options.ModelServers = 0
	f := Start(t, options)
	f.Site.AnnounceVersion(4)
	for zone := range options.Zones {
		for index := range 3 {
			_, err := f.Site.StartModel(zone, index, 0)
			assert.NoError(t, err)
			f.StartAgent(zone, index)
		}
	}
	f.Eventually("every server serves version 4", 6*time.Second, func() bool { return f.allServe(4) })
	assert.LessOrEqual(t, f.Site.Origin.Copies(), 2.0)
}

// A server that has restarted on its old address receives requests only under its new ID, even while
// the list of servers still holds the old one.
func TestRestartedServerIsUsedUnderItsNewID(t *testing.T) {
	f := Start(t, DefaultOptions())
	f.Eventually("pieces are verified", 3*time.Second, func() bool { return countEvents(f, "PV3005", "") >= 4 })
	for zone := range f.Site.Options.Zones {
		for index := range f.Site.Options.ModelServers {
			assert.NoError(t, f.Site.RestartModelStillListed(zone, index))
		}
	}
	f.Eventually("the restarted servers serve", 3*time.Second, func() bool { return f.allServe(1) })
	time.Sleep(500 * time.Millisecond)
	for number := range 24 {
		answer, err := f.Stream(context.Background(), number%2, number/2%2, fmt.Sprintf("after-%d", number), 3)
		assert.NoError(t, err)
		assert.Equal(t, 200, answer.Status)
	}
	assert.LessOrEqual(t, countEvents(f, "PV4105", "wrong-version"), 0)
}
