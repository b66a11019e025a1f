package quarantine

import (
	"slices"
	"time"
)

// evaluatePart decides on a request for a part of its prompt. Until the part is known to be the cause, its
// requests are sent: sound ones may have it too.
func (t *Tracker) evaluatePart(part Fingerprint, request Request, now time.Duration) Verdict {
	q := t.quarantines[part]
	applies := q != nil && q.appliesTo(request)
	if applies && now < t.trialAt(part, q) {
		return t.inQuarantine(part, q, now)
	}
	cause := t.partCause(part)
	switch {
	case cause == nil && applies:
		return t.suspected(part)
	case cause == nil:
		return Verdict{}
	case now >= cause.settledAt:
		t.startQuarantine(part, cause.counted[len(cause.counted)-1], cause, now)
		if q = t.quarantines[part]; q.appliesTo(request) {
			return t.inQuarantine(part, q, now)
		}
	case request.hasParts(cause.companions):
		return Verdict{State: Undecided, Fingerprint: part, Remaining: cause.settledAt - now, Servers: t.crashedServers(part)}
	}
	return Verdict{}
}

// partCause is the finding that a part of a prompt is the cause of crashes.
type partCause struct {
	counted    []*crash
	companions []Fingerprint
	// isCertain is set if the quarantine need not be verified by a trial.
	isCertain bool
	// settledAt is when the other entries' reports on these crashes have arrived.
	settledAt time.Duration
}

// partCause returns why a part is the cause of the crashes that count against it, or nil if it is not.
func (t *Tracker) partCause(part Fingerprint) *partCause {
	q, needed := t.quarantines[part], t.crashesNeeded(part)
	all := t.evidence.byFingerprint[part]
	if q != nil {
		failedTrial := slices.IndexFunc(all, func(c *crash) bool { return c.at >= q.until && q.concerns(c, part) })
		if failedTrial >= 0 {
			return &partCause{counted: all[failedTrial:], companions: q.companions, isCertain: true, settledAt: all[failedTrial].at + settleTime}
		}
	}
	if len(all) < needed {
		return nil
	}
	counted := t.evidence.counted(part)
	if q != nil {
		counted = slices.DeleteFunc(counted, func(c *crash) bool { return q.concerns(c, part) })
	}
	if len(counted) < needed || !t.evidence.othersAnswered(part, counted) {
		return nil
	}
	companions, wasAnswered := t.evidence.companions(part, counted), t.evidence.answered.has(part)
	isAmbiguous := t.evidence.uniqueScore(part, companions) < needed
	if isAmbiguous && (len(counted) < maxAmbiguousPartCrashes || wasAnswered) {
		return nil
	}
	return &partCause{
		counted: counted, companions: companions, settledAt: counted[needed-1].at + settleTime,
		isCertain: !wasAnswered && !isAmbiguous && t.evidence.strongestRival(part, companions) <= len(all)/2 && t.evidence.explainsAll(part, counted[0]),
	}
}

// callers returns the callers of the requests with a part that were under way at the crashes.
func (c *partCause) callers(part Fingerprint) (callers []uint64) {
	for _, one := range c.counted {
		for _, request := range one.suspects {
			if slices.Contains(request.Parts, part) {
				callers = mergeCallers(callers, []uint64{request.Fingerprint.Scope})
			}
		}
	}
	return callers
}
