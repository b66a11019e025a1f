package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A request counts from its announcement on, once: it is part of the report as soon as
// that was made after its arrival.
func TestAnnouncedRequestsCountUntilAReportShowsThem(t *testing.T) {
	var announced Announcements
	announced.Add(100*time.Millisecond, 700)
	announced.Add(180*time.Millisecond, 300)
	reported := Load{Running: 5, Waiting: 1, Pace: 1.5}

	load := announced.Load(reported, 50*time.Millisecond, 200*time.Millisecond, 1000)
	assert.Equal(t, Load{Running: 5, Waiting: 3, Unread: 2000, Pace: 1.5}, load, "both on their way, one that nobody announced")

	load = announced.Load(reported, 150*time.Millisecond, 200*time.Millisecond, 1000)
	assert.Equal(t, 2, load.Waiting, "the first has arrived")
	assert.InDelta(t, 1000, load.Unread, 0, "the two newest wait")

	load = announced.Load(Load{Running: 7}, 190*time.Millisecond, 200*time.Millisecond, 1000)
	assert.Zero(t, load.Waiting, "both have begun")
	assert.Zero(t, load.Unread)
}

// A request that was announced right before the report may not have been there yet.
func TestRequestAnnouncedRightBeforeTheReportCounts(t *testing.T) {
	var announced Announcements
	announced.Add(100*time.Millisecond, 700)
	assert.Equal(t, 1, announced.Load(Load{}, 100*time.Millisecond+arrivalDelay-1, 110*time.Millisecond, 1000).Waiting)
	assert.Zero(t, announced.Load(Load{}, 100*time.Millisecond+arrivalDelay, 110*time.Millisecond, 1000).Waiting)
}

func TestAnnouncementsAreForgotten(t *testing.T) {
	var announced Announcements
	for range 2 * mostAnnounced {
		announced.Add(0, 1)
	}
	assert.Len(t, announced.requests, mostAnnounced)
	announced.Load(Load{}, 0, announcedMemory+1, 1)
	assert.Empty(t, announced.requests)
}

// Requests that reach a server with free places at once run from then on, and a report shows
// none of them waiting; their prompts are read one after the other all the same.
func TestPromptsThatRunningRequestsHaveYetToReadCount(t *testing.T) {
	figures := Server{Slots: 12, Stride: 1, StepMilliseconds: 10, ReadPerSecond: 20000}
	var announced Announcements
	assert.Zero(t, announced.UnreadTokens(0, figures, 0))
	for request := range 10 {
		announced.Add(time.Second+time.Duration(request)*10*time.Millisecond, 1000)
	}
	last := 1090 * time.Millisecond
	assert.InDelta(t, 10000-0.090*20000, announced.UnreadTokens(last, figures, 10), 1)
	assert.InDelta(t, 10000-0.190*20000, announced.UnreadTokens(last+100*time.Millisecond, figures, 10), 1)
	assert.Zero(t, announced.UnreadTokens(last+time.Second, figures, 10), "all are read")

	figures.ReadChunk = 500
	assert.InDelta(t, 10000-0.090*500/0.035, announced.UnreadTokens(last, figures, 10), 1, "a chunk takes 25 ms and a pass of 10 ms")
	assert.Zero(t, announced.UnreadTokens(last, Server{Slots: 12}, 10), "a server that reads no prompts")

	// A pause in which everything is read is not saved up for what comes later.
	announced.Add(5*time.Second, 700)
	assert.InDelta(t, 700, announced.UnreadTokens(5*time.Second, figures, 0), 0)
}
