package site

import (
	"context"
	"time"
)

// Pause makes the server send nothing for a time, after which it goes on where it stopped, as a
// process that the machine does not schedule: requests, events of open streams, status reports and
// heartbeats wait. Connections stay open and are accepted. A pause that is already in progress is
// never shortened.
func (s *Server) Pause(duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if until := time.Now().Add(duration); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// waitWhilePaused waits until the server is not paused or the context ends.
func (s *Server) waitWhilePaused(ctx context.Context) {
	for {
		s.mutex.Lock()
		remaining := time.Until(s.pausedUntil)
		s.mutex.Unlock()
		if remaining <= 0 {
			return
		}
		select {
		case <-time.After(remaining):
		case <-ctx.Done():
			return
		}
	}
}
