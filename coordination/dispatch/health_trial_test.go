package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/health"
)

// An agent that loses its server after the server's last answer is believed for requests that must run at
// most once: earlier answers say nothing about the present.
func TestAgentLosesAServerAfterItsLastAnswer(t *testing.T) {
	s := newScript(t, "a1", "a2")
	lost := s.candidate("a1")
	s.report("a1", 0, LoadReport{Version: 1})
	s.report("a2", 0, LoadReport{Version: 1, Running: 8})
	s.core.Observe(lost, Outcome{Outcome: health.Served, SentAt: s.now.Add(-100 * time.Millisecond)}, s.now)
	for _, after := range []time.Duration{100, 500, 1000, 1900} {
		s.at(after * time.Millisecond)
		s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
		s.report("a2", 0, LoadReport{Version: 1, Running: 8})
		once := s.request()
		once.AtMostOnce = true
		s.served(once, "a2")
	}
}

// A service whose only server is ejected has one trial at a time, even though all requests go there for lack
// of another server.
func TestOnlyServerHasOneTrialAtATime(t *testing.T) {
	s := newScript(t, "a1")
	s.report("a1", 0, LoadReport{Version: 1})
	eject(s.core, s.candidate("a1"), s.now)
	s.at(ejectTime + 50*time.Millisecond)
	s.core.TakeHealthUpdates()
	trials := 0
	for range 10 {
		if s.goesTo(s.request(), "a1").Trial {
			trials++
		}
	}
	assert.Equal(t, 1, trials)
	assert.LessOrEqual(t, len(s.core.TakeHealthUpdates().Reports), 1)
}

// A request is not used as a trial if that would make it late while another server would begin it in time.
func TestTrialThatWouldBeLateIsNotMade(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.report("a1", 0, LoadReport{Version: 1})
	s.report("a2", 0, LoadReport{Version: 1})
	eject(s.core, s.candidate("a1"), s.now)
	s.at(ejectTime)
	s.report("a1", 0, LoadReport{Version: 1, Running: 2, UnreadTokens: 60000})
	s.report("a2", 0, LoadReport{Version: 1, Running: 2})
	s.served(s.request(), "a2")
}

// A new server under a known ID does not inherit the health of the former one.
func TestNewServerUnderAnOldIDStartsHealthy(t *testing.T) {
	s := newScript(t, "a1", "a2")
	eject(s.core, s.candidate("a1"), s.now)
	s.fleet.Servers[0].Address = "other:1"
	s.update()
	assert.Equal(t, Eligible, s.core.eligibility(s.candidate("a1"), s.request(), s.now))
}

// A trial is sent only where an ordinary request may be sent.
func TestTrialRespectsEligibility(t *testing.T) {
	s := newScript(t, "a1", "b1")
	eject(s.core, s.candidate("b1"), s.now)
	s.at(ejectTime)
	s.fleet.Evacuated = []string{"b"}
	s.update()
	s.report("a1", 0, LoadReport{Version: 1})
	s.report("b1", 0, LoadReport{Version: 1})
	s.served(s.request(), "a1")
}

// Guards against counting the time that an unresponsive server has taken before as typical at its trial: a
// request with 4 s left would wait there for all of it.
func TestTrialTimeoutIgnoresPastLateness(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.report("a1", 0, LoadReport{Version: 1})
	s.report("a2", 0, LoadReport{Version: 1, Running: 8})
	unresponsive := s.candidate("a1")
	for range 10 {
		s.core.RecordFirstEvent(unresponsive, 20*time.Millisecond)
	}
	waiting := s.goesTo(s.request(), "a1")
	s.at(time.Second)
	s.report("a1", 0, LoadReport{Version: 1})
	s.report("a2", 0, LoadReport{Version: 1, Running: 8})
	s.core.EndPrefill(waiting.Send, false, s.now)
	s.core.Release(waiting.Send)
	eject(s.core, unresponsive, s.now)
	s.at(time.Second + ejectTime)
	request := s.request()
	trial := s.goesTo(request, "a1")
	assert.True(t, trial.Trial)
	assert.Greater(t, trial.Expected, 400*time.Millisecond)
	assert.Less(t, s.core.TypicalWait(trial, request), 100*time.Millisecond)
}

// A request that would be lost if its server fails is not used as a trial, as long as others arrive.
func TestLastAttemptIsNoTrial(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.report("a1", 0, LoadReport{Version: 1})
	s.report("a2", 0, LoadReport{Version: 1, Running: 8})
	eject(s.core, s.candidate("a1"), s.now)
	s.at(ejectTime)
	last := s.request()
	last.LastAttempt = true
	s.served(last, "a2")
	assert.True(t, s.goesTo(s.request(), "a1").Trial)
}

// For a server that has given this entry no answer, the time that the other servers take is used.
func TestTypicalTimeOfAServerWithoutAnswers(t *testing.T) {
	s := newScript(t, "a1", "a2", "a3")
	streaming, whole := s.request(), s.request()
	whole.Streaming = false
	assert.Equal(t, streaming.Target, s.core.TypicalWait(Decision{Candidate: s.candidate("a1")}, streaming))
	for _, id := range []string{"a2", "a3"} {
		s.core.RecordFirstEvent(s.candidate(id), 20*time.Millisecond)
		s.core.RecordAnswerTime(s.candidate(id), 30*time.Millisecond)
	}
	assert.Equal(t, 20*time.Millisecond, s.core.TypicalWait(Decision{Candidate: s.candidate("a1")}, streaming))
	assert.Equal(t, 30*time.Millisecond, s.core.TypicalWait(Decision{Candidate: s.candidate("a1")}, whole))
}
