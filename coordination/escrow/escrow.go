// Package escrow splits a limit over processes that can lose sight of each
// other. Each holds a base share; a process that needs more borrows from one
// that needs less, for a term. The donor does without from the moment it sends
// a grant until the grant has surely expired; the borrower counts the term from
// the moment it asked. What all may use at once therefore never exceeds the sum
// of the base shares, whatever is lost, late, or paused.
//
// An Account does no I/O and reads no clock. Times are durations on the
// process's own monotonic clock; clocks need no common zero, but must run at
// nearly the same rate.
package escrow

import (
	"slices"
	"time"
)

// Options sets the times of grants.
type Options struct {
	// Term is how long a grant lasts.
	Term time.Duration
	// Margin is how much longer a donor waits; it covers clocks that differ in
	// rate over a term.
	Margin time.Duration
	// RaiseDelay is how long a raised base share waits until it counts, so that
	// those who had it before have surely lowered theirs.
	RaiseDelay time.Duration
	// ReservedFraction is the part of its base share that a process never grants away.
	ReservedFraction float64
	// Unsafe makes a donor take its grant back without the margin and a borrower
	// count from receipt, so that tests can show that they notice it.
	Unsafe bool
}

func (o Options) applyDefaults() Options {
	if o.Term == 0 {
		o.Term = 4 * time.Second
	}
	if o.Margin == 0 {
		o.Margin = time.Second
	}
	if o.RaiseDelay == 0 {
		o.RaiseDelay = 10 * time.Second
	}
	if o.ReservedFraction == 0 {
		o.ReservedFraction = 0.5
	}
	return o
}

// Request asks for a part of the limit.
type Request struct {
	ID     uint64  `cbor:"1,keyasint"`
	Amount float64 `cbor:"2,keyasint"`
}

// Grant answers a request.
type Grant struct {
	ID     uint64  `cbor:"1,keyasint"`
	Amount float64 `cbor:"2,keyasint"`
}

// part is an amount until a time.
type part struct {
	amount float64
	until  time.Duration
}

// Account is one process's part of one limit.
type Account struct {
	options Options
	base    float64
	// raised is a base share that counts from raisedAt on.
	raised   float64
	raisedAt time.Duration
	lent     []part
	borrowed []part
	// asked maps a request to when it was made.
	asked  map[uint64]time.Duration
	nextID uint64
}

// NewAccount returns an account without a share.
func NewAccount(options Options) *Account {
	return &Account{options: options.applyDefaults(), asked: map[uint64]time.Duration{}}
}

// SetBase sets the base share. A lower one counts at once, a higher one after
// the raise delay.
func (a *Account) SetBase(share float64, now time.Duration) {
	a.settle(now)
	if share <= a.base {
		a.base, a.raised = share, 0
		return
	}
	if share != a.raised {
		a.raised, a.raisedAt = share, now+a.options.RaiseDelay
	}
}

// Base returns the base share in force.
func (a *Account) Base(now time.Duration) float64 {
	a.settle(now)
	return a.base
}

// settle applies what time has brought.
func (a *Account) settle(now time.Duration) {
	if a.raised > 0 && now >= a.raisedAt {
		a.base, a.raised = a.raised, 0
	}
	expired := func(p part) bool { return now >= p.until }
	a.lent = slices.DeleteFunc(a.lent, expired)
	a.borrowed = slices.DeleteFunc(a.borrowed, expired)
	for id, at := range a.asked {
		if now >= at+a.options.Term {
			delete(a.asked, id)
		}
	}
}

func sum(parts []part) float64 {
	total := 0.0
	for _, p := range parts {
		total += p.amount
	}
	return total
}

// Usable returns what the process may use at this moment. It must be asked for
// right before each use.
func (a *Account) Usable(now time.Duration) float64 {
	a.settle(now)
	return max(0, a.base-sum(a.lent)) + sum(a.borrowed)
}

// NewRequest makes a request for more.
func (a *Account) NewRequest(amount float64, now time.Duration) Request {
	a.settle(now)
	a.nextID++
	a.asked[a.nextID] = now
	return Request{ID: a.nextID, Amount: amount}
}

// Pending reports whether a request has not been answered in its term.
func (a *Account) Pending(now time.Duration) bool {
	a.settle(now)
	return len(a.asked) > 0
}

// HandleRequest grants what the process can do without, given what it needs itself.
// Borrowed parts are never granted on. A zero amount grants nothing.
func (a *Account) HandleRequest(request Request, needed float64, now time.Duration) Grant {
	a.settle(now)
	kept := max(needed, a.base*a.options.ReservedFraction)
	spare := a.base - sum(a.lent) - kept
	amount := max(0, min(request.Amount, spare))
	if amount > 0 {
		until := now + a.options.Term + a.options.Margin
		if a.options.Unsafe {
			until = now + a.options.Term/2
		}
		a.lent = append(a.lent, part{amount: amount, until: until})
	}
	return Grant{ID: request.ID, Amount: amount}
}

// ApplyGrant takes a grant of a request that is still pending; others are void.
func (a *Account) ApplyGrant(grant Grant, now time.Duration) bool {
	a.settle(now)
	at, pending := a.asked[grant.ID]
	if !pending {
		return false
	}
	delete(a.asked, grant.ID)
	until := at + a.options.Term
	if a.options.Unsafe {
		until = now + a.options.Term
	}
	if grant.Amount <= 0 || now >= until {
		return false
	}
	a.borrowed = append(a.borrowed, part{amount: grant.Amount, until: until})
	return true
}
