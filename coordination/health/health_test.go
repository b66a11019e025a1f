package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// script runs a sequence of events at the tracker of one entry.
type script struct {
	t       *testing.T
	tracker *Tracker
	now     time.Duration
}

// newScript returns a script for an entry with one service, whose servers are s0, s1 and so on.
func newScript(t *testing.T, servers int) *script {
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

// observe ends attempts now that were sent 10 ms before.
func (s *script) observe(server string, outcomes ...Outcome) *script {
	for _, outcome := range outcomes {
		s.observeClass(server, "route", outcome)
	}
	return s
}

func (s *script) observeClass(server, class string, outcome Outcome) {
	s.now += 10 * ms
	s.tracker.Observe(Attempt{Server: server, Class: class, Outcome: outcome, Sent: s.now - 10*ms}, s.now)
}

func (s *script) wait(duration time.Duration) *script {
	s.now += duration
	return s
}

func (s *script) expect(server string, state State) *script {
	s.t.Helper()
	assert.Equal(s.t, state.String(), s.tracker.State(server, s.now).String(), server)
	return s
}

// runTrial sends a server a trial request, which ends with the given outcome.
func (s *script) runTrial(server string, outcome Outcome) *script {
	s.t.Helper()
	require.True(s.t, s.tracker.MayBeginTrial(server, true, s.now))
	s.tracker.BeginTrial(server, s.now)
	assert.False(s.t, s.tracker.MayBeginTrial(server, true, s.now), "one trial at a time")
	return s.observe(server, outcome)
}

func TestOneFailureMakesSuspectTwoEject(t *testing.T) {
	newScript(t, 4).observe("s0", Errored).expect("s0", Suspect).observe("s0", Errored).expect("s0", Ejected).expect("s1", Healthy)
	newScript(t, 4).observe("s0", Broken, Broken).expect("s0", Ejected)
	newScript(t, 4).observe("s0", Overdue, Overdue).expect("s0", Suspect).observe("s0", Overdue).expect("s0", Ejected)
	newScript(t, 4).observe("s0", Unreachable).expect("s0", Suspect).observe("s0", Unreachable).expect("s0", Ejected)
	newScript(t, 4).observe("s0", Declined, Declined, Declined).expect("s0", Suspect).observe("s0", Declined).expect("s0", Ejected)
}

func TestEvidenceDecays(t *testing.T) {
	newScript(t, 4).observe("s0", Errored).wait(evidenceHalfLife).expect("s0", Healthy).observe("s0", Errored).expect("s0", Suspect)
	newScript(t, 4).observe("s0", Errored, Served, Served, Served, Served, Served, Served, Served, Served).expect("s0", Healthy).observe("s0", Errored).expect("s0", Suspect)
}

// A server that fails some of its requests, among others that fail none, becomes suspect and stays
// in use.
func TestPartlyFailingServerIsSuspect(t *testing.T) {
	s := newScript(t, 4)
	for round := range 10 {
		for server := range 4 {
			outcome := Served
			if server == 0 && round%5%2 == 1 {
				outcome = Errored
			}
			s.observe(fmt.Sprint("s", server), outcome)
		}
	}
	s.expect("s0", Suspect).expect("s1", Healthy).expect("s2", Healthy).expect("s3", Healthy)
}

// If one in seven answers of every server is a failure, no server is at fault.
func TestBaselineFailuresEjectNoServer(t *testing.T) {
	s := newScript(t, 3)
	ejections := 0
	for request := range 3000 {
		outcome := Served
		if (request*request)%7 == 1 && request%2 == 0 {
			outcome = Errored
		}
		s.observe(fmt.Sprint("s", (request/3)%3), outcome)
		ejections += len(s.tracker.Ejected())
		for _, server := range s.tracker.Ejected() {
			s.tracker.servers[server].restore(s.now)
		}
	}
	assert.LessOrEqual(t, ejections, 3, "of 3,000 requests")
}

// A route whose requests fail everywhere ejects at most maxEjectedRatio of the servers at first,
// and none once its failures are part of the baseline. A server that fails other requests too is
// still detected.
func TestFaultyRouteEjectsNoServer(t *testing.T) {
	s := newScript(t, 4)
	for range 40 {
		for server := range 4 {
			s.observeClass(fmt.Sprint("s", server), "faulty", Errored)
			s.observeClass(fmt.Sprint("s", server), "sound", Served)
		}
		require.LessOrEqual(t, len(s.tracker.Ejected()), 2)
	}
	for _, server := range s.tracker.Ejected() {
		s.wait(maxEjection).runTrial(server, Served)
	}
	s.wait(forgiveInterval)
	for range 10 {
		for server := range 4 {
			s.observeClass(fmt.Sprint("s", server), "faulty", Errored)
			s.expect(fmt.Sprint("s", server), Healthy)
		}
	}
	s.observeClass("s2", "sound", Errored)
	s.observeClass("s2", "sound", Errored)
	s.expect("s2", Ejected)
}

// A request that failed before may itself be the cause of the failure.
func TestRetriedRequestsCountLess(t *testing.T) {
	s := newScript(t, 4)
	for range 3 {
		s.now += 10 * ms
		s.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Errored, Sent: s.now - ms, Retry: true}, s.now)
	}
	s.expect("s0", Healthy)
}

// Failed requests eject at most half of the servers. Connections that can't be established are the
// fault of the server itself and not limited.
func TestMaxEjectedRatio(t *testing.T) {
	s := newScript(t, 4)
	for server := range 4 {
		s.observe(fmt.Sprint("s", server), Broken, Broken)
	}
	assert.Len(t, s.tracker.Ejected(), 2)
	s.expect("s2", Suspect).observe("s3", Unreachable, Unreachable).expect("s3", Ejected)
	assert.Empty(t, newScript(t, 1).observe("s0", Broken, Broken, Broken).tracker.Ejected(), "the only server")
}

func TestServerReturnsAfterTrial(t *testing.T) {
	s := newScript(t, 4).observe("s0", Errored, Errored).expect("s0", Ejected)
	assert.False(t, s.tracker.MayBeginTrial("s0", true, s.now))
	s.wait(baseEjection).expect("s0", OnTrial)
	assert.False(t, s.tracker.MayBeginTrial("s0", false, s.now), "not with a request that must not be repeated")
	s.runTrial("s0", Served).expect("s0", Healthy)
	assert.True(t, s.tracker.Confirmed("s0", s.now-1, s.now))
}

// Attempts that were sent before the ejection neither restore nor eject a server.
func TestAttemptsSentBeforeEjectionAreIgnored(t *testing.T) {
	s := newScript(t, 4).observe("s0", Errored, Errored)
	old := s.now - 20*ms
	s.wait(baseEjection)
	s.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Served, Sent: old}, s.now)
	s.expect("s0", OnTrial).runTrial("s0", Served).expect("s0", Healthy)
	s.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Errored, Sent: old}, s.now)
	s.expect("s0", Healthy)
}

// Each failed trial extends the next ejection, up to a limit. After enough time as a healthy server
// all ejections are forgotten.
func TestFlappingServerIsEjectedLonger(t *testing.T) {
	s := newScript(t, 4).observe("s0", Errored, Errored)
	for _, ejection := range []time.Duration{baseEjection, 2 * baseEjection, maxEjection, maxEjection} {
		assert.InDelta(t, ejection, s.tracker.View("s0", s.now).Remaining, 1)
		s.wait(ejection).runTrial("s0", Errored)
	}
	s.wait(maxEjection).runTrial("s0", Served).expect("s0", Healthy)
	s.observe("s0", Errored, Errored).expect("s0", Ejected)
	assert.InDelta(t, maxEjection, s.tracker.View("s0", s.now).Remaining, 1)
	s.wait(maxEjection).runTrial("s0", Served).expect("s0", Healthy)
	s.wait(maxRounds*forgiveInterval).observe("s0", Errored).expect("s0", Suspect).observe("s0", Errored).expect("s0", Ejected)
	assert.InDelta(t, baseEjection, s.tracker.View("s0", s.now).Remaining, 1)
}

// A trial that fails with a failure typical of the service does not extend the next ejection.
func TestTrialFailureAtBaselineRate(t *testing.T) {
	s := newScript(t, 4).observe("s0", Errored, Errored)
	for request := range 60 {
		s.observe("s1", []Outcome{Served, Overdue, Served}[request%3]).observe("s2", Served)
	}
	s.wait(baseEjection).runTrial("s0", Overdue).expect("s0", Ejected)
	assert.InDelta(t, baseEjection, s.tracker.View("s0", s.now).Remaining, 1)
	s.wait(baseEjection).runTrial("s0", Declined).expect("s0", Ejected)
	s.wait(baseEjection).runTrial("s0", Served).expect("s0", Healthy)
}

func TestUnfinishedTrialTimesOut(t *testing.T) {
	s := newScript(t, 4).observe("s0", Errored, Errored).wait(baseEjection)
	s.tracker.BeginTrial("s0", s.now)
	assert.False(t, s.tracker.MayBeginTrial("s0", true, s.now))
	s.tracker.EndTrial("s0", s.now)
	assert.True(t, s.tracker.MayBeginTrial("s0", true, s.now))
	s.tracker.BeginTrial("s0", s.now)
	s.wait(trialTimeout)
	assert.True(t, s.tracker.MayBeginTrial("s0", true, s.now))
}

// A server that receives no repeatable requests returns through another request.
func TestNonRepeatableRequestBecomesTrialAfterWait(t *testing.T) {
	s := newScript(t, 4).observe("s0", Errored, Errored).wait(baseEjection + repeatableTrialWait)
	assert.True(t, s.tracker.MayBeginTrial("s0", false, s.now))
}

func TestUnlistedServersAreRemoved(t *testing.T) {
	s := newScript(t, 4).observe("s0", Errored, Errored)
	s.tracker.SetServers("service", []string{"s1", "s9"})
	s.expect("s0", Healthy)
	assert.Len(t, s.tracker.servers, 2)
	s.tracker.SetServers("service", nil)
	assert.Empty(t, s.tracker.servers)
	assert.Empty(t, s.tracker.services)
}

// The number of tracked routes is limited.
func TestClassesAreBounded(t *testing.T) {
	s := newScript(t, 2)
	for class := range 5 * maxClasses {
		s.observeClass("s0", fmt.Sprint("route-", class), Served)
	}
	assert.Len(t, s.tracker.servers["s0"].classes, maxClasses)
	assert.Len(t, s.tracker.services["service"].classes, maxClasses)
}
