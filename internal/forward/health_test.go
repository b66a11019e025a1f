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

// eject has a server ejected, as connections that do not come up do.
func eject(t *targets, k *dispatch.Candidate) {
	now := time.Now()
	for range 2 {
		t.core.Observe(k, dispatch.Outcome{Outcome: health.Unreachable, SentAt: now}, now)
	}
}

// healthFleet is a forwarder with plain servers i-0, i-1 and so on, and a request for them.
func healthFleet(kind fleet.RouteKind, servers int) (*Forwarder, *work) {
	f := New(Options{Zone: "z", Log: logging.Nop(), Registry: prometheus.NewRegistry(), Policy: DefaultPolicy(), Peers: func() int { return 1 }})
	view := &catalog.View{Configuration: &fleet.Configuration{}, Servers: map[string][]fleet.Server{}}
	for number := range servers {
		id := string(rune('0' + number))
		view.Servers["s"] = append(view.Servers["s"], fleet.Server{ID: "i-" + id, Service: "s", Address: "10.0.0." + id + ":1", Zone: "z", Slots: 4})
	}
	f.Update(view)
	w := &work{Forwarder: f, request: &Request{Route: &fleet.Route{Name: "r", Kind: kind, Target: time.Second, Attempts: 3}}, sentAt: time.Now()}
	w.wanted = dispatch.Request{Service: "s", Target: time.Second, AtMostOnce: kind == fleet.AtMostOnce}
	return f, w
}

// server returns one of them.
func (f *Forwarder) server(id string) *target {
	for _, candidate := range f.targets.core.Candidates("s") {
		if candidate.ID == id {
			return f.targets.targetOf(candidate)
		}
	}
	return nil
}

// state is what the entry holds of a server.
func (f *Forwarder) state(id string) string {
	for _, view := range f.Servers() {
		if view.ID == id {
			return view.Health.State
		}
	}
	return ""
}

// chosen counts how often each server is chosen.
func chosen(t *testing.T, f *Forwarder, w *work, times int) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range times {
		choice, refusal := f.targets.choose(w)
		require.Nil(t, refusal)
		counts[choice.target.ID]++
		f.targets.release(w.placed)
	}
	return counts
}

// An answer that tells of a failure counts against its server, also when the request is not
// sent again; an answer that the request's time is over does not.
func TestFailureAnswersEjectServers(t *testing.T) {
	for _, kind := range []fleet.RouteKind{fleet.Repeatable, fleet.AtMostOnce} {
		f, w := healthFleet(kind, 3)
		server := f.server("i-0")
		for range 5 {
			w.observeAnswer(server, http.StatusGatewayTimeout)
		}
		assert.Positive(t, chosen(t, f, w, 60)["i-0"])
		for range 2 {
			w.observeAnswer(server, http.StatusInternalServerError)
		}
		assert.Zero(t, chosen(t, f, w, 60)["i-0"])
	}
}

// What failures say of a server, by their reasons.
func TestWhatFailuresSayOfAServer(t *testing.T) {
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
		w.noteFailure(f.server("i-0"), &one.failed, 0)
		assert.Equal(t, one.state.String(), f.state("i-0"), one.failed.Error())
	}
}

// An answer that is overdue counts once, before the request is given up, and one that may not
// be repeated goes on waiting.
func TestOverdueAnswersCountBeforeTheyAreGivenUp(t *testing.T) {
	f, w := healthFleet(fleet.AtMostOnce, 3)
	server := f.server("i-0")
	for range 3 {
		judge := w.silence(server, 0)
		for silent := 50 * time.Millisecond; silent < 3*time.Second; silent += 50 * time.Millisecond {
			require.NoError(t, judge(silent, 20*time.Millisecond))
		}
	}
	assert.Equal(t, health.Ejected.String(), f.state("i-0"))
	w.request.Route.Kind = fleet.Repeatable
	judge := w.silence(server, 0)
	require.ErrorIs(t, judge(suspectSilence+time.Millisecond, 0), errStalled, "what may be repeated need not wait at such a server")
}
