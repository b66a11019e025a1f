package forward

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// lockedSource notes what it is asked and told, and whether the forwarder's mutex was held.
type lockedSource struct {
	forwarder *Forwarder
	held      map[string]int
	asked     map[string]int
	words     []health.Word
}

func (s *lockedSource) note(call string) {
	s.asked[call]++
	if !s.forwarder.targets.mutex.TryLock() {
		s.held[call]++
		return
	}
	s.forwarder.targets.mutex.Unlock()
}

func (s *lockedSource) AnnounceHealth(words []health.Word, _ time.Time) {
	s.note("tell")
	s.words = append(s.words, words...)
}

func (s *lockedSource) ZoneEntries() []string {
	s.note("zone")
	return []string{"10.0.0.9"}
}

func (s *lockedSource) entries() []string {
	s.note("entries")
	return []string{"10.0.0.9"}
}

// The catalog is asked and told without the forwarder's mutex: every request would wait for what holds
// the catalog's. What was found out is told in order all the same.
func TestCatalogIsNotAskedUnderTheMutex(t *testing.T) {
	source := &lockedSource{held: map[string]int{}, asked: map[string]int{}}
	f := New(Options{Zone: "z", Self: "10.0.0.1", Log: logging.Nop(), Registry: prometheus.NewRegistry(), Policy: DefaultPolicy(),
		Peers: func() int { return 1 }, Health: source, Entries: source.entries, Bounds: fleet.Bounds{ColdOvershoot: 1.3, ColdSlack: 2}})
	source.forwarder = f
	view := &catalog.View{Configuration: &fleet.Configuration{Services: map[string]fleet.Service{"s": {ColdRate: 26, ColdTime: time.Minute}}}, Servers: map[string][]fleet.Server{
		"s": {{ID: "i-0", Service: "s", Address: "10.0.0.2:1", Zone: "z", Slots: 4}, {ID: "i-1", Service: "s", Address: "10.0.0.3:1", Zone: "z", Slots: 4}},
	}}
	f.Update(view)
	f.targets.sawCold(f.server("i-1"), 3*time.Second)
	_, w := healthFleet(fleet.Repeatable, 1)
	w.Forwarder = f
	_, refusal := f.targets.choose(w)
	require.Nil(t, refusal)
	for range 2 {
		w.observe(f.server("i-0"), health.Unreached)
	}
	time.Sleep(300 * time.Millisecond)
	f.ReceiveHealth(health.Word{Server: "i-1", Entry: "10.0.0.9", Ejected: true, Round: 1}, time.Now())
	w.endTrial()
	require.Len(t, source.words, 2)
	assert.False(t, source.words[0].Ejected)
	assert.True(t, source.words[1].Ejected)
	assert.Positive(t, source.asked["tell"])
	assert.Positive(t, source.asked["zone"])
	assert.Positive(t, source.asked["entries"])
	assert.Empty(t, source.held)
}
