package catalog

import "time"

// reportKey names the words of which only the newest is held.
type reportKey struct{ entry, server string }

// heldReport is the newest word of an entry on a server, and when it was said.
type heldReport[W any] struct {
	report W
	at     time.Time
	// number is the teller's, sequence this process's own, for the links.
	number   uint64
	sequence uint64
}

// reportStore are the newest words of all entries on each server, of one kind, for entries that are linked later.
// The catalog's mutex guards it.
type reportStore[W any] struct {
	reports map[reportKey]heldReport[W]
	// sequence is that of the last word that was held.
	sequence uint64
	// number is that of this entry's last word. It begins at the time of the start, so that the words of a
	// process that was started anew are newer than those of the one before.
	number uint64
	// ttl is how long a word is kept, most how many; the oldest go first.
	ttl        time.Duration
	maxReports int
}

func newReportStore[W any](started time.Time, memory time.Duration, most int) reportStore[W] {
	return reportStore[W]{reports: map[reportKey]heldReport[W]{}, number: uint64(started.UnixNano()), ttl: memory, maxReports: most}
}

// nextNumber is that of this entry's next word.
func (h *reportStore[W]) nextNumber() uint64 {
	h.number++
	return h.number
}

// add keeps a word if it is newer than the one held, and reports whether it does.
func (h *reportStore[W]) add(key reportKey, fresh heldReport[W], now time.Time) bool {
	held, known := h.reports[key]
	if known && fresh.number <= held.number && now.Sub(held.at) < h.ttl {
		return false
	}
	if !known && len(h.reports) >= h.maxReports {
		h.evictOldest()
	}
	h.sequence++
	fresh.sequence = h.sequence
	h.reports[key] = fresh
	return true
}

func (h *reportStore[W]) evictOldest() {
	var oldest reportKey
	var at time.Time
	for key, held := range h.reports {
		if at.IsZero() || held.at.Before(at) {
			oldest, at = key, held.at
		}
	}
	delete(h.reports, oldest)
}

// expire drops what is too old.
func (h *reportStore[W]) expire(now time.Time) {
	for key, held := range h.reports {
		if now.Sub(held.at) > h.ttl {
			delete(h.reports, key)
		}
	}
}

// unsent returns the words that a process is still to be told, which was told up to a sequence number. What others
// have said is passed on by relays alone.
func (h *reportStore[W]) unsent(told uint64, peer, self string, isRelay bool) map[reportKey]heldReport[W] {
	untold := map[reportKey]heldReport[W]{}
	for key, held := range h.reports {
		if held.sequence > told && key.entry != peer && (key.entry == self || isRelay) {
			untold[key] = held
		}
	}
	return untold
}
