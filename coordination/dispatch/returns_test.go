package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/coordination/shedding"
)

// returningCaller returns the request of a caller with the given remaining time, at an entry that has served
// others of its route, all of which had six seconds remaining, and that knows one full server, which has a
// slot soon. If refused is set, a first attempt was refused just before.
func returningCaller(remaining time.Duration, refused bool) (*Core, *Candidate, *Request, time.Time) {
	now := epoch.Add(time.Minute)
	core, server, request := idleServer(now, 0)
	for i := range 40 {
		core.RecordArrival(&Request{Service: "s", Route: "r"}, 6*time.Second, epoch.Add(time.Duration(i)*time.Second))
	}
	if refused {
		getOrCreate(core.overloadDetectors, "s").RecordRefusal(now.Sub(epoch), shedding.Arrival{})
	}
	server.report.Running = 16
	request.Route, request.Arrival = "r", core.RecordArrival(&Request{Service: "s", Route: "r"}, remaining, now)
	return core, server, request, now
}

// A full server that has a slot soon is reserved for requests that can still be answered in time while some
// of these are refused; afterwards it takes late requests at once.
func TestLateRequestsGoBehindInOverload(t *testing.T) {
	for name, one := range map[string]struct {
		remaining time.Duration
		noRefusal bool
		lateShare float64
		refused   bool
	}{
		"first attempt":                       {remaining: 6 * time.Second, lateShare: 0.15},
		"late while others are refused":       {remaining: 5 * time.Second, lateShare: 0.15, refused: true},
		"late after that":                     {remaining: 5 * time.Second, lateShare: 0.15, noRefusal: true},
		"late where the mechanism is off":     {remaining: 5 * time.Second, lateShare: 1},
		"back so soon that it can be in time": {remaining: 5950 * time.Millisecond, lateShare: 0.15},
	} {
		core, server, request, now := returningCaller(one.remaining, !one.noRefusal)
		core.policy.LateShare = one.lateShare
		request.Queried = []*Candidate{server}
		assert.Equal(t, !one.refused, core.AnyAdmits(request, now), name)
		_, refusal := core.Choose(request, now)
		assert.Equal(t, one.refused, refusal != nil, name)
	}
}

// A caller refused for load is asked to come back in the second half of the time within which callers follow
// the advice, and its refusal shows that there is an overload.
func TestRefusalForLoadShowsOverload(t *testing.T) {
	core, server, request, now := returningCaller(6*time.Second, false)
	server.report.Waiting = 6
	_, refusal := core.Choose(request, now)
	require.NotNil(t, refusal)
	assert.Equal(t, RefusedOverload, refusal.Reason)
	assert.Equal(t, time.Second, refusal.RetryAfter, "the queue alone would have been shorter sooner")
	assert.InDelta(t, 0.15, getOrCreate(core.overloadDetectors, "s").LateFraction(now.Sub(epoch), 0.15), 1e-9)
}

// Without a server that could serve a request there is no overload.
func TestRefusalWithoutAServerShowsNoOverload(t *testing.T) {
	core, server, request, now := returningCaller(6*time.Second, false)
	server.report.Version = 0
	_, refusal := core.Choose(request, now)
	require.NotNil(t, refusal)
	assert.InDelta(t, 1, getOrCreate(core.overloadDetectors, "s").LateFraction(now.Sub(epoch), 0.15), 1e-9)
}

// While a refused caller may be coming back, the remaining times of arrivals are not learned as those
// of first attempts.
func TestRefusedCallersAreNotLearnedFrom(t *testing.T) {
	core, _, request, now := returningCaller(6*time.Second, false)
	core.RecordRefusal(request, now)
	for i := range 60 {
		core.RecordArrival(&Request{Service: "s", Route: "r"}, 4500*time.Millisecond, now.Add(time.Duration(i)*20*time.Millisecond))
	}
	assert.Equal(t, 1500*time.Millisecond, core.RecordArrival(&Request{Service: "s", Route: "r"}, 4500*time.Millisecond, now.Add(2*time.Second)).Elapsed)
}

// Long prompts are granted the time in which an idle server would begin them, even for late callers.
func TestLongPromptsOfLateCallersAreAdmittedAtIdleServers(t *testing.T) {
	core, server, request, now := returningCaller(5*time.Second, true)
	server.report.Running, request.Prompt = 0, 9000
	require.Greater(t, request.Figures.TimeToFirstEvent(balance.Load{}, request.Prompt), 300*time.Millisecond)
	_, refusal := core.Choose(request, now)
	assert.Nil(t, refusal)
}

// What was learned of a route is dropped with the route.
func TestRemovedRoutesAreForgotten(t *testing.T) {
	core, _, _, now := returningCaller(6*time.Second, false)
	core.RecordArrival(&Request{Service: "s", Route: "removed"}, 6*time.Second, now)
	core.RetainRoutes(map[string]bool{"r": true})
	assert.Len(t, core.retryDetectors, 1)
	assert.Contains(t, core.retryDetectors, "r")
}

// While servers are full, other entries refuse callers that may come back here: their remaining times are not
// learned as those of first attempts, though this entry has refused nobody.
func TestNothingIsLearnedOfCallersWhileServersAreFull(t *testing.T) {
	for name, running := range map[string]int{"full": 19, "idle": 0} {
		core, server, request, now := returningCaller(6*time.Second, false)
		for range 20 {
			now = now.Add(200 * time.Millisecond)
			server.report.Running, server.report.at = running, now
			server.sends = ownSends{}
			_, refusal := core.Choose(request, now)
			require.Nil(t, refusal, name)
			core.RecordArrival(&Request{Service: "s", Route: "r"}, 4500*time.Millisecond, now)
		}
		elapsed := core.RecordArrival(&Request{Service: "s", Route: "r"}, 4500*time.Millisecond, now).Elapsed
		if name == "full" {
			assert.Equal(t, 1500*time.Millisecond, elapsed)
		} else {
			assert.Zero(t, elapsed, "callers with less time left arrived without overload")
		}
	}
}

// An overload that this entry has detected persists while first attempts are admitted to full servers, even
// if the entry itself refuses nobody for seconds.
func TestOverloadGoesOnWhileServersAreFull(t *testing.T) {
	core, server, request, now := returningCaller(6*time.Second, true)
	for range 15 {
		now = now.Add(200 * time.Millisecond)
		server.report.Running, server.report.at = 19, now
		server.sends = ownSends{}
		_, refusal := core.Choose(request, now)
		require.Nil(t, refusal)
	}
	late := *request
	late.Arrival = core.RecordArrival(&Request{Service: "s", Route: "r"}, 4500*time.Millisecond, now)
	server.sends = ownSends{}
	_, refusal := core.Choose(&late, now)
	require.NotNil(t, refusal)
	assert.Equal(t, RefusedOverload, refusal.Reason)
}
