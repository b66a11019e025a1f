package health

import "time"

// mostlyFailingRatio is the smallest ratio of failures, among the outcomes at all entries since the
// first failure, at which a server is ejected. A server that fails less still serves the rest and
// is only suspect: a service that is short of capacity is better off with it.
const mostlyFailingRatio = 0.7

// minFailures is the smallest count of failures, over all entries, that ejects a server, other than
// for connections that can't be established. Two failures in a row are rare at a server that fails
// 4 in 10.
const minFailures = 1.5

// attemptDecay is the factor by which each attempt reduces the counts of earlier ones, so that a
// server that has served hundreds of requests is ejected after a few failures when it goes down
// again.
const attemptDecay = 0.6

// failurePeriod counts the outcomes of this entry's attempts at a server since a failure here or at
// another entry.
type failurePeriod struct {
	startedAt      time.Duration
	failed, served float64
	updatedAt      time.Duration
}

// decay reduces the counts by the time since their last update.
func (p *failurePeriod) decay(now time.Duration) {
	factor := decayFactor(now-p.updatedAt, evidenceHalfLife)
	p.failed, p.served, p.updatedAt = p.failed*factor, p.served*factor, max(p.updatedAt, now)
}

func (p *failurePeriod) count(failed bool, now time.Duration) {
	p.decay(now)
	p.failed, p.served = p.failed*attemptDecay, p.served*attemptDecay
	if failed {
		p.failed++
	} else {
		p.served++
	}
}

// failurePeriodActive reports whether there was a failure recently enough for successes to be
// counted against it.
func (r *record) failurePeriodActive(now time.Duration) bool {
	r.failurePeriod.decay(now)
	return now-r.failedAt < peerEvidenceTTL || r.peerSum(now) > 0
}

// beginFailurePeriod starts to count successes from the time of a failure, including those of
// attempts that ended before the failure was known.
func (r *record) beginFailurePeriod(startedAt, now time.Duration) {
	active := r.failurePeriodActive(now)
	if active && startedAt >= r.failurePeriod.startedAt {
		return
	}
	served := 0.0
	for _, sent := range r.served {
		if sent > startedAt {
			served++
		}
	}
	if !active {
		r.failurePeriod = failurePeriod{startedAt: startedAt, served: served, updatedAt: now}
		return
	}
	r.failurePeriod.startedAt, r.failurePeriod.served = startedAt, max(r.failurePeriod.served, served)
}

// mostlyFails reports whether most attempts at all entries since the failure period began have
// failed, with at least a given count of failures.
func (r *record) mostlyFails(minCount float64, now time.Duration) bool {
	r.failurePeriod.decay(now)
	failed, served := r.failurePeriod.failed, r.failurePeriod.served
	for _, one := range r.peerEvidence {
		if now-one.updatedAt < peerEvidenceTTL {
			failed, served = failed+one.failed, served+one.served
		}
	}
	return failed >= minCount && failed >= mostlyFailingRatio*(failed+served)
}
