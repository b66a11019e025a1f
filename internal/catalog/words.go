package catalog

import "time"

// wordKey names the words of which only the newest is held.
type wordKey struct{ entry, server string }

// heldWord is the newest word of an entry on a server, and when it was said.
type heldWord[W any] struct {
	word W
	at   time.Time
	// number is the teller's, sequence this process's own, for the links.
	number   uint64
	sequence uint64
}

// heldWords are the newest words of all entries on each server, of one kind, for entries that are linked later.
// The catalog's mutex guards it.
type heldWords[W any] struct {
	held map[wordKey]heldWord[W]
	// sequence is that of the last word that was held.
	sequence uint64
	// number is that of this entry's last word. It begins at the time of the start, so that the words of a
	// process that was started anew are newer than those of the one before.
	number uint64
	// memory is how long a word is kept, most how many; the oldest go first.
	memory time.Duration
	most   int
}

func newHeldWords[W any](started time.Time, memory time.Duration, most int) heldWords[W] {
	return heldWords[W]{held: map[wordKey]heldWord[W]{}, number: uint64(started.UnixNano()), memory: memory, most: most}
}

// nextNumber is that of this entry's next word.
func (h *heldWords[W]) nextNumber() uint64 {
	h.number++
	return h.number
}

// hold keeps a word if it is newer than the one held, and reports whether it does.
func (h *heldWords[W]) hold(key wordKey, fresh heldWord[W], now time.Time) bool {
	held, known := h.held[key]
	if known && fresh.number <= held.number && now.Sub(held.at) < h.memory {
		return false
	}
	if !known && len(h.held) >= h.most {
		h.dropOldest()
	}
	h.sequence++
	fresh.sequence = h.sequence
	h.held[key] = fresh
	return true
}

func (h *heldWords[W]) dropOldest() {
	var oldest wordKey
	var at time.Time
	for key, held := range h.held {
		if at.IsZero() || held.at.Before(at) {
			oldest, at = key, held.at
		}
	}
	delete(h.held, oldest)
}

// expire drops what is too old.
func (h *heldWords[W]) expire(now time.Time) {
	for key, held := range h.held {
		if now.Sub(held.at) > h.memory {
			delete(h.held, key)
		}
	}
}

// untold returns the words that a process is still to be told, which was told up to a sequence number. What others
// have said is passed on by relays alone.
func (h *heldWords[W]) untold(told uint64, peer, self string, isRelay bool) map[wordKey]heldWord[W] {
	untold := map[wordKey]heldWord[W]{}
	for key, held := range h.held {
		if held.sequence > told && key.entry != peer && (key.entry == self || isRelay) {
			untold[key] = held
		}
	}
	return untold
}
