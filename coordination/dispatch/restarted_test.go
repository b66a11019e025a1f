package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/coordination/incarnation"
)

// restart lists a server as restarted, with the changes that its new list entry has.
func (s *script) restart(id string, startTime incarnation.StartTime, change func(*Server)) []Change {
	for index := range s.fleet.Servers {
		if server := &s.fleet.Servers[index]; server.ID == id {
			server.StartTime = startTime
			server.WrittenAt.Revision++
			if change != nil {
				change(server)
			}
		}
	}
	return s.update()
}

// A restarted server may serve an older version than before, and nothing reported about its former
// incarnation applies to it.
func TestRestartedServerUsesOnlyItsOwnReports(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.restart("a1", 100, nil)
	s.report("a1", 0, LoadReport{Version: 2, Running: 9, Waiting: 5, StartTime: 100, ColdFor: time.Second})
	decision := s.core.send(s.candidate("a1"), s.request(), 1, s.now)
	assert.EqualValues(t, 2, s.candidate("a1").servedVersion(s.now))
	former := s.candidate("a1")
	s.at(time.Second)
	changes := s.restart("a1", 200, func(server *Server) { server.Version = 1 })
	assert.Equal(t, []Change{{Kind: ServerRestarted, Candidate: former, InFlight: 1}}, changes)
	restarted := s.candidate("a1")
	assert.NotSame(t, former, restarted)
	assert.EqualValues(t, 1, restarted.servedVersion(s.now), "an older version")
	assert.Zero(t, restarted.sends.inFlight, "requests in flight at the former incarnation")
	assert.Equal(t, NoReport, restarted.report.age(s.now), "load and cold time reported before")
	assert.False(t, restarted.cold(s.now))
	s.ends(decision)
	assert.Zero(t, restarted.sends.inFlight, "they end at the former incarnation")
}

// Agents' reports on the former incarnation change nothing, whoever sends them.
func TestLateReportOnAFormerIncarnationIsDropped(t *testing.T) {
	s := newScript(t, "a1")
	s.restart("a1", 100, nil)
	s.report("a1", 0, LoadReport{Version: 2, StartTime: 100})
	s.restart("a1", 200, func(server *Server) { server.Version = 1 })
	s.at(100 * time.Millisecond)
	s.report("a1", 0, LoadReport{Version: 2, Running: 3, StartTime: 100})
	assert.Equal(t, NoReport, s.candidate("a1").report.age(s.now))
	s.report("a1", 0, LoadReport{Version: 1, Running: 1, StartTime: 200})
	s.at(200 * time.Millisecond)
	s.report("a1", 0, LoadReport{Version: 2, Running: 3, StartTime: 100})
	assert.EqualValues(t, 1, s.candidate("a1").servedVersion(s.now))
	assert.Equal(t, 1, s.candidate("a1").report.Running)
}

// The agent learns of a restart before the list: the former incarnation gets no more requests, and the report
// counts once the list follows.
func TestAgentReportsANewIncarnationBeforeTheList(t *testing.T) {
	s := newScript(t, "a1", "b1")
	s.restart("a1", 100, nil)
	s.report("a1", 0, LoadReport{Version: 1, StartTime: 100})
	s.served(s.request(), "a1")
	s.at(100 * time.Millisecond)
	s.report("a1", 0, LoadReport{Version: 1, Running: 2, StartTime: 200})
	s.served(s.request(), "b1")
	s.restart("a1", 200, nil)
	assert.Equal(t, 2, s.candidate("a1").report.Running)
	s.served(s.request(), "a1")
}

// A list and an agent that keep reporting different start times do not exclude a server for long.
func TestConflictingStartTimesDoNotExcludeAServer(t *testing.T) {
	for _, startTime := range []incarnation.StartTime{50, 200} {
		s := newScript(t, "a1")
		s.restart("a1", 100, nil)
		for second := range 13 {
			s.at(time.Duration(second) * time.Second)
			s.report("a1", 0, LoadReport{Version: 1, StartTime: startTime})
		}
		s.served(s.request(), "a1")
		assert.Zero(t, s.candidate("a1").report.age(s.now))
	}
}

// An ejected server is healthy after a restart.
func TestRestartedServerIsNotEjected(t *testing.T) {
	s := newScript(t, "a1", "a2", "a3", "a4")
	s.restart("a1", 100, nil)
	for range 40 {
		s.at(s.now.Sub(epoch) + 20*time.Millisecond)
		s.core.Observe(s.candidate("a1"), Outcome{Outcome: health.Broken, Class: "r", SentAt: s.now}, s.now)
		for _, id := range []string{"a2", "a3", "a4"} {
			s.core.Observe(s.candidate(id), Outcome{Outcome: health.Served, Class: "r", SentAt: s.now}, s.now)
		}
	}
	assert.Equal(t, health.Ejected, s.core.health.State("a1", s.core.elapsed(s.now)))
	s.restart("a1", 200, nil)
	assert.Equal(t, health.Healthy, s.core.health.State("a1", s.core.elapsed(s.now)))
}

// Two incarnations between two reports, and start times that distinguish nothing: unknown ones, or within the
// same millisecond.
func TestUnknownStartTimesChangeNothing(t *testing.T) {
	s := newScript(t, "a1")
	s.report("a1", 0, LoadReport{Version: 1, Running: 4})
	same := s.candidate("a1")
	s.restart("a1", 100, nil)
	assert.Same(t, same, s.candidate("a1"), "a start time received for the first time")
	s.restart("a1", 100, nil)
	assert.Same(t, same, s.candidate("a1"))
	s.restart("a1", 300, nil)
	assert.NotSame(t, same, s.candidate("a1"))
	s.at(time.Second)
	s.report("a1", 0, LoadReport{Version: 1, Running: 4, StartTime: 200})
	assert.Equal(t, NoReport, s.candidate("a1").report.age(s.now), "the incarnation between")
}
