package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// script drives the tracker of one entry through a history.
type script struct {
	t       *testing.T
	tracker *Tracker
	now     time.Duration
}

// play returns the script of an entry with a service of some servers: s0, s1 and so on.
func play(t *testing.T, servers int) *script {
	s := &script{t: t, tracker: New("e0"), now: time.Second}
	s.tracker.SetServers("service", names("s", servers))
	return s
}

func names(prefix string, count int) []string {
	list := make([]string, 0, count)
	for index := range count {
		list = append(list, fmt.Sprint(prefix, index))
	}
	return list
}

// see has an attempt end now that was sent 10 ms before.
func (s *script) see(server string, outcomes ...Outcome) *script {
	for _, outcome := range outcomes {
		s.seeClass(server, "route", outcome)
	}
	return s
}

func (s *script) seeClass(server, class string, outcome Outcome) {
	s.now += 10 * ms
	s.tracker.Observe(Attempt{Server: server, Class: class, Outcome: outcome, Sent: s.now - 10*ms}, s.now)
}

func (s *script) wait(span time.Duration) *script {
	s.now += span
	return s
}

func (s *script) is(server string, state State) *script {
	s.t.Helper()
	assert.Equal(s.t, state.String(), s.tracker.State(server, s.now).String(), server)
	return s
}

// try sends the server a request on trial, which ends so.
func (s *script) try(server string, outcome Outcome) *script {
	s.t.Helper()
	require.True(s.t, s.tracker.MayBeginTrial(server, true, s.now))
	s.tracker.BeginTrial(server, s.now)
	assert.False(s.t, s.tracker.MayBeginTrial(server, true, s.now), "one at a time")
	return s.see(server, outcome)
}

func TestOneFailureMakesSuspectTwoEject(t *testing.T) {
	play(t, 4).see("s0", Errored).is("s0", Suspect).see("s0", Errored).is("s0", Ejected).is("s1", Healthy)
	play(t, 4).see("s0", Broken, Broken).is("s0", Ejected)
	play(t, 4).see("s0", Overdue, Overdue).is("s0", Suspect).see("s0", Overdue).is("s0", Ejected)
	play(t, 4).see("s0", Unreachable).is("s0", Suspect).see("s0", Unreachable).is("s0", Ejected)
	play(t, 4).see("s0", Declined, Declined, Declined).is("s0", Suspect).see("s0", Declined).is("s0", Ejected)
}

func TestEvidenceIsForgotten(t *testing.T) {
	play(t, 4).see("s0", Errored).wait(evidenceHalfLife).is("s0", Healthy).see("s0", Errored).is("s0", Suspect)
	play(t, 4).see("s0", Errored, Served, Served, Served, Served, Served, Served, Served, Served).is("s0", Healthy).see("s0", Errored).is("s0", Suspect)
}

// A server that fails some of its requests is found among others that fail none, and serves on.
func TestServerThatFailsSomeRequestsIsSuspect(t *testing.T) {
	s := play(t, 4)
	for round := range 10 {
		for server := range 4 {
			outcome := Served
			if server == 0 && round%5%2 == 1 {
				outcome = Errored
			}
			s.see(fmt.Sprint("s", server), outcome)
		}
	}
	s.is("s0", Suspect).is("s1", Healthy).is("s2", Healthy).is("s3", Healthy)
}

// Where one in seven answers of every server is a failure, that is no server's fault.
func TestUsualFailuresEjectNobody(t *testing.T) {
	s := play(t, 3)
	ejections := 0
	for request := range 3000 {
		outcome := Served
		if (request*request)%7 == 1 && request%2 == 0 {
			outcome = Errored
		}
		s.see(fmt.Sprint("s", (request/3)%3), outcome)
		ejections += len(s.tracker.Ejected())
		for _, server := range s.tracker.Ejected() {
			s.tracker.servers[server].restore(s.now)
		}
	}
	assert.LessOrEqual(t, ejections, 3, "of 3,000 requests")
}

// A route whose requests fail everywhere ejects no more than the cap, at first, and nobody once
// it is known, while a server that fails other requests too is still found.
func TestFaultyRouteEjectsNobody(t *testing.T) {
	s := play(t, 4)
	for range 40 {
		for server := range 4 {
			s.seeClass(fmt.Sprint("s", server), "faulty", Errored)
			s.seeClass(fmt.Sprint("s", server), "sound", Served)
		}
		require.LessOrEqual(t, len(s.tracker.Ejected()), 2)
	}
	for _, server := range s.tracker.Ejected() {
		s.wait(longestEjection).try(server, Served)
	}
	s.wait(forgiveTime)
	for range 10 {
		for server := range 4 {
			s.seeClass(fmt.Sprint("s", server), "faulty", Errored)
			s.is(fmt.Sprint("s", server), Healthy)
		}
	}
	s.seeClass("s2", "sound", Errored)
	s.seeClass("s2", "sound", Errored)
	s.is("s2", Ejected)
}

// A request that failed before may be at fault itself.
func TestRepeatedRequestsSayLittle(t *testing.T) {
	s := play(t, 4)
	for range 3 {
		s.now += 10 * ms
		s.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Errored, Sent: s.now - ms, Retry: true}, s.now)
	}
	s.is("s0", Healthy)
}

// Failures of requests eject at most half of the servers; connections that do not come up are
// the servers' own.
func TestShareOfServersThatMayBeEjected(t *testing.T) {
	s := play(t, 4)
	for server := range 4 {
		s.see(fmt.Sprint("s", server), Broken, Broken)
	}
	assert.Len(t, s.tracker.Ejected(), 2)
	s.is("s2", Suspect).see("s3", Unreachable, Unreachable).is("s3", Ejected)
	assert.Empty(t, play(t, 1).see("s0", Broken, Broken, Broken).tracker.Ejected(), "the only server")
}

func TestServerReturnsByATrial(t *testing.T) {
	s := play(t, 4).see("s0", Errored, Errored).is("s0", Ejected)
	assert.False(t, s.tracker.MayBeginTrial("s0", true, s.now))
	s.wait(firstEjection).is("s0", OnTrial)
	assert.False(t, s.tracker.MayBeginTrial("s0", false, s.now), "not by a request that can't be sent again")
	s.try("s0", Served).is("s0", Healthy)
	assert.True(t, s.tracker.Confirmed("s0", s.now-1, s.now))
}

// What was sent before the ejection says nothing of the server now, either way.
func TestOldAttemptsSayNothing(t *testing.T) {
	s := play(t, 4).see("s0", Errored, Errored)
	old := s.now - 20*ms
	s.wait(firstEjection)
	s.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Served, Sent: old}, s.now)
	s.is("s0", OnTrial).try("s0", Served).is("s0", Healthy)
	s.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Errored, Sent: old}, s.now)
	s.is("s0", Healthy)
}

// Each failed trial keeps a server out for longer, up to a bound, and after a time in
// order all is forgotten.
func TestFlappingServerStaysOutLonger(t *testing.T) {
	s := play(t, 4).see("s0", Errored, Errored)
	for _, out := range []time.Duration{firstEjection, 2 * firstEjection, longestEjection, longestEjection} {
		assert.InDelta(t, out, s.tracker.View("s0", s.now).Remaining, 1)
		s.wait(out).try("s0", Errored)
	}
	s.wait(longestEjection).try("s0", Served).is("s0", Healthy)
	s.see("s0", Errored, Errored).is("s0", Ejected)
	assert.InDelta(t, longestEjection, s.tracker.View("s0", s.now).Remaining, 1)
	s.wait(longestEjection).try("s0", Served).is("s0", Healthy)
	s.wait(maximumRounds*forgiveTime).see("s0", Errored).is("s0", Suspect).see("s0", Errored).is("s0", Ejected)
	assert.InDelta(t, firstEjection, s.tracker.View("s0", s.now).Remaining, 1)
}

// A trial that fails in a way that is usual has the server tried again as soon as before.
func TestTrialThatFailsAsUsual(t *testing.T) {
	s := play(t, 4).see("s0", Errored, Errored)
	for request := range 60 {
		s.see("s1", []Outcome{Served, Overdue, Served}[request%3]).see("s2", Served)
	}
	s.wait(firstEjection).try("s0", Overdue).is("s0", Ejected)
	assert.InDelta(t, firstEjection, s.tracker.View("s0", s.now).Remaining, 1)
	s.wait(firstEjection).try("s0", Declined).is("s0", Ejected)
	s.wait(firstEjection).try("s0", Served).is("s0", Healthy)
}

func TestTrialWithoutAnEndLeavesRoomForAnother(t *testing.T) {
	s := play(t, 4).see("s0", Errored, Errored).wait(firstEjection)
	s.tracker.BeginTrial("s0", s.now)
	assert.False(t, s.tracker.MayBeginTrial("s0", true, s.now))
	s.tracker.EndTrial("s0", s.now)
	assert.True(t, s.tracker.MayBeginTrial("s0", true, s.now))
	s.tracker.BeginTrial("s0", s.now)
	s.wait(trialLimit)
	assert.True(t, s.tracker.MayBeginTrial("s0", true, s.now))
}

// A server that is sent no request that may be repeated returns by another one.
func TestAnyRequestIsATrialAfterAWhile(t *testing.T) {
	s := play(t, 4).see("s0", Errored, Errored).wait(firstEjection + trialPatience)
	assert.True(t, s.tracker.MayBeginTrial("s0", false, s.now))
}

func TestServersThatAreListedNoMoreAreForgotten(t *testing.T) {
	s := play(t, 4).see("s0", Errored, Errored)
	s.tracker.SetServers("service", []string{"s1", "s9"})
	s.is("s0", Healthy)
	assert.Len(t, s.tracker.servers, 2)
	s.tracker.SetServers("service", nil)
	assert.Empty(t, s.tracker.servers)
	assert.Empty(t, s.tracker.services)
}

// Many routes do not make what is held grow.
func TestClassesAreBounded(t *testing.T) {
	s := play(t, 2)
	for class := range 5 * mostClasses {
		s.seeClass("s0", fmt.Sprint("route-", class), Served)
	}
	assert.Len(t, s.tracker.servers["s0"].classes, mostClasses)
	assert.Len(t, s.tracker.services["service"].classes, mostClasses)
}
