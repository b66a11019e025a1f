// Package attempt ensures that each attempt at a request runs at most once. A Ledger belongs to the
// process that starts work; it is a pure state machine that knows, for each attempt that was
// submitted to it, whether it ran, did not run and never will, or may have run. The package does no
// I/O and reads no clock.
package attempt

import "slices"

// ID identifies an attempt. A session belongs to one link and is issued by the ledger, so a session
// that the ledger does not know can never start work.
type ID struct {
	// Incarnation is that of the ledger; after a restart the ledger refuses older ones.
	Incarnation uint64 `cbor:"1,keyasint" json:"incarnation"`
	Session     uint64 `cbor:"2,keyasint" json:"session"`
	// Sequence counts up from 1 within the session.
	Sequence uint64 `cbor:"3,keyasint" json:"sequence"`
}

// Verdict is the result of a submission.
type Verdict int

// Possible verdicts. Only Start permits the work to begin; every other one confirms that this
// submission did not start anything.
const (
	Start Verdict = iota + 1
	// Duplicate means that the attempt was submitted before.
	Duplicate
	// WrongIncarnation means that the attempt names another incarnation of the process.
	WrongIncarnation
	// Closed means that the session has ended or was never issued.
	Closed
	// Revoked means that the attempt was revoked before it was submitted.
	Revoked
	// OutsideWindow means that the attempt is too old for the ledger to remember.
	OutsideWindow
)

// Outcome is the known result of an attempt.
type Outcome int

// Possible outcomes of an inquiry or a revocation.
const (
	// NotRun confirms that the attempt did not run and never will.
	NotRun Outcome = iota + 1
	// Running means that the attempt has started and not finished.
	Running
	// Ran means that the attempt has finished.
	Ran
	// Unknown means that the ledger no longer remembers the attempt.
	Unknown
)

// Limits of a ledger's memory.
const (
	// Window is the number of sequence numbers remembered per session.
	Window = 4096
	// MaxClosedSessions is the number of closed sessions remembered.
	MaxClosedSessions = 256
)

type state uint8

const (
	stateRunning state = iota + 1
	stateFinished
	stateRevoked
)

type session struct {
	closed   bool
	highest  uint64
	attempts map[uint64]state
}

// Ledger records the attempts of one incarnation of a process.
type Ledger struct {
	incarnation uint64
	nextSession uint64
	sessions    map[uint64]*session
	// closedOrder lists the closed sessions, oldest first.
	closedOrder []uint64
	tombstones  bool
}

// NewLedger returns the ledger of an incarnation. Each start of a process needs a different
// incarnation.
func NewLedger(incarnation uint64) *Ledger {
	return &Ledger{incarnation: incarnation, sessions: map[uint64]*session{}, tombstones: true}
}

// DisableTombstones makes the ledger forget revocations. It exists so that tests can prove that
// they detect this fault.
func (l *Ledger) DisableTombstones() { l.tombstones = false }

// Incarnation returns the incarnation that the ledger serves.
func (l *Ledger) Incarnation() uint64 { return l.incarnation }

// Open issues a session for a new link.
func (l *Ledger) Open() uint64 {
	l.nextSession++
	l.sessions[l.nextSession] = &session{attempts: map[uint64]state{}}
	return l.nextSession
}

// Close ends a session: none of its attempts can start any more. What it ran is still remembered
// for inquiries, until newer closed sessions displace it.
func (l *Ledger) Close(sessionID uint64) {
	s, known := l.sessions[sessionID]
	if !known || s.closed {
		return
	}
	s.closed = true
	l.closedOrder = append(l.closedOrder, sessionID)
	if len(l.closedOrder) > MaxClosedSessions {
		delete(l.sessions, l.closedOrder[0])
		l.closedOrder = slices.Delete(l.closedOrder, 0, 1)
	}
}

// Submit decides whether an attempt may start.
func (l *Ledger) Submit(id ID) Verdict {
	if id.Incarnation != l.incarnation {
		return WrongIncarnation
	}
	s, ok := l.sessions[id.Session]
	if !ok || s.closed {
		return Closed
	}
	if id.Sequence == 0 || id.Sequence+Window <= s.highest {
		return OutsideWindow
	}
	switch s.attempts[id.Sequence] {
	case stateRunning, stateFinished:
		return Duplicate
	case stateRevoked:
		return Revoked
	}
	s.set(id.Sequence, stateRunning)
	return Start
}

// Finish records that a started attempt has ended.
func (l *Ledger) Finish(id ID) {
	s, ok := l.sessions[id.Session]
	if ok && id.Incarnation == l.incarnation && s.attempts[id.Sequence] == stateRunning {
		s.attempts[id.Sequence] = stateFinished
	}
}

// Revoke ensures that an attempt that has not started never will, and returns what is known of it.
func (l *Ledger) Revoke(id ID) Outcome {
	outcome := l.Inquire(id)
	s, ok := l.sessions[id.Session]
	if outcome == NotRun && ok && !s.closed && l.tombstones && id.Incarnation == l.incarnation {
		s.set(id.Sequence, stateRevoked)
	}
	return outcome
}

// Inquire returns what is known of an attempt. NotRun is final only if the attempt is revoked or its
// session is closed. In an open session the attempt may still arrive and start, so callers must use
// Revoke instead.
func (l *Ledger) Inquire(id ID) Outcome {
	if id.Incarnation != l.incarnation {
		return Unknown
	}
	s, ok := l.sessions[id.Session]
	if !ok || id.Sequence+Window <= s.highest {
		return Unknown
	}
	switch s.attempts[id.Sequence] {
	case stateRunning:
		return Running
	case stateFinished:
		return Ran
	}
	return NotRun
}

// set records a state and drops the attempts that leave the window.
func (s *session) set(sequence uint64, newState state) {
	s.attempts[sequence] = newState
	if sequence <= s.highest {
		return
	}
	s.expire(s.highest, sequence)
	s.highest = sequence
}

// expire drops the attempts that leave the window when the highest sequence number changes.
func (s *session) expire(from, to uint64) {
	if to-from > uint64(len(s.attempts)) {
		for sequence := range s.attempts {
			if sequence+Window <= to {
				delete(s.attempts, sequence)
			}
		}
		return
	}
	for sequence := from + 1; sequence <= to; sequence++ {
		if sequence > Window {
			delete(s.attempts, sequence-Window)
		}
	}
}
