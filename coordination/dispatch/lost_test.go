package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/health"
)

// attemptsBeforeTrial is the minimum number of attempts that an entry sees before it tries a lost server.
const attemptsBeforeTrial = 20

// recordServed records that a server has served a number of attempts.
func (s *script) recordServed(id string, count int) {
	for range count {
		s.core.Observe(s.candidate(id), Outcome{Outcome: health.Served, SentAt: s.now}, s.now)
	}
}

// reportLost applies reports that the agent of a1 cannot reach its server, and that the agent of a2 can.
func (s *script) reportLost() {
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
	s.report("a2", 0, LoadReport{Version: 1, Running: 8})
}

// lostScript returns a script of two servers, where the agent of a1 has lost its server after it answered,
// with no requests in flight there.
func lostScript(t *testing.T) *script {
	s := newScript(t, "a1", "a2")
	s.report("a1", 0, LoadReport{Version: 1})
	s.report("a2", 0, LoadReport{Version: 1, Running: 8})
	s.recordServed("a1", attemptsBeforeTrial)
	s.at(10 * time.Millisecond)
	s.reportLost()
	return s
}

// A server that only its agent cannot reach returns by one repeatable request on its first attempt, and its
// answers keep it in use.
func TestLostServerReturnsByATrial(t *testing.T) {
	s := lostScript(t)
	s.served(s.request(), "a2") // Requests in flight may show first whether it serves.
	s.at(300 * time.Millisecond)
	s.reportLost()
	once, again := s.request(), s.request()
	once.AtMostOnce = true
	s.served(once, "a2")
	again.Tried = []*Candidate{s.candidate("a1")}
	s.served(again, "a2")
	trial := s.goesTo(s.request(), "a1")
	assert.True(t, trial.Trial)
	s.served(s.request(), "a2")
	s.recordServed("a1", 1)
	s.ends(trial)
	for after := 400 * time.Millisecond; after < 5*time.Second; after += 500 * time.Millisecond {
		s.at(after)
		s.reportLost()
		once = s.request()
		once.AtMostOnce = true
		open := s.goesTo(once, "a1")
		assert.False(t, open.Trial)
		s.recordServed("a1", 1)
		s.ends(open)
	}
}

// A server is put on trial again when its agent loses it after its last answer.
func TestLossAfterTheLastAnswerIsTriedAgain(t *testing.T) {
	s := lostScript(t)
	s.at(100 * time.Millisecond)
	s.recordServed("a1", 1)
	s.served(s.request(), "a1")
	s.report("a1", 0, LoadReport{Version: 1})
	s.at(110 * time.Millisecond)
	s.reportLost()
	s.served(s.request(), "a2")
	s.recordServed("a2", attemptsBeforeTrial)
	s.at(400 * time.Millisecond)
	s.reportLost()
	assert.True(t, s.goesTo(s.request(), "a1").Trial)
}

// A confirmation without a new answer holds for two seconds; then the server is on trial at once.
func TestConfirmationOfALostServerExpires(t *testing.T) {
	s := lostScript(t)
	s.at(100 * time.Millisecond)
	s.recordServed("a1", 1)
	s.at(2050 * time.Millisecond)
	s.reportLost()
	assert.False(t, s.goesTo(s.request(), "a1").Trial)
	s.at(2150 * time.Millisecond)
	s.reportLost()
	assert.True(t, s.goesTo(s.request(), "a1").Trial)
}

// The trial of a lost server has the typical timeout; requests sent there before are abandoned early.
func TestTrialOfALostServerHasTheTypicalTimeout(t *testing.T) {
	s := lostScript(t)
	before := s.now.Add(-time.Millisecond)
	s.at(300 * time.Millisecond)
	s.reportLost()
	s.goesTo(s.request(), "a1")
	assert.True(t, s.core.FailureSuspected(s.candidate("a1"), before, s.now))
	assert.False(t, s.core.FailureSuspected(s.candidate("a1"), s.now, s.now))
}

// The trial of a lost server that does not answer leaves its caller time for another attempt, even where
// answers typically take 0.5 s. A request with less time is not used as a trial.
func TestTrialOfAnUnresponsiveLostServerAtASlowService(t *testing.T) {
	s := lostScript(t)
	for range 20 {
		s.core.RecordFirstEvent(s.candidate("a2"), 500*time.Millisecond)
	}
	s.at(300 * time.Millisecond)
	s.reportLost()
	request := s.request()
	request.MinOverdueTime = time.Second
	request.TimeRemaining = 2 * time.Second
	s.served(request, "a2")
	request.TimeRemaining = 4 * time.Second
	trial := s.goesTo(request, "a1")
	assert.True(t, trial.Trial)
	typicalWait := s.core.TypicalWait(trial, request)
	assert.Positive(t, trial.OverdueAfter)
	assert.LessOrEqual(t, trial.OverdueAfter+typicalWait, request.TimeRemaining)
	assert.GreaterOrEqual(t, trial.OverdueAfter, 4*typicalWait, "a server that serves is not abandoned early either")
	s.ends(trial)
	ordinary := s.goesTo(request, "a2")
	assert.Zero(t, ordinary.OverdueAfter)
}

// Where all servers of a service are lost, there are no attempts that would permit trials. The servers are
// tried nevertheless, with one request per pause each, even after a failed trial.
func TestServiceOfLostServersAloneIsTried(t *testing.T) {
	for name, attempts := range map[string]int{"entry just started": 0, "entry has served": attemptsBeforeTrial} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, "a1", "a2")
			s.report("a1", 0, LoadReport{Version: 1})
			s.report("a2", 0, LoadReport{Version: 1})
			s.recordServed("a1", attempts)
			trials := 0
			for after := 10 * time.Millisecond; after < 60*time.Second; after += 50 * time.Millisecond {
				s.at(after)
				s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
				s.core.ApplyReport(LoadReport{Address: "a2:1", Version: 1}, s.now)
				decision, refusal := s.core.Choose(s.request(), s.now)
				if refusal != nil {
					continue
				}
				trials++
				s.core.Observe(decision.Candidate, Outcome{Outcome: health.Unreachable, SentAt: s.now}, s.now)
				s.ends(decision)
			}
			assert.Greater(t, trials, 10)
			assert.LessOrEqual(t, trials, 2*12)
		})
	}
}

// A lost server beside one whose answers outweigh its agent's reports is tried for one attempt in twenty, as
// beside a reachable one.
func TestLostServerBesideAConfirmedOneIsTriedByCount(t *testing.T) {
	for attempts, tried := range map[int]bool{attemptsBeforeTrial - 1: false, attemptsBeforeTrial: true} {
		s := newScript(t, "a1", "a2")
		s.report("a1", 0, LoadReport{Version: 1})
		s.report("a2", 0, LoadReport{Version: 1})
		s.at(10 * time.Millisecond)
		for _, address := range []string{"a1:1", "a2:1"} {
			s.core.ApplyReport(LoadReport{Address: address, Version: 1}, s.now)
		}
		s.at(300 * time.Millisecond)
		s.recordServed("a2", attempts)
		for _, address := range []string{"a1:1", "a2:1"} {
			s.core.ApplyReport(LoadReport{Address: address, Version: 1}, s.now)
		}
		decision, refusal := s.core.Choose(s.request(), s.now)
		assert.Nil(t, refusal)
		assert.Equal(t, tried, decision.Trial)
	}
}

// A lost server that leaves the list and returns starts afresh, even during its pause: 522 ms after a trial
// that has not ended it may be tried again.
func TestLostServerListedAgainStartsAfresh(t *testing.T) {
	s := lostScript(t)
	s.at(560 * time.Millisecond)
	s.reportLost()
	first := s.goesTo(s.request(), "a1")
	assert.True(t, first.Trial)
	s.recordServed("a2", attemptsBeforeTrial)
	s.at(1082*time.Millisecond - 1)
	s.reportLost()
	s.served(s.request(), "a2")
	listed := s.fleet.Servers
	s.fleet.Servers = listed[1:]
	s.update()
	s.served(s.request(), "a2")
	s.fleet.Servers = listed
	s.update()
	s.at(1082 * time.Millisecond)
	s.reportLost()
	assert.True(t, s.goesTo(s.request(), "a1").Trial)
}

// An entry that has seen no answer of a service still tries its lost servers: the trial waits for the target,
// which answers meet, and not for a multiple of it.
func TestLostServersOfAnEntryWithoutAnswersAreTried(t *testing.T) {
	s := newScript(t, "a1")
	s.report("a1", 0, LoadReport{Version: 1})
	s.at(10 * time.Millisecond)
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
	s.at(300 * time.Millisecond)
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
	request := s.request()
	request.TimeRemaining, request.MinOverdueTime = 2*request.Target-1, 100*time.Millisecond
	s.refused(request, RefusedNoServer)
	request.TimeRemaining = 2 * request.Target
	trial := s.goesTo(request, "a1")
	assert.True(t, trial.Trial)
	assert.Equal(t, request.Target, trial.OverdueAfter)
}

// A lost server that does not answer is never used for lack of others, nor tried while it is ejected.
func TestLostServerIsNoLastResort(t *testing.T) {
	s := lostScript(t)
	s.at(300 * time.Millisecond)
	s.reportLost()
	eject(s.core, s.candidate("a1"), s.now)
	failed := s.request()
	failed.Tried = []*Candidate{s.candidate("a2")}
	assert.Equal(t, 1, s.refused(failed, RefusedNoServer).Servers[excludedUnreachable])
	s.served(s.request(), "a2")
	s.at(300*time.Millisecond + ejectTime)
	s.reportLost()
	assert.Equal(t, 1, s.refused(failed, RefusedNoServer).Servers[excludedUnreachable])
	assert.True(t, s.goesTo(s.request(), "a1").Trial)
}

// An agent's counts from before it lost its server are not used for the load: that is estimated from the
// entry's own requests, assuming as many from each other entry.
func TestLoadOfALostServer(t *testing.T) {
	s := lostScript(t)
	s.at(50 * time.Millisecond)
	s.recordServed("a1", 1)
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1, Running: 14, Waiting: 3}, s.now)
	request := s.request()
	request.OtherEntries = 19
	assert.Zero(t, s.core.load(s.candidate("a1"), request, s.now).Running)
	first := s.goesTo(request, "a1")
	s.core.EndPrefill(first.Send, true, s.now)
	assert.Equal(t, 20, s.core.load(s.candidate("a1"), request, s.now).Running)
	s.served(request, "a2")
	s.core.Release(first.Send)
	s.served(request, "a1")
}
