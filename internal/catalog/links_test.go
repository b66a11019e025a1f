package catalog

import (
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
	"pinevane.example/pinevane/internal/silencer"
	"pinevane.example/pinevane/platform"
)

// newTestCatalog is the catalog of an entry that is not run.
func newTestCatalog() *Catalog {
	hub := peering.NewHub(peering.Hello{ID: "10.0.0.1", Role: RoleEntry, Zone: "z"}, logging.Nop(), peering.NewCounters(prometheus.NewRegistry()))
	return New(Options{Self: "10.0.0.1", Role: RoleEntry, Zone: "z", InternalPort: 1, Decoder: platform.Decoder{}, Hub: hub, Log: logging.Nop(), VersionApply: 8 * time.Second, Drain: 2 * time.Second})
}

// An entry that is new is told on every link soon, not only with the next list that is
// due anyway: entries that start together know each other within a few hops.
func TestNewEntriesAreToldSoon(t *testing.T) {
	c := newTestCatalog()
	now := time.Now()
	listed := &peerLink{listedAt: now.Add(-2 * newListPause)}
	assert.False(t, c.listDue(listed, now), "nothing is new")
	c.hearEntry("10.0.0.2", entrySign{Zone: "z"})
	assert.True(t, c.listDue(listed, now))
	assert.Len(t, c.kick, 1, "it is told at once")
	listed.listedArrivals = c.overlay.Joins()
	c.hearEntry("10.0.0.2", entrySign{Zone: "z"})
	assert.False(t, c.listDue(listed, now), "it is known")
	assert.False(t, c.listDue(&peerLink{listedAt: now}, now), "lists do not follow each other closely")
}

// A process that does not listen yet is dialled again soon, one that is away ever later.
func TestDialsAreRepeatedSoonAtFirst(t *testing.T) {
	assert.Equal(t, firstDialPause, pauseAfter(0))
	assert.Equal(t, 2*firstDialPause, pauseAfter(1))
	assert.Equal(t, dialPause, pauseAfter(3))
	assert.Equal(t, dialPause, pauseAfter(1000))
}

// A link that the other has made while this process dials does not have it dial twice.
func TestAcceptedLinkLeavesADialUnderWay(t *testing.T) {
	peer := &peerLink{ip: "10.0.0.2", dialling: true, nearTold: 7}
	peer.open(&peering.Link{}, true)
	assert.True(t, peer.dialling)
	assert.Zero(t, peer.nearTold, "the new link is told everything")
}

// A link that was made anew though it was only slow gets more time from then on, for a while
// and never more than until it counts as broken.
func TestSlowLinksGetMoreTime(t *testing.T) {
	now := time.Now()
	peer := &peerLink{}
	peer.open(&peering.Link{}, false)
	first := peer.patience
	assert.GreaterOrEqual(t, first, renewAfter)
	assert.Less(t, first, renewAfter+renewSpread)
	peer.doubt(now)
	assert.Equal(t, 2*first, peer.patience)
	peer.open(&peering.Link{}, false)
	assert.Equal(t, 2*first, peer.patience, "a new link to the same process is as slow")
	peer.doubt(now)
	peer.doubt(now)
	assert.Equal(t, linkSilence, peer.patience)
	peer.patientTill = now.Add(-time.Millisecond)
	peer.open(&peering.Link{}, false)
	assert.Less(t, peer.patience, renewAfter+renewSpread, "that is forgotten")
}

// The first entry of a zone that does not read the store asks for a configuration at once, and
// announces it to its zone at once.
func TestConfigurationsOfOtherZonesAreNotWaitedFor(t *testing.T) {
	c := newTestCatalog()
	before := c.freshSequence
	c.takeTold([]mirror.Record{{Key: "op/config", Value: []byte(`{"version":1}`), Revision: 4}}, nil)
	assert.Greater(t, c.freshSequence, before)
}

// linkOther links a process to another entry, and returns the hub of that and the link.
func linkOther(t *testing.T, c *Catalog) (*peering.Hub, *peering.Link) {
	t.Helper()
	hub := peering.NewHub(peering.Hello{ID: "10.0.0.2", Role: RoleEntry, Zone: "z"}, logging.Nop(), peering.NewCounters(prometheus.NewRegistry()))
	other := httptest.NewServer(hub)
	t.Cleanup(other.Close)
	t.Cleanup(hub.Close)
	made, err := c.options.Hub.Link(t.Context(), other.Listener.Addr().String())
	require.NoError(t, err)
	return hub, made
}

// Of two entries that have each made a link to the other, one may drop its own when it needs the
// other no more, or lose it. The one that the other has made is then used: the other listens on
// it, and takes answers to its probes for signs that all is well.
func TestALinkOfTheOtherReplacesTheOwnOne(t *testing.T) {
	c := newTestCatalog()
	own := httptest.NewServer(c.options.Hub)
	defer own.Close()
	defer c.options.Hub.Close()
	hub, made := linkOther(t, c)
	c.mutex.Lock()
	peer := c.peerLink("10.0.0.2")
	peer.open(made, false)
	c.mutex.Unlock()
	_, err := hub.Link(t.Context(), own.Listener.Addr().String())
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(c.options.Hub.Accepted()) == 1 }, time.Second, time.Millisecond)
	require.NoError(t, made.Close())
	c.keepLinks(t.Context())
	c.keepLinks(t.Context())
	c.mutex.Lock()
	defer c.mutex.Unlock()
	assert.Same(t, c.options.Hub.Accepted()[0], peer.link)
	assert.True(t, peer.accepted)
	assert.False(t, peer.dialling)
}

// Seen: read in a review. Cause: links were judged by when something was last read on them, before
// their readers had read what came while the process stood still.
//
// Seen: a process that was paused again and again dropped a link to another entry, which sent on a
// link of its own. Cause: nothing comes back on such a link but answers to probes, and the process
// had sent none since the first pause.
//
// Links outlast a pause of the process; one that answers no probe after it is broken.
func TestLinksOutlastAPauseOfTheProcess(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	_, made := linkOther(t, c)
	c.mutex.Lock()
	c.hearEntry("10.0.0.2", entrySign{Zone: "z"})
	c.peerLink("10.0.0.2").open(made, false)
	c.mutex.Unlock()
	held := func() *peering.Link {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.peerLink("10.0.0.2").link
	}
	c.keepLinks(t.Context())
	require.Same(t, made, held(), "the link is wanted")
	time.Sleep(linkSilence + 100*time.Millisecond) // no looks: the process stands still
	looks := func(span time.Duration) {
		for began := time.Now(); time.Since(began) < span && held() == made; time.Sleep(20 * time.Millisecond) {
			c.keepLinks(t.Context())
		}
	}
	looks(2 * resumeTime)
	require.Same(t, made, held(), "it answers a probe")
	count, err := silencer.Silence(silencer.Any)
	require.NoError(t, err)
	require.Positive(t, count)
	time.Sleep(linkSilence + 100*time.Millisecond)
	c.keepLinks(t.Context())
	assert.Same(t, made, held(), "right after the pause")
	looks(time.Second)
	assert.NotSame(t, made, held(), "it has answered no probe")
}

// A process that was short of time gives links as long again to answer a probe; one that had its
// time judges as before.
func TestLinksAreNotJudgedRightAfterAStall(t *testing.T) {
	const gap = 100 * time.Millisecond
	start := time.Now()
	var p pause
	p.look(start)
	p.look(start.Add(gap))
	assert.Equal(t, start, p.grantedSince(start), "looks are this late on any machine")
	resumed := start.Add(gap + stallLeast + time.Millisecond)
	p.look(resumed)
	assert.Equal(t, resumed, p.grantedSince(start))
	assert.Equal(t, resumed.Add(gap), p.grantedSince(resumed.Add(gap)), "a probe sent after it")
	assert.Negative(t, p.resuming(resumed), "links are made anew")
	paused := resumed.Add(pauseLeast + time.Millisecond)
	p.look(paused)
	assert.Equal(t, resumeTime, p.resuming(paused), "none is made anew")
}

// pendingHaste reports whether the statuses are to be passed on before the next statusPace.
func pendingHaste(c *Catalog) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.hastened
}

// Seen: after a silence of all connections an entry heard an agent again after 0.84 s, 0.3 s after
// its zone's first gate had. Cause: the gate had the word from another entry, whose link to the
// agent worked again before its own, and left it to the next pace of other zones.
//
// A word that ends a silence is passed on at once, whether it has come from the agent or by
// another entry.
func TestWordsThatEndASilenceArePassedOnSoon(t *testing.T) {
	now := time.Now()
	for _, one := range []struct {
		name  string
		word  heldStatus
		pause time.Duration
		soon  bool
	}{
		{"of the agent, after a silence", heldStatus{zone: "z", direct: true}, backupPause + time.Millisecond, true},
		{"by another entry, after a silence", heldStatus{zone: "z", passedAt: now}, backupPause + time.Millisecond, true},
		{"by another entry, as usual", heldStatus{zone: "z", passedAt: now}, backupPause - time.Millisecond, false},
		{"of another zone, after a silence", heldStatus{zone: "y"}, farPause + time.Millisecond, true},
		{"of another zone, as usual", heldStatus{zone: "y"}, farPause - time.Millisecond, false},
		{"of another zone, which says that it ends a silence", heldStatus{zone: "y", back: true}, farPause - time.Millisecond, true},
	} {
		c := newTestCatalog()
		peer := c.peerLink("10.0.0.2")
		peer.farToldAt = now
		status := fleet.MachineStatus{Address: "10.1.0.1:80"}
		c.statuses[status.Address] = heldStatus{status: status, zone: one.word.zone, at: now.Add(-one.pause)}
		one.word.status, one.word.at = status, now
		c.takeStatus(one.word)
		assert.Equal(t, one.soon, pendingHaste(c), one.name)
		assert.Equal(t, one.soon, peer.farToldAt.IsZero(), one.name)
		assert.Equal(t, one.soon, c.statuses[status.Address].back, one.name)
	}
}

// A link that is made anew is told everything soon, not with the next statusPace.
func TestANewLinkIsToldSoon(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	_, made := linkOther(t, c)
	c.mutex.Lock()
	c.open(c.peerLink("10.0.0.2"), made, false)
	c.mutex.Unlock()
	assert.True(t, pendingHaste(c))
	select {
	case <-c.haste:
	case <-time.After(statusPace):
		assert.Fail(t, "later than the next statusPace")
	}
	c.passHastened()
	assert.False(t, pendingHaste(c))
}

// tellsOtherZone links a catalog to an entry of another zone and runs its exchange, and returns the count
// of frames of words that the other entry receives.
func tellsOtherZone(t *testing.T, c *Catalog) *atomic.Int64 {
	hub := peering.NewHub(peering.Hello{ID: "10.0.0.2", Role: RoleEntry, Zone: "y"}, logging.Nop(), peering.NewCounters(prometheus.NewRegistry()))
	t.Cleanup(hub.Close)
	var frames atomic.Int64
	hub.Handle(topicStatuses, func(*peering.Link, *message.Message) { frames.Add(1) })
	other := httptest.NewServer(hub)
	t.Cleanup(other.Close)
	made, err := c.options.Hub.Link(t.Context(), other.Listener.Addr().String())
	require.NoError(t, err)
	c.mutex.Lock()
	c.peerLink("10.0.0.2").open(made, false)
	c.mutex.Unlock()
	c.hearEntry("10.0.0.2", entrySign{Zone: "y"})
	go c.exchange(t.Context())
	return &frames
}

// Agents whose words come 0.45 s apart, spread, do not have another zone told all the time: only the
// first word after a silence is hastened.
func TestLateWordsKeepThePaceOfOtherZones(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	frames := tellsOtherZone(t, c)
	const turns, agents = 5, 45
	var began time.Time
	for turn := range turns {
		if turn == 1 {
			frames.Store(0)
			began = time.Now()
		}
		for agent := range agents {
			c.takeStatus(heldStatus{zone: "z", direct: true, at: time.Now(), status: fleet.MachineStatus{Address: fmt.Sprintf("10.1.0.%d:80", agent)}})
			time.Sleep(10 * time.Millisecond)
		}
	}
	most := int64(time.Since(began)/(farStatusPace-statusPace/4)) + 2
	t.Log("frames:", frames.Load(), "of at most", most)
	assert.LessOrEqual(t, frames.Load(), most)
}

// Words that each end a silence, one after the other, have another zone told at farHastePace.
func TestHastenedWordsToOtherZonesHaveAPace(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	frames := tellsOtherZone(t, c)
	began := time.Now()
	for agent := range 100 {
		c.takeStatus(heldStatus{zone: "z", direct: true, at: time.Now(), status: fleet.MachineStatus{Address: fmt.Sprintf("10.1.0.%d:80", agent)}})
		time.Sleep(10 * time.Millisecond)
	}
	most := int64(time.Since(began)/farHastePace) + 2
	t.Log("frames:", frames.Load(), "of at most", most)
	assert.LessOrEqual(t, frames.Load(), most)
}

// A link that is made anew again and again has nobody else told more often.
func TestANewLinkAloneIsToldSoon(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	_, made := linkOther(t, c)
	hub := peering.NewHub(peering.Hello{ID: "10.0.0.3", Role: RoleEntry, Zone: "z"}, logging.Nop(), peering.NewCounters(prometheus.NewRegistry()))
	defer hub.Close()
	var frames atomic.Int64
	hub.Handle(topicStatuses, func(*peering.Link, *message.Message) { frames.Add(1) })
	other := httptest.NewServer(hub)
	defer other.Close()
	third, err := c.options.Hub.Link(t.Context(), other.Listener.Addr().String())
	require.NoError(t, err)
	c.mutex.Lock()
	c.peerLink("10.0.0.2").open(made, false)
	c.peerLink("10.0.0.3").open(third, false)
	c.mutex.Unlock()
	c.hearEntry("10.0.0.2", entrySign{Zone: "z"})
	c.hearEntry("10.0.0.3", entrySign{Zone: "z"})
	go c.exchange(t.Context())
	var began time.Time
	for turn := range 100 {
		c.takeStatus(heldStatus{zone: "z", direct: true, at: time.Now(), status: fleet.MachineStatus{Address: fmt.Sprintf("10.1.0.%d:80", turn%10)}})
		time.Sleep(10 * time.Millisecond)
		if turn == 20 {
			frames.Store(0)
			began = time.Now()
		}
		if turn > 20 {
			c.mutex.Lock()
			c.open(c.links["10.0.0.2"], made, false)
			c.mutex.Unlock()
		}
	}
	most := int64(time.Since(began)/statusPace) + 2
	t.Log("frames:", frames.Load(), "of at most", most)
	assert.LessOrEqual(t, frames.Load(), most)
}

// Links are looked at again when one is to be probed or renewed: left to a pace, a renewal came up
// to that much later, and the words that wait for it.
func TestLinksAreLookedAtWhenOneIsDue(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	_, made := linkOther(t, c)
	peer := c.peerLink("10.0.0.2")
	peer.open(made, false)
	heard := made.LastHeard()
	assert.Equal(t, 20*time.Millisecond, c.checkLink(t.Context(), peer, heard.Add(probeAfter-20*time.Millisecond)), "a probe is due then")
	probed := heard.Add(probeAfter + time.Millisecond)
	assert.Equal(t, peer.patience-probeAfter-time.Millisecond, c.checkLink(t.Context(), peer, probed), "a renewal is due then")
	assert.Equal(t, probed, peer.probedAt)
	peer.probedAt = heard.Add(peer.patience)
	assert.Equal(t, probeGrace, c.checkLink(t.Context(), peer, heard.Add(peer.patience)), "the probe may still be answered")
	peer.accepted = true
	assert.Equal(t, linkLook, c.checkLink(t.Context(), peer, heard.Add(peer.patience)), "the other renews it")
}

// The pace of other zones is a multiple of statusPace: a timer that is a little early does not
// make it one longer.
func TestOtherZonesAreToldAtTheirPace(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	_, made := linkOther(t, c)
	peer := c.peerLink("10.0.0.2")
	peer.open(made, false)
	c.statusSequence = 1
	now := time.Now()
	peer.farToldAt = now.Add(-farStatusPace + time.Millisecond)
	key, due := c.nextBatch(peer, true, now)
	assert.True(t, due)
	assert.True(t, key.far)
}

func serverRecord(index int, revision uint64) mirror.Record {
	value := fmt.Sprintf(`{"service":"m","address":"10.1.%d.%d:80","zone":"z","slots":8,"state":"ready","models":[{"name":"m","version":%d}]}`, index/250, index%250, revision)
	return mirror.Record{Key: fmt.Sprintf("servers/s%04d", index), Value: []byte(value), Revision: revision}
}

// What an entry has read from the store is passed on at once, what it was told with the
// next update; a server whose line says nothing new is not passed on at all.
func TestOwnNewsAreUrgent(t *testing.T) {
	c := newTestCatalog()
	c.takeTold([]mirror.Record{serverRecord(1, 1)}, nil)
	assert.Zero(t, c.urgent)
	c.takeWatched([]mirror.Record{serverRecord(2, 2)})
	assert.Equal(t, c.changes.Sequence(), c.urgent)
	same := serverRecord(2, 2)
	same.Revision = 3
	before := c.changes.Sequence()
	c.takeWatched([]mirror.Record{same})
	assert.Equal(t, before, c.changes.Sequence())
	c.takeTold([]mirror.Record{{Key: "op/version/m", Value: []byte(`{"model":"m","version":2}`), Revision: 4}}, nil)
	assert.Equal(t, c.changes.Sequence(), c.urgent, "the naming of weights is passed on at once by everyone")
}

// Peers that hold the same tell each other nothing; one that differs is told all, once.
func TestRecordsAreSentWhereTheyDiffer(t *testing.T) {
	c := newTestCatalog()
	c.takeWatched([]mirror.Record{serverRecord(1, 1), serverRecord(2, 2)})
	peer := c.peerLink("10.0.0.2")
	assert.Empty(t, c.compose(peer).Records, "nothing is sent before records were compared")
	c.compare("10.0.0.2", update{Digest: c.changes.Digest()})
	assert.Empty(t, c.compose(peer).Records, "it holds the same")
	c.takeWatched([]mirror.Record{serverRecord(3, 3)})
	assert.Len(t, c.compose(peer).Records, 1, "it lacks one")

	other := c.peerLink("10.0.0.3")
	c.compare("10.0.0.3", update{})
	assert.Len(t, c.compose(other).Records, 3, "it holds nothing")
}

// The backup of an agent's main feeder passes its words on when nobody else does.
func TestBackupPassesOnWhatTheMainFeederDoesNot(t *testing.T) {
	c := newTestCatalog()
	for index := 2; index <= 3; index++ {
		c.hearEntry(fmt.Sprintf("10.0.0.%d", index), entrySign{Zone: "z"})
	}
	now := time.Now()
	c.overlay.Advance(now)
	// One agent of each kind: the main feeder, the backup, and neither is this entry.
	held := map[string]heldStatus{}
	for index := range 200 {
		agent := fmt.Sprintf("10.1.0.%d", index)
		feeds, main := c.overlay.Feeds(agent, "z")
		held[fmt.Sprint(feeds, main)] = heldStatus{status: fleet.MachineStatus{Address: net.JoinHostPort(agent, "80")}, zone: "z", at: now, direct: true, passedAt: now}
	}
	later := now.Add(backupPause + time.Millisecond)
	assert.True(t, c.passesOn(held["true true"], now))
	assert.False(t, c.passesOn(held["true false"], now))
	assert.True(t, c.passesOn(held["true false"], later))
	assert.False(t, c.passesOn(held["false false"], later))
}

// The cost of one server's record must not grow with the number of servers, but for
// the list of them.
func BenchmarkTakeServer(b *testing.B) {
	for _, servers := range []int{40, 200, 1000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			c := newTestCatalog()
			revision := uint64(0)
			for index := range servers {
				revision++
				c.takeWatched([]mirror.Record{serverRecord(index, revision)})
			}
			records := make([]mirror.Record, b.N)
			for index := range records {
				revision++
				records[index] = serverRecord(index%servers, revision)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for _, record := range records {
				c.takeWatched([]mirror.Record{record})
			}
		})
	}
}

// The cost of passing on the word of one agent must not grow with the fleet.
func BenchmarkPassStatuses(b *testing.B) {
	for _, entries := range []int{30, 150, 400} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			c := newTestCatalog()
			for index := range entries {
				c.hearEntry(fmt.Sprintf("10.2.%d.%d", index/250, index%250), entrySign{Zone: fmt.Sprintf("z%d", index%5)})
			}
			now := time.Now()
			c.overlay.Advance(now)
			word := heldStatus{status: fleet.MachineStatus{Address: "10.1.0.1:80", Model: "m", Reachable: true}, zone: "z", direct: true}
			b.ReportAllocs()
			for b.Loop() {
				word.at = word.at.Add(time.Second)
				c.takeStatus(word)
				c.encodeBatch(batchKey{near: true, nearAfter: c.statusSequence - 1}, now)
			}
		})
	}
}
