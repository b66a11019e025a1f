package forward

import (
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/coordination/sharing"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// blockingAnnouncer blocks its callers until the test lets them proceed.
type blockingAnnouncer struct {
	proceed, entered chan struct{}
	once             sync.Once
	entryCalls       chan struct{}
	entriesProceed   chan struct{}
	announcedAt      []time.Time
}

func (s *blockingAnnouncer) AnnounceHealth(reports []health.Report, at time.Time) {
	s.once.Do(func() { close(s.entered) })
	<-s.proceed
	s.announcedAt = append(s.announcedAt, at)
}
func (s *blockingAnnouncer) ZoneEntries() []string { return []string{"10.0.0.9"} }
func (s *blockingAnnouncer) entries() []sharing.Member {
	s.entryCalls <- struct{}{}
	<-s.entriesProceed
	return []sharing.Member{{ID: "10.0.0.9", Zone: "z"}}
}

// forwarderWithBlockingAnnouncer returns a forwarder of two servers with a blockingAnnouncer, which
// also lists the entries if requested.
func forwarderWithBlockingAnnouncer(entries bool) (*Forwarder, *blockingAnnouncer) {
	announcer := &blockingAnnouncer{proceed: make(chan struct{}), entered: make(chan struct{}), entryCalls: make(chan struct{}, 100), entriesProceed: make(chan struct{})}
	options := Options{Zone: "z", Self: "10.0.0.1", Log: logging.Nop(), Registry: prometheus.NewRegistry(), Policy: DefaultPolicy(), RetriesSince: longAgo(),
		Peers: func() int { return 1 }, Health: announcer, Bounds: fleet.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 400, ColdOvershoot: 1.3, ColdSlack: 2}}
	if entries {
		options.Entries = announcer.entries
	}
	f := New(options)
	view := &catalog.View{Configuration: &fleet.Configuration{Services: map[string]fleet.Service{"s": {ColdRate: 26, ColdTime: time.Minute}}}, Servers: map[string][]fleet.Server{
		"s": {{ID: "i-0", Service: "s", Address: "10.0.0.2:1", Zone: "z", Slots: 4}, {ID: "i-1", Service: "s", Address: "10.0.0.3:1", Zone: "z", Slots: 4}},
	}}
	f.Update(view)
	return f, announcer
}

// A request that has nothing to announce must not wait while another one's reports are being
// announced.
func TestRequestsDoNotWaitForOthersAnnouncements(t *testing.T) {
	f, announcer := forwarderWithBlockingAnnouncer(false)
	defer close(announcer.proceed)
	_, w := healthFleet(fleet.Repeatable, 1)
	w.Forwarder = f
	server := f.server("i-0")
	fail := func() {
		_, one := healthFleet(fleet.Repeatable, 1)
		one.Forwarder = f
		one.observe(server, health.Unreachable)
	}
	go fail()
	go fail()
	go fail()
	<-announcer.entered
	time.Sleep(50 * time.Millisecond)
	done := make(chan struct{})
	go func() { _, _ = f.targets.choose(w); close(done) }()
	select {
	case <-done:
	case <-time.After(500 * time.Millisecond):
		require.Fail(t, "a request with nothing to announce waits for the catalog")
	}
}

// One request refreshes the known entries, and the others go on.
func TestOneRequestRefreshesEntries(t *testing.T) {
	f, announcer := forwarderWithBlockingAnnouncer(true)
	f.targets.applyCold(f.server("i-1"), 3*time.Second)
	var wait sync.WaitGroup
	for range 5 {
		_, w := healthFleet(fleet.Repeatable, 1)
		w.Forwarder = f
		wait.Add(1)
		go func() { defer wait.Done(); _, _ = f.targets.choose(w) }()
	}
	time.Sleep(200 * time.Millisecond)
	calls := len(announcer.entryCalls)
	close(announcer.entriesProceed)
	close(announcer.proceed)
	wait.Wait()
	require.Equal(t, 1, calls)
}

// A report that waits for another request's announcement is announced with the time of its finding.
func TestHealthReportsCarryTheTimeOfTheFinding(t *testing.T) {
	f, announcer := forwarderWithBlockingAnnouncer(false)
	observe := func(server *target) {
		_, w := healthFleet(fleet.Repeatable, 1)
		w.Forwarder = f
		w.observe(server, health.Unreachable)
	}
	server := f.server("i-0")
	done := make(chan struct{})
	go func() { observe(server); close(done) }()
	<-announcer.entered
	observe(server)
	found := time.Now()
	time.Sleep(100 * time.Millisecond)
	close(announcer.proceed)
	<-done
	require.Len(t, announcer.announcedAt, 2)
	require.False(t, announcer.announcedAt[1].After(found))
	require.True(t, announcer.announcedAt[0].Before(announcer.announcedAt[1]))
}
