package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/health"
)

// ejectTime is the duration of a first ejection.
const ejectTime = 250 * time.Millisecond

// eject ejects a server by two failed connections, and returns the duration of the ejection.
func eject(c *Core, k *Candidate, now time.Time) time.Duration {
	for range 2 {
		c.Observe(k, Outcome{Outcome: health.Unreachable, SentAt: now}, now)
	}
	return c.health.View(k.ID, c.elapsed(now)).Remaining
}

// A suspect server is excluded from requests that can't be repeated or have failed elsewhere, and has a
// penalty for others.
func TestSuspectServersGetNoRequestsThatMustNotFail(t *testing.T) {
	s := newScript(t, "a1", "a2", "a3")
	s.report("a1", 0, LoadReport{Version: 1})
	s.report("a2", 0, LoadReport{Version: 1, Running: 14})
	s.report("a3", 0, LoadReport{Version: 1, Running: 14})
	s.core.Observe(s.candidate("a1"), Outcome{Outcome: health.Broken, SentAt: s.now}, s.now)
	s.report("a2", 0, LoadReport{Version: 1, Running: 16, Waiting: 30})
	s.report("a3", 0, LoadReport{Version: 1, Running: 16, Waiting: 30})
	s.served(s.request(), "a1")
	again := s.request()
	again.Tried = []*Candidate{s.candidate("a2")}
	s.served(again, "a3")
	again.Tried = append(again.Tried, s.candidate("a3"))
	s.served(again, "a1")
	s.report("a3", 0, LoadReport{Version: 1})
	once := s.request()
	once.AtMostOnce = true
	s.served(once, "a3")
}

// A server returns from ejection by one repeatable request on its first attempt. Its answers after its agent
// has lost it outweigh the agent's report.
func TestServerReturnsByATrial(t *testing.T) {
	s := newScript(t, "a1", "a2")
	lost := s.candidate("a1")
	s.report("a1", 0, LoadReport{Version: 1})
	s.report("a2", 0, LoadReport{Version: 1, Running: 8})
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
	s.served(s.request(), "a2") // Its answer came before its agent lost it and does not count.
	s.at(ejectTime + 100*time.Millisecond)
	s.core.Observe(lost, Outcome{Outcome: health.Served, SentAt: open.Send.sentAt}, s.now)
	s.ends(open)
	s.served(s.request(), "a1")
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
	s.served(s.request(), "a1")
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1, Reachable: true}, s.now)
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
	s.served(s.request(), "a2") // The agent has lost it again.
	s.at(ejectTime + 2200*time.Millisecond)
	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
	s.report("a2", 0, LoadReport{Version: 1})
	s.served(s.request(), "a2")
}

// A request sent to the only server beside its trial does not end the trial; only the trial itself does.
func TestOnlyTheTrialEndsTheTrial(t *testing.T) {
	s := newScript(t, "a1")
	s.report("a1", 0, LoadReport{Version: 1})
	eject(s.core, s.candidate("a1"), s.now)
	s.at(ejectTime + 50*time.Millisecond)
	trial, beside := s.goesTo(s.request(), "a1"), s.goesTo(s.request(), "a1")
	assert.True(t, trial.Trial)
	s.core.EndTrial(beside.Send, s.now)
	assert.False(t, s.goesTo(s.request(), "a1").Trial)
	s.core.EndTrial(trial.Send, s.now)
	assert.True(t, s.goesTo(s.request(), "a1").Trial)
}

// An attempt at the former server of an ID says nothing about the server that has the ID now.
func TestAttemptsAtAFormerServerOfAnID(t *testing.T) {
	s := newScript(t, "a1", "a2")
	former := s.candidate("a1")
	s.fleet.Servers[0].Address = "other:1"
	s.update()
	eject(s.core, former, s.now)
	assert.Equal(t, Eligible, s.core.eligibility(s.candidate("a1"), s.request(), s.now))
}

// A request need not wait at an ejected server that does not answer, if it was sent before the ejection and
// another server is available.
func TestPendingRequestsLeaveAnEjectedServer(t *testing.T) {
	s := newScript(t, "a1", "a2")
	before := s.now
	s.at(100 * time.Millisecond)
	eject(s.core, s.candidate("a1"), s.now)
	suspect := func(sentAt time.Time) bool { return s.core.FailureSuspected(s.candidate("a1"), sentAt, s.now) }
	assert.True(t, suspect(before))
	assert.False(t, suspect(s.now), "sent for lack of others")
	s.at(100*time.Millisecond + ejectTime)
	assert.True(t, suspect(before))
	assert.False(t, suspect(s.now), "sent as a trial")
	eject(s.core, s.candidate("a2"), s.now)
	assert.False(t, suspect(before), "there is no other")
}
