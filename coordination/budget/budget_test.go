package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const window = 10 * time.Second

func TestRetriesAreLimitedByRatioOfRequests(t *testing.T) {
	b := New(Options{Ratio: 0.2, Window: window})
	for range 10 {
		b.RecordRequest(time.Second)
	}
	assert.True(t, b.Spend(time.Second, 0))
	assert.True(t, b.Spend(time.Second, 0))
	assert.False(t, b.Spend(time.Second, 0), "0.2 x 10 requests allow two retries")
	assert.True(t, b.Spend(time.Second, 1), "the slack allows one more")
}

func TestOldRetriesLeaveTheWindow(t *testing.T) {
	b := New(Options{Ratio: 0, Window: window})
	assert.True(t, b.Spend(0, 1))
	assert.False(t, b.Spend(window-time.Second, 1))
	assert.True(t, b.Spend(window+time.Second, 1))
}

func TestSlackSharesNeverExceedTheSlack(t *testing.T) {
	for members := 1; members < 40; members++ {
		assert.LessOrEqual(t, float64(members)*SlackShare(100, members, true), 100.0)
	}
	assert.LessOrEqual(t, 16*SlackShare(100, 1, false), 100.0)
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
			budgets[i] = New(Options{Ratio: ratio, Window: window})
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
			} else if budgets[member].Spend(now, SlackShare(slack, members, true)) {
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
