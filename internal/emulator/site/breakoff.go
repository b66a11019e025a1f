package site

import (
	"context"
	"net/http"
	"time"
)

// BreakOff closes the connections of all requests that the server is answering, as a server that
// loses its work does. It goes on to accept requests, and its record does not change.
func (s *Server) BreakOff() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.brokenOff)
	s.brokenOff = make(chan struct{})
}

// work waits for the time that a part of an answer takes, and reports whether the caller is still
// connected. If the server breaks off in the meantime, it ends the handler and the connection.
func (s *Server) work(ctx context.Context, duration time.Duration) bool {
	s.mutex.Lock()
	brokenOff := s.brokenOff
	s.mutex.Unlock()
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	case <-brokenOff:
		panic(http.ErrAbortHandler)
	}
}
