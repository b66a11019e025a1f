package forward

import (
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// slowSource holds back whoever asks or tells it something.
type slowSource struct {
	tell, entered chan struct{}
	once          sync.Once
	entryCalls    chan struct{}
	hold          chan struct{}
	toldAt        []time.Time
}

func (s *slowSource) AnnounceHealth(words []health.Word, at time.Time) {
	s.once.Do(func() { close(s.entered) })
	<-s.tell
	s.toldAt = append(s.toldAt, at)
}
func (s *slowSource) ZoneEntries() []string { return []string{"10.0.0.9"} }
func (s *slowSource) entries() []string {
	s.entryCalls <- struct{}{}
	<-s.hold
	return []string{"10.0.0.9"}
}

// slowForwarder is a forwarder of two servers with such a source, also of which entries there are if so wanted.
func slowForwarder(entries bool) (*Forwarder, *slowSource) {
	source := &slowSource{tell: make(chan struct{}), entered: make(chan struct{}), entryCalls: make(chan struct{}, 100), hold: make(chan struct{})}
	options := Options{Zone: "z", Self: "10.0.0.1", Log: logging.Nop(), Registry: prometheus.NewRegistry(), Policy: DefaultPolicy(),
		Peers: func() int { return 1 }, Health: source, Bounds: fleet.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 400, ColdOvershoot: 1.3, ColdSlack: 2}}
	if entries {
		options.Entries = source.entries
	}
	f := New(options)
	view := &catalog.View{Configuration: &fleet.Configuration{Services: map[string]fleet.Service{"s": {ColdRate: 26, ColdTime: time.Minute}}}, Servers: map[string][]fleet.Server{
		"s": {{ID: "i-0", Service: "s", Address: "10.0.0.2:1", Zone: "z", Slots: 4}, {ID: "i-1", Service: "s", Address: "10.0.0.3:1", Zone: "z", Slots: 4}},
	}}
	f.Update(view)
	return f, source
}

// A request that has nothing to tell must not wait while another one's words are being told.
func TestRequestsDoNotWaitForWhatOthersTell(t *testing.T) {
	f, source := slowForwarder(false)
	defer close(source.tell)
	_, w := healthFleet(fleet.Repeatable, 1)
	w.Forwarder = f
	server := f.server("i-0")
	fail := func() {
		_, one := healthFleet(fleet.Repeatable, 1)
		one.Forwarder = f
		one.observe(server, health.Unreached)
	}
	go fail()
	go fail()
	go fail()
	<-source.entered
	time.Sleep(50 * time.Millisecond)
	done := make(chan struct{})
	go func() { _, _ = f.targets.choose(w); close(done) }()
	select {
	case <-done:
	case <-time.After(500 * time.Millisecond):
		require.Fail(t, "a request that tells nothing waits for the catalog")
	}
}

// One request asks which entries there are, and others go on.
func TestOneRequestLooksAtEntries(t *testing.T) {
	f, source := slowForwarder(true)
	f.targets.sawCold(f.server("i-1"), 3*time.Second)
	var wait sync.WaitGroup
	for range 5 {
		_, w := healthFleet(fleet.Repeatable, 1)
		w.Forwarder = f
		wait.Add(1)
		go func() { defer wait.Done(); _, _ = f.targets.choose(w) }()
	}
	time.Sleep(200 * time.Millisecond)
	calls := len(source.entryCalls)
	close(source.hold)
	close(source.tell)
	wait.Wait()
	require.Equal(t, 1, calls)
}

// What waits for another request's telling is told with the time at which it was found out.
func TestWordsAreToldWithTheirTime(t *testing.T) {
	f, source := slowForwarder(false)
	observe := func(server *target) {
		_, w := healthFleet(fleet.Repeatable, 1)
		w.Forwarder = f
		w.observe(server, health.Unreached)
	}
	server := f.server("i-0")
	told := make(chan struct{})
	go func() { observe(server); close(told) }()
	<-source.entered
	observe(server)
	found := time.Now()
	time.Sleep(100 * time.Millisecond)
	close(source.tell)
	<-told
	require.Len(t, source.toldAt, 2)
	require.False(t, source.toldAt[1].After(found))
	require.True(t, source.toldAt[0].Before(source.toldAt[1]))
}
