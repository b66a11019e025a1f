package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/health"
)

// ejectTime is the length of a first ejection.
const ejectTime = 250 * time.Millisecond

// eject has a server ejected, as two connections that do not come up do, and returns for how long.
func eject(c *Core, k *Candidate, now time.Time) time.Duration {
	for range 2 {
		c.Observe(k, Outcome{Outcome: health.Unreached, SentAt: now}, now)
	}
	return c.health.View(k.ID, c.elapsed(now)).Left
}

// A suspect server is left out for requests that can't be repeated or have failed elsewhere, and
// weighs more for others.
func TestSuspectServersAreSparedRequestsThatMustNotFail(t *testing.T) {
	s := newScript(t, "a1", "a2", "a3")
	s.hear("a1", 0, LoadReport{Version: 1})
	s.hear("a2", 0, LoadReport{Version: 1, Running: 14})
	s.hear("a3", 0, LoadReport{Version: 1, Running: 14})
	s.core.Observe(s.candidate("a1"), Outcome{Outcome: health.Broken, SentAt: s.now}, s.now)
	s.hear("a2", 0, LoadReport{Version: 1, Running: 16, Waiting: 30})
	s.hear("a3", 0, LoadReport{Version: 1, Running: 16, Waiting: 30})
	s.served(s.request(), "a1")
	again := s.request()
	again.Tried = []*Candidate{s.candidate("a2")}
	s.served(again, "a3")
	again.Tried = append(again.Tried, s.candidate("a3"))
	s.served(again, "a1")
	s.hear("a3", 0, LoadReport{Version: 1})
	once := s.request()
	once.AtMostOnce = true
	s.served(once, "a3")
}

// A server returns by one request that may be repeated, on its first attempt; what it answers
// after its agent has lost it outweighs that.
func TestServerReturnsByATrial(t *testing.T) {
	s := newScript(t, "a1", "a2")
	lost := s.candidate("a1")
	s.hear("a1", 0, LoadReport{Version: 1})
	s.hear("a2", 0, LoadReport{Version: 1, Running: 8})
	assert.Equal(t, ejectTime, eject(s.core, lost, s.now))
	s.served(s.request(), "a2")
	s.at(ejectTime)
	once, again := s.request(), s.request()
	once.AtMostOnce = true
	s.served(once, "a2")
	again.Tried = []*Candidate{lost}
	s.served(again, "a2")
	trial := s.goesTo(s.request(), "a1")
	assert.True(t, trial.Trial)
	s.served(s.request(), "a2")
	s.core.Observe(lost, Outcome{Outcome: health.Served, SentAt: s.now}, s.now)
	s.ends(trial)
	open := s.goesTo(s.request(), "a1")
	assert.False(t, open.Trial)
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
	s.served(s.request(), "a2") // What it answered before its agent lost it says nothing.
	s.at(ejectTime + 100*time.Millisecond)
	s.core.Observe(lost, Outcome{Outcome: health.Served, SentAt: open.Send.sentAt}, s.now)
	s.ends(open)
	s.served(s.request(), "a1")
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
	s.served(s.request(), "a1")
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1, Reachable: true}, s.now)
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
	s.served(s.request(), "a2") // It has lost it anew.
	s.at(ejectTime + 2200*time.Millisecond)
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
	s.hear("a2", 0, LoadReport{Version: 1})
	s.served(s.request(), "a2")
}

// A request that goes to the only server beside its trial does not end that; the trial does.
func TestOnlyTheTrialEndsTheTrial(t *testing.T) {
	s := newScript(t, "a1")
	s.hear("a1", 0, LoadReport{Version: 1})
	eject(s.core, s.candidate("a1"), s.now)
	s.at(ejectTime + 50*time.Millisecond)
	trial, beside := s.goesTo(s.request(), "a1"), s.goesTo(s.request(), "a1")
	assert.True(t, trial.Trial)
	s.core.EndTrial(beside.Send, s.now)
	assert.False(t, s.goesTo(s.request(), "a1").Trial)
	s.core.EndTrial(trial.Send, s.now)
	assert.True(t, s.goesTo(s.request(), "a1").Trial)
}

// An attempt at the server that had a name before says nothing of the one that has it now.
func TestAttemptsAtAFormerServerOfAName(t *testing.T) {
	s := newScript(t, "a1", "a2")
	former := s.candidate("a1")
	s.fleet.Servers[0].Address = "other:1"
	s.update()
	eject(s.core, former, s.now)
	assert.Equal(t, Eligible, s.core.eligibility(s.candidate("a1"), s.request(), s.now))
}

// A request need not wait on at a server that is out and answers nothing, if it was sent before the
// server was ejected, and there is another one to go to.
func TestWhatWaitsAtAnEjectedServerIsGivenUpForAnother(t *testing.T) {
	s := newScript(t, "a1", "a2")
	before := s.now
	s.at(100 * time.Millisecond)
	eject(s.core, s.candidate("a1"), s.now)
	suspect := func(sentAt time.Time) bool { return s.core.FailureSuspected(s.candidate("a1"), sentAt, s.now) }
	assert.True(t, suspect(before))
	assert.False(t, suspect(s.now), "sent for want of others")
	s.at(100*time.Millisecond + ejectTime)
	assert.True(t, suspect(before))
	assert.False(t, suspect(s.now), "sent as a trial")
	eject(s.core, s.candidate("a2"), s.now)
	assert.False(t, suspect(before), "there is no other")
}
