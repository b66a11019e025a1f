package escrow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestADonorDoesWithoutUntilTheGrantHasSurelyExpired(t *testing.T) {
	donor, borrower := NewAccount(Options{}), NewAccount(Options{})
	donor.SetBase(0.5, 0)
	borrower.SetBase(0.5, 0)
	now := 11 * time.Second
	grant := donor.HandleRequest(borrower.NewRequest(0.2, now), 0, now)
	assert.True(t, borrower.ApplyGrant(grant, now))
	assert.InDelta(t, 0.3, donor.Usable(now), 1e-9)
	assert.InDelta(t, 0.7, borrower.Usable(now), 1e-9)
	assert.InDelta(t, 0.5, borrower.Usable(now+4*time.Second), 1e-9)
	assert.InDelta(t, 0.3, donor.Usable(now+4*time.Second), 1e-9)
	assert.InDelta(t, 0.5, donor.Usable(now+5*time.Second), 1e-9)
}

func TestAGrantThatComesTooLateIsVoid(t *testing.T) {
	borrower := NewAccount(Options{})
	request := borrower.NewRequest(0.2, 0)
	assert.False(t, borrower.ApplyGrant(Grant{ID: request.ID, Amount: 0.2}, 4*time.Second))
	assert.Zero(t, borrower.Usable(4*time.Second))
}

func TestAProcessKeepsAFloor(t *testing.T) {
	donor := NewAccount(Options{})
	donor.SetBase(0.4, 0)
	now := 11 * time.Second
	donor.HandleRequest(Request{ID: 1, Amount: 1}, 0, now)
	assert.InDelta(t, 0.2, donor.Usable(now), 1e-9)
}

func TestARaisedShareWaits(t *testing.T) {
	account := NewAccount(Options{})
	account.SetBase(0.5, 0)
	assert.Zero(t, account.Usable(9*time.Second))
	assert.InDelta(t, 0.5, account.Usable(10*time.Second), 1e-9)
	account.SetBase(0.2, 11*time.Second)
	assert.InDelta(t, 0.2, account.Usable(11*time.Second), 1e-9)
}

// message is a request or grant under way between two accounts.
type message struct {
	from, to int
	request  *Request
	grant    *Grant
}

// explore runs any schedule of asking, losing, delaying, repeating and pausing,
// and returns the largest sum that was usable at once.
func explore(t *rapid.T, options Options) float64 {
	const processes = 3
	var accounts [processes]*Account
	// Each clock has a zero of its own.
	var offset [processes]time.Duration
	for i := range accounts {
		accounts[i] = NewAccount(options)
		offset[i] = time.Duration(i) * time.Hour
		accounts[i].SetBase(1.0/processes, offset[i])
	}
	now := time.Minute
	largest := 0.0
	var wire []message
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
				t.Skip("nobody asks itself")
			}
			request := accounts[from].NewRequest(rapid.Float64Range(0, 0.5).Draw(t, "amount"), offset[from]+now)
			wire = append(wire, message{from: from, to: to, request: &request})
		},
		"deliver": func(t *rapid.T) {
			if len(wire) == 0 {
				t.Skip("nothing is under way")
			}
			index := rapid.IntRange(0, len(wire)-1).Draw(t, "message")
			delivered := wire[index]
			wire = append(wire[:index], wire[index+1:]...)
			at := offset[delivered.to] + now
			if delivered.request != nil {
				grant := accounts[delivered.to].HandleRequest(*delivered.request, 0, at)
				wire = append(wire, message{from: delivered.to, to: delivered.from, grant: &grant})
			} else {
				accounts[delivered.to].ApplyGrant(*delivered.grant, at)
			}
			measure()
		},
		"restart": func(t *rapid.T) {
			// A new life holds nothing until the raise delay has passed, by which time
			// what the old one lent and borrowed has expired.
			index := rapid.IntRange(0, processes-1).Draw(t, "process")
			accounts[index] = NewAccount(options)
			accounts[index].SetBase(1.0/processes, offset[index]+now)
			kept := wire[:0]
			for _, m := range wire {
				if m.to != index {
					kept = append(kept, m)
				}
			}
			wire = kept
			measure()
		},
	})
	return largest
}

func TestTheSumNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if largest := explore(t, Options{}); largest > 1+1e-9 {
			t.Fatalf("%.3f of the limit was usable at once", largest)
		}
	})
}

func TestWithoutTheSafeguardTheSumIsExceeded(t *testing.T) {
	for unsafe, bound := range map[bool]float64{false: 1, true: 1.2} {
		options := Options{Unsafe: unsafe, RaiseDelay: time.Nanosecond}
		donor, borrower := NewAccount(options), NewAccount(options)
		donor.SetBase(0.5, 0)
		borrower.SetBase(0.5, 0)
		now := time.Second
		grant := donor.HandleRequest(borrower.NewRequest(0.2, now), 0, now)
		// The grant arrives late, and the donor looks again after a while.
		borrower.ApplyGrant(grant, now+time.Second)
		now += 3 * time.Second
		assert.InDelta(t, bound, donor.Usable(now)+borrower.Usable(now), 1e-9, "unsafe: %t", unsafe)
	}
}
