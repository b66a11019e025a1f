package quarantine

import (
	"hash/fnv"
	"slices"
	"time"
)

// quarantine is a current or past quarantine. Once it has ended, the fingerprint is a suspect for
// which one more crash is enough.
type quarantine struct {
	at, until time.Duration
	round     int
	servers   []string
	// reporter is the entry that reported the quarantine.
	reporter string
	// companions and callers limit the quarantine of a part. A request is kept from servers if it has
	// all the companions too: nothing tells which of them is the cause. As long as all crashes are
	// those of one caller's requests, the quarantine concerns that caller only, so that nobody can
	// have the parts of others quarantined.
	companions []Fingerprint
	callers    []uint64
}

// appliesTo reports whether a request that has the quarantined part is concerned.
func (q *quarantine) appliesTo(request Request) bool {
	if len(q.callers) == 1 && q.callers[0] != request.Fingerprint.Scope {
		return false
	}
	return request.hasParts(q.companions)
}

// isSameAs reports whether two entries have made the same decision, each by the reports that it had.
func (q *quarantine) isSameAs(other *quarantine) bool {
	return q.round == other.round && q.at < other.until && other.at < q.until
}

// merge combines the same decision of two entries, whichever is known first. The first of the entries in order
// tries the fingerprint after the quarantine.
func (q *quarantine) merge(other *quarantine) {
	q.until, q.reporter = max(q.until, other.until), min(q.reporter, other.reporter)
	q.companions = slices.DeleteFunc(slices.Clone(q.companions), func(part Fingerprint) bool { return !slices.Contains(other.companions, part) })
	q.callers = mergeCallers(q.callers, other.callers)
}

// concerns reports whether a request with the quarantined part that the quarantine applies to was under way
// at a crash.
func (q *quarantine) concerns(c *crash, part Fingerprint) bool {
	for _, request := range c.suspects {
		if slices.Contains(request.Parts, part) && q.appliesTo(request.Request) {
			return true
		}
	}
	return false
}

// maxCallers is the number of callers from which a quarantine concerns all.
const maxCallers = 2

// mergeCallers returns the callers in either list, up to maxCallers.
func mergeCallers(callers, others []uint64) []uint64 {
	merged := slices.Clone(callers)
	for _, caller := range others {
		if len(merged) < maxCallers && !slices.Contains(merged, caller) {
			merged = append(merged, caller)
		}
	}
	return merged
}

// startQuarantine quarantines a fingerprint from its last crash on and reports it to the other processes.
// The cause is that of a part.
func (t *Tracker) startQuarantine(fingerprint Fingerprint, last *crash, cause *partCause, now time.Duration) {
	q := &quarantine{at: last.at, servers: t.crashedServers(fingerprint), reporter: t.self}
	if cause != nil {
		q.companions, q.callers = cause.companions, cause.callers(fingerprint)
	}
	previous := t.quarantines[fingerprint]
	switch {
	case previous != nil:
		q.round, q.callers = previous.round+1, mergeCallers(q.callers, previous.callers)
	case cause != nil && cause.isCertain:
		q.round = certainRound
	}
	duration := quarantineDuration(fingerprint, q.round)
	q.until = q.at + duration
	t.applyQuarantine(fingerprint, q, now)
	t.report(Report{
		Kind: Quarantined, At: q.at, Fingerprint: fingerprint, Servers: q.servers, Round: q.round, Duration: duration,
		Companions: q.companions, Callers: q.callers,
	})
}

// maxExtensions is the number of extensions after which maxQuarantine is reached in any case.
const maxExtensions = 6

// quarantineDuration returns the duration of a quarantine that follows the given number of others
// of the same fingerprint.
func quarantineDuration(fingerprint Fingerprint, round int) time.Duration {
	initial, factor := initialQuarantine, time.Duration(quarantineFactor)
	if fingerprint.Part {
		initial, factor = initialPartQuarantine, partQuarantineFactor
	}
	for range min(round, maxExtensions) {
		initial *= factor
	}
	return min(initial, maxQuarantine)
}

// Times at which a fingerprint is tried after its quarantine. One entry begins; another one goes on if
// that has stopped or has no such request.
const (
	// maxTrialHandover is the maximum time for which the other entries wait for the first one; they wait
	// no longer than the quarantine lasted.
	maxTrialHandover = time.Minute
	// trialSpread is the time over which the other entries begin, in handovers.
	trialSpread = 5
)

// trialAt returns when this process may try a fingerprint after its quarantine: the entry that reported
// it at its end, each other one at a later time of its own.
func (t *Tracker) trialAt(fingerprint Fingerprint, q *quarantine) time.Duration {
	if q.reporter == t.self {
		return q.until
	}
	position := fnv.New64a()
	_, _ = position.Write([]byte(t.self))
	_, _ = position.Write(fingerprint.ID[:])
	handover := min(q.until-q.at, maxTrialHandover)
	return q.until + handover + time.Duration(position.Sum64()%uint64(trialSpread*handover))
}

// applyQuarantine puts a quarantine into force, unless one that lasts as long is known.
func (t *Tracker) applyQuarantine(fingerprint Fingerprint, q *quarantine, now time.Duration) {
	existing := t.quarantines[fingerprint]
	if existing != nil && existing.isSameAs(q) {
		existing.merge(q)
		return
	}
	if existing != nil && existing.until >= q.until {
		return
	}
	if existing == nil && len(t.quarantines) >= maxQuarantines {
		t.evictQuarantine()
	}
	isNew := existing == nil || now >= existing.until
	t.quarantines[fingerprint] = q
	if !q.isVerified(fingerprint) {
		t.logQuarantine(fingerprint, q, now)
		return
	}
	for _, c := range slices.Clone(t.evidence.byFingerprint[fingerprint]) {
		t.evidence.markExplained(c, c.suspects[fingerprint].Parts)
	}
	if isNew {
		t.logQuarantine(fingerprint, q, now)
	}
}

func (t *Tracker) logQuarantine(fingerprint Fingerprint, q *quarantine, now time.Duration) {
	t.changes = append(t.changes, Change{
		Kind: Quarantined, Fingerprint: fingerprint, Companions: q.companions, Servers: q.servers, Remaining: q.until - now, Round: q.round, Reporter: q.reporter,
	})
}

// isVerified reports whether the fingerprint is known to be the cause of its crashes. A part that is only
// the likely cause explains none of them, so that another cause is still found.
func (q *quarantine) isVerified(fingerprint Fingerprint) bool {
	return !fingerprint.Part || q.round > 0
}

// evictQuarantine drops the oldest quarantine of the scope that has the most.
func (t *Tracker) evictQuarantine() {
	counts := map[uint64]int{}
	for fingerprint := range t.quarantines {
		counts[fingerprint.Scope]++
	}
	var oldest Fingerprint
	var evicted *quarantine
	for fingerprint, q := range t.quarantines {
		if evicted != nil && (counts[fingerprint.Scope] < counts[oldest.Scope] || (counts[fingerprint.Scope] == counts[oldest.Scope] && q.at >= evicted.at)) {
			continue
		}
		oldest, evicted = fingerprint, q
	}
	delete(t.quarantines, oldest)
}
