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

// arrivedRequest returns a request of a caller with the given time left, at an entry that has
// served others of its route, all of which had six seconds left.
func arrivedRequest(left time.Duration) *forwarding {
	w := newForwarding(&fakeAgents{}, "10.0.0.1:1")
	now := time.Now()
	for i := range 40 {
		w.targets.core.RecordArrival(&dispatch.Request{Service: "s", Route: "r"}, 6*time.Second, now.Add(time.Duration(i)*time.Second))
	}
	w.request = &Request{Route: &fleet.Route{Name: "r"}, Call: fleet.CallHeader{Deadline: left}, Deadline: now.Add(left)}
	w.criteria.Route = "r"
	w.criteria.Arrival = w.recordArrival(&w.criteria, left)
	return w
}

// A refused caller gets a retry time, and the metrics count the refusal and the retry time. The
// caller is recognized when it retries.
func TestRefusedCallersGetRetryAfterAndAreCounted(t *testing.T) {
	w := arrivedRequest(6 * time.Second)
	refusal := fault.NotRun(fault.ReasonOverloaded, "")
	refusal.RetryAfter = time.Second
	w.recordRefusal(refusal)
	assert.GreaterOrEqual(t, refusal.RetryAfter, 990*time.Millisecond)
	assert.LessOrEqual(t, refusal.RetryAfter, 2*time.Second)
	assert.Equal(t, map[string]float64{attemptFirst: 1}, byAttempt(t, w.Forwarder, "pinevane_retry_after_seconds"))

	back := &Request{Route: w.request.Route, Call: fleet.CallHeader{Deadline: 4500 * time.Millisecond}}
	assert.Equal(t, 1500*time.Millisecond, w.recordArrival(&w.criteria, back.Call.Deadline).Elapsed)
	assert.Equal(t, map[string]float64{attemptFirst: 1, attemptReturned: 1}, byAttempt(t, w.Forwarder, "pinevane_arrivals_total"))
}

// A late request gets a lower priority at its server than those that can still be in time.
func TestLateRequestsHaveLowerPriority(t *testing.T) {
	first, late := arrivedRequest(6*time.Second), arrivedRequest(5*time.Second)
	assert.Equal(t, 0, first.priorityFor(100*time.Millisecond))
	assert.Equal(t, 1, late.priorityFor(100*time.Millisecond))
	late.request.Priority = lowestPriority
	assert.Equal(t, lowestPriority, late.priorityFor(100*time.Millisecond))
	late.request.Priority, late.options.Policy.LateShare = 0, 1
	assert.Equal(t, 0, late.priorityFor(100*time.Millisecond), "with the mechanism switched off")
}

// A configuration without a route drops what was learned about the route's callers.
func TestArrivalsOfRemovedRoutesAreForgotten(t *testing.T) {
	w := arrivedRequest(6 * time.Second)
	for _, one := range []struct {
		routes []fleet.Route
		want   shedding.Arrival
	}{
		{routes: []fleet.Route{{Name: "r"}}, want: shedding.Arrival{Remaining: 5 * time.Second, Elapsed: time.Second}},
		{routes: []fleet.Route{{Name: "other"}}, want: shedding.Arrival{Remaining: 5 * time.Second}},
	} {
		w.Update(&catalog.View{Configuration: &fleet.Configuration{Routes: one.routes}})
		late := &Request{Route: w.request.Route, Call: fleet.CallHeader{Deadline: 5 * time.Second}}
		assert.Equal(t, one.want, w.recordArrival(&w.criteria, late.Call.Deadline))
	}
}

// byAttempt returns the counts of a metric by its attempt label.
func byAttempt(t *testing.T, f *Forwarder, name string) map[string]float64 {
	t.Helper()
	return countsByLabel(t, f, name, "attempt")
}

// countsByLabel returns the counts of a metric by one of its labels.
func countsByLabel(t *testing.T, f *Forwarder, name, by string) map[string]float64 {
	t.Helper()
	families, err := f.options.Registry.(*prometheus.Registry).Gather()
	require.NoError(t, err)
	counts := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if family.GetName() == name && label.GetName() == by {
					counts[label.GetValue()] += metric.GetCounter().GetValue() + float64(metric.GetHistogram().GetSampleCount())
				}
			}
		}
	}
	return counts
}
