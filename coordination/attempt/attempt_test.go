package attempt

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestAnAttemptStartsOnce(t *testing.T) {
	ledger := NewLedger(7)
	id := ID{Incarnation: 7, Session: ledger.Open(), Sequence: 1}
	assert.Equal(t, Start, ledger.Submit(id))
	assert.Equal(t, Duplicate, ledger.Submit(id))
	ledger.Finish(id)
	assert.Equal(t, Duplicate, ledger.Submit(id))
	assert.Equal(t, Ran, ledger.Inquire(id))
}

func TestARevokedAttemptNeverStarts(t *testing.T) {
	ledger := NewLedger(7)
	id := ID{Incarnation: 7, Session: ledger.Open(), Sequence: 3}
	assert.Equal(t, NotRun, ledger.Revoke(id))
	assert.Equal(t, Revoked, ledger.Submit(id))
}

func TestWithoutTombstonesARevokedAttemptStarts(t *testing.T) {
	ledger := NewLedger(7)
	ledger.DisableTombstones()
	id := ID{Incarnation: 7, Session: ledger.Open(), Sequence: 3}
	assert.Equal(t, NotRun, ledger.Revoke(id))
	assert.Equal(t, Start, ledger.Submit(id))
}

func TestOtherIncarnationIsRefused(t *testing.T) {
	ledger := NewLedger(8)
	id := ID{Incarnation: 7, Session: ledger.Open(), Sequence: 1}
	assert.Equal(t, WrongIncarnation, ledger.Submit(id))
	assert.Equal(t, Unknown, ledger.Revoke(id))
}

func TestAClosedSessionStartsNothingAndIsRemembered(t *testing.T) {
	ledger := NewLedger(7)
	session := ledger.Open()
	ran := ID{Incarnation: 7, Session: session, Sequence: 1}
	late := ID{Incarnation: 7, Session: session, Sequence: 2}
	ledger.Submit(ran)
	ledger.Finish(ran)
	ledger.Close(session)
	assert.Equal(t, Closed, ledger.Submit(late))
	assert.Equal(t, NotRun, ledger.Inquire(late))
	assert.Equal(t, Ran, ledger.Inquire(ran))
}

func TestOldAttemptsLeaveTheWindow(t *testing.T) {
	ledger := NewLedger(7)
	session := ledger.Open()
	first := ID{Incarnation: 7, Session: session, Sequence: 1}
	ledger.Submit(first)
	ledger.Submit(ID{Incarnation: 7, Session: session, Sequence: Window + 1})
	assert.Equal(t, OutsideWindow, ledger.Submit(first))
	assert.Equal(t, Unknown, ledger.Inquire(first))
}

func TestMemoryIsBounded(t *testing.T) {
	ledger := NewLedger(7)
	for range 10 * MaxClosedSessions {
		session := ledger.Open()
		for sequence := uint64(1); sequence <= 3; sequence++ {
			ledger.Submit(ID{Incarnation: 7, Session: session, Sequence: sequence * 1000})
		}
		ledger.Close(session)
	}
	assert.LessOrEqual(t, len(ledger.sessions), MaxClosedSessions)
	session := ledger.Open()
	for sequence := uint64(1); sequence <= 5*Window; sequence += 7 {
		ledger.Submit(ID{Incarnation: 7, Session: session, Sequence: sequence})
	}
	assert.LessOrEqual(t, len(ledger.sessions[session].attempts), Window+1)
}

// For any sequence of submissions, revocations, completions, closings and inquiries: nothing may
// start twice, and an attempt that was reported as not run may never run.
func TestNoAttemptStartsTwiceOrAfterNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := NewLedger(1)
		sessions := []uint64{ledger.Open()}
		started := map[ID]bool{}
		notRun := map[ID]bool{}
		draw := func() ID {
			return ID{
				Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
				Session:     rapid.SampledFrom(sessions).Draw(t, "session"),
				Sequence:    rapid.Uint64Range(0, 3*Window).Draw(t, "sequence") / (Window / 8),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"open":  func(*rapid.T) { sessions = append(sessions, ledger.Open()) },
			"close": func(*rapid.T) { ledger.Close(draw().Session) },
			"submit": func(t *rapid.T) {
				id := draw()
				if ledger.Submit(id) != Start {
					return
				}
				if started[id] || notRun[id] {
					t.Fatalf("%v started again or after it was reported as not run", id)
				}
				started[id] = true
			},
			"finish": func(*rapid.T) { ledger.Finish(draw()) },
			"revoke": func(t *rapid.T) {
				id := draw()
				if ledger.Revoke(id) != NotRun {
					return
				}
				if started[id] {
					t.Fatalf("%v is reported as not run although it started", id)
				}
				notRun[id] = true
			},
		})
	})
}
