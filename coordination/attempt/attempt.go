// Package attempt keeps attempts at requests to at most one run each. A Ledger
// sits at the process that starts work; it is a pure state machine that knows,
// for each attempt it was ever offered, whether it ran, did not run and never
// will, or may have run. It does no I/O and reads no clock.
package attempt

import "slices"

// ID names one attempt. A session belongs to one link and is issued by the
// ledger, so that a session the ledger does not hold can never start work.
type ID struct {
	// Incarnation is the ledger's own; a restarted ledger refuses older ones.
	Incarnation uint64 `cbor:"1,keyasint" json:"incarnation"`
	Session     uint64 `cbor:"2,keyasint" json:"session"`
	// Sequence counts up from 1 within the session.
	Sequence uint64 `cbor:"3,keyasint" json:"sequence"`
}

// Verdict answers a submission.
type Verdict int

// The verdicts. Only Start permits the work to begin; every other one is proof
// that this submission did not start anything.
const (
	Start Verdict = iota + 1
	// Duplicate means that the attempt was submitted before.
	Duplicate
	// WrongIncarnation means that the attempt names another process life.
	WrongIncarnation
	// Closed means that the session has ended or was never issued.
	Closed
	// Revoked means that the attempt was revoked before it was submitted.
	Revoked
	// OutsideWindow means that the attempt is too old to be remembered.
	OutsideWindow
)

// Outcome is what is known of an attempt.
type Outcome int

// The outcomes of an inquiry or a revocation.
const (
	// NotRun is proof that the attempt did not run and never will.
	NotRun Outcome = iota + 1
	// Running means that the attempt has started and not finished.
	Running
	// Ran means that the attempt has finished.
	Ran
	// Unknown means that the ledger no longer remembers.
	Unknown
)

// Limits of a ledger's memory.
const (
	// Window is how many sequence numbers of a session are remembered.
	Window = 4096
	// MaxClosedSessions is how many ended sessions are remembered.
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

// Ledger is the memory of one process life.
type Ledger struct {
	incarnation uint64
	nextSession uint64
	sessions    map[uint64]*session
	// closedOrder lists ended sessions, oldest first.
	closedOrder []uint64
	tombstones  bool
}

// NewLedger returns the ledger of a process life. Incarnations must differ
// between lives of a process.
func NewLedger(incarnation uint64) *Ledger {
	return &Ledger{incarnation: incarnation, sessions: map[uint64]*session{}, tombstones: true}
}

// DisableTombstones makes the ledger forget revocations. It exists so that
// tests can show that they notice it.
func (l *Ledger) DisableTombstones() { l.tombstones = false }

// Incarnation returns the process life that the ledger serves.
func (l *Ledger) Incarnation() uint64 { return l.incarnation }

// Open issues a session for a new link.
func (l *Ledger) Open() uint64 {
	l.nextSession++
	l.sessions[l.nextSession] = &session{attempts: map[uint64]state{}}
	return l.nextSession
}

// Close ends a session: nothing more of it can start. What it ran is still
// remembered for inquiries, until newer ended sessions push it out.
func (l *Ledger) Close(sessionID uint64) {
	ended, held := l.sessions[sessionID]
	if !held || ended.closed {
		return
	}
	ended.closed = true
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
	held, ok := l.sessions[id.Session]
	if !ok || held.closed {
		return Closed
	}
	if id.Sequence == 0 || id.Sequence+Window <= held.highest {
		return OutsideWindow
	}
	switch held.attempts[id.Sequence] {
	case stateRunning, stateFinished:
		return Duplicate
	case stateRevoked:
		return Revoked
	}
	held.set(id.Sequence, stateRunning)
	return Start
}

// Finish records that a started attempt has ended.
func (l *Ledger) Finish(id ID) {
	held, ok := l.sessions[id.Session]
	if ok && id.Incarnation == l.incarnation && held.attempts[id.Sequence] == stateRunning {
		held.attempts[id.Sequence] = stateFinished
	}
}

// Revoke makes sure that an attempt that has not started never will, and tells
// what is known of it.
func (l *Ledger) Revoke(id ID) Outcome {
	outcome := l.Inquire(id)
	held, ok := l.sessions[id.Session]
	if outcome == NotRun && ok && !held.closed && l.tombstones && id.Incarnation == l.incarnation {
		held.set(id.Sequence, stateRevoked)
	}
	return outcome
}

// Inquire tells what is known of an attempt. NotRun is only said of an attempt
// that is revoked or whose session is closed; an attempt that may still arrive
// must be revoked first, so callers use Revoke while the session is open.
func (l *Ledger) Inquire(id ID) Outcome {
	if id.Incarnation != l.incarnation {
		return Unknown
	}
	held, ok := l.sessions[id.Session]
	if !ok || id.Sequence+Window <= held.highest {
		return Unknown
	}
	switch held.attempts[id.Sequence] {
	case stateRunning:
		return Running
	case stateFinished:
		return Ran
	}
	return NotRun
}

// set records a state and forgets what has left the window.
func (s *session) set(sequence uint64, to state) {
	s.attempts[sequence] = to
	if sequence <= s.highest {
		return
	}
	s.forget(s.highest, sequence)
	s.highest = sequence
}

// forget drops the attempts that leave the window when the highest sequence
// moves from one number to another.
func (s *session) forget(from, to uint64) {
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
