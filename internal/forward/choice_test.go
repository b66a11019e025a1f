package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/fleet"
)

func modelServer(now time.Time, missing int) *target {
	return &target{
		id: "i-1", server: fleet.Server{Slots: 16}, expected: map[*work]time.Time{}, statusAt: now,
		status: fleet.MachineStatus{Reachable: true, Version: 1, Missing: missing, SwitchMilliseconds: fleet.NoSwitch},
	}
}

// VERSION: a server whose agent still lacks pieces when they should long be there is
// sent nothing more on the old version; one that is prepared is, until shortly before
// the bound.
func TestUnpreparedServerIsLeftOutInTime(t *testing.T) {
	now := time.Now()
	engine := &fleet.Engine{StepMilliseconds: 9, Stride: 5, ReadPerSecond: 20000, UsualPrompt: 1000, UsualAnswer: 100}
	at := func(left time.Duration) need {
		return need{engine: engine, route: &fleet.Route{}, newest: 2, bound: now.Add(left), versionApply: 8 * time.Second, prompt: 1000}
	}
	assert.Equal(t, unfitNot, modelServer(now, 40).unfit(at(5*time.Second), now))
	assert.Equal(t, unfitBound, modelServer(now, 40).unfit(at(2500*time.Millisecond), now), "requests would queue up on its link")
	assert.Equal(t, unfitNot, modelServer(now, 0).unfit(at(2500*time.Millisecond), now))
	assert.Equal(t, unfitBound, modelServer(now, 0).unfit(at(300*time.Millisecond), now))
}

// A server that changes over, serves nothing or has not answered its agent is left
// out, and the log tells which.
func TestWhyAServerIsLeftOut(t *testing.T) {
	now := time.Now()
	wanted := need{engine: &fleet.Engine{}, route: &fleet.Route{}}
	changing, empty, unreachable, leaving, ejected := modelServer(now, 0), modelServer(now, 0), modelServer(now, 0), modelServer(now, 0), modelServer(now, 0)
	changing.status.SwitchMilliseconds = 100
	empty.status.Version = 0
	unreachable.status.Reachable = false
	leaving.server.Draining = true
	ejected.ejectedTill = now.Add(time.Second)
	for want, server := range map[string]*target{
		unfitChanging: changing, unfitEmpty: empty, unfitUnreachable: unreachable, unfitLeaving: leaving, unfitEjected: ejected,
	} {
		assert.Equal(t, want, server.unfit(wanted, now))
	}
}

// A server that has begun requests later than predicted is expected to go on so for a
// while, and is trusted again when that was long ago.
func TestLatenessFades(t *testing.T) {
	now := time.Now()
	server := modelServer(now, 0)
	waiting := &work{}
	server.expected[waiting] = now.Add(-2 * time.Second)
	assert.InDelta(t, 2, server.lateness(now).Seconds(), 0.01)
	server.noteBegun(waiting, now)
	first := server.lateness(now)
	assert.Greater(t, first, 500*time.Millisecond)
	assert.InDelta(t, first.Seconds()/2, server.lateness(now.Add(latenessHalfLife)).Seconds(), 0.01)
	assert.Zero(t, server.lateness(now.Add(10*latenessHalfLife)))
}
