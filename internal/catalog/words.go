package catalog

import "time"

// reportKey identifies the reports of which only the newest is kept: those of an entry on a subject, a server or a service.
type reportKey struct{ entry, subject string }

// heldReport is the newest report of an entry on a subject, and when it was made.
type heldReport[R any] struct {
	report R
	at     time.Time
	// number is assigned by the reporter; sequence is assigned here and orders the reports for the
	// links.
	number   uint64
	sequence uint64
}

// reportStore holds the newest report of each entry on each subject, of one kind, for entries that
// link later. The catalog's mutex guards it.
type reportStore[R any] struct {
	reports map[reportKey]heldReport[R]
	// sequence is the sequence of the last report stored.
	sequence uint64
	// number is the number of this entry's last report. It starts at the start time, so that the
	// reports of a restarted process are newer than those of its predecessor.
	number uint64
	// ttl is how long a report is kept, maxReports how many are; the oldest are evicted first.
	ttl        time.Duration
	maxReports int
}

func newReportStore[R any](started time.Time, ttl time.Duration, maxReports int) reportStore[R] {
	return reportStore[R]{reports: map[reportKey]heldReport[R]{}, number: uint64(started.UnixNano()), ttl: ttl, maxReports: maxReports}
}

// nextNumber returns the number for this entry's next report.
func (s *reportStore[R]) nextNumber() uint64 {
	s.number++
	return s.number
}

// add stores a report if it is newer than the one held, and reports whether it did.
func (s *reportStore[R]) add(key reportKey, fresh heldReport[R], now time.Time) bool {
	held, known := s.reports[key]
	if known && fresh.number <= held.number && now.Sub(held.at) < s.ttl {
		return false
	}
	if !known && len(s.reports) >= s.maxReports {
		s.evictOldest()
	}
	s.sequence++
	fresh.sequence = s.sequence
	s.reports[key] = fresh
	return true
}

func (s *reportStore[R]) evictOldest() {
	var oldest reportKey
	var at time.Time
	for key, held := range s.reports {
		if at.IsZero() || held.at.Before(at) {
			oldest, at = key, held.at
		}
	}
	delete(s.reports, oldest)
}

// expire removes reports older than the ttl.
func (s *reportStore[R]) expire(now time.Time) {
	for key, held := range s.reports {
		if now.Sub(held.at) > s.ttl {
			delete(s.reports, key)
		}
	}
}

// unsent returns the reports after a sequence that are to be sent to a peer. Only relays forward
// the reports of others.
func (s *reportStore[R]) unsent(sentSequence uint64, peer, self string, isRelay bool) map[reportKey]heldReport[R] {
	unsent := map[reportKey]heldReport[R]{}
	for key, held := range s.reports {
		if held.sequence > sentSequence && key.entry != peer && (key.entry == self || isRelay) {
			unsent[key] = held
		}
	}
	return unsent
}
