package dispatch

import (
	"slices"
	"time"
)

// Send is one request at one server.
type Send struct {
	candidate *Candidate
	service   string
	engine    *Engine
	target    time.Duration
	sentAt    time.Time
	// expectedAt is when the first event was expected to come.
	expectedAt time.Time
	prompt     int
	// nearLimit is set when it was expected to wait for so long that the limit of refusals matters.
	nearLimit bool
	// idle is set when the server was known to have nothing else to do.
	idle bool
	// trial is set when it is the trial of its server.
	trial bool
}

// ownSends are this entry's own requests at a server.
type ownSends struct {
	inFlight int
	// unread counts the requests sent to a model server whose first event has not
	// come, unreadTokens their prompts.
	unread       int
	unreadTokens int
	// pending holds these requests.
	pending []*Send
}

// loadCounts are this entry's own part of a server's load.
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

// removePending takes a request off those whose first event is waited for, and reports whether it was
// one of them.
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

// countsAt is what an agent saw of the requests when it looked at a time: not those that were
// sent later.
func (s *ownSends) countsAt(at time.Time) loadCounts {
	seen := loadCounts{inFlight: s.inFlight, unread: s.unread, unreadTokens: s.unreadTokens}
	for _, one := range s.pending {
		if one.sentAt.After(at) {
			seen.inFlight--
			seen.unread--
			seen.unreadTokens -= one.prompt
		}
	}
	return seen
}

// Release takes a request off a server's count. Its prompt counts as read once the
// first event has come, which PromptRead notes.
func (c *Core) Release(send *Send) { send.candidate.sends.inFlight-- }

// EndPrefill takes a request's prompt off its server's unread ones, because it has begun, or
// has ended without that.
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
