package balance

import (
	"slices"
	"time"
)

// Announcements holds the requests that were announced to a server, so that its load includes
// requests that its latest report can't show yet. The zero value is empty. Times may be of any one
// clock.
type Announcements struct {
	requests []announcedRequest
}

type announcedRequest struct {
	at     time.Duration
	prompt int
}

const (
	// arrivalDelay is the time after its announcement within which a request has reached the
	// server, even if a new connection was needed: three one-way trips between regions, measured at
	// 1 to 2.8 ms each, minus that of the announcement.
	arrivalDelay = 5 * time.Millisecond
	// announcementTTL is how long a request is kept: several times the targets for the first event,
	// within which admitted requests start. Requests that wait longer at a server are counted
	// without their prompt size.
	announcementTTL = 3 * time.Second
	// maxAnnouncements bounds the memory; a server's slots and queue are far fewer.
	maxAnnouncements = 256
)

// Add records a request with a prompt of the given number of tokens.
func (a *Announcements) Add(at time.Duration, prompt int) {
	if len(a.requests) == maxAnnouncements {
		a.requests = slices.Delete(a.requests, 0, 1)
	}
	a.requests = append(a.requests, announcedRequest{at: at, prompt: prompt})
}

// Load returns the server's load according to a report and the requests announced since. The
// waiting requests are taken to be the latest ones; typicalPrompt is used for those that were not
// announced.
func (a *Announcements) Load(reported Load, reportedAt, now time.Duration, typicalPrompt float64) Load {
	a.expire(now)
	load := reported
	for _, request := range a.requests {
		if request.at > reportedAt-arrivalDelay {
			load.Waiting++
		}
	}
	announced := min(load.Waiting, len(a.requests))
	load.Unread = float64(load.Waiting-announced) * typicalPrompt
	for _, request := range a.requests[len(a.requests)-announced:] {
		load.Unread += float64(request.prompt)
	}
	return load
}

// UnreadTokens estimates how many tokens of the announced prompts are still unread, for a server
// that started each request on arrival and reads at the rate given by figures with the given number
// of running requests. At a server with free slots, requests run as soon as they arrive, so a
// report does not count them as waiting, and reports may show them late: without this estimate a
// server that receives many requests at once looks idle until its first events are late.
func (a *Announcements) UnreadTokens(now time.Duration, figures Server, running int) float64 {
	if !figures.readsPrompts() {
		return 0
	}
	rate := figures.readingRate(running)
	unread, last := 0.0, time.Duration(0)
	for _, request := range a.requests {
		unread = max(0, unread-rate*(request.at-last).Seconds()) + float64(request.prompt)
		last = request.at
	}
	return max(0, unread-rate*(now-last).Seconds())
}

// expire drops the requests that were announced too long ago.
func (a *Announcements) expire(now time.Duration) {
	a.requests = slices.DeleteFunc(a.requests, func(request announcedRequest) bool { return now-request.at > announcementTTL })
}
