package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// delistedScript returns a script in which server a1 got a request, its agent reported at 1 s, and the
// list drops it the given time later.
func delistedScript(t *testing.T, reportAge time.Duration) (*script, *Candidate) {
	s := newScript(t, "a1")
	s.at(time.Second)
	s.report("a1", 0, LoadReport{Version: 1})
	s.goesTo(s.request(), "a1")
	sentTo := s.candidate("a1")
	s.at(time.Second + reportAge)
	s.fleet.Servers = nil
	s.update()
	return s, sentTo
}

// Guards against requests that are given up at a healthy server which is no longer listed: no entry
// has a link to its agent, so that its reports end.
func TestDelistedServerIsNotSuspectedForItsAgentsSilence(t *testing.T) {
	s, delisted := delistedScript(t, 300*time.Millisecond)
	s.at(5 * time.Second)
	assert.False(t, s.core.FailureSuspected(delisted, epoch.Add(time.Second), s.now))
}

// Guards against requests that wait at a machine that has died: its agent had fallen silent before
// the list dropped the server.
func TestDelistedServerIsSuspectedIfItsAgentWasSilentBefore(t *testing.T) {
	s, delisted := delistedScript(t, 900*time.Millisecond)
	s.at(5 * time.Second)
	assert.True(t, s.core.FailureSuspected(delisted, epoch.Add(time.Second), s.now))
}

// Guards against requests that wait at a server which has stopped: another one is listed at its address.
func TestDelistedServerIsSuspectedOnceItsAddressIsTaken(t *testing.T) {
	s, delisted := delistedScript(t, 300*time.Millisecond)
	s.fleet.Servers = append(s.fleet.Servers, Server{ID: "a2", Service: "s", Address: "a1:1", Zone: "a", Slots: 16})
	s.update()
	s.at(5 * time.Second)
	assert.True(t, s.core.FailureSuspected(delisted, epoch.Add(time.Second), s.now))
}

// Guards against requests that are given up at a healthy server which was dropped from the list for a
// while: its agent's reports reach the entry again, but not under the record that it had at first.
func TestServerListedAgainIsSuspectedByItsNewReports(t *testing.T) {
	s, delisted := delistedScript(t, 300*time.Millisecond)
	s.fleet.Servers = append(s.fleet.Servers, Server{ID: "a1", Service: "s", Address: "a1:1", Zone: "a", Slots: 16, HoldsModel: true})
	s.update()
	s.at(5 * time.Second)
	s.report("a1", 0, LoadReport{Version: 1})
	assert.False(t, s.core.FailureSuspected(delisted, epoch.Add(time.Second), s.now))
	s.at(7 * time.Second)
	assert.True(t, s.core.FailureSuspected(delisted, epoch.Add(time.Second), s.now), "the agent is silent")
}
