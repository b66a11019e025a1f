package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/escrow"
	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/fault"
)

// manualClock is a clock that a test advances.
type manualClock struct{ now time.Time }

func (c *manualClock) read() time.Time { return c.now }

func (c *manualClock) advance(duration time.Duration) { c.now = c.now.Add(duration) }

func newTestLimiter(clock *manualClock, entries int) *limiter {
	limits := newLimiter(clock.read)
	limits.configure(&configuration.Snapshot{Tenants: map[string]configuration.Tenant{
		"t": {Name: "t", RequestsPerSecond: 10, TokensPerSecond: 1000, Concurrency: 8},
	}}, entries)
	clock.advance(raiseDelay)
	return limits
}

func TestRequestsOverRateAreRefusedWithRetryAfter(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	limits := newTestLimiter(clock, 1)
	admitted := 0
	var refusal *fault.Refusal
	for range 25 {
		release, refused := limits.admit("t", 0)
		if refused != nil {
			refusal = refused
			continue
		}
		admitted++
		release()
	}
	assert.Equal(t, 20, admitted, "a burst of two seconds' worth of the rate")
	assert.Equal(t, fault.ReasonLimitRequests, refusal.Reason)
	assert.Equal(t, fault.ExecutionNotRun, refusal.Execution)
	assert.Positive(t, refusal.RetryAfter)
	clock.advance(refusal.RetryAfter)
	_, refused := limits.admit("t", 0)
	assert.Nil(t, refused)
}

func TestOpenRequestsAreBounded(t *testing.T) {
	limits := newTestLimiter(&manualClock{now: time.Unix(1000, 0)}, 2)
	for range 4 {
		_, refused := limits.admit("t", 1)
		assert.Nil(t, refused)
	}
	_, refused := limits.admit("t", 1)
	assert.Equal(t, fault.ReasonLimitConcurrency, refused.Reason)
}

// Guards against starvation of large requests. A tenant requests twice its tokens per second, with
// one large request in ten: its large requests are admitted about as often as its small ones, and
// no more tokens than its limit over time.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	limits := newLimiter(clock.read)
	limits.configure(&configuration.Snapshot{Tenants: map[string]configuration.Tenant{
		"t": {Name: "t", RequestsPerSecond: 1000, TokensPerSecond: 1000, Concurrency: 1000},
	}}, 1)
	clock.advance(raiseDelay)
	const seconds, largeTokens, smallTokens = 600, 1100, 100
	requested, admitted, tokens := map[int]int{}, map[int]int{}, 0
	for number := range 10 * seconds {
		size := smallTokens
		if number%10 == 0 {
			size = largeTokens
		}
		clock.advance(100 * time.Millisecond)
		requested[size]++
		if release, refused := limits.admit("t", size); refused == nil {
			admitted[size]++
			tokens += size
			release()
		}
	}
	admittedRatio := func(size int) float64 { return float64(admitted[size]) / float64(requested[size]) }
	t.Logf("admitted: %.2f of the small, %.2f of the large", admittedRatio(smallTokens), admittedRatio(largeTokens))
	assert.GreaterOrEqual(t, admittedRatio(largeTokens), 0.75*admittedRatio(smallTokens))
	assert.LessOrEqual(t, tokens, 1000*(seconds+burstSeconds)+largeTokens)
	assert.GreaterOrEqual(t, tokens, 950*seconds, "the limit is used up")
}

func TestNothingIsAdmittedBeforeShareIsInEffect(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	limits := newLimiter(clock.read)
	assert.False(t, limits.ready())
	limits.configure(&configuration.Snapshot{Tenants: map[string]configuration.Tenant{"t": {Name: "t", RequestsPerSecond: 1, TokensPerSecond: 1, Concurrency: 1}}}, 3)
	assert.False(t, limits.ready())
	_, refused := limits.admit("t", 0)
	assert.Equal(t, fault.ReasonNotReady, refused.Reason)
	clock.advance(raiseDelay)
	assert.True(t, limits.ready())
}

func TestBusyEntryBorrowsFromIdleOne(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	busy, idle := newTestLimiter(clock, 2), newTestLimiter(clock, 2)
	for range 30 {
		if release, refused := busy.admit("t", 0); refused == nil {
			release()
		}
	}
	requests := busy.borrowRequests()
	assert.Len(t, requests, 1)
	assert.Empty(t, busy.borrowRequests(), "a request is already pending")
	grant, known := idle.grant("t", requests[0].request)
	assert.True(t, known)
	before := busy.views()[0].Usable
	busy.applyGrant("t", grant)
	assert.Greater(t, busy.views()[0].Usable, before)
	_, known = idle.grant("nobody", escrow.Request{})
	assert.False(t, known)
}

func TestRetryBudgetIsRatioOfTraffic(t *testing.T) {
	budget := newRetryBudget()
	taken := 0
	for range 1000 {
		budget.deposit()
		if budget.withdraw() {
			taken++
		}
	}
	assert.InDelta(t, maxRetryBalance+1000*retryRatio, taken, 2)
}
