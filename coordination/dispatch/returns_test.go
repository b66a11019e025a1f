package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/coordination/shedding"
)

// returning is a request of a caller that waits for some time, at an entry that has served
// others of its route, all of which had six seconds left, and knows one full server, which has
// a place soon. A first attempt, if one was refused, was refused just before.
func returning(left time.Duration, refused bool) (*Core, *Candidate, *Request, time.Time) {
	now := epoch.Add(time.Minute)
	core, server, wanted := idleServer(now, 0)
	for i := range 40 {
		core.Arrived(&Request{Service: "s", Route: "r"}, 6*time.Second, epoch.Add(time.Duration(i)*time.Second))
	}
	if refused {
		held(core.pressures, "s").RecordRefusal(now.Sub(epoch), shedding.Arrival{})
	}
	server.word.Running = 16
	wanted.Route, wanted.Arrival = "r", core.Arrived(&Request{Service: "s", Route: "r"}, left, now)
	return core, server, wanted, now
}

// A full server that has a place soon is left to those whose answers can still be in time,
// while some of these are refused; afterwards it takes late requests at once.
func TestLateRequestsGoBehindInOverload(t *testing.T) {
	for name, one := range map[string]struct {
		left      time.Duration
		calm      bool
		lateShare float64
		refused   bool
	}{
		"first attempt":                       {left: 6 * time.Second, lateShare: 0.15},
		"late while others are refused":       {left: 5 * time.Second, lateShare: 0.15, refused: true},
		"late after that":                     {left: 5 * time.Second, lateShare: 0.15, calm: true},
		"late where the mechanism is off":     {left: 5 * time.Second, lateShare: 1},
		"back so soon that it can be in time": {left: 5950 * time.Millisecond, lateShare: 0.15},
	} {
		core, server, wanted, now := returning(one.left, !one.calm)
		core.policy.LateShare = one.lateShare
		wanted.Asked = []*Candidate{server}
		assert.Equal(t, !one.refused, core.AnyAdmits(wanted, now), name)
		_, refusal := core.Choose(wanted, now)
		assert.Equal(t, one.refused, refusal != nil, name)
	}
}

// A caller refused for load is asked to come back in the second half of the time that it
// heeds, and its refusal shows that there is overload now.
func TestRefusalForLoadIsPressure(t *testing.T) {
	core, server, wanted, now := returning(6*time.Second, false)
	server.word.Waiting = 6
	_, refusal := core.Choose(wanted, now)
	require.NotNil(t, refusal)
	assert.Equal(t, RefusedOverload, refusal.Reason)
	assert.Equal(t, time.Second, refusal.RetryAfter, "the queue alone would have come down sooner")
	assert.InDelta(t, 0.15, held(core.pressures, "s").LateFraction(now.Sub(epoch), 0.15), 1e-9)
}

// Without a server that could serve a request there is no overload.
func TestRefusalWithoutAServerIsNoPressure(t *testing.T) {
	core, server, wanted, now := returning(6*time.Second, false)
	server.word.Version = 0
	_, refusal := core.Choose(wanted, now)
	require.NotNil(t, refusal)
	assert.InDelta(t, 1, held(core.pressures, "s").LateFraction(now.Sub(epoch), 0.15), 1e-9)
}

// While a refused caller may be coming back, times left are not taken for usual ones.
func TestRefusedCallersAreNotLearnedFrom(t *testing.T) {
	core, _, wanted, now := returning(6*time.Second, false)
	core.Refused(wanted, now)
	for i := range 60 {
		core.Arrived(&Request{Service: "s", Route: "r"}, 4500*time.Millisecond, now.Add(time.Duration(i)*20*time.Millisecond))
	}
	assert.Equal(t, 1500*time.Millisecond, core.Arrived(&Request{Service: "s", Route: "r"}, 4500*time.Millisecond, now.Add(2*time.Second)).Elapsed)
}

// Long prompts are granted the time in which an idle server would begin them, also late ones.
func TestLongPromptsOfLateCallersAreAdmittedAtIdleServers(t *testing.T) {
	core, server, wanted, now := returning(5*time.Second, true)
	server.word.Running, wanted.Prompt = 0, 9000
	require.Greater(t, wanted.Figures.TimeToFirstEvent(balance.Load{}, wanted.Prompt), 300*time.Millisecond)
	_, refusal := core.Choose(wanted, now)
	assert.Nil(t, refusal)
}

// What was learned of routes is dropped with them.
func TestRemovedRoutesAreForgotten(t *testing.T) {
	core, _, _, now := returning(6*time.Second, false)
	core.Arrived(&Request{Service: "s", Route: "removed"}, 6*time.Second, now)
	core.KeepRoutes(map[string]bool{"r": true})
	assert.Len(t, core.usual, 1)
	assert.Contains(t, core.usual, "r")
}

// Other entries refuse callers while servers are full, and those may come back here: their times
// left are not taken for those of first attempts, though this entry has refused nobody.
func TestNothingIsLearnedOfCallersWhileServersAreFull(t *testing.T) {
	for name, running := range map[string]int{"full": 19, "idle": 0} {
		core, server, wanted, now := returning(6*time.Second, false)
		for range 20 {
			now = now.Add(200 * time.Millisecond)
			server.word.Running, server.word.at = running, now
			server.sends = ownSends{}
			_, refusal := core.Choose(wanted, now)
			require.Nil(t, refusal, name)
			core.Arrived(&Request{Service: "s", Route: "r"}, 4500*time.Millisecond, now)
		}
		elapsed := core.Arrived(&Request{Service: "s", Route: "r"}, 4500*time.Millisecond, now).Elapsed
		if name == "full" {
			assert.Equal(t, 1500*time.Millisecond, elapsed)
		} else {
			assert.Zero(t, elapsed, "callers with less time have come in a calm moment")
		}
	}
}

// An overload that this entry has met goes on while first attempts are admitted to full servers,
// also when it refuses nobody itself for seconds.
func TestOverloadGoesOnWhileServersAreFull(t *testing.T) {
	core, server, wanted, now := returning(6*time.Second, true)
	for range 15 {
		now = now.Add(200 * time.Millisecond)
		server.word.Running, server.word.at = 19, now
		server.sends = ownSends{}
		_, refusal := core.Choose(wanted, now)
		require.Nil(t, refusal)
	}
	late := *wanted
	late.Arrival = core.Arrived(&Request{Service: "s", Route: "r"}, 4500*time.Millisecond, now)
	server.sends = ownSends{}
	_, refusal := core.Choose(&late, now)
	require.NotNil(t, refusal)
	assert.Equal(t, RefusedOverload, refusal.Reason)
}
