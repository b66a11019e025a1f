package forward

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/shedding"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// arriving is a request of a caller that waits for some time, at an entry that has served
// others of its route, all of which had six seconds left.
func arriving(left time.Duration) *work {
	f := New(Options{Zone: "z", Log: logging.Nop(), Registry: prometheus.NewRegistry(), Policy: DefaultPolicy(), Peers: func() int { return 0 }})
	now := time.Now()
	f.targets.started = now.Add(-time.Minute)
	for i := range 40 {
		f.targets.usualOf("r").Arrived(time.Duration(i)*time.Second, 6*time.Second)
	}
	_, server, wanted := idleServer(now, 0)
	server.status.Running = 16
	f.targets.byService["s"] = []*target{server}
	request := &Request{Route: wanted.route, Call: fleet.CallHeader{Deadline: left}, Deadline: now.Add(left)}
	request.Route.Name = "r"
	w := &work{Forwarder: f, request: request, wanted: wanted}
	w.wanted.work, w.wanted.policy = w, &f.options.Policy
	w.wanted.arrival = f.noteArrival(request)
	return w
}

// A full server that has a place soon is left to those whose answers can still be in time,
// while some of these are refused; afterwards it takes late requests at once.
func TestLateRequestsGoBehindInOverload(t *testing.T) {
	for name, one := range map[string]struct {
		left      time.Duration
		refused   bool
		lateShare float64
		want      fault.Reason
	}{
		"first attempt":                       {left: 6 * time.Second, refused: true, lateShare: 0.15},
		"late while others are refused":       {left: 5 * time.Second, refused: true, lateShare: 0.15, want: fault.ReasonOverloaded},
		"late after that":                     {left: 5 * time.Second, lateShare: 0.15},
		"late where the mechanism is off":     {left: 5 * time.Second, refused: true, lateShare: 1},
		"back so soon that it can be in time": {left: 5950 * time.Millisecond, refused: true, lateShare: 0.15},
	} {
		w := arriving(one.left)
		w.options.Policy.LateShare = one.lateShare
		w.wanted.policy = &w.options.Policy
		if one.refused {
			w.targets.pressureOf("s").Refused(time.Since(w.targets.started), shedding.Arrival{})
		}
		_, refusal := w.targets.choose(w.wanted)
		if one.want == "" {
			assert.Nil(t, refusal, name)
			continue
		}
		require.NotNil(t, refusal, name)
		assert.Equal(t, one.want, refusal.Reason, name)
	}
}

// A refused caller is asked to come back in the second half of the time that it heeds, and
// the metrics tell who was refused and what it was told.
func TestRefusedCallersAreToldAndCounted(t *testing.T) {
	w := arriving(6 * time.Second)
	w.targets.byService["s"][0].status.Waiting = 6
	_, refusal := w.targets.choose(w.wanted)
	require.NotNil(t, refusal)
	assert.Equal(t, time.Second, refusal.RetryAfter, "the queue alone would have come down sooner")
	w.noteRefusal(refusal)
	assert.GreaterOrEqual(t, refusal.RetryAfter, 990*time.Millisecond)
	assert.LessOrEqual(t, refusal.RetryAfter, 2*time.Second)
	assert.Equal(t, map[string]float64{"first": 1}, byAttempt(t, w.Forwarder, "pinevane_retry_after_seconds"))
	share := w.targets.pressureOf("s").Share(time.Since(w.targets.started), 0)
	assert.Less(t, share, 0.5, "there is overload now")

	back := &Request{Route: w.request.Route, Call: fleet.CallHeader{Deadline: 4500 * time.Millisecond}}
	assert.Equal(t, 1500*time.Millisecond, w.noteArrival(back).Elapsed)
	assert.Equal(t, map[string]float64{"first": 1, "returned": 1}, byAttempt(t, w.Forwarder, "pinevane_arrivals_total"))
}

// Regions in which nobody may serve a request are no overload.
func TestRefusalsForRegionsAreNoOverload(t *testing.T) {
	w := arriving(6 * time.Second)
	refusal := fault.NotRun(fault.ReasonResidency, "")
	refusal.RetryAfter = time.Second
	w.noteRefusal(refusal)
	assert.InDelta(t, 1, w.targets.pressureOf("s").Share(time.Since(w.targets.started), 0), 1e-9)
}

// At a server, a late request waits behind those that can still be in time.
func TestLateRequestsHaveALowerRank(t *testing.T) {
	first, late := arriving(6*time.Second), arriving(5*time.Second)
	assert.Equal(t, 0, first.rank(100*time.Millisecond))
	assert.Equal(t, 1, late.rank(100*time.Millisecond))
	late.request.Priority = lastRank
	assert.Equal(t, lastRank, late.rank(100*time.Millisecond))
	late.request.Priority, late.options.Policy.LateShare = 0, 1
	assert.Equal(t, 0, late.rank(100*time.Millisecond), "where the mechanism is off")
}

// What was learned of routes is dropped with them.
func TestRemovedRoutesAreForgotten(t *testing.T) {
	w := arriving(6 * time.Second)
	w.targets.usualOf("removed")
	w.targets.forgetRoutes(&fleet.Configuration{Routes: []fleet.Route{{Name: "r"}}})
	assert.Len(t, w.targets.usual, 1)
	assert.NotNil(t, w.targets.usual["r"])
}

// byAttempt returns what a metric has counted, by its label of the attempt.
func byAttempt(t *testing.T, f *Forwarder, name string) map[string]float64 {
	t.Helper()
	families, err := f.options.Registry.(*prometheus.Registry).Gather()
	require.NoError(t, err)
	counts := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if family.GetName() == name && label.GetName() == "attempt" {
					counts[label.GetValue()] += metric.GetCounter().GetValue() + float64(metric.GetHistogram().GetSampleCount())
				}
			}
		}
	}
	return counts
}
