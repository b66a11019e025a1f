package forward

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/coordination/sharing"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// lockCheckingAnnouncer records its calls, and whether the forwarder's mutex was held during them.
type lockCheckingAnnouncer struct {
	forwarder *Forwarder
	held      map[string]int
	calls     map[string]int
	reports   []health.Report
}

func (s *lockCheckingAnnouncer) record(call string) {
	s.calls[call]++
	if !s.forwarder.targets.mutex.TryLock() {
		s.held[call]++
		return
	}
	s.forwarder.targets.mutex.Unlock()
}

func (s *lockCheckingAnnouncer) AnnounceHealth(reports []health.Report, _ time.Time) {
	s.record("announce")
	s.reports = append(s.reports, reports...)
}

func (s *lockCheckingAnnouncer) ZoneEntries() []string {
	s.record("zone")
	return []string{"10.0.0.9"}
}

func (s *lockCheckingAnnouncer) entries() []sharing.Member {
	s.record("entries")
	return []sharing.Member{{ID: "10.0.0.9", Zone: "z"}}
}

// The catalog is called without the forwarder's mutex, because otherwise every request would wait
// for whatever holds the catalog's mutex. Reports are still announced in order.
func TestCatalogIsNotCalledUnderTheMutex(t *testing.T) {
	announcer := &lockCheckingAnnouncer{held: map[string]int{}, calls: map[string]int{}}
	f := New(Options{Zone: "z", Self: "10.0.0.1", Log: logging.Nop(), Registry: prometheus.NewRegistry(), Policy: DefaultPolicy(),
		Peers: func() int { return 1 }, Health: announcer, Entries: announcer.entries, Bounds: fleet.Bounds{ColdOvershoot: 1.3, ColdSlack: 2}})
	announcer.forwarder = f
	view := &catalog.View{Configuration: &fleet.Configuration{Services: map[string]fleet.Service{"s": {ColdRate: 26, ColdTime: time.Minute}}}, Servers: map[string][]fleet.Server{
		"s": {{ID: "i-0", Service: "s", Address: "10.0.0.2:1", Zone: "z", Slots: 4}, {ID: "i-1", Service: "s", Address: "10.0.0.3:1", Zone: "z", Slots: 4}},
	}}
	f.Update(view)
	f.targets.applyCold(f.server("i-1"), 3*time.Second)
	_, w := healthFleet(fleet.Repeatable, 1)
	w.Forwarder = f
	_, refusal := f.targets.choose(w)
	require.Nil(t, refusal)
	for range 2 {
		w.observe(f.server("i-0"), health.Unreachable)
	}
	time.Sleep(300 * time.Millisecond)
	f.ReceiveHealth(health.Report{Server: "i-1", Entry: "10.0.0.9", Ejected: true, Round: 1}, time.Now())
	w.endTrial()
	require.Len(t, announcer.reports, 2)
	assert.False(t, announcer.reports[0].Ejected)
	assert.True(t, announcer.reports[1].Ejected)
	assert.Positive(t, announcer.calls["announce"])
	assert.Positive(t, announcer.calls["zone"])
	assert.Positive(t, announcer.calls["entries"])
	assert.Empty(t, announcer.held)
}
