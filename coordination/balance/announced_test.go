package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A request must count from its announcement on, and only once: it is part of any report made after
// its arrival.
func TestAnnouncedRequestsCountUntilReported(t *testing.T) {
	var announcements Announcements
	announcements.Add(100*time.Millisecond, 700)
	announcements.Add(180*time.Millisecond, 300)
	reported := Load{Running: 5, Waiting: 1, Pace: 1.5}

	load := announcements.Load(reported, 50*time.Millisecond, 200*time.Millisecond, 1000)
	assert.Equal(t, Load{Running: 5, Waiting: 3, Unread: 2000, Pace: 1.5}, load, "both under way, one waiting request was not announced")

	load = announcements.Load(reported, 150*time.Millisecond, 200*time.Millisecond, 1000)
	assert.Equal(t, 2, load.Waiting, "the first has arrived")
	assert.InDelta(t, 1000, load.Unread, 0, "the two latest are waiting")

	load = announcements.Load(Load{Running: 7}, 190*time.Millisecond, 200*time.Millisecond, 1000)
	assert.Zero(t, load.Waiting, "both have started")
	assert.Zero(t, load.Unread)
}

// A request announced right before a report may not have arrived when the report was made.
func TestRequestAnnouncedRightBeforeTheReportCounts(t *testing.T) {
	var announcements Announcements
	announcements.Add(100*time.Millisecond, 700)
	assert.Equal(t, 1, announcements.Load(Load{}, 100*time.Millisecond+arrivalDelay-1, 110*time.Millisecond, 1000).Waiting)
	assert.Zero(t, announcements.Load(Load{}, 100*time.Millisecond+arrivalDelay, 110*time.Millisecond, 1000).Waiting)
}

func TestAnnouncementsExpire(t *testing.T) {
	var announcements Announcements
	for range 2 * maxAnnouncements {
		announcements.Add(0, 1)
	}
	assert.Len(t, announcements.requests, maxAnnouncements)
	announcements.Load(Load{}, 0, announcementTTL+1, 1)
	assert.Empty(t, announcements.requests)
}

// Requests that reach a server with free slots start running at once, so no report shows them as
// waiting. Their prompts are still read one after the other and must count as unread.
func TestUnreadTokensOfRunningRequests(t *testing.T) {
	figures := Server{Slots: 12, Stride: 1, StepMilliseconds: 10, ReadPerSecond: 20000}
	var announcements Announcements
	assert.Zero(t, announcements.UnreadTokens(0, figures, 0))
	for request := range 10 {
		announcements.Add(time.Second+time.Duration(request)*10*time.Millisecond, 1000)
	}
	last := 1090 * time.Millisecond
	assert.InDelta(t, 10000-0.090*20000, announcements.UnreadTokens(last, figures, 10), 1)
	assert.InDelta(t, 10000-0.190*20000, announcements.UnreadTokens(last+100*time.Millisecond, figures, 10), 1)
	assert.Zero(t, announcements.UnreadTokens(last+time.Second, figures, 10), "all prompts are read")

	figures.ReadChunk = 500
	assert.InDelta(t, 10000-0.090*500/0.035, announcements.UnreadTokens(last, figures, 10), 1, "a chunk takes 25 ms and a pass of 10 ms")
	assert.Zero(t, announcements.UnreadTokens(last, Server{Slots: 12}, 10), "a server that reads no prompts")

	// Reading capacity that is unused during a pause must not be credited to later requests.
	announcements.Add(5*time.Second, 700)
	assert.InDelta(t, 700, announcements.UnreadTokens(5*time.Second, figures, 0), 0)
}
