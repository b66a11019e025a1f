// Package escrow splits a limit among processes that can lose contact with each
// other. Each holds a base share; a process that needs more borrows from one that
// needs less, for a term. The lender gives up the amount from the moment it sends
// a grant until the grant has certainly expired; the borrower counts the term from
// the moment of its request. The sum that all may use at once therefore never
// exceeds the sum of the base shares, even if messages are lost or delayed or
// processes pause.
//
// An Account does no I/O and reads no clock. Times are durations on the process's
// own monotonic clock; clocks need no common zero, but must run at nearly the same
// rate.
package escrow

import (
	"slices"
	"time"
)

// Options configures an Account.
type Options struct {
	// Term is how long a grant lasts.
	Term time.Duration
	// Margin is how much longer than Term the lender waits; it covers clocks whose
	// rates differ over a term.
	Margin time.Duration
	// RaiseDelay is the delay before a raised base share takes effect. By then the
	// processes that held that share have certainly lowered theirs.
	RaiseDelay time.Duration
	// ReservedFraction is the fraction of its base share that a process never lends.
	ReservedFraction float64
	// Unsafe makes a lender reclaim a grant early and a borrower count the term from
	// receipt, so that tests can show that they detect the fault.
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

// Request is a request to borrow a part of the limit.
type Request struct {
	ID     uint64  `cbor:"1,keyasint"`
	Amount float64 `cbor:"2,keyasint"`
}

// Grant is the reply to a request.
type Grant struct {
	ID     uint64  `cbor:"1,keyasint"`
	Amount float64 `cbor:"2,keyasint"`
}

// lease is an amount that is lent or borrowed until a time.
type lease struct {
	amount float64
	until  time.Duration
}

// Account tracks one process's share of one limit.
type Account struct {
	options Options
	base    float64
	// raisedBase is a base share that takes effect at raiseEffectiveAt.
	raisedBase       float64
	raiseEffectiveAt time.Duration
	lent             []lease
	borrowed         []lease
	// pending maps a request's ID to the time it was made.
	pending map[uint64]time.Duration
	nextID  uint64
}

// NewAccount returns an account without a share.
func NewAccount(options Options) *Account {
	return &Account{options: options.applyDefaults(), pending: map[uint64]time.Duration{}}
}

// SetBase sets the base share. A lower share takes effect at once, a higher one
// after the raise delay.
func (a *Account) SetBase(share float64, now time.Duration) {
	a.advance(now)
	if share <= a.base {
		a.base, a.raisedBase = share, 0
		return
	}
	if share != a.raisedBase {
		a.raisedBase, a.raiseEffectiveAt = share, now+a.options.RaiseDelay
	}
}

// Base returns the base share in force.
func (a *Account) Base(now time.Duration) float64 {
	a.advance(now)
	return a.base
}

// advance puts a due raise into effect and drops expired leases and requests.
func (a *Account) advance(now time.Duration) {
	if a.raisedBase > 0 && now >= a.raiseEffectiveAt {
		a.base, a.raisedBase = a.raisedBase, 0
	}
	expired := func(l lease) bool { return now >= l.until }
	a.lent = slices.DeleteFunc(a.lent, expired)
	a.borrowed = slices.DeleteFunc(a.borrowed, expired)
	for id, at := range a.pending {
		if now >= at+a.options.Term {
			delete(a.pending, id)
		}
	}
}

func sum(leases []lease) float64 {
	total := 0.0
	for _, l := range leases {
		total += l.amount
	}
	return total
}

// Usable returns the amount that the process may use now. It must be called right
// before each use.
func (a *Account) Usable(now time.Duration) float64 {
	a.advance(now)
	return max(0, a.base-sum(a.lent)) + sum(a.borrowed)
}

// NewRequest returns a request to borrow an amount and records it as pending.
func (a *Account) NewRequest(amount float64, now time.Duration) Request {
	a.advance(now)
	a.nextID++
	a.pending[a.nextID] = now
	return Request{ID: a.nextID, Amount: amount}
}

// Pending reports whether a request is unanswered and its term has not expired.
func (a *Account) Pending(now time.Duration) bool {
	a.advance(now)
	return len(a.pending) > 0
}

// HandleRequest lends what the process can spare, given what it needs itself.
// Borrowed amounts are never lent on. A zero amount grants nothing.
func (a *Account) HandleRequest(request Request, needed float64, now time.Duration) Grant {
	a.advance(now)
	reserved := max(needed, a.base*a.options.ReservedFraction)
	spare := a.base - sum(a.lent) - reserved
	amount := max(0, min(request.Amount, spare))
	if amount > 0 {
		until := now + a.options.Term + a.options.Margin
		if a.options.Unsafe {
			until = now + a.options.Term/2
		}
		a.lent = append(a.lent, lease{amount: amount, until: until})
	}
	return Grant{ID: request.ID, Amount: amount}
}

// ApplyGrant applies a grant of a request that is still pending, and reports whether
// it did; other grants are ignored.
func (a *Account) ApplyGrant(grant Grant, now time.Duration) bool {
	a.advance(now)
	at, pending := a.pending[grant.ID]
	if !pending {
		return false
	}
	delete(a.pending, grant.ID)
	until := at + a.options.Term
	if a.options.Unsafe {
		until = now + a.options.Term
	}
	if grant.Amount <= 0 || now >= until {
		return false
	}
	a.borrowed = append(a.borrowed, lease{amount: grant.Amount, until: until})
	return true
}
