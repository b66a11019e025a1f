package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const window = 10 * time.Second

func TestRepeatsAreAShareOfRequests(t *testing.T) {
	b := New(Options{Ratio: 0.2, Window: window})
	for range 10 {
		b.RecordRequest(time.Second)
	}
	assert.True(t, b.Spend(time.Second, 0))
	assert.True(t, b.Spend(time.Second, 0))
	assert.False(t, b.Spend(time.Second, 0), "0.2 x 10 requests allow two repeats")
	assert.True(t, b.Spend(time.Second, 1), "the slack allows one more")
}

func TestWindowForgets(t *testing.T) {
	b := New(Options{Ratio: 0, Window: window})
	assert.True(t, b.Spend(0, 1))
	assert.False(t, b.Spend(window-time.Second, 1))
	assert.True(t, b.Spend(window+time.Second, 1))
}

func TestSlackPartsNeverAddUpToMore(t *testing.T) {
	for members := 1; members < 40; members++ {
		assert.LessOrEqual(t, float64(members)*SlackShare(100, members, true), 100.0)
	}
	assert.LessOrEqual(t, 16*SlackShare(100, 1, false), 100.0)
}

// In no window do the members together repeat more than the users allow, however
// unevenly the requests reach them.
func TestFleetStaysWithinTheUsersBound(t *testing.T) {
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
		type moment struct {
			at     time.Duration
			repeat bool
		}
		var history []moment
		now := time.Duration(0)
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			member := rapid.IntRange(0, members-1).Draw(t, "member")
			if rapid.Bool().Draw(t, "request") {
				budgets[member].RecordRequest(now)
				history = append(history, moment{at: now})
			} else if budgets[member].Spend(now, SlackShare(slack, members, true)) {
				history = append(history, moment{at: now, repeat: true})
			}
		}
		for _, from := range history {
			requests, before, repeats := 0, 0, 0
			for _, one := range history {
				inside := one.at >= from.at && one.at < from.at+window
				switch {
				case inside && one.repeat:
					repeats++
				case inside:
					requests++
				case !one.repeat && one.at >= from.at-window && one.at < from.at:
					before++
				}
			}
			// The users count the requests of this window or of the one before it.
			assert.LessOrEqual(t, float64(repeats), ratio*float64(requests+before)+slack)
		}
	})
}
