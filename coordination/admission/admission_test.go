package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// The shares of all members sum to the whole part of the limit, and differ by one at most.
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

func TestNobodyHasAShareOfNothing(t *testing.T) {
	assert.Zero(t, Share(0.9, 0, 3))
	assert.Zero(t, Share(-4, 0, 3))
	assert.Zero(t, Share(40, 3, 3))
	assert.Zero(t, Share(40, 0, 0))
}

// Whatever is asked when, no span holds more events than the share; and a member that asks
// all the time gets its whole share in each span.
func TestNoSpanHoldsMoreThanTheShare(t *testing.T) {
	const span = time.Second
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(0, 8).Draw(t, "most")
		window := NewWindow(span)
		now := time.Duration(0)
		var admitted []time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "asked") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond
			if window.Allows(span, now, most) {
				window.Add(now)
				admitted = append(admitted, now)
			}
		}
		for index := most; index < len(admitted); index++ {
			assert.GreaterOrEqual(t, admitted[index]-admitted[index-most], span)
		}
	})
	window, count := NewWindow(span), 0
	for now := time.Duration(0); now < 3*span; now += 10 * time.Millisecond {
		if window.Allows(span, now, 5) {
			window.Add(now)
			count++
		}
	}
	assert.Equal(t, 15, count)
}

// What the receiver has counted and what was sent since make up the crowd; what was sent before
// the count is in it, and what is older than the span is in neither.
func TestReceiversCountAndOwnEventsSince(t *testing.T) {
	const span, limit = time.Second, 10.7
	window := NewWindow(span)
	window.Add(100 * time.Millisecond)
	window.Add(500 * time.Millisecond)
	window.Add(600 * time.Millisecond)
	assert.Equal(t, 3, window.Count(700*time.Millisecond))
	for _, tc := range []struct {
		told        int
		toldAt, now time.Duration
		crowded     bool
	}{
		{told: 7, toldAt: 550 * time.Millisecond, now: 700 * time.Millisecond},
		{told: 9, toldAt: 550 * time.Millisecond, now: 700 * time.Millisecond, crowded: true},
		{told: 9, toldAt: 650 * time.Millisecond, now: 700 * time.Millisecond},
		{told: 10, toldAt: 650 * time.Millisecond, now: 700 * time.Millisecond, crowded: true},
		{told: 7, toldAt: 0, now: 700 * time.Millisecond, crowded: true},
		{told: 7, toldAt: 0, now: 1200 * time.Millisecond},
		{told: 0, toldAt: 0, now: 5 * time.Second},
	} {
		assert.Equal(t, tc.crowded, window.Exhausted(limit, tc.told, tc.toldAt, tc.now), "%+v", tc)
	}
	assert.Zero(t, window.Count(5*time.Second))
}
