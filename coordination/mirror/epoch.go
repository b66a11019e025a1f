package mirror

import "time"

const (
	// maxEpochStep is the greatest step of the epoch that is believed at once. A process may miss some
	// restores, but not thousands; a greater number is more likely a fault of whoever states it.
	maxEpochStep = 1000
	// confirmTime is how long the store must state nothing but one implausible epoch until it is believed, so
	// that a faulty statement does not shut out what the store says later.
	confirmTime = 2 * time.Second
)

// EpochVerdict is what a statement of an epoch means for the copy.
type EpochVerdict int

// The verdicts.
const (
	// EpochCurrent is the epoch that is known already, or none.
	EpochCurrent EpochVerdict = iota + 1
	// EpochLearned is the first epoch that the process learns.
	EpochLearned
	// EpochRaised is a later epoch: the store was restored from a copy.
	EpochRaised
	// EpochReplaced is an implausible epoch that was confirmed: the records held are in no order with
	// those of the store.
	EpochReplaced
	// EpochStale is an earlier epoch, or one that is too far ahead: the answer is to be ignored.
	EpochStale
)

// EpochTracker tracks the store's epoch from what the store and other processes state. The zero value
// knows none. It is not safe for concurrent use.
type EpochTracker struct {
	current uint64
	// doubted is the implausible epoch that the store has stated since doubtedSince.
	doubted      uint64
	doubtedSince time.Time
}

// Current returns the known epoch, 0 if none is known.
func (e *EpochTracker) Current() uint64 { return e.current }

// ObserveStore takes the epoch that an answer of the store states, 0 if it states none.
func (e *EpochTracker) ObserveStore(epoch uint64, now time.Time) EpochVerdict {
	verdict := e.ObservePeer(epoch)
	switch {
	case epoch == 0:
		return verdict
	case verdict != EpochStale:
		e.doubted = 0
		return verdict
	case e.doubted != epoch:
		e.doubted, e.doubtedSince = epoch, now
		return EpochStale
	case now.Sub(e.doubtedSince) < confirmTime:
		return EpochStale
	}
	e.current, e.doubted = epoch, 0
	return EpochReplaced
}

// ObservePeer takes the epoch that another process states, 0 if it states none. An implausible one is
// never taken from another process: each that reads confirms it itself.
func (e *EpochTracker) ObservePeer(epoch uint64) EpochVerdict {
	switch {
	case epoch == 0 || epoch == e.current:
		return EpochCurrent
	case e.current == 0:
		e.current = epoch
		return EpochLearned
	case epoch < e.current || epoch-e.current > maxEpochStep:
		return EpochStale
	}
	e.current = epoch
	return EpochRaised
}
