package rollout

import (
	"time"

	"pinevane.example/pinevane/coordination/dissemination"
)

// scheduleFaults chooses at random which machines die, which uplinks stall, and when.
func (s *simulation) scheduleFaults() {
	expected := time.Duration(s.lowerBound() * float64(slot))
	for _, m := range s.machines {
		if s.random.Float64() < s.options.Dead {
			s.After(s.randomTime(expected), func() { s.kill(m) })
		}
		if s.random.Float64() < s.options.Stalled {
			s.After(s.randomTime(expected), func() { s.stall(m) })
		}
	}
	if s.options.Partition {
		s.After(expected*2/5, func() { s.partitioned = true })
	}
}

// randomTime returns a random time below a limit.
func (s *simulation) randomTime(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *simulation) kill(m *machine) {
	if m.dead {
		return
	}
	m.dead = true
	s.alive--
	s.result.Dead++
	if m.complete >= 0 {
		s.completed--
	}
	for _, waiting := range m.queue {
		s.fail(waiting, silenceTimeout, dissemination.Unreachable)
	}
	m.queue = nil
}

// stall stalls a machine's uplink. The transfers that wait for it fail after stallWindow.
func (s *simulation) stall(m *machine) {
	m.stalled = true
	for _, waiting := range m.queue {
		s.fail(waiting, stallWindow, dissemination.Stalled)
	}
	m.queue = nil
}
