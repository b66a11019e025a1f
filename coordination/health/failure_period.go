package health

import "time"

// mostlyFailing is the least share of failures, among what all entries have met since the first
// one, at which a server is ejected. One that fails less serves the rest, and is suspect: a
// service that is short of places is better off with it.
const mostlyFailing = 0.7

// leastFailures is the least of failures, at all entries, that eject a server but for connections
// that do not come up: of two in a row at a server that fails 4 in 10 there are few.
const leastFailures = 1.5

// keptCount is what each attempt leaves of the counts of those before: a server that has served
// hundreds of requests is ejected after a few failures when it goes down again.
const keptCount = 0.6

// failurePeriod counts what a server has shown this entry since a failure here or elsewhere.
type failurePeriod struct {
	began          time.Duration
	failed, served float64
	at             time.Duration
}

// decay forgets a part of what was counted.
func (s *failurePeriod) decay(now time.Duration) {
	factor := remembered(now-s.at, evidenceHalfLife)
	s.failed, s.served, s.at = s.failed*factor, s.served*factor, max(s.at, now)
}

func (s *failurePeriod) count(failed bool, now time.Duration) {
	s.decay(now)
	s.failed, s.served = s.failed*keptCount, s.served*keptCount
	if failed {
		s.failed++
	} else {
		s.served++
	}
}

// failurePeriodLasts reports whether failures are recent enough for successes to be counted beside them.
func (r *record) failurePeriodLasts(now time.Duration) bool {
	r.failurePeriod.decay(now)
	return now-r.failedAt < hintTime || r.hinted(now) > 0
}

// beginFailurePeriod counts successes from a failure on, also those of attempts that have ended before
// it was known.
func (r *record) beginFailurePeriod(began, now time.Duration) {
	lasts := r.failurePeriodLasts(now)
	if lasts && began >= r.failurePeriod.began {
		return
	}
	served := 0.0
	for _, sent := range r.served {
		if sent > began {
			served++
		}
	}
	if !lasts {
		r.failurePeriod = failurePeriod{began: began, served: served, at: now}
		return
	}
	r.failurePeriod.began, r.failurePeriod.served = began, max(r.failurePeriod.served, served)
}

// mostlyFails reports whether most of the attempts at all entries, since the period began, have
// failed, and at the least a number of them.
func (r *record) mostlyFails(least float64, now time.Duration) bool {
	r.failurePeriod.decay(now)
	failed, served := r.failurePeriod.failed, r.failurePeriod.served
	for _, one := range r.hints {
		if now-one.at < hintTime {
			failed, served = failed+one.failed, served+one.served
		}
	}
	return failed >= least && failed >= mostlyFailing*(failed+served)
}
