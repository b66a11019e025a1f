package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// The shares of all members must sum to the whole part of the limit and differ by at most one.
func TestSharesSumToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 500).Draw(t, "limit")
		members := rapid.IntRange(1, 400).Draw(t, "members")
		sum := 0
		for rank := range members {
			share := Share(limit, rank, members)
			assert.LessOrEqual(t, share, Share(limit, 0, members))
			assert.GreaterOrEqual(t, share, Share(limit, 0, members)-1)
			sum += share
		}
		assert.Equal(t, int(limit), sum)
	})
}

func TestShareWithoutLimitOrMembersIsZero(t *testing.T) {
	assert.Zero(t, Share(0.9, 0, 3))
	assert.Zero(t, Share(-4, 0, 3))
	assert.Zero(t, Share(40, 3, 3))
	assert.Zero(t, Share(40, 0, 0))
}

// No window may hold more events than the share, whatever the timing of requests, and a member that
// sends all the time must get its whole share in each window.
func TestNoWindowHoldsMoreThanTheShare(t *testing.T) {
	const length = time.Second
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 8).Draw(t, "limit")
		window := NewWindow(length)
		now := time.Duration(0)
		var admitted []time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond
			if window.Allows(length, now, limit) {
				window.Add(now)
				admitted = append(admitted, now)
			}
		}
		for index := limit; index < len(admitted); index++ {
			assert.GreaterOrEqual(t, admitted[index]-admitted[index-limit], length)
		}
	})
	window, count := NewWindow(length), 0
	for now := time.Duration(0); now < 3*length; now += 10 * time.Millisecond {
		if window.Allows(length, now, 5) {
			window.Add(now)
			count++
		}
	}
	assert.Equal(t, 15, count)
}

// Guards against counting own events twice or not at all: those sent before the receiver's report
// are included in it, those sent later are not, and those older than the window are in neither.
func TestExhaustedCountsReportedAndLaterOwnEvents(t *testing.T) {
	const length, limit = time.Second, 10.7
	window := NewWindow(length)
	window.Add(100 * time.Millisecond)
	window.Add(500 * time.Millisecond)
	window.Add(600 * time.Millisecond)
	assert.Equal(t, 3, window.Count(700*time.Millisecond))
	for _, tc := range []struct {
		reported        int
		reportedAt, now time.Duration
		exhausted       bool
	}{
		{reported: 7, reportedAt: 550 * time.Millisecond, now: 700 * time.Millisecond},
		{reported: 9, reportedAt: 550 * time.Millisecond, now: 700 * time.Millisecond, exhausted: true},
		{reported: 9, reportedAt: 650 * time.Millisecond, now: 700 * time.Millisecond},
		{reported: 10, reportedAt: 650 * time.Millisecond, now: 700 * time.Millisecond, exhausted: true},
		{reported: 7, reportedAt: 0, now: 700 * time.Millisecond, exhausted: true},
		{reported: 7, reportedAt: 0, now: 1200 * time.Millisecond},
		{reported: 0, reportedAt: 0, now: 5 * time.Second},
	} {
		assert.Equal(t, tc.exhausted, window.Exhausted(limit, tc.reported, tc.reportedAt, tc.now), "%+v", tc)
	}
	assert.Zero(t, window.Count(5*time.Second))
}
