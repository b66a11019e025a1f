package balance

import (
	"slices"
	"time"
)

// Announced keeps the requests that were announced to a server, so that its load is known
// also for those which its last report can't show yet. Its zero value holds none. Times
// are of any one clock.
type Announced struct {
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
func (a *Announced) Add(at time.Duration, prompt int) {
	if len(a.requests) == mostAnnounced {
		a.requests = slices.Delete(a.requests, 0, 1)
	}
	a.requests = append(a.requests, announcedRequest{at: at, prompt: prompt})
}

// Load is the server's load by a report of a time and what was announced since. The
// requests that wait are taken for the newest; usualPrompt stands for those that nobody
// has announced.
func (a *Announced) Load(reported Load, reportedAt, now time.Duration, usualPrompt float64) Load {
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

// forget drops the requests that were announced too long ago.
func (a *Announced) forget(now time.Duration) {
	a.requests = slices.DeleteFunc(a.requests, func(one announcedRequest) bool { return now-one.at > announcedMemory })
}
