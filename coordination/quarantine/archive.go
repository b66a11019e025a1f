package quarantine

import (
	"slices"
	"time"
)

// Bounds of what is held for others: ends as many as count, each with words of a few entries.
const (
	mostEndWords     = 2 * mostEnds
	mostClearedWords = 1024
	mostShutWords    = mostQuarantined
)

// wordKey names a word.
type wordKey struct {
	entry  string
	number uint64
}

// heldWord is a word with its place among those that were taken in.
type heldWord struct {
	word     Report
	sequence uint64
}

// Archive holds words to pass them on, and for processes that start.
type Archive struct {
	held     map[wordKey]heldWord
	sequence uint64
}

// NewArchive returns an empty archive.
func NewArchive() *Archive { return &Archive{held: map[wordKey]heldWord{}} }

// Sequence is that of the word taken in last.
func (a *Archive) Sequence() uint64 { return a.sequence }

// Add takes a word in and reports whether it is news.
func (a *Archive) Add(word Report, now time.Duration) bool {
	key := wordKey{word.Entry, word.Number}
	if _, known := a.held[key]; known || now-word.At > word.memory() {
		return false
	}
	if word.Kind == Quarantined && a.isLifted(word) {
		return false
	}
	if word.Kind == Cleared && word.LiftsQuarantine {
		a.dropLifted(word)
	}
	a.makeRoom(word.Kind)
	a.sequence++
	a.held[key] = heldWord{word: word, sequence: a.sequence}
	return true
}

// memory is how long a word may still matter to somebody.
func (w Report) memory() time.Duration {
	switch {
	case w.Kind == Quarantined:
		return w.Duration + longestQuarantine
	case w.Kind == Cleared && w.LiftsQuarantine:
		return longestQuarantine
	}
	return evidenceMemory
}

// isLifted reports whether a quarantine is known to have been ended.
func (a *Archive) isLifted(word Report) bool {
	for _, one := range a.held {
		if one.word.Kind == Cleared && one.word.LiftsQuarantine && one.word.Fingerprint == word.Fingerprint && one.word.At >= word.At {
			return true
		}
	}
	return false
}

// dropLifted drops the words of a quarantine that has been ended.
func (a *Archive) dropLifted(by Report) {
	for key, one := range a.held {
		if one.word.Kind == Quarantined && one.word.Fingerprint == by.Fingerprint && one.word.At <= by.At {
			delete(a.held, key)
		}
	}
}

// makeRoom drops a word if there are as many of a kind as may be: the oldest one, of quarantines that
// of the caller who has the most.
func (a *Archive) makeRoom(kind Kind) {
	var same []heldWord
	counts := map[uint64]int{}
	for _, one := range a.held {
		if one.word.Kind == kind {
			same = append(same, one)
			counts[one.word.Fingerprint.Caller]++
		}
	}
	if len(same) < mostOf(kind) {
		return
	}
	last := slices.MinFunc(same, func(x, y heldWord) int {
		if kind == Quarantined && counts[x.word.Fingerprint.Caller] != counts[y.word.Fingerprint.Caller] {
			return counts[y.word.Fingerprint.Caller] - counts[x.word.Fingerprint.Caller]
		}
		return int(x.sequence) - int(y.sequence)
	})
	delete(a.held, wordKey{last.word.Entry, last.word.Number})
}

func mostOf(kind Kind) int {
	switch kind {
	case Crashed:
		return mostEndWords
	case Cleared:
		return mostClearedWords
	}
	return mostShutWords
}

// Since lists the words that were taken in after a sequence, in order.
func (a *Archive) Since(sequence uint64) []Report {
	var later []heldWord
	for _, one := range a.held {
		if one.sequence > sequence {
			later = append(later, one)
		}
	}
	slices.SortFunc(later, func(x, y heldWord) int { return int(x.sequence) - int(y.sequence) })
	words := make([]Report, 0, len(later))
	for _, one := range later {
		words = append(words, one.word)
	}
	return words
}

// Expire drops what matters to nobody any more.
func (a *Archive) Expire(now time.Duration) {
	for key, one := range a.held {
		if now-one.word.At > one.word.memory() {
			delete(a.held, key)
		}
	}
}
