package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/health"
)

// An agent that has lost its server after that answered is believed for requests that must not
// run twice: what was answered before says nothing of now.
func TestAgentLosesAServerAfterItsLastAnswer(t *testing.T) {
	s := newScript(t, "a1", "a2")
	lost := s.candidate("a1")
	s.hear("a1", 0, LoadReport{Version: 1})
	s.hear("a2", 0, LoadReport{Version: 1, Running: 8})
	s.core.Observe(lost, Outcome{Outcome: health.Served, SentAt: s.now.Add(-100 * time.Millisecond)}, s.now)
	for _, after := range []time.Duration{100, 500, 1000, 1900} {
		s.at(after * time.Millisecond)
		s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
		s.hear("a2", 0, LoadReport{Version: 1, Running: 8})
		once := s.request()
		once.AtMostOnce = true
		s.served(once, "a2")
	}
}

// A service whose only server is out has one request on trial at a time, also while every
// request goes there because there is no other.
func TestOnlyServerHasOneTrialAtATime(t *testing.T) {
	s := newScript(t, "a1")
	s.hear("a1", 0, LoadReport{Version: 1})
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

// A trial does not cost a request that another server would begin in time.
func TestTrialThatWouldBeLateIsNotMade(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.hear("a1", 0, LoadReport{Version: 1})
	s.hear("a2", 0, LoadReport{Version: 1})
	eject(s.core, s.candidate("a1"), s.now)
	s.at(ejectTime)
	s.hear("a1", 0, LoadReport{Version: 1, Running: 2, UnreadTokens: 60000})
	s.hear("a2", 0, LoadReport{Version: 1, Running: 2})
	s.served(s.request(), "a2")
}

// Another server that has taken a name is not held for what the former one has shown.
func TestNewServerOfAnOldNameBeginsInOrder(t *testing.T) {
	s := newScript(t, "a1", "a2")
	eject(s.core, s.candidate("a1"), s.now)
	s.fleet.Servers[0].Address = "other:1"
	s.update()
	assert.Equal(t, Eligible, s.core.eligibility(s.candidate("a1"), s.request(), s.now))
}

// A trial goes nowhere that an ordinary request may not go.
func TestTrialKeepsToWhatServersMayBeSent(t *testing.T) {
	s := newScript(t, "a1", "b1")
	eject(s.core, s.candidate("b1"), s.now)
	s.at(ejectTime)
	s.fleet.Evacuated = []string{"b"}
	s.update()
	s.hear("a1", 0, LoadReport{Version: 1})
	s.hear("b1", 0, LoadReport{Version: 1})
	s.served(s.request(), "a1")
}

// What a server that answers nothing has cost before is not what is usual at its trial: a request of
// 4 s would wait there for its whole time.
func TestTrialDoesNotWaitForWhatAMuteServerHasTaken(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.hear("a1", 0, LoadReport{Version: 1})
	s.hear("a2", 0, LoadReport{Version: 1, Running: 8})
	mute := s.candidate("a1")
	for range 10 {
		s.core.RecordFirstEvent(mute, 20*time.Millisecond)
	}
	waiting := s.goesTo(s.request(), "a1")
	s.at(time.Second)
	s.hear("a1", 0, LoadReport{Version: 1})
	s.hear("a2", 0, LoadReport{Version: 1, Running: 8})
	s.core.EndPrefill(waiting.Send, false, s.now)
	s.core.Release(waiting.Send)
	eject(s.core, mute, s.now)
	s.at(time.Second + ejectTime)
	request := s.request()
	trial := s.goesTo(request, "a1")
	assert.True(t, trial.Trial)
	assert.Greater(t, trial.Expected, 400*time.Millisecond)
	assert.Less(t, s.core.TypicalWait(trial, request), 100*time.Millisecond)
}

// A request that would be lost at a server that fails is no trial, as long as others come.
func TestLastAttemptIsNoTrial(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.hear("a1", 0, LoadReport{Version: 1})
	s.hear("a2", 0, LoadReport{Version: 1, Running: 8})
	eject(s.core, s.candidate("a1"), s.now)
	s.at(ejectTime)
	last := s.request()
	last.LastAttempt = true
	s.served(last, "a2")
	assert.True(t, s.goesTo(s.request(), "a1").Trial)
}

// A server that has given this entry no answer has the time that those of the others take.
func TestUsualTimeOfAServerWithoutAnswers(t *testing.T) {
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
