package forward

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/coordination/shedding"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
)

// arriving is a request of a caller that waits for some time, at an entry that has served
// others of its route, all of which had six seconds left.
func arriving(left time.Duration) *work {
	w := asking(&agentsOfTest{}, "10.0.0.1:1")
	now := time.Now()
	for i := range 40 {
		w.targets.core.RecordArrival(&dispatch.Request{Service: "s", Route: "r"}, 6*time.Second, now.Add(time.Duration(i)*time.Second))
	}
	w.request = &Request{Route: &fleet.Route{Name: "r"}, Call: fleet.CallHeader{Deadline: left}, Deadline: now.Add(left)}
	w.wanted.Route = "r"
	w.wanted.Arrival = w.noteArrival(&w.wanted, left)
	return w
}

// A refused caller is told when to come back, and the metrics tell who was refused and what
// it was told. It is known when it comes back.
func TestRefusedCallersAreToldAndCounted(t *testing.T) {
	w := arriving(6 * time.Second)
	refusal := fault.NotRun(fault.ReasonOverloaded, "")
	refusal.RetryAfter = time.Second
	w.noteRefusal(refusal)
	assert.GreaterOrEqual(t, refusal.RetryAfter, 990*time.Millisecond)
	assert.LessOrEqual(t, refusal.RetryAfter, 2*time.Second)
	assert.Equal(t, map[string]float64{attemptFirst: 1}, byAttempt(t, w.Forwarder, "pinevane_retry_after_seconds"))

	back := &Request{Route: w.request.Route, Call: fleet.CallHeader{Deadline: 4500 * time.Millisecond}}
	assert.Equal(t, 1500*time.Millisecond, w.noteArrival(&w.wanted, back.Call.Deadline).Elapsed)
	assert.Equal(t, map[string]float64{attemptFirst: 1, attemptReturned: 1}, byAttempt(t, w.Forwarder, "pinevane_arrivals_total"))
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

// A configuration without a route lets go of what was learned of its callers.
func TestRoutesOfAnOlderConfigurationAreForgotten(t *testing.T) {
	w := arriving(6 * time.Second)
	for _, one := range []struct {
		routes []fleet.Route
		want   shedding.Arrival
	}{
		{routes: []fleet.Route{{Name: "r"}}, want: shedding.Arrival{Remaining: 5 * time.Second, Elapsed: time.Second}},
		{routes: []fleet.Route{{Name: "other"}}, want: shedding.Arrival{Remaining: 5 * time.Second}},
	} {
		w.Update(&catalog.View{Configuration: &fleet.Configuration{Routes: one.routes}})
		late := &Request{Route: w.request.Route, Call: fleet.CallHeader{Deadline: 5 * time.Second}}
		assert.Equal(t, one.want, w.noteArrival(&w.wanted, late.Call.Deadline))
	}
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
