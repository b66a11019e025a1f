package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/coordination/incarnation"
)

// bears lists a server as one that has started again, with what it tells of itself then.
func (s *script) bears(id string, born incarnation.Born, change func(*Server)) []Change {
	for index := range s.fleet.Servers {
		if one := &s.fleet.Servers[index]; one.ID == id {
			one.StartTime = born
			one.Revision++
			if change != nil {
				change(one)
			}
		}
	}
	return s.update()
}

// A server that starts again under its name may hold an older version than before, and nothing counts
// for it that its former incarnation has told.
func TestRestartedServerIsKnownByItsOwnWordsAlone(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.bears("a1", 100, nil)
	s.hear("a1", 0, LoadReport{Version: 2, Running: 9, Waiting: 5, StartTime: 100, ColdFor: time.Second})
	decision := s.core.send(s.candidate("a1"), s.request(), 1, s.now)
	assert.EqualValues(t, 2, s.candidate("a1").servedVersion(s.now))
	former := s.candidate("a1")
	s.at(time.Second)
	changes := s.bears("a1", 200, func(server *Server) { server.Version = 1 })
	assert.Equal(t, []Change{{Kind: ServerRestarted, Candidate: former, InFlight: 1}}, changes)
	fresh := s.candidate("a1")
	assert.NotSame(t, former, fresh)
	assert.EqualValues(t, 1, fresh.servedVersion(s.now), "an older version")
	assert.Zero(t, fresh.sends.inFlight, "requests under way at the former incarnation")
	assert.Equal(t, NoReport, fresh.report.age(s.now), "load and cold as the agent told them")
	assert.False(t, fresh.cold(s.now))
	s.ends(decision)
	assert.Zero(t, fresh.sends.inFlight, "they end at the former incarnation")
}

// Words of the agent on the former incarnation, from whomever they come, change nothing.
func TestLateWordOnAFormerIncarnationIsDropped(t *testing.T) {
	s := newScript(t, "a1")
	s.bears("a1", 100, nil)
	s.hear("a1", 0, LoadReport{Version: 2, StartTime: 100})
	s.bears("a1", 200, func(server *Server) { server.Version = 1 })
	s.at(100 * time.Millisecond)
	s.hear("a1", 0, LoadReport{Version: 2, Running: 3, StartTime: 100})
	assert.Equal(t, NoReport, s.candidate("a1").report.age(s.now))
	s.hear("a1", 0, LoadReport{Version: 1, Running: 1, StartTime: 200})
	s.at(200 * time.Millisecond)
	s.hear("a1", 0, LoadReport{Version: 2, Running: 3, StartTime: 100})
	assert.EqualValues(t, 1, s.candidate("a1").servedVersion(s.now))
	assert.Equal(t, 1, s.candidate("a1").report.Running)
}

// The agent knows before the list that its server has started again: the former incarnation gets nothing
// more, and the word counts once the list follows.
func TestAgentTellsOfANewIncarnationBeforeTheList(t *testing.T) {
	s := newScript(t, "a1", "b1")
	s.bears("a1", 100, nil)
	s.hear("a1", 0, LoadReport{Version: 1, StartTime: 100})
	s.served(s.request(), "a1")
	s.at(100 * time.Millisecond)
	s.hear("a1", 0, LoadReport{Version: 1, Running: 2, StartTime: 200})
	s.served(s.request(), "b1")
	s.bears("a1", 200, nil)
	assert.Equal(t, 2, s.candidate("a1").report.Running)
	s.served(s.request(), "a1")
}

// A list and an agent that go on telling different births keep no server from being used for long.
func TestBirthsThatNeverAgreeKeepNoServerOut(t *testing.T) {
	for _, told := range []incarnation.Born{50, 200} {
		s := newScript(t, "a1")
		s.bears("a1", 100, nil)
		for second := range 13 {
			s.at(time.Duration(second) * time.Second)
			s.hear("a1", 0, LoadReport{Version: 1, StartTime: told})
		}
		s.served(s.request(), "a1")
		assert.Zero(t, s.candidate("a1").report.age(s.now))
	}
}

// A server that was ejected is in order in its next life.
func TestRestartedServerIsNotEjected(t *testing.T) {
	s := newScript(t, "a1", "a2", "a3", "a4")
	s.bears("a1", 100, nil)
	for range 40 {
		s.at(s.now.Sub(epoch) + 20*time.Millisecond)
		s.core.Observe(s.candidate("a1"), Outcome{Outcome: health.Broken, Class: "r", SentAt: s.now}, s.now)
		for _, id := range []string{"a2", "a3", "a4"} {
			s.core.Observe(s.candidate(id), Outcome{Outcome: health.Served, Class: "r", SentAt: s.now}, s.now)
		}
	}
	assert.Equal(t, health.Ejected, s.core.health.State("a1", s.core.elapsed(s.now)))
	s.bears("a1", 200, nil)
	assert.Equal(t, health.InOrder, s.core.health.State("a1", s.core.elapsed(s.now)))
}

// Two lives between two words, and births that tell nothing: one that is not told, or in the same
// millisecond.
func TestBirthsThatAreNotToldChangeNothing(t *testing.T) {
	s := newScript(t, "a1")
	s.hear("a1", 0, LoadReport{Version: 1, Running: 4})
	same := s.candidate("a1")
	s.bears("a1", 100, nil)
	assert.Same(t, same, s.candidate("a1"), "a birth that is told for the first time")
	s.bears("a1", 100, nil)
	assert.Same(t, same, s.candidate("a1"))
	s.bears("a1", 300, nil)
	assert.NotSame(t, same, s.candidate("a1"))
	s.at(time.Second)
	s.hear("a1", 0, LoadReport{Version: 1, Running: 4, StartTime: 200})
	assert.Equal(t, NoReport, s.candidate("a1").report.age(s.now), "the life between")
}
