package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/escrow"
	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/fault"
)

// manualClock is a clock that a test moves.
type manualClock struct{ now time.Time }

func (c *manualClock) read() time.Time { return c.now }

func (c *manualClock) wait(duration time.Duration) { c.now = c.now.Add(duration) }

func limited(clock *manualClock, entries int) *limiter {
	limits := newLimiter(clock.read)
	limits.configure(&configuration.Snapshot{Tenants: map[string]configuration.Tenant{
		"t": {Name: "t", RequestsPerSecond: 10, TokensPerSecond: 1000, Concurrency: 8},
	}}, entries)
	clock.wait(raiseDelay)
	return limits
}

func TestRequestsOverTheRateAreRefusedAndToldWhenToComeBack(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	limits := limited(clock, 1)
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
	assert.Equal(t, 20, admitted, "two seconds of the rate at once")
	assert.Equal(t, fault.ReasonLimitRequests, refusal.Reason)
	assert.Equal(t, fault.ExecutionNotRun, refusal.Execution)
	assert.Positive(t, refusal.RetryAfter)
	clock.wait(refusal.RetryAfter)
	_, refused := limits.admit("t", 0)
	assert.Nil(t, refused)
}

func TestOpenRequestsAreBounded(t *testing.T) {
	limits := limited(&manualClock{now: time.Unix(1000, 0)}, 2)
	for range 4 {
		_, refused := limits.admit("t", 1)
		assert.Nil(t, refused)
	}
	_, refused := limits.admit("t", 1)
	assert.Equal(t, fault.ReasonLimitConcurrency, refused.Reason)
}

// Guards against large requests being left unserved: a tenant that asks for twice its tokens a second has its large
// requests, one in ten, admitted as often as its small ones, and no more tokens than its limit over time.
func TestTokensAreTakenWhateverTheSize(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	limits := newLimiter(clock.read)
	limits.configure(&configuration.Snapshot{Tenants: map[string]configuration.Tenant{
		"t": {Name: "t", RequestsPerSecond: 1000, TokensPerSecond: 1000, Concurrency: 1000},
	}}, 1)
	clock.wait(raiseDelay)
	const seconds, largeTokens, smallTokens = 600, 1100, 100
	asked, admitted, tokens := map[int]int{}, map[int]int{}, 0
	for number := range 10 * seconds {
		size := smallTokens
		if number%10 == 0 {
			size = largeTokens
		}
		clock.wait(100 * time.Millisecond)
		asked[size]++
		if release, refused := limits.admit("t", size); refused == nil {
			admitted[size]++
			tokens += size
			release()
		}
	}
	share := func(size int) float64 { return float64(admitted[size]) / float64(asked[size]) }
	t.Logf("admitted: %.2f of the small, %.2f of the large", share(smallTokens), share(largeTokens))
	assert.GreaterOrEqual(t, share(largeTokens), 0.75*share(smallTokens))
	assert.LessOrEqual(t, tokens, 1000*(seconds+burstSeconds)+largeTokens)
	assert.GreaterOrEqual(t, tokens, 950*seconds, "the limit is used")
}

func TestNothingIsAdmittedBeforeTheShareIsInForce(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	limits := newLimiter(clock.read)
	assert.False(t, limits.settled())
	limits.configure(&configuration.Snapshot{Tenants: map[string]configuration.Tenant{"t": {Name: "t", RequestsPerSecond: 1, TokensPerSecond: 1, Concurrency: 1}}}, 3)
	assert.False(t, limits.settled())
	_, refused := limits.admit("t", 0)
	assert.Equal(t, fault.ReasonNotReady, refused.Reason)
	clock.wait(raiseDelay)
	assert.True(t, limits.settled())
}

func TestABusyEntryBorrowsFromAnIdleOne(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	busy, idle := limited(clock, 2), limited(clock, 2)
	for range 30 {
		if release, refused := busy.admit("t", 0); refused == nil {
			release()
		}
	}
	wishes := busy.wishes()
	assert.Len(t, wishes, 1)
	assert.Empty(t, busy.wishes(), "one request is pending")
	grant, known := idle.answer("t", wishes[0].request)
	assert.True(t, known)
	before := busy.views()[0].Usable
	busy.receive("t", grant)
	assert.Greater(t, busy.views()[0].Usable, before)
	_, known = idle.answer("nobody", escrow.Request{})
	assert.False(t, known)
}

func TestTheRetryBudgetIsAShareOfTheTraffic(t *testing.T) {
	budget := newRetryBudget()
	taken := 0
	for range 1000 {
		budget.deposit()
		if budget.take() {
			taken++
		}
	}
	assert.InDelta(t, retryReserve+1000*retryShare, taken, 2)
}
