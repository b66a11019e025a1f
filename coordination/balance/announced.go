package balance

import (
	"slices"
	"time"
)

// Announcements keeps the requests that were announced to a server, so that its load is known
// also for those which its last report can't show yet. Its zero value holds none. Times
// are of any one clock.
type Announcements struct {
	requests []announcedRequest
}

type announcedRequest struct {
	at     time.Duration
	prompt int
}

const (
	// arrivalDelay is how long after its announcement a request has surely reached the
	// server, which may first have to take a new connection: three ways between regions, of
	// 1 to 2.8 ms each where this was measured, less the one of the announcement.
	arrivalDelay = 5 * time.Millisecond
	// announcedMemory is how long a request is remembered: several times the targets to the
	// first event, within which admitted requests begin. What waits longer at a server is
	// counted by its number alone.
	announcedMemory = 3 * time.Second
	// mostAnnounced bounds the memory; a server's places and queue are far fewer.
	mostAnnounced = 256
)

// Add notes a request with a prompt of a number of tokens.
func (a *Announcements) Add(at time.Duration, prompt int) {
	if len(a.requests) == mostAnnounced {
		a.requests = slices.Delete(a.requests, 0, 1)
	}
	a.requests = append(a.requests, announcedRequest{at: at, prompt: prompt})
}

// Load is the server's load by a report of a time and what was announced since. The
// requests that wait are taken for the newest; usualPrompt stands for those that nobody
// has announced.
func (a *Announcements) Load(reported Load, reportedAt, now time.Duration, usualPrompt float64) Load {
	a.forget(now)
	load := reported
	for _, one := range a.requests {
		if one.at > reportedAt-arrivalDelay {
			load.Waiting++
		}
	}
	known := min(load.Waiting, len(a.requests))
	load.Unread = float64(load.Waiting-known) * usualPrompt
	for _, one := range a.requests[len(a.requests)-known:] {
		load.Unread += float64(one.prompt)
	}
	return load
}

// UnreadTokens estimates how many tokens of the announced prompts are still to be read now by a
// server that began each as soon as it arrived, and reads as fast as its figures say with a
// number of requests running. At a server with free places requests run from their arrival on,
// so that a report does not count them as waiting, and reports may show them late: without this
// estimate a server that many reach at once looks idle until its first events are late.
func (a *Announcements) UnreadTokens(now time.Duration, figures Server, running int) float64 {
	if !figures.reads() {
		return 0
	}
	perSecond := figures.readingRate(running)
	unread, at := 0.0, time.Duration(0)
	for _, one := range a.requests {
		unread = max(0, unread-perSecond*(one.at-at).Seconds()) + float64(one.prompt)
		at = one.at
	}
	return max(0, unread-perSecond*(now-at).Seconds())
}

// forget drops the requests that were announced too long ago.
func (a *Announcements) forget(now time.Duration) {
	a.requests = slices.DeleteFunc(a.requests, func(one announcedRequest) bool { return now-one.at > announcedMemory })
}
