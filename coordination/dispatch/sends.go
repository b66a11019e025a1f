package dispatch

import (
	"slices"
	"time"
)

// Send is a request that was sent to a server.
type Send struct {
	candidate *Candidate
	service   string
	engine    *Engine
	target    time.Duration
	sentAt    time.Time
	// expectedAt is when the first event was expected.
	expectedAt time.Time
	prompt     int
	// nearLimit is set when the expected wait was long enough for the refusal limit to matter.
	nearLimit bool
	// idle is set when the server was known to have no other work.
	idle bool
	// trial is set when the request is the trial of its server.
	trial bool
}

// ownSends holds this entry's own requests at a server.
type ownSends struct {
	inFlight int
	// unread counts the requests at a model server whose first event has not arrived, unreadTokens the tokens
	// of their prompts.
	unread       int
	unreadTokens int
	// pending holds these requests.
	pending []*Send
}

// loadCounts is this entry's own part of a server's load.
type loadCounts struct {
	inFlight     int
	unread       int
	unreadTokens int
}

// add counts a request that is being sent.
func (s *ownSends) add(send *Send) {
	s.inFlight++
	if send.engine != nil {
		s.unread++
		s.unreadTokens += send.prompt
		s.pending = append(s.pending, send)
	}
}

// removePending removes a request from those whose first event is pending, and reports whether it was one of
// them.
func (s *ownSends) removePending(send *Send) bool {
	at := slices.Index(s.pending, send)
	if at < 0 {
		return false
	}
	s.pending = slices.Delete(s.pending, at, at+1)
	s.unread--
	s.unreadTokens -= send.prompt
	return true
}

// countsAt returns the part of these requests that an agent can have counted at a time: it excludes pending
// ones that were sent later.
func (s *ownSends) countsAt(at time.Time) loadCounts {
	counted := loadCounts{inFlight: s.inFlight, unread: s.unread, unreadTokens: s.unreadTokens}
	for _, send := range s.pending {
		if send.sentAt.After(at) {
			counted.inFlight--
			counted.unread--
			counted.unreadTokens -= send.prompt
		}
	}
	return counted
}

// Release removes a request from its server's requests in flight. Its prompt is removed separately, by
// EndPrefill.
func (c *Core) Release(send *Send) { send.candidate.sends.inFlight-- }

// EndPrefill removes a request's prompt from its server's unread ones, because the answer has begun, or the
// request has ended without that.
func (c *Core) EndPrefill(send *Send, begun bool, now time.Time) {
	k := send.candidate
	if !k.sends.removePending(send) {
		return
	}
	if begun {
		c.learnMargin(send, now)
		c.learnFirstEvent(send, now)
	}
	k.lateness.recordStart(send.expectedAt, now)
}
