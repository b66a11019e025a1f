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

// newTestCatalog returns the catalog of an entry that does not run.
func newTestCatalog() *Catalog {
	hub := peering.NewHub(peering.Hello{ID: "10.0.0.1", Role: RoleEntry, Zone: "z"}, logging.Nop(), peering.NewCounters(prometheus.NewRegistry()))
	return New(Options{Self: "10.0.0.1", Role: RoleEntry, Zone: "z", InternalPort: 1, Decoder: platform.Decoder{}, Hub: hub, Log: logging.Nop(), VersionApply: 8 * time.Second, Drain: 2 * time.Second})
}

// A new entry is announced on every link soon, not only with the next periodic list: entries that
// start together know each other within a few hops.
func TestNewEntriesAreAnnouncedSoon(t *testing.T) {
	c := newTestCatalog()
	now := time.Now()
	listed := &peerLink{listedAt: now.Add(-2 * minListInterval)}
	assert.False(t, c.listDue(listed, now), "nothing is new")
	c.recordEntry("10.0.0.2", entryHeartbeat{Zone: "z"})
	assert.True(t, c.listDue(listed, now))
	assert.Len(t, c.wake, 1, "it is announced at once")
	listed.listedArrivals = c.overlay.Joins()
	c.recordEntry("10.0.0.2", entryHeartbeat{Zone: "z"})
	assert.False(t, c.listDue(listed, now), "it is known")
	assert.False(t, c.listDue(&peerLink{listedAt: now}, now), "lists have a minimum interval")
}

// A process that does not listen yet is dialled again soon, one that is away after longer delays.
func TestDialBackoff(t *testing.T) {
	assert.Equal(t, minDialBackoff, dialBackoff(0))
	assert.Equal(t, 2*minDialBackoff, dialBackoff(1))
	assert.Equal(t, maxDialBackoff, dialBackoff(3))
	assert.Equal(t, maxDialBackoff, dialBackoff(1000))
}

// A link that the peer makes while this process dials does not make it dial twice.
func TestAcceptedLinkKeepsOngoingDial(t *testing.T) {
	peer := &peerLink{ip: "10.0.0.2", dialling: true, localSent: 7}
	peer.open(&peering.Link{}, true)
	assert.True(t, peer.dialling)
	assert.Zero(t, peer.localSent, "the new link is sent everything")
}

// A link that was renewed although it was only slow gets more time from then on, for a while and
// never more than until it counts as broken.
func TestSlowLinkGetsLongerRenewDelay(t *testing.T) {
	now := time.Now()
	peer := &peerLink{}
	peer.open(&peering.Link{}, false)
	first := peer.renewDelay
	assert.GreaterOrEqual(t, first, renewAfter)
	assert.Less(t, first, renewAfter+renewJitter)
	peer.extendRenewDelay(now)
	assert.Equal(t, 2*first, peer.renewDelay)
	peer.open(&peering.Link{}, false)
	assert.Equal(t, 2*first, peer.renewDelay, "a new link to the same process is as slow")
	peer.extendRenewDelay(now)
	peer.extendRenewDelay(now)
	assert.Equal(t, linkTimeout, peer.renewDelay)
	peer.renewDelayUntil = now.Add(-time.Millisecond)
	peer.open(&peering.Link{}, false)
	assert.Less(t, peer.renewDelay, renewAfter+renewJitter, "the longer delay has expired")
}

// The first entry of a zone that does not read the store announces a configuration received from a
// peer to its zone at once.
func TestConfigurationFromPeerIsAnnouncedAtOnce(t *testing.T) {
	c := newTestCatalog()
	before := c.freshSequence
	c.applyReceived([]mirror.Record{{Key: "op/config", Value: []byte(`{"version":1}`), Revision: 4}}, nil)
	assert.Greater(t, c.freshSequence, before)
}

// linkToEntry links a process to another entry, and returns the other entry's hub and the link.
func linkToEntry(t *testing.T, c *Catalog) (*peering.Hub, *peering.Link) {
	t.Helper()
	hub := peering.NewHub(peering.Hello{ID: "10.0.0.2", Role: RoleEntry, Zone: "z"}, logging.Nop(), peering.NewCounters(prometheus.NewRegistry()))
	other := httptest.NewServer(hub)
	t.Cleanup(other.Close)
	t.Cleanup(hub.Close)
	link, err := c.options.Hub.Link(t.Context(), other.Listener.Addr().String())
	require.NoError(t, err)
	return hub, link
}

// When two entries have each made a link to the other, one of them may close its own, because it no
// longer needs the other, or lose it. It then uses the link that the other made: the other listens
// on it, and takes answers to its probes as evidence that it works.
func TestAcceptedLinkReplacesLostLink(t *testing.T) {
	c := newTestCatalog()
	own := httptest.NewServer(c.options.Hub)
	defer own.Close()
	defer c.options.Hub.Close()
	hub, link := linkToEntry(t, c)
	c.mutex.Lock()
	peer := c.peerLink("10.0.0.2")
	peer.open(link, false)
	c.mutex.Unlock()
	_, err := hub.Link(t.Context(), own.Listener.Addr().String())
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(c.options.Hub.Accepted()) == 1 }, time.Second, time.Millisecond)
	require.NoError(t, link.Close())
	c.maintainLinks(t.Context())
	c.maintainLinks(t.Context())
	c.mutex.Lock()
	defer c.mutex.Unlock()
	assert.Same(t, c.options.Hub.Accepted()[0], peer.link)
	assert.True(t, peer.accepted)
	assert.False(t, peer.dialling)
}

// Links survive a pause of the process; a link that answers no probe after it is broken. Guards
// against two faults: links checked by the time of the last read, before their readers had read what
// arrived during the pause; and a process that was paused repeatedly and dropped a link to an entry
// that sends on a link of its own, because only answers to probes arrive on such a link and it had
// sent no probe since the first pause.
func TestLinksSurviveProcessPause(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	_, link := linkToEntry(t, c)
	c.mutex.Lock()
	c.recordEntry("10.0.0.2", entryHeartbeat{Zone: "z"})
	c.peerLink("10.0.0.2").open(link, false)
	c.mutex.Unlock()
	currentLink := func() *peering.Link {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.peerLink("10.0.0.2").link
	}
	c.maintainLinks(t.Context())
	require.Same(t, link, currentLink(), "the link is wanted")
	time.Sleep(linkTimeout + 100*time.Millisecond) // without checks, as if the process were paused
	checkFor := func(duration time.Duration) {
		for began := time.Now(); time.Since(began) < duration && currentLink() == link; time.Sleep(20 * time.Millisecond) {
			c.maintainLinks(t.Context())
		}
	}
	checkFor(2 * resumeGrace)
	require.Same(t, link, currentLink(), "it answers a probe")
	count, err := silencer.Silence(silencer.Any)
	require.NoError(t, err)
	require.Positive(t, count)
	time.Sleep(linkTimeout + 100*time.Millisecond)
	c.maintainLinks(t.Context())
	assert.Same(t, link, currentLink(), "right after the pause")
	checkFor(time.Second)
	assert.NotSame(t, link, currentLink(), "it has answered no probe")
}

// After a stall of the process, links are given the full time for the answer to a probe again;
// without one, the time counts from the probe.
func TestProbeTimeRestartsAfterStall(t *testing.T) {
	const gap = 100 * time.Millisecond
	start := time.Now()
	var p pauseDetector
	p.recordCheck(start)
	p.recordCheck(start.Add(gap))
	assert.Equal(t, start, p.probeStart(start), "checks are this late on any machine")
	resumed := start.Add(gap + minStall + time.Millisecond)
	p.recordCheck(resumed)
	assert.Equal(t, resumed, p.probeStart(start))
	assert.Equal(t, resumed.Add(gap), p.probeStart(resumed.Add(gap)), "a probe sent after it")
	assert.Negative(t, p.graceRemaining(resumed), "links are renewed")
	paused := resumed.Add(minPause + time.Millisecond)
	p.recordCheck(paused)
	assert.Equal(t, resumeGrace, p.graceRemaining(paused), "no link is renewed")
}

// flushPending reports whether reports are to be sent before the next statusInterval.
func flushPending(c *Catalog) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.flushScheduled
}

// A report that ends a silence is sent at once, whether it came from the agent or from another
// entry. Guards against a gateway that had the report from another entry, whose link to the agent
// recovered first, and left it to the next interval of other zones: an entry received the report
// after 0.84 s, 0.3 s after the first gateway of the agent's zone.
func TestReportsEndingASilenceAreSentSoon(t *testing.T) {
	now := time.Now()
	for _, one := range []struct {
		name   string
		report heldStatus
		pause  time.Duration
		soon   bool
	}{
		{"from the agent, after a silence", heldStatus{zone: "z", direct: true}, backupDelay + time.Millisecond, true},
		{"from another entry, after a silence", heldStatus{zone: "z", relayedAt: now}, backupDelay + time.Millisecond, true},
		{"from another entry, on time", heldStatus{zone: "z", relayedAt: now}, backupDelay - time.Millisecond, false},
		{"from another zone, after a silence", heldStatus{zone: "y"}, remoteSilence + time.Millisecond, true},
		{"from another zone, on time", heldStatus{zone: "y"}, remoteSilence - time.Millisecond, false},
		{"from another zone, marked as ending a silence", heldStatus{zone: "y", endsSilence: true}, remoteSilence - time.Millisecond, true},
	} {
		c := newTestCatalog()
		peer := c.peerLink("10.0.0.2")
		peer.remoteSentAt = now
		status := fleet.MachineStatus{Address: "10.1.0.1:80"}
		c.statuses[status.Address] = heldStatus{status: status, zone: one.report.zone, at: now.Add(-one.pause)}
		one.report.status, one.report.at = status, now
		c.applyStatus(one.report)
		assert.Equal(t, one.soon, flushPending(c), one.name)
		assert.Equal(t, one.soon, peer.remoteSentAt.IsZero(), one.name)
		assert.Equal(t, one.soon, c.statuses[status.Address].endsSilence, one.name)
	}
}

// A renewed link is sent everything soon, not at the next statusInterval.
func TestNewLinkIsSentStatusesSoon(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	_, link := linkToEntry(t, c)
	c.mutex.Lock()
	c.openLink(c.peerLink("10.0.0.2"), link, false)
	c.mutex.Unlock()
	assert.True(t, flushPending(c))
	select {
	case <-c.flush:
	case <-time.After(statusInterval):
		assert.Fail(t, "later than the next statusInterval")
	}
	c.flushStatuses()
	assert.False(t, flushPending(c))
}

// runWithRemoteZone links a catalog to an entry of another zone and runs its exchange. It returns
// the count of status frames that the other entry receives.
func runWithRemoteZone(t *testing.T, c *Catalog) *atomic.Int64 {
	hub := peering.NewHub(peering.Hello{ID: "10.0.0.2", Role: RoleEntry, Zone: "y"}, logging.Nop(), peering.NewCounters(prometheus.NewRegistry()))
	t.Cleanup(hub.Close)
	var frames atomic.Int64
	hub.Handle(topicStatuses, func(*peering.Link, *message.Message) { frames.Add(1) })
	other := httptest.NewServer(hub)
	t.Cleanup(other.Close)
	link, err := c.options.Hub.Link(t.Context(), other.Listener.Addr().String())
	require.NoError(t, err)
	c.mutex.Lock()
	c.peerLink("10.0.0.2").open(link, false)
	c.mutex.Unlock()
	c.recordEntry("10.0.0.2", entryHeartbeat{Zone: "y"})
	go c.exchange(t.Context())
	return &frames
}

// Agents whose reports come 0.45 s apart, spread over time, do not make another zone be updated all
// the time: only the first report after a silence is expedited.
func TestLateReportsKeepRemoteInterval(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	frames := runWithRemoteZone(t, c)
	const turns, agents = 5, 45
	var began time.Time
	for turn := range turns {
		if turn == 1 {
			frames.Store(0)
			began = time.Now()
		}
		for agent := range agents {
			c.applyStatus(heldStatus{zone: "z", direct: true, at: time.Now(), status: fleet.MachineStatus{Address: fmt.Sprintf("10.1.0.%d:80", agent)}})
			time.Sleep(10 * time.Millisecond)
		}
	}
	limit := int64(time.Since(began)/(remoteStatusInterval-statusInterval/4)) + 2
	t.Log("frames:", frames.Load(), "of at most", limit)
	assert.LessOrEqual(t, frames.Load(), limit)
}

// Reports that each end a silence, one after the other, are sent to another zone at
// remoteFlushInterval.
func TestExpeditedReportsAreRateLimited(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	frames := runWithRemoteZone(t, c)
	began := time.Now()
	for agent := range 100 {
		c.applyStatus(heldStatus{zone: "z", direct: true, at: time.Now(), status: fleet.MachineStatus{Address: fmt.Sprintf("10.1.0.%d:80", agent)}})
		time.Sleep(10 * time.Millisecond)
	}
	limit := int64(time.Since(began)/remoteFlushInterval) + 2
	t.Log("frames:", frames.Load(), "of at most", limit)
	assert.LessOrEqual(t, frames.Load(), limit)
}

// A link that is renewed repeatedly does not make other entries be updated more often.
func TestOnlyNewLinkIsSentStatusesSoon(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	_, link := linkToEntry(t, c)
	hub := peering.NewHub(peering.Hello{ID: "10.0.0.3", Role: RoleEntry, Zone: "z"}, logging.Nop(), peering.NewCounters(prometheus.NewRegistry()))
	defer hub.Close()
	var frames atomic.Int64
	hub.Handle(topicStatuses, func(*peering.Link, *message.Message) { frames.Add(1) })
	other := httptest.NewServer(hub)
	defer other.Close()
	third, err := c.options.Hub.Link(t.Context(), other.Listener.Addr().String())
	require.NoError(t, err)
	c.mutex.Lock()
	c.peerLink("10.0.0.2").open(link, false)
	c.peerLink("10.0.0.3").open(third, false)
	c.mutex.Unlock()
	c.recordEntry("10.0.0.2", entryHeartbeat{Zone: "z"})
	c.recordEntry("10.0.0.3", entryHeartbeat{Zone: "z"})
	go c.exchange(t.Context())
	var began time.Time
	for turn := range 100 {
		c.applyStatus(heldStatus{zone: "z", direct: true, at: time.Now(), status: fleet.MachineStatus{Address: fmt.Sprintf("10.1.0.%d:80", turn%10)}})
		time.Sleep(10 * time.Millisecond)
		if turn == 20 {
			frames.Store(0)
			began = time.Now()
		}
		if turn > 20 {
			c.mutex.Lock()
			c.openLink(c.links["10.0.0.2"], link, false)
			c.mutex.Unlock()
		}
	}
	limit := int64(time.Since(began)/statusInterval) + 2
	t.Log("frames:", frames.Load(), "of at most", limit)
	assert.LessOrEqual(t, frames.Load(), limit)
}

// Links are checked when one is due a probe or a renewal: with checks at a fixed interval, a
// renewal, and the reports waiting for it, came up to that interval later.
func TestLinksAreCheckedWhenDue(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	_, link := linkToEntry(t, c)
	peer := c.peerLink("10.0.0.2")
	peer.open(link, false)
	lastReceived := link.LastReceived()
	assert.Equal(t, 20*time.Millisecond, c.checkLink(t.Context(), peer, lastReceived.Add(probeAfter-20*time.Millisecond)), "a probe is due then")
	probed := lastReceived.Add(probeAfter + time.Millisecond)
	assert.Equal(t, peer.renewDelay-probeAfter-time.Millisecond, c.checkLink(t.Context(), peer, probed), "a renewal is due then")
	assert.Equal(t, probed, peer.probedAt)
	peer.probedAt = lastReceived.Add(peer.renewDelay)
	assert.Equal(t, probeGrace, c.checkLink(t.Context(), peer, lastReceived.Add(peer.renewDelay)), "the probe may still be answered")
	peer.accepted = true
	assert.Equal(t, linkCheckInterval, c.checkLink(t.Context(), peer, lastReceived.Add(peer.renewDelay)), "the peer renews it")
}

// The interval for other zones is a multiple of statusInterval: a timer that is slightly early must
// not add another statusInterval.
func TestRemoteIntervalToleratesEarlyTimer(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	_, link := linkToEntry(t, c)
	peer := c.peerLink("10.0.0.2")
	peer.open(link, false)
	c.statusSequence = 1
	now := time.Now()
	peer.remoteSentAt = now.Add(-remoteStatusInterval + time.Millisecond)
	key, due := c.nextBatch(peer, true, now)
	assert.True(t, due)
	assert.True(t, key.remote)
}

func serverRecord(index int, revision uint64) mirror.Record {
	value := fmt.Sprintf(`{"service":"m","address":"10.1.%d.%d:80","zone":"z","slots":8,"state":"ready","models":[{"name":"m","version":%d}]}`, index/250, index%250, revision)
	return mirror.Record{Key: fmt.Sprintf("servers/s%04d", index), Value: []byte(value), Revision: revision}
}

// What an entry reads from the store is sent at once, what it receives from a peer with the next
// update. A server record without a change is not sent at all.
func TestStoreChangesAreUrgent(t *testing.T) {
	c := newTestCatalog()
	c.applyReceived([]mirror.Record{serverRecord(1, 1)}, nil)
	assert.Zero(t, c.urgentSequence)
	c.applyWatched([]mirror.Record{serverRecord(2, 2)})
	assert.Equal(t, c.changes.Sequence(), c.urgentSequence)
	same := serverRecord(2, 2)
	same.Revision = 3
	before := c.changes.Sequence()
	c.applyWatched([]mirror.Record{same})
	assert.Equal(t, before, c.changes.Sequence())
	c.applyReceived([]mirror.Record{{Key: "op/version/m", Value: []byte(`{"model":"m","version":2}`), Revision: 4}}, nil)
	assert.Equal(t, c.changes.Sequence(), c.urgentSequence, "every process sends a version announcement at once")
}

// Peers that hold the same records send each other none; a peer whose records differ is sent all,
// once.
func TestRecordsAreSentWhereTheyDiffer(t *testing.T) {
	c := newTestCatalog()
	c.applyWatched([]mirror.Record{serverRecord(1, 1), serverRecord(2, 2)})
	peer := c.peerLink("10.0.0.2")
	assert.Empty(t, c.composeUpdate(peer).Records, "nothing is sent before the records were compared")
	c.compareRecords("10.0.0.2", update{Digest: c.changes.Digest()})
	assert.Empty(t, c.composeUpdate(peer).Records, "it holds the same")
	c.applyWatched([]mirror.Record{serverRecord(3, 3)})
	assert.Len(t, c.composeUpdate(peer).Records, 1, "it lacks one")

	other := c.peerLink("10.0.0.3")
	c.compareRecords("10.0.0.3", update{})
	assert.Len(t, c.composeUpdate(other).Records, 3, "it holds nothing")
}

// The backup feeder of an agent forwards its reports when no other entry does.
func TestBackupRelaysWhenMainFeederDoesNot(t *testing.T) {
	c := newTestCatalog()
	for index := 2; index <= 3; index++ {
		c.recordEntry(fmt.Sprintf("10.0.0.%d", index), entryHeartbeat{Zone: "z"})
	}
	now := time.Now()
	c.overlay.Advance(now)
	// Agents of which this entry is the main feeder, the backup, and neither.
	held := map[string]heldStatus{}
	for index := range 200 {
		agent := fmt.Sprintf("10.1.0.%d", index)
		feeds, isMain := c.overlay.Feeds(agent, "z")
		held[fmt.Sprint(feeds, isMain)] = heldStatus{status: fleet.MachineStatus{Address: net.JoinHostPort(agent, "80")}, zone: "z", at: now, direct: true, relayedAt: now}
	}
	later := now.Add(backupDelay + time.Millisecond)
	assert.True(t, c.relays(held["true true"], now))
	assert.False(t, c.relays(held["true false"], now))
	assert.True(t, c.relays(held["true false"], later))
	assert.False(t, c.relays(held["false false"], later))
}

// The cost of applying one server's record must not grow with the number of servers, except for the
// list of them.
func BenchmarkApplyServer(b *testing.B) {
	for _, servers := range []int{40, 200, 1000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			c := newTestCatalog()
			revision := uint64(0)
			for index := range servers {
				revision++
				c.applyWatched([]mirror.Record{serverRecord(index, revision)})
			}
			records := make([]mirror.Record, b.N)
			for index := range records {
				revision++
				records[index] = serverRecord(index%servers, revision)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for _, record := range records {
				c.applyWatched([]mirror.Record{record})
			}
		})
	}
}

// The cost of forwarding one agent's report must not grow with the fleet.
func BenchmarkRelayStatuses(b *testing.B) {
	for _, entries := range []int{30, 150, 400} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			c := newTestCatalog()
			for index := range entries {
				c.recordEntry(fmt.Sprintf("10.2.%d.%d", index/250, index%250), entryHeartbeat{Zone: fmt.Sprintf("z%d", index%5)})
			}
			now := time.Now()
			c.overlay.Advance(now)
			report := heldStatus{status: fleet.MachineStatus{Address: "10.1.0.1:80", Model: "m", Reachable: true}, zone: "z", direct: true}
			b.ReportAllocs()
			for b.Loop() {
				report.at = report.at.Add(time.Second)
				c.applyStatus(report)
				c.encodeBatch(batchKey{local: true, localAfter: c.statusSequence - 1}, now)
			}
		})
	}
}
