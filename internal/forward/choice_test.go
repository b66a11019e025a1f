package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

func modelServer(now time.Time, missing int) *target {
	return &target{
		id: "i-1", server: fleet.Server{Slots: 16}, unbegun: map[*work]unbegun{}, statusAt: now,
		status: fleet.MachineStatus{Reachable: true, Version: 1, Missing: missing, SwitchMilliseconds: fleet.NoSwitch},
	}
}

// VERSION: a server on a narrow link whose agent lacks more pieces than can come in time
// is sent nothing more on the old version; one that will be prepared, and one whose
// pieces are late for another reason, is, also after two versions in
// quick succession, until shortly before the bound.
func TestUnpreparedServerIsLeftOutInTime(t *testing.T) {
	now := time.Now()
	fleetOf := newTargets("z", nil, logging.Nop())
	fleetOf.view = &catalog.View{Configuration: &fleet.Configuration{Services: map[string]fleet.Service{
		"o": {OriginAddress: "10.0.0.1:1", OriginLinkBytesPerSecond: 1e6},
	}}}
	// One copy takes 2.5 s over a link like the origin's.
	engine := &fleet.Engine{Pieces: 100, PieceBytes: 25_000, StepMilliseconds: 9, Stride: 5, ReadPerSecond: 20000, UsualPrompt: 1000, UsualAnswer: 100}
	at := func(left time.Duration) need {
		return need{engine: engine, figures: engine.Figures(), route: &fleet.Route{}, notices: []catalog.Notice{{Version: 2, Since: now}}, versionApply: left, prompt: 1000}
	}
	for _, one := range []struct {
		missing int
		link    time.Duration
		left    time.Duration
		want    string
	}{
		{missing: 80, link: narrowLink, left: 5 * time.Second, want: unfitNot},
		{missing: 80, link: narrowLink, left: 3200 * time.Millisecond, want: unfitBound},
		{missing: 20, link: narrowLink, left: 3200 * time.Millisecond, want: unfitNot},
		{missing: 20, link: narrowLink, left: 1400 * time.Millisecond, want: unfitBound},
		{missing: 0, link: narrowLink, left: 1400 * time.Millisecond, want: unfitBound},
		{missing: 96, link: 20 * time.Millisecond, left: 1400 * time.Millisecond, want: unfitNot},
		{missing: 96, link: 20 * time.Millisecond, left: 900 * time.Millisecond, want: unfitBound},
		{missing: 0, left: 1400 * time.Millisecond, want: unfitNot},
		{missing: 0, left: 900 * time.Millisecond, want: unfitBound},
	} {
		server := modelServer(now, one.missing)
		server.status.LinkMilliseconds = one.link.Milliseconds()
		assert.Equal(t, one.want, fleetOf.unfit(server, at(one.left), now), "%d missing, link %s, %s left", one.missing, one.link, one.left)
	}
}

// VERSION: after two versions in quick succession a server on the oldest is bound by the
// first of them, one on the second by the third.
func TestEachServerIsBoundByTheFirstVersionItLacks(t *testing.T) {
	now := time.Now()
	fleetOf := newTargets("z", nil, logging.Nop())
	const apply = 8 * time.Second
	wanted := need{
		engine: &fleet.Engine{}, route: &fleet.Route{}, versionApply: apply,
		notices: []catalog.Notice{{Version: 2, Since: now.Add(-apply + 900*time.Millisecond)}, {Version: 3, Since: now.Add(-apply + 2900*time.Millisecond)}},
	}
	oldest, middle, newest := modelServer(now, 0), modelServer(now, 0), modelServer(now, 0)
	middle.status.Version, newest.status.Version = 2, 3
	assert.Equal(t, unfitBound, fleetOf.unfit(oldest, wanted, now))
	assert.Equal(t, unfitNot, fleetOf.unfit(middle, wanted, now))
	assert.Equal(t, unfitNot, fleetOf.unfit(newest, wanted, now))
}

// BUDGET: after a version's bound a server that has a newer one is not asked for the
// older, which it would turn away.
func TestServerIsAskedForTheVersionItHas(t *testing.T) {
	for _, one := range []struct{ exactly, atLeast, serving, want uint64 }{
		{want: 0, serving: 2}, {atLeast: 2, serving: 2, want: 2}, {atLeast: 2, serving: 3, want: 3}, {exactly: 2, atLeast: 2, serving: 3, want: 2},
	} {
		w := &work{wanted: need{exactly: one.exactly, atLeast: one.atLeast}}
		assert.Equal(t, one.want, w.expectedVersion(one.serving))
	}
}

// VERSION: a server whose pieces come much later than others' is on a narrow link, also
// while messages pass it quickly; where nobody has them the origin is what is slow.
func TestServerThatLagsBehindTheOthersIsOnANarrowLink(t *testing.T) {
	now := time.Now()
	fleetOf := newTargets("z", nil, logging.Nop())
	fleetOf.view = &catalog.View{Configuration: &fleet.Configuration{Services: map[string]fleet.Service{
		"o": {OriginAddress: "10.0.0.1:1", OriginLinkBytesPerSecond: 1e6},
	}}}
	engine := &fleet.Engine{Pieces: 100, PieceBytes: 25_000, StepMilliseconds: 9, Stride: 5, ReadPerSecond: 20000, UsualPrompt: 1000, UsualAnswer: 100}
	wanted := need{engine: engine, figures: engine.Figures(), route: &fleet.Route{}, notices: []catalog.Notice{{Version: 2, Since: now}}, versionApply: 3 * time.Second, prompt: 1000}
	lagging := modelServer(now, 80)
	for othersMissing, want := range map[int]string{70: unfitNot, 0: unfitBound} {
		fleetOf.statuses["10.0.0.9:1"] = statusAt{status: fleet.MachineStatus{Reachable: true, Missing: othersMissing}, at: now}
		fleetOf.findLeastMissing(now)
		assert.Equal(t, want, fleetOf.unfit(lagging, wanted, now), "others lack %d", othersMissing)
	}
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
		assert.Equal(t, want, newTargets("z", nil, logging.Nop()).unfit(server, wanted, now))
	}
}

// What a machine's agent tells of its link counts at every entry, also at one that has
// sent nothing there yet.
func TestNarrowLinkIsKnownBeforeTheFirstRequest(t *testing.T) {
	now := time.Now()
	engine := &fleet.Engine{ReadPerSecond: 20000}
	wanted := need{engine: engine, figures: engine.Figures(), route: &fleet.Route{}}
	sound, narrow := modelServer(now, 0), modelServer(now, 0)
	narrow.status.LinkMilliseconds = 900
	assert.Equal(t, 900*time.Millisecond, narrow.firstEvent(wanted, now)-sound.firstEvent(wanted, now))
}

// A server that has begun requests later than predicted is expected to go on so for a
// while, and is trusted again when that was long ago.
func TestLatenessFades(t *testing.T) {
	now := time.Now()
	server := modelServer(now, 0)
	waiting := &work{}
	server.unbegun[waiting] = unbegun{due: now.Add(-2 * time.Second)}
	assert.InDelta(t, 2, server.lateness(now).Seconds(), 0.01)
	server.noteBegun(waiting, now)
	first := server.lateness(now)
	assert.Greater(t, first, 500*time.Millisecond)
	assert.InDelta(t, first.Seconds()/2, server.lateness(now.Add(latenessHalfLife)).Seconds(), 0.01)
	assert.Zero(t, server.lateness(now.Add(10*latenessHalfLife)))
}

// A plain server whose answers were held up for a while is not refused for that as long
// as it has a free place: without requests nothing would show that the delay is past.
func TestSlowAnswersOfAnIdlePlainServerAreNoOverload(t *testing.T) {
	fleetOf := newTargets("z", nil, logging.Nop())
	server := &target{id: "p-1", server: fleet.Server{Slots: 6}, meanMilliseconds: 900, unbegun: map[*work]unbegun{}}
	fleetOf.byService["plain"] = []*target{server}
	wanted := need{service: "plain", route: &fleet.Route{Target: 120 * time.Millisecond}, work: &work{request: &Request{}}}
	_, refusal := fleetOf.choose(wanted)
	assert.Nil(t, refusal)
	server.inFlight = 7
	_, refusal = fleetOf.choose(wanted)
	assert.NotNil(t, refusal, "a full one is overloaded")
	wanted.tried = []*target{{}}
	_, refusal = fleetOf.choose(wanted)
	assert.Nil(t, refusal, "a request that was admitted once is not refused for load")
}
