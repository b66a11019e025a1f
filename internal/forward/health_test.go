package forward

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// eject has a server ejected by failed connects.
func eject(t *targets, k *dispatch.Candidate) {
	now := time.Now()
	for range 2 {
		t.core.Observe(k, dispatch.Outcome{Outcome: health.Unreachable, SentAt: now}, now)
	}
}

// healthFleet returns a forwarder with plain servers i-0, i-1 and so on, and a request for them.
func healthFleet(kind fleet.RouteKind, servers int) (*Forwarder, *forwarding) {
	f := New(Options{Zone: "z", Log: logging.Nop(), Registry: prometheus.NewRegistry(), Policy: DefaultPolicy(), Peers: func() int { return 1 }, RetriesSince: longAgo()})
	view := &catalog.View{Configuration: &fleet.Configuration{}, Servers: map[string][]fleet.Server{}}
	for number := range servers {
		id := string(rune('0' + number))
		view.Servers["s"] = append(view.Servers["s"], fleet.Server{ID: "i-" + id, Service: "s", Address: "10.0.0." + id + ":1", Zone: "z", Slots: 4})
	}
	f.Update(view)
	w := &forwarding{Forwarder: f, request: &Request{Route: &fleet.Route{Name: "r", Kind: kind, Target: time.Second, Attempts: 3}}, attemptState: attemptState{sentAt: time.Now()}}
	w.criteria = dispatch.Request{Service: "s", Target: time.Second, AtMostOnce: kind == fleet.AtMostOnce}
	return f, w
}

// server returns the target of a server.
func (f *Forwarder) server(id string) *target {
	for _, candidate := range f.targets.core.Candidates("s") {
		if candidate.ID == id {
			return f.targets.targetOf(candidate)
		}
	}
	return nil
}

// state returns the entry's health state of a server.
func (f *Forwarder) state(id string) string {
	for _, view := range f.Servers() {
		if view.ID == id {
			return view.Health.State
		}
	}
	return ""
}

// countChoices counts how often each server is chosen.
func countChoices(t *testing.T, f *Forwarder, w *forwarding, times int) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range times {
		choice, refusal := f.targets.choose(w)
		require.Nil(t, refusal)
		counts[choice.target.ID]++
		f.targets.release(w.currentSend)
	}
	return counts
}

// A server error counts against its server, also if the request is not sent again; an answer that
// the request's deadline has passed does not.
func TestFailureAnswersEjectServers(t *testing.T) {
	for _, kind := range []fleet.RouteKind{fleet.Repeatable, fleet.AtMostOnce} {
		f, w := healthFleet(kind, 3)
		server := f.server("i-0")
		for range 5 {
			w.observeAnswer(server, http.StatusGatewayTimeout)
		}
		assert.Positive(t, countChoices(t, f, w, 60)["i-0"])
		for range 2 {
			w.observeAnswer(server, http.StatusInternalServerError)
		}
		assert.Zero(t, countChoices(t, f, w, 60)["i-0"])
	}
}

// The effect of failures on a server's health, by their reasons.
func TestHealthAfterFailures(t *testing.T) {
	for _, one := range []struct {
		failed failure
		state  health.State
	}{
		{failure{reason: fault.ReasonLinkLost, execution: fault.ExecutionNotRun}, health.Suspect},
		{failure{reason: fault.ReasonLinkLost, execution: fault.ExecutionUnknown}, health.Suspect},
		{failure{reason: fault.ReasonBackendFailed, execution: fault.ExecutionUnknown, cause: errors.New("reset")}, health.Suspect},
		{failure{reason: fault.ReasonBackendFailed, execution: fault.ExecutionUnknown, cause: statusError(500)}, health.Healthy},
		{failure{reason: fault.ReasonOverloaded, execution: fault.ExecutionNotRun}, health.Healthy},
		{failure{reason: fault.ReasonWrongVersion, execution: fault.ExecutionNotRun}, health.Healthy},
		{failure{reason: fault.ReasonDeadline, execution: fault.ExecutionUnknown}, health.Healthy},
		{failure{reason: fault.ReasonCanceled, execution: fault.ExecutionUnknown}, health.Healthy},
	} {
		f, w := healthFleet(fleet.Repeatable, 3)
		w.recordFailure(f.server("i-0"), &one.failed, 0)
		assert.Equal(t, one.state.String(), f.state("i-0"), one.failed.Error())
	}
}

// An overdue answer counts once, before the request is abandoned, and a request that must not be
// repeated goes on waiting.
func TestOverdueAnswersCountBeforeTheyAreAbandoned(t *testing.T) {
	f, w := healthFleet(fleet.AtMostOnce, 3)
	server := f.server("i-0")
	for range 3 {
		check := w.newSilenceCheck(server, 0)
		for silent := 50 * time.Millisecond; silent < 3*time.Second; silent += 50 * time.Millisecond {
			require.NoError(t, check(silent, 20*time.Millisecond))
		}
	}
	assert.Equal(t, health.Ejected.String(), f.state("i-0"))
	w.request.Route.Kind = fleet.Repeatable
	check := w.newSilenceCheck(server, 0)
	require.ErrorIs(t, check(suspectTimeout+time.Millisecond, 0), errStalled, "a repeatable request does not wait at an ejected server")
}
