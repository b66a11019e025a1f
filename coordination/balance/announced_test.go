package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A request counts from its announcement on, once: it is part of the report as soon as
// that was made after its arrival.
func TestAnnouncedRequestsCountUntilAReportShowsThem(t *testing.T) {
	var announced Announced
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
	var announced Announced
	announced.Add(100*time.Millisecond, 700)
	assert.Equal(t, 1, announced.Load(Load{}, 100*time.Millisecond+arrivalDelay-1, 110*time.Millisecond, 1000).Waiting)
	assert.Zero(t, announced.Load(Load{}, 100*time.Millisecond+arrivalDelay, 110*time.Millisecond, 1000).Waiting)
}

func TestAnnouncementsAreForgotten(t *testing.T) {
	var announced Announced
	for range 2 * mostAnnounced {
		announced.Add(0, 1)
	}
	assert.Len(t, announced.requests, mostAnnounced)
	announced.Load(Load{}, 0, announcedMemory+1, 1)
	assert.Empty(t, announced.requests)
}
