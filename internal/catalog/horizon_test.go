package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
	"pinevane.example/pinevane/platform"
)

// An answer shows the store as it was when the call was sent; that of a watch that ended without a
// change, as it was when its wait ended.
func TestStoreCallCompleteUntil(t *testing.T) {
	sentAt := time.Unix(1000, 0)
	const wait = 500 * time.Millisecond
	for _, one := range []struct {
		name string
		call storeCall
		want time.Duration
	}{
		{"a listing", storeCall{sentAt: sentAt, receivedAt: sentAt.Add(2 * time.Second), changes: 300}, 0},
		{"an empty listing", storeCall{sentAt: sentAt, receivedAt: sentAt.Add(2 * time.Second)}, 0},
		{"a watch without changes", storeCall{sentAt: sentAt, receivedAt: sentAt.Add(wait + 3*time.Millisecond), wait: wait}, wait},
		{"a watch without changes, answered late", storeCall{sentAt: sentAt, receivedAt: sentAt.Add(4 * wait), wait: wait}, wait},
		{"a watch without changes that ended early", storeCall{sentAt: sentAt, receivedAt: sentAt.Add(wait / 2), wait: wait}, 0},
		{"a watch with a change at once", storeCall{sentAt: sentAt, receivedAt: sentAt.Add(time.Millisecond), wait: wait, changes: 1}, 0},
		{"a watch with a change, answered late", storeCall{sentAt: sentAt, receivedAt: sentAt.Add(2 * wait), wait: wait, changes: 1}, 0},
	} {
		assert.Equal(t, one.want, one.call.completeUntil().Sub(sentAt), one.name)
	}
}

// The watermark only advances, except for a margin, and bounds nothing until it is known.
func TestWatermark(t *testing.T) {
	now := time.Unix(1000, 0)
	var known watermark
	_, bounded := known.minus(time.Second).maxAge(now)
	assert.False(t, bounded)
	known.advance(now)
	known.advance(now.Add(-time.Second))
	longest, bounded := known.maxAge(now.Add(300 * time.Millisecond))
	assert.True(t, bounded)
	assert.Equal(t, 300*time.Millisecond, longest)
	longest, _ = known.maxAge(now.Add(-time.Millisecond))
	assert.Zero(t, longest, "no age is below zero")
	longest, _ = known.minus(time.Second).maxAge(now)
	assert.Equal(t, time.Second, longest)
}

// The tighter of two bounds counts; an age sent with unknown transit time bounds nothing.
func TestAgeOfReceived(t *testing.T) {
	now := time.Unix(1000, 0)
	complete := watermark{at: now.Add(-2 * time.Second)}
	for _, one := range []struct {
		name     string
		reported peerAge
		known    watermark
		want     time.Duration
		bounded  bool
	}{
		{"the age sent is tighter", peerAge{age: time.Second, flight: 100 * time.Millisecond, flightKnown: true}, complete, 1100 * time.Millisecond, true},
		{"the watermark is tighter", peerAge{age: time.Second, flight: 3 * time.Second, flightKnown: true}, complete, 2 * time.Second, true},
		{"the transit time is unknown", peerAge{age: time.Second}, complete, 2 * time.Second, true},
		{"the age sent exceeds the watermark", peerAge{age: 5 * time.Second}, complete, 5 * time.Second, true},
		{"the process has just started", peerAge{age: time.Second, flight: 100 * time.Millisecond, flightKnown: true}, watermark{}, 1100 * time.Millisecond, true},
		{"the process has just started and the transit time is unknown", peerAge{age: time.Second}, watermark{}, time.Second, false},
	} {
		one.reported.received = now
		age, bounded := ageOfReceived(one.reported, one.known, now)
		assert.Equal(t, one.want, age, one.name)
		assert.Equal(t, one.bounded, bounded, one.name)
	}
}

// The tighter of two bounds of an age counts, and any bound is better than an estimate. The age of
// another revision changes nothing.
func TestAgesAreTightened(t *testing.T) {
	c := newTestCatalog()
	sinceOf := func() time.Duration {
		newest, known := c.View().Newest("m")
		require.True(t, known)
		return time.Since(newest.Since).Round(time.Second)
	}
	c.applyReceived([]mirror.Record{{Key: "op/version/m", Value: []byte(`{"model":"m","version":2}`), Revision: 4}}, nil)
	assert.Equal(t, 4*time.Second, sinceOf(), "assumed")
	assert.Empty(t, c.announcements(time.Now()), "an estimate is not sent")
	c.applyAnnouncements([]announcementMessage{{Model: "m", Version: 2, Revision: 3, AgeMilliseconds: 1000}}, 0, time.Now())
	assert.Equal(t, 4*time.Second, sinceOf(), "another revision")
	c.applyAnnouncements([]announcementMessage{{Model: "m", Version: 2, Revision: 4, AgeMilliseconds: 5000}}, time.Second, time.Now())
	assert.Equal(t, 6*time.Second, sinceOf(), "a bound instead of an estimate")
	c.applyAnnouncements([]announcementMessage{{Model: "m", Version: 2, Revision: 4, AgeMilliseconds: 7000}}, 0, time.Now())
	assert.Equal(t, 6*time.Second, sinceOf(), "a wider bound")
	c.applyAnnouncements([]announcementMessage{{Model: "m", Version: 2, Revision: 4, AgeMilliseconds: 1000}}, time.Second, time.Now())
	assert.Equal(t, 2*time.Second, sinceOf(), "a tighter bound")
	announcements := c.announcements(time.Now())
	require.Len(t, announcements, 1)
	assert.Equal(t, announcementMessage{Model: "m", Version: 2, Revision: 4, AgeMilliseconds: announcements[0].AgeMilliseconds}, announcements[0])
	assert.InDelta(t, 2000, announcements[0].AgeMilliseconds, 100)
}

// The measured transit time of a message is never shorter than the true one, and longer only by the
// transit time of the echoed stamp and the rounding to milliseconds.
func TestFlightIsNeverUnderestimated(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		between := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
		started := time.Unix(1000, 0)
		var peer peerStamps
		now := started
		for range 50 {
			stamped := now.Add(between(400 * time.Millisecond))
			stampDelay := between(2 * time.Second)
			peer.record(stampAt(started, stamped), stamped.Add(stampDelay))
			sent := stamped.Add(stampDelay + between(time.Second))
			// Messages on a link do not overtake each other.
			now = sent
			echo, held := peer.echo(sent)
			flight := between(2 * time.Second)
			found, known := maxFlight(started, echo, held, sent.Add(flight))
			require.True(t, known)
			require.GreaterOrEqual(t, found, flight, "seed %d", seed)
			require.LessOrEqual(t, found, flight+stampDelay+2*time.Millisecond, "seed %d", seed)
		}
	}
	_, known := maxFlight(time.Unix(1000, 0), 0, 0, time.Unix(1001, 0))
	assert.False(t, known, "no stamp was echoed")
}

// The echo of a stamp that a former incarnation of the process gave does not measure a transit
// time, even if that incarnation ran for longer. Guards against stamps that count from the start of
// the process, so that a stamp of a former incarnation looks like one of the present.
func TestEchoOfFormerIncarnationIsIgnored(t *testing.T) {
	former := time.Unix(1000, 0)
	started := former.Add(10 * time.Second)
	for _, stamped := range []time.Duration{time.Millisecond, 4900 * time.Millisecond, 9 * time.Second, 9999 * time.Millisecond} {
		echo := stampAt(former, former.Add(stamped))
		for _, now := range []time.Duration{0, 5 * time.Second, 20 * time.Second} {
			_, known := maxFlight(started, echo, 0, started.Add(now))
			assert.False(t, known, "stamped after %s of the former incarnation, echoed after %s of this one", stamped, now)
		}
	}
	_, known := maxFlight(started, stampAt(started, started.Add(time.Second)), 0, started)
	assert.False(t, known, "a stamp that has not been given yet")
}

// faultyStore is a store whose calls fail, time out, are slow in either direction, end early or
// return changes again.
type faultyStore struct {
	mutex  sync.Mutex
	random *rand.Rand
	// healthyRatio is the ratio of calls without a fault.
	healthyRatio float64
	announcedAt  []time.Time
	records      []mirror.Record
	// answerDelay is the maximum transit time of an answer that decides the age of an announcement:
	// the one that returned it, or the empty one before, emptyDelay.
	answerDelay map[uint64]time.Duration
	emptyDelay  time.Duration
	changed     chan struct{}
}

// Delays of the store: of a call that times out, and of a call or an answer without a fault.
const (
	storeTimeout = 1200 * time.Millisecond
	healthyDelay = 2 * time.Millisecond
)

func (s *faultyStore) announceVersion() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	version := uint64(len(s.announcedAt)) + 1
	value, _ := json.Marshal(map[string]any{"model": "m", "version": version})
	s.announcedAt = append(s.announcedAt, time.Now())
	s.records = append(s.records, mirror.Record{Key: "op/version/m", Value: value, Revision: 10 * version})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultyStore) changesAfter(revision uint64) []mirror.Record {
	if s.random.Float64() > s.healthyRatio && revision > 10 {
		// A change that was returned before is returned again.
		revision -= 10
	}
	for index, one := range s.records {
		if one.Revision > revision {
			return append([]mirror.Record(nil), s.records[index:]...)
		}
	}
	return nil
}

// drawFault draws the fault of a call: the transit times of the call and its answer, and whether it
// fails after the first of them.
func (s *faultyStore) drawFault() (callDelay, answerDelay time.Duration, failure error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.random.Float64() <= s.healthyRatio {
		return healthyDelay, healthyDelay, nil
	}
	slow := time.Duration(s.random.Int64N(int64(time.Second)))
	switch s.random.IntN(4) {
	case 0:
		return slow, 0, errors.New("reset")
	case 1:
		return storeTimeout, 0, errors.New("silent")
	case 2:
		return slow, healthyDelay, nil
	}
	return healthyDelay, slow, nil
}

// call makes one call. look is what the store does once the call has arrived, and is called with
// the mutex held.
func (s *faultyStore) call(look func() fleet.Listing) (fleet.Listing, error) {
	callDelay, answerDelay, failure := s.drawFault()
	time.Sleep(callDelay)
	if failure != nil {
		return fleet.Listing{}, failure
	}
	s.mutex.Lock()
	answer := look()
	for _, record := range answer.Records {
		s.answerDelay[record.Revision] = max(s.answerDelay[record.Revision], answerDelay, s.emptyDelay)
	}
	if len(answer.Records) == 0 {
		s.emptyDelay = answerDelay
	}
	s.mutex.Unlock()
	time.Sleep(answerDelay)
	return answer, nil
}

func (s *faultyStore) head() uint64 { return 10*uint64(len(s.records)) + 5 }

func (s *faultyStore) List(context.Context, string) (fleet.Listing, error) {
	return s.call(func() fleet.Listing {
		return fleet.Listing{Records: append([]mirror.Record(nil), s.records[len(s.records)-1:]...), Revision: s.head()}
	})
}

func (s *faultyStore) Watch(_ context.Context, _ string, after uint64, wait time.Duration) (fleet.Listing, error) {
	return s.call(func() fleet.Listing {
		if s.random.Float64() > s.healthyRatio {
			wait = time.Duration(s.random.Int64N(int64(wait)))
		}
		over := time.After(wait)
		for {
			if changes := s.changesAfter(after); len(changes) > 0 {
				return fleet.Listing{Records: changes, Revision: s.head()}
			}
			changed := s.changed
			s.mutex.Unlock()
			ended := false
			select {
			case <-changed:
			case <-over:
				ended = true
			}
			s.mutex.Lock()
			if ended {
				return fleet.Listing{Revision: s.head()}
			}
		}
	})
}

// estimateErrors runs a catalog on a store and announces versions. It returns by how much the
// announcements were dated too late at most, less the transit time of the answer, and by how much
// too early at most and on average.
func estimateErrors(t *testing.T, seed uint64, healthyRatio float64) (latest, earliest, meanEarly time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 2))
		store := &faultyStore{random: random, healthyRatio: healthyRatio, answerDelay: map[uint64]time.Duration{}, changed: make(chan struct{})}
		store.announceVersion()
		hub := peering.NewHub(peering.Hello{ID: "10.0.0.1", Role: RoleEntry, Zone: "z"}, logging.Nop(), peering.NewCounters(prometheus.NewRegistry()))
		c := New(Options{Self: "10.0.0.1", Role: RoleEntry, Zone: "z", InternalPort: 1, Decoder: platform.Decoder{}, Hub: hub, Log: logging.Nop(), Store: store, VersionApply: 8 * time.Second, Drain: 2 * time.Second})
		var mutex sync.Mutex
		believed := map[uint64]time.Time{}
		c.OnChange(func(view *View) {
			mutex.Lock()
			defer mutex.Unlock()
			if newest, known := view.Newest("m"); known && believed[newest.Version].IsZero() {
				believed[newest.Version] = newest.Since
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.followStore(ctx)
		}()
		for range 12 {
			store.mutex.Lock()
			pause := 3*time.Second + time.Duration(random.Int64N(int64(6*time.Second)))
			store.mutex.Unlock()
			time.Sleep(pause)
			store.announceVersion()
		}
		time.Sleep(20 * time.Second)
		cancel()
		<-done
		count := 0
		for index, named := range store.announcedAt {
			version := uint64(index) + 1
			since, known := believed[version]
			if index == 0 || !known {
				continue
			}
			latest = max(latest, since.Sub(named)-store.answerDelay[10*version])
			earliest = max(earliest, named.Sub(since))
			meanEarly += named.Sub(since)
			count++
		}
		require.Positive(t, count)
		meanEarly /= time.Duration(count)
	})
	return latest, earliest, meanEarly
}

// Whichever calls to the store fail, time out, are slow, end early or repeat changes: no
// announcement is dated later than it was by more than the transit time of its answer.
func TestVersionAgeIsNeverUnderestimated(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			latest, _, _ := estimateErrors(t, seed, 0.3+0.1*float64(seed%7))
			assert.LessOrEqual(t, latest, time.Duration(0))
		})
	}
}

// With a healthy store, an announcement is dated too early by one watch at most.
func TestVersionAgeIsTightWithHealthyStore(t *testing.T) {
	var sum time.Duration
	const seeds = 20
	for seed := range uint64(seeds) {
		latest, earliest, mean := estimateErrors(t, seed, 1)
		assert.LessOrEqual(t, latest, time.Duration(0))
		assert.LessOrEqual(t, earliest, watchWait+4*healthyDelay)
		sum += mean
	}
	t.Logf("dated too early by %s on average", sum/seeds)
}

func versionRecord(version, revision uint64) mirror.Record {
	return mirror.Record{Key: "op/version/m", Value: fmt.Appendf(nil, `{"model":"m","version":%d}`, version), Revision: revision}
}

// Version 2 was announced 6 s ago, version 3 half a second ago. A process that missed version 2,
// because it started later or was out of touch during both announcements, learns of it from a peer
// that knows both: version 1 is outdated since version 2.
func TestMissedVersionsAreLearnedFromPeers(t *testing.T) {
	peer := newTestCatalog()
	now := time.Now()
	peer.watermark.advance(now.Add(-6 * time.Second))
	peer.applyWatched([]mirror.Record{versionRecord(2, 4)})
	peer.watermark.advance(now.Add(-500 * time.Millisecond))
	peer.applyWatched([]mirror.Record{versionRecord(3, 5)})
	peer.mutex.Lock()
	peerUpdate := peer.composeUpdate(&peerLink{compared: true})
	peer.mutex.Unlock()
	for _, missed := range []string{"started later", "out of touch during both"} {
		t.Run(missed, func(t *testing.T) {
			c := newTestCatalog()
			if missed == "out of touch during both" {
				c.watermark.advance(now.Add(-6100 * time.Millisecond))
				c.applyWatched([]mirror.Record{versionRecord(1, 3)})
			}
			receiveUpdate(t, c, peerUpdate)
			first, known := c.View().FirstAfter("m", 1)
			require.True(t, known)
			assert.Equal(t, uint64(2), first.Version)
			assert.GreaterOrEqual(t, time.Since(first.Since), 6*time.Second)
		})
	}
}

// A message that is processed late, because earlier ones took their time, makes no version younger.
func TestDelayedUpdatesKeepVersionAge(t *testing.T) {
	c := newTestCatalog()
	c.OnChange(func(*View) { time.Sleep(400 * time.Millisecond) })
	sentAt := receiveUpdate(t, c, update{
		Records: []mirror.Record{versionRecord(2, 4)}, AgesMilliseconds: map[string]int64{"op/version/m": 3000},
		Announcements: []announcementMessage{{Model: "m", Version: 2, Revision: 4, AgeMilliseconds: 3000}}, Stamp: 1,
	})
	announcement, _ := c.View().Newest("m")
	named := sentAt.Add(-3 * time.Second)
	assert.LessOrEqual(t, announcement.Since.Sub(named), 5*time.Millisecond)
}

// The oldest announcement ends the time of the versions before it: it is kept until a newer one is
// in force.
func TestAnnouncementsAreKeptWhileBinding(t *testing.T) {
	const apply = 8 * time.Second
	now := time.Unix(1000, 0)
	var announcements []VersionAnnouncement
	for version := uint64(2); version < 12; version++ {
		announcements = append(announcements, VersionAnnouncement{Version: version, Since: now.Add(time.Duration(version) * time.Second)})
	}
	kept := pruneAnnouncements(announcements, apply, now.Add(11*time.Second))
	assert.Equal(t, uint64(2), kept[0].Version, "version 3 is not in force yet")
	kept = pruneAnnouncements(announcements, apply, now.Add(13500*time.Millisecond))
	assert.Equal(t, uint64(5), kept[0].Version, "version 5 is in force, 6 is not")
}
