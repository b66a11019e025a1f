// Package hedging decides when a request whose server has fallen silent is sent to a second server,
// and which of the two attempts goes on. The first attempt is never given up for silence alone: its
// server may go on at any moment, so it ends only once the second one has begun to answer. The
// caller feeds the events of both attempts and carries out the decisions.
package hedging

import "time"

// Conditions are what a second attempt requires, at the time of the decision.
type Conditions struct {
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// Committed is set when the rest of the answer can come from the first server only.
	Committed bool
	// Attempts is how many more servers the request may be sent to.
	Attempts int
	// Budget is set when the retry budget has a retry left.
	Budget bool
	// Remaining is the rest of the request's time, and Needed what a second attempt takes at least.
	Remaining time.Duration
	Needed    time.Duration
}

// allow reports whether a second attempt may be made.
func (c Conditions) allow() bool {
	return c.Repeatable && !c.Committed && c.Attempts > 0 && c.Budget && c.Remaining >= c.Needed
}

// RetryInterval is the minimum time between two searches for a place for the second attempt, if the
// first search found none or the second attempt failed. A server that is full now has room a few
// answers later.
const RetryInterval = 400 * time.Millisecond

// Decision says what becomes of an attempt.
type Decision int

const (
	// Wait means that nothing changes.
	Wait Decision = iota
	// Hedge means that a second attempt is started beside the first one.
	Hedge
	// TakeOver means that the first attempt ends and the second one goes on.
	TakeOver
	// CancelHedge means that the second attempt ends and the first one goes on.
	CancelHedge
	// AwaitHedge means that the first attempt has ended and the second one goes on, though it has not
	// begun to answer.
	AwaitHedge
	// Retry means that no attempt is left, so that the request is sent again or ends.
	Retry
)

type state int

const (
	// single means that there is no second attempt.
	single state = iota
	// pending means that the second attempt has not begun to answer.
	pending
	// begun means that the second attempt has begun to answer while the first one is open.
	begun
)

// Machine is the state of one request. The zero value is a request with one attempt.
type Machine struct {
	state state
	// retryAt is the earliest time of the next search for a place.
	retryAt time.Duration
}

// FirstSilent is called while there is evidence that the first attempt's server has fallen silent.
func (m *Machine) FirstSilent(now time.Duration, conditions Conditions) Decision {
	switch {
	case m.state == begun:
		return TakeOver
	case m.state == pending, now < m.retryAt, !conditions.allow():
		return Wait
	}
	return Hedge
}

// NoPlace records that no server had a place for the second attempt.
func (m *Machine) NoPlace(now time.Duration) { m.retryAt = now + RetryInterval }

// HedgeStarted records that the second attempt was sent.
func (m *Machine) HedgeStarted() { m.state = pending }

// HedgeBegun records that the second attempt has begun to answer. The first one ends.
func (m *Machine) HedgeBegun() Decision {
	if m.state == single {
		return Wait
	}
	m.state = begun
	return TakeOver
}

// HedgeFailed records that the second attempt has ended without an answer. The first one goes on.
func (m *Machine) HedgeFailed(now time.Duration) {
	m.state = single
	m.NoPlace(now)
}

// FirstProgressed records that the first attempt has delivered a part of the answer, so that the
// second one, if there is one, is no longer needed and would continue at the wrong place.
func (m *Machine) FirstProgressed() Decision {
	if m.state == single {
		return Wait
	}
	m.state = single
	return CancelHedge
}

// FirstEnded records that the first attempt has ended without the rest of the answer. If there is a
// second attempt, it becomes the first one.
func (m *Machine) FirstEnded() Decision {
	if m.state == single {
		return Retry
	}
	m.state = single
	return AwaitHedge
}
