package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/health"
)

// attemptsBefore is how many attempts an entry sees at least before it tries a lost server.
const attemptsBefore = 20

// answersOf tells that a server has served some attempts.
func (s *script) answersOf(id string, count int) {
	for range count {
		s.core.Observe(s.candidate(id), Outcome{Outcome: health.Served, SentAt: s.now}, s.now)
	}
}

// agents has the agent of a1 say that it does not reach its server, and that of a2 that it does.
func (s *script) agents() {
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
	s.hear("a2", 0, LoadReport{Version: 1, Running: 8})
}

// lostScript is a script of two servers, of which the agent of a1 has lost its own after that
// answered, with nothing under way there.
func lostScript(t *testing.T) *script {
	s := newScript(t, "a1", "a2")
	s.hear("a1", 0, LoadReport{Version: 1})
	s.hear("a2", 0, LoadReport{Version: 1, Running: 8})
	s.answersOf("a1", attemptsBefore)
	s.at(10 * time.Millisecond)
	s.agents()
	return s
}

// A server that only its agent does not reach returns by one request that may be repeated, on its
// first attempt; its answers keep it in use.
func TestLostServerReturnsByATrial(t *testing.T) {
	s := lostScript(t)
	s.served(s.request(), "a2") // What is under way may show first whether it serves.
	s.at(300 * time.Millisecond)
	s.agents()
	once, again := s.request(), s.request()
	once.AtMostOnce = true
	s.served(once, "a2")
	again.Tried = []*Candidate{s.candidate("a1")}
	s.served(again, "a2")
	trial := s.goesTo(s.request(), "a1")
	assert.True(t, trial.Trial)
	s.served(s.request(), "a2")
	s.answersOf("a1", 1)
	s.ends(trial)
	for after := 400 * time.Millisecond; after < 5*time.Second; after += 500 * time.Millisecond {
		s.at(after)
		s.agents()
		once = s.request()
		once.AtMostOnce = true
		open := s.goesTo(once, "a1")
		assert.False(t, open.Trial)
		s.answersOf("a1", 1)
		s.ends(open)
	}
}

// An agent that loses the server after its last answer puts it back on trial.
func TestLossAfterTheLastAnswerIsTriedAgain(t *testing.T) {
	s := lostScript(t)
	s.at(100 * time.Millisecond)
	s.answersOf("a1", 1)
	s.served(s.request(), "a1")
	s.hear("a1", 0, LoadReport{Version: 1})
	s.at(110 * time.Millisecond)
	s.agents()
	s.served(s.request(), "a2")
	s.answersOf("a2", attemptsBefore)
	s.at(400 * time.Millisecond)
	s.agents()
	assert.True(t, s.goesTo(s.request(), "a1").Trial)
}

// A proof without a new answer holds for two seconds; then the server is on trial at once.
func TestProofOfALostServerAges(t *testing.T) {
	s := lostScript(t)
	s.at(100 * time.Millisecond)
	s.answersOf("a1", 1)
	s.at(2050 * time.Millisecond)
	s.agents()
	assert.False(t, s.goesTo(s.request(), "a1").Trial)
	s.at(2150 * time.Millisecond)
	s.agents()
	assert.True(t, s.goesTo(s.request(), "a1").Trial)
}

// What is sent to a lost server as its trial has the usual time; what was sent before is given up
// soon.
func TestTrialOfALostServerHasTheUsualTime(t *testing.T) {
	s := lostScript(t)
	before := s.now.Add(-time.Millisecond)
	s.at(300 * time.Millisecond)
	s.agents()
	s.goesTo(s.request(), "a1")
	assert.True(t, s.core.FailureSuspected(s.candidate("a1"), before, s.now))
	assert.False(t, s.core.FailureSuspected(s.candidate("a1"), s.now, s.now))
}

// The trial of a lost server that answers nothing leaves its caller time for another attempt, also where
// answers usually take 0.5 s; a request that has less time is no trial.
func TestTrialOfAMuteLostServerAtASlowService(t *testing.T) {
	s := lostScript(t)
	for range 20 {
		s.core.RecordFirstEvent(s.candidate("a2"), 500*time.Millisecond)
	}
	s.at(300 * time.Millisecond)
	s.agents()
	request := s.request()
	request.MinOverdueTime = time.Second
	request.TimeLeft = 2 * time.Second
	s.served(request, "a2")
	request.TimeLeft = 4 * time.Second
	trial := s.goesTo(request, "a1")
	assert.True(t, trial.Trial)
	usual := s.core.TypicalWait(trial, request)
	assert.Positive(t, trial.OverdueAfter)
	assert.LessOrEqual(t, trial.OverdueAfter+usual, request.TimeLeft)
	assert.GreaterOrEqual(t, trial.OverdueAfter, 4*usual, "nor is a server that serves given up early")
	s.ends(trial)
	ordinary := s.goesTo(request, "a2")
	assert.Zero(t, ordinary.OverdueAfter)
}

// Where all servers of a service are lost no attempts come that would allow trials: the servers are tried
// all the same, one request a pause each, also after one trial has failed.
func TestServiceOfLostServersAloneIsTried(t *testing.T) {
	for name, attempts := range map[string]int{"entry just started": 0, "entry has served": attemptsBefore} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, "a1", "a2")
			s.hear("a1", 0, LoadReport{Version: 1})
			s.hear("a2", 0, LoadReport{Version: 1})
			s.answersOf("a1", attempts)
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
				s.core.Observe(decision.Candidate, Outcome{Outcome: health.Unreached, SentAt: s.now}, s.now)
				s.ends(decision)
			}
			assert.Greater(t, trials, 10)
			assert.LessOrEqual(t, trials, 2*12)
		})
	}
}

// A lost server beside one whose answers outweigh its agent's words is tried for one attempt in twenty, as
// beside one that is reached.
func TestLostServerBesideAProvenOneIsTriedByCount(t *testing.T) {
	for attempts, tried := range map[int]bool{attemptsBefore - 1: false, attemptsBefore: true} {
		s := newScript(t, "a1", "a2")
		s.hear("a1", 0, LoadReport{Version: 1})
		s.hear("a2", 0, LoadReport{Version: 1})
		s.at(10 * time.Millisecond)
		for _, address := range []string{"a1:1", "a2:1"} {
			s.core.ApplyReport(LoadReport{Address: address, Version: 1}, s.now)
		}
		s.at(300 * time.Millisecond)
		s.answersOf("a2", attempts)
		for _, address := range []string{"a1:1", "a2:1"} {
			s.core.ApplyReport(LoadReport{Address: address, Version: 1}, s.now)
		}
		decision, refusal := s.core.Choose(s.request(), s.now)
		assert.Nil(t, refusal)
		assert.Equal(t, tried, decision.Trial)
	}
}

// A lost server that leaves the list and comes back begins anew, also in its pause: 522 ms after a trial
// that has not ended it may be tried again.
func TestLostServerListedAgainBeginsAnew(t *testing.T) {
	s := lostScript(t)
	s.at(560 * time.Millisecond)
	s.agents()
	first := s.goesTo(s.request(), "a1")
	assert.True(t, first.Trial)
	s.answersOf("a2", attemptsBefore)
	s.at(1082*time.Millisecond - 1)
	s.agents()
	s.served(s.request(), "a2")
	listed := s.fleet.Servers
	s.fleet.Servers = listed[1:]
	s.update()
	s.served(s.request(), "a2")
	s.fleet.Servers = listed
	s.update()
	s.at(1082 * time.Millisecond)
	s.agents()
	assert.True(t, s.goesTo(s.request(), "a1").Trial)
}

// An entry that has seen no answer of a service tries its lost servers all the same: such a trial waits for
// the target, which answers keep to, and not for a multiple of it.
func TestLostServersOfAnEntryWithoutAnswersAreTried(t *testing.T) {
	s := newScript(t, "a1")
	s.hear("a1", 0, LoadReport{Version: 1})
	s.at(10 * time.Millisecond)
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
	s.at(300 * time.Millisecond)
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
	request := s.request()
	request.TimeLeft, request.MinOverdueTime = 2*request.Target-1, 100*time.Millisecond
	s.refused(request, RefusedNoServer)
	request.TimeLeft = 2 * request.Target
	trial := s.goesTo(request, "a1")
	assert.True(t, trial.Trial)
	assert.Equal(t, request.Target, trial.OverdueAfter)
}

// A lost server that does not answer is never sent a request for want of others, nor tried while
// it is ejected.
func TestLostServerIsNoLastResort(t *testing.T) {
	s := lostScript(t)
	s.at(300 * time.Millisecond)
	s.agents()
	eject(s.core, s.candidate("a1"), s.now)
	failed := s.request()
	failed.Tried = []*Candidate{s.candidate("a2")}
	assert.Equal(t, 1, s.refused(failed, RefusedNoServer).Servers[excludedUnreachable])
	s.served(s.request(), "a2")
	s.at(300*time.Millisecond + ejectTime)
	s.agents()
	assert.Equal(t, 1, s.refused(failed, RefusedNoServer).Servers[excludedUnreachable])
	assert.True(t, s.goesTo(s.request(), "a1").Trial)
}

// What an agent counted before it lost its server says nothing of the load there now: that is taken
// from the entry's own requests, and others are assumed to have as many each.
func TestLoadOfALostServer(t *testing.T) {
	s := lostScript(t)
	s.at(50 * time.Millisecond)
	s.answersOf("a1", 1)
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
