package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// idleServer is a set with one model server that its agent has just called idle, and
// what a request wants while other entries send too.
func idleServer(now time.Time, others int) (*targets, *target, need) {
	fleetOf := newTargets("z", nil, logging.Nop())
	server := modelServer(now.Add(-20*time.Millisecond), 0)
	fleetOf.byService["s"] = []*target{server}
	fleetOf.byAddress["10.0.0.1:1"] = server
	engine := &fleet.Engine{Slots: 16, StepMilliseconds: 7, Stride: 6, ReadPerSecond: 30000, UsualPrompt: 1000, UsualAnswer: 100}
	return fleetOf, server, need{
		service: "s", engine: engine, figures: engine.Figures(), others: others, prompt: 1000, work: &work{request: &Request{}},
		route: &fleet.Route{Target: 400 * time.Millisecond},
	}
}

// A server that has just become idle draws all entries at the same time: what this one
// has sent since the agent's word, each other may have sent as well.
func TestOthersMayHaveSentAsMuchSinceTheWord(t *testing.T) {
	now := time.Now()
	fleetOf, server, wanted := idleServer(now, 8)
	sent := 0
	for range 10 {
		wanted.work = &work{request: &Request{}}
		if _, refusal := fleetOf.choose(wanted); refusal == nil {
			sent++
		}
	}
	assert.Equal(t, 2, sent, "nine entries with two requests each make 600 ms of reading")
	fleetOf.takeStatus(fleet.MachineStatus{Address: "10.0.0.1:1", Reachable: true, Version: 1, Running: 2, SwitchMilliseconds: fleet.NoSwitch}, time.Now(), true)
	require.Equal(t, server.statusAt, fleetOf.byAddress["10.0.0.1:1"].statusAt)
	_, refusal := fleetOf.choose(wanted)
	assert.Nil(t, refusal, "the next word tells how much it was")
}

// Requests that were sent after the agent looked are no part of what it saw: all that
// it saw beyond those before is others'.
func TestRequestsOnTheirWayAreNotTakenForSeen(t *testing.T) {
	now := time.Now()
	fleetOf, server, wanted := idleServer(now, 0)
	_, refusal := fleetOf.choose(wanted)
	require.Nil(t, refusal)
	fleetOf.takeStatus(fleet.MachineStatus{
		Address: "10.0.0.1:1", Reachable: true, Version: 1, Waiting: 3, SwitchMilliseconds: fleet.NoSwitch,
	}, now.Add(-10*time.Millisecond), true)
	assert.Equal(t, 4, server.load(wanted, time.Now()).Waiting, "three of others and the own one")
}

// After connections of all servers were found silent, an agent's word that its link is slow
// does not count against its own quick answer.
func TestQuickAnswerOutweighsALinkMeasuredInSilence(t *testing.T) {
	for _, one := range []struct {
		silenceFound bool
		answered     time.Duration
		slow         bool
	}{
		{silenceFound: true, answered: time.Millisecond},
		{silenceFound: true, answered: time.Second, slow: true},
		{answered: time.Millisecond, slow: true},
	} {
		now := time.Now()
		server := modelServer(now.Add(-50*time.Millisecond), 0)
		server.status.LinkMilliseconds = 900
		server.answeredAt = now.Add(-one.answered)
		_, _, wanted := idleServer(now, 0)
		wanted.silenceFound = one.silenceFound
		assert.Equal(t, one.slow, server.firstEvent(wanted, now) >= 900*time.Millisecond, "%+v", one)
	}
}
