package escrow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestLentAmountIsUnusableUntilTheGrantExpires(t *testing.T) {
	lender, borrower := NewAccount(Options{}), NewAccount(Options{})
	lender.SetBase(0.5, 0)
	borrower.SetBase(0.5, 0)
	now := 11 * time.Second
	grant := lender.HandleRequest(borrower.NewRequest(0.2, now), 0, now)
	assert.True(t, borrower.ApplyGrant(grant, now))
	assert.InDelta(t, 0.3, lender.Usable(now), 1e-9)
	assert.InDelta(t, 0.7, borrower.Usable(now), 1e-9)
	assert.InDelta(t, 0.5, borrower.Usable(now+4*time.Second), 1e-9)
	assert.InDelta(t, 0.3, lender.Usable(now+4*time.Second), 1e-9)
	assert.InDelta(t, 0.5, lender.Usable(now+5*time.Second), 1e-9)
}

func TestLateGrantIsIgnored(t *testing.T) {
	borrower := NewAccount(Options{})
	request := borrower.NewRequest(0.2, 0)
	assert.False(t, borrower.ApplyGrant(Grant{ID: request.ID, Amount: 0.2}, 4*time.Second))
	assert.Zero(t, borrower.Usable(4*time.Second))
}

func TestReservedFractionIsNotLent(t *testing.T) {
	lender := NewAccount(Options{})
	lender.SetBase(0.4, 0)
	now := 11 * time.Second
	lender.HandleRequest(Request{ID: 1, Amount: 1}, 0, now)
	assert.InDelta(t, 0.2, lender.Usable(now), 1e-9)
}

func TestRaisedShareTakesEffectAfterTheDelay(t *testing.T) {
	account := NewAccount(Options{})
	account.SetBase(0.5, 0)
	assert.Zero(t, account.Usable(9*time.Second))
	assert.InDelta(t, 0.5, account.Usable(10*time.Second), 1e-9)
	account.SetBase(0.2, 11*time.Second)
	assert.InDelta(t, 0.2, account.Usable(11*time.Second), 1e-9)
}

// message is a request or grant in flight between two accounts.
type message struct {
	from, to int
	request  *Request
	grant    *Grant
}

// explore runs a random schedule of requests, losses, delays and restarts, and
// returns the largest sum that was usable at once.
func explore(t *rapid.T, options Options) float64 {
	const processes = 3
	var accounts [processes]*Account
	// Each process's clock has its own zero.
	var offset [processes]time.Duration
	for i := range accounts {
		accounts[i] = NewAccount(options)
		offset[i] = time.Duration(i) * time.Hour
		accounts[i].SetBase(1.0/processes, offset[i])
	}
	now := time.Minute
	largest := 0.0
	var inFlight []message
	measure := func() {
		total := 0.0
		for i, account := range accounts {
			total += account.Usable(offset[i] + now)
		}
		largest = max(largest, total)
	}
	t.Repeat(map[string]func(*rapid.T){
		"wait": func(t *rapid.T) {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond
			measure()
		},
		"ask": func(t *rapid.T) {
			from, to := rapid.IntRange(0, processes-1).Draw(t, "from"), rapid.IntRange(0, processes-1).Draw(t, "to")
			if from == to {
				t.Skip("a process sends no requests to itself")
			}
			request := accounts[from].NewRequest(rapid.Float64Range(0, 0.5).Draw(t, "amount"), offset[from]+now)
			inFlight = append(inFlight, message{from: from, to: to, request: &request})
		},
		"deliver": func(t *rapid.T) {
			if len(inFlight) == 0 {
				t.Skip("nothing is in flight")
			}
			index := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
			delivered := inFlight[index]
			inFlight = append(inFlight[:index], inFlight[index+1:]...)
			at := offset[delivered.to] + now
			if delivered.request != nil {
				grant := accounts[delivered.to].HandleRequest(*delivered.request, 0, at)
				inFlight = append(inFlight, message{from: delivered.to, to: delivered.from, grant: &grant})
			} else {
				accounts[delivered.to].ApplyGrant(*delivered.grant, at)
			}
			measure()
		},
		"restart": func(t *rapid.T) {
			// A restarted process holds nothing until the raise delay has passed, when all
			// that the previous incarnation lent and borrowed has expired.
			index := rapid.IntRange(0, processes-1).Draw(t, "process")
			accounts[index] = NewAccount(options)
			accounts[index].SetBase(1.0/processes, offset[index]+now)
			kept := inFlight[:0]
			for _, m := range inFlight {
				if m.to != index {
					kept = append(kept, m)
				}
			}
			inFlight = kept
			measure()
		},
	})
	return largest
}

func TestSumNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if largest := explore(t, Options{}); largest > 1+1e-9 {
			t.Fatalf("%.3f of the limit was usable at once", largest)
		}
	})
}

func TestSumExceedsTheLimitWithoutTheSafeguard(t *testing.T) {
	for unsafe, bound := range map[bool]float64{false: 1, true: 1.2} {
		options := Options{Unsafe: unsafe, RaiseDelay: time.Nanosecond}
		lender, borrower := NewAccount(options), NewAccount(options)
		lender.SetBase(0.5, 0)
		borrower.SetBase(0.5, 0)
		now := time.Second
		grant := lender.HandleRequest(borrower.NewRequest(0.2, now), 0, now)
		// The grant arrives late, and the lender reclaims it early.
		borrower.ApplyGrant(grant, now+time.Second)
		now += 3 * time.Second
		assert.InDelta(t, bound, lender.Usable(now)+borrower.Usable(now), 1e-9, "unsafe: %t", unsafe)
	}
}
