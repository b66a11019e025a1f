package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"pinevane.example/pinevane/coordination/sharing"
)

const window = 10 * time.Second

// established returns a budget that has counted for a window, and the time.
func established(options Options) (*Budget, time.Duration) {
	return New(options), 2 * options.Window
}

func TestRetriesAreLimitedByRatioOfRequests(t *testing.T) {
	b, now := established(Options{Ratio: 0.25, Window: window})
	for range 10 {
		b.RecordRequest(now)
	}
	assert.True(t, b.Spend(now, 1))
	assert.True(t, b.Spend(now, 1))
	assert.False(t, b.Spend(now, 1), "0.8 x 0.25 x 10 requests allow two retries")
	b.SetLimit(0.25, 3)
	assert.True(t, b.Spend(now, 1), "0.8 x half of the slack allows one more")
	assert.False(t, b.Spend(now, 1))
}

func TestOldRetriesLeaveTheWindow(t *testing.T) {
	b, now := established(Options{Slack: 3, Window: window})
	assert.True(t, b.Spend(now, 1))
	assert.False(t, b.Spend(now+window, 1), "the window may not have passed")
	assert.True(t, b.Spend(now+window+window/bucketCount, 1))
}

// The shares of established members sum to less than the slack, and so do those of members that all start at once,
// with what was spent before them.
func TestSlackSharesNeverExceedTheSlack(t *testing.T) {
	const slack = 100
	for members := 1; members < 40; members++ {
		b := New(Options{Slack: slack, Window: window})
		established := float64(members) * b.State(window, members).AllowedBySlack
		starting := float64(members) * b.State(window-1, members).AllowedBySlack
		assert.LessOrEqual(t, established+starting, float64(slack))
		assert.Positive(t, starting)
	}
	unknown := New(Options{Slack: slack, Window: window}).State(window, sharing.AssumedMembers)
	assert.LessOrEqual(t, sharing.AssumedMembers*unknown.AllowedBySlack, float64(slack), "members that know nobody")
}

// A new life may spend little until the retries of its predecessor have left the window.
func TestStartingMemberSpendsTheStartingFraction(t *testing.T) {
	b := New(Options{Ratio: 0.25, Slack: 100, Window: window})
	for range 100 {
		b.RecordRequest(window / 2)
	}
	state := b.State(window/2, 9)
	assert.InDelta(t, startingFraction*25, state.AllowedByRatio, 1e-9)
	assert.InDelta(t, startingFraction*10/2, state.AllowedBySlack, 1e-9)
	assert.False(t, state.Established)
	state = b.State(window, 9)
	assert.InDelta(t, establishedFraction*25, state.AllowedByRatio, 1e-9)
	assert.InDelta(t, establishedFraction*10, state.AllowedBySlack, 1e-9)
	assert.True(t, state.Established)
}

// In no window may the members together retry more than the limit allows, however unevenly requests
// are distributed among them.
func TestFleetStaysWithinTheRetryLimit(t *testing.T) {
	const (
		ratio   = 0.2
		slack   = 30
		members = 3
	)
	rapid.Check(t, func(t *rapid.T) {
		budgets := make([]*Budget, members)
		for i := range budgets {
			budgets[i] = New(Options{Ratio: ratio, Slack: slack, Window: window})
		}
		type historyEvent struct {
			at    time.Duration
			retry bool
		}
		var history []historyEvent
		now := time.Duration(0)
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			member := rapid.IntRange(0, members-1).Draw(t, "member")
			if rapid.Bool().Draw(t, "request") {
				budgets[member].RecordRequest(now)
				history = append(history, historyEvent{at: now})
			} else if budgets[member].Spend(now, members) {
				history = append(history, historyEvent{at: now, retry: true})
			}
		}
		for _, from := range history {
			requests, before, retries := 0, 0, 0
			for _, event := range history {
				inside := event.at >= from.at && event.at < from.at+window
				switch {
				case inside && event.retry:
					retries++
				case inside:
					requests++
				case !event.retry && event.at >= from.at-window && event.at < from.at:
					before++
				}
			}
			// The limit counts the requests of this window or of the one before it.
			assert.LessOrEqual(t, float64(retries), ratio*float64(requests+before)+slack)
		}
	})
}
