package quarantine

import (
	"slices"
	"time"
)

// State determines whether requests with a fingerprint may be sent.
type State int

// Possible states.
const (
	// Allowed: the request may be sent to any server.
	Allowed State = iota
	// Suspected: the request is sent only to servers that run no other suspect.
	Suspected
	// Undecided: the request is not sent until the reports of other processes have arrived, or
	// until another trial of its fingerprint has ended.
	Undecided
	// InQuarantine: the request is not sent to any server.
	InQuarantine
)

// Verdict is the state of a fingerprint at a given time.
type Verdict struct {
	State State
	// Remaining is the longest time that the state lasts; 0 if it has no end.
	Remaining time.Duration
	// Servers are the latest ones that crashed under the fingerprint, as far as known.
	Servers []string
}

// quarantine is a current or past quarantine. Once it has ended, the fingerprint is a suspect for
// which one more crash is enough.
type quarantine struct {
	at, until time.Duration
	round     int
	servers   []string
	// reporter is the entry that reported the quarantine.
	reporter string
}

// Evaluate decides whether requests with a fingerprint may be sent now.
func (t *Tracker) Evaluate(fingerprint Fingerprint, now time.Duration) Verdict {
	q := t.quarantines[fingerprint]
	if q != nil && now < q.until {
		return Verdict{State: InQuarantine, Remaining: q.until - now, Servers: q.servers}
	}
	last := t.evidence.latest(fingerprint)
	if q == nil && last == nil {
		return Verdict{}
	}
	if last != nil && t.mayBeCause(fingerprint) {
		if settledAt := last.at + settleTime; now < settledAt {
			return Verdict{State: Undecided, Remaining: settledAt - now, Servers: t.crashedServers(fingerprint)}
		}
		if t.isCause(fingerprint) {
			t.startQuarantine(fingerprint, now)
			return t.Evaluate(fingerprint, now)
		}
	}
	if q == nil && t.evidence.score(fingerprint) < crashesForSuspicion {
		return Verdict{}
	}
	if _, running := t.trials[fingerprint]; running {
		return Verdict{State: Undecided, Remaining: trialRetryDelay, Servers: t.crashedServers(fingerprint)}
	}
	return Verdict{State: Suspected, Servers: t.crashedServers(fingerprint)}
}

// mayBeCause reports whether enough servers have crashed under a fingerprint.
func (t *Tracker) mayBeCause(fingerprint Fingerprint) bool {
	return t.evidence.score(fingerprint) >= t.crashesNeeded(fingerprint)
}

// isCause reports whether no other fingerprint is as likely a cause of these crashes, or there have
// been too many of them.
func (t *Tracker) isCause(fingerprint Fingerprint) bool {
	return t.evidence.uniqueScore(fingerprint) >= t.crashesNeeded(fingerprint) || t.evidence.score(fingerprint) >= maxAmbiguousCrashes
}

// crashesNeeded returns the number of crashes after which a fingerprint is quarantined: after an
// earlier quarantine, one is enough.
func (t *Tracker) crashesNeeded(fingerprint Fingerprint) int {
	if t.quarantines[fingerprint] != nil {
		return 1
	}
	return crashesForQuarantine
}

// startQuarantine quarantines a fingerprint and reports it to the other processes.
func (t *Tracker) startQuarantine(fingerprint Fingerprint, now time.Duration) {
	q := &quarantine{at: t.evidence.latest(fingerprint).at, servers: t.crashedServers(fingerprint), reporter: t.self}
	if previous := t.quarantines[fingerprint]; previous != nil {
		q.round = previous.round + 1
	}
	duration := quarantineDuration(q.round)
	q.until = q.at + duration
	t.applyQuarantine(fingerprint, q, now)
	t.report(Report{Kind: Quarantined, At: q.at, Fingerprint: fingerprint, Servers: q.servers, Round: q.round, Duration: duration})
}

// maxDoublings is the number of doublings after which maxQuarantine is reached.
const maxDoublings = 5

// quarantineDuration returns the duration of a quarantine that follows the given number of others
// of the same fingerprint.
func quarantineDuration(round int) time.Duration {
	return min(initialQuarantine<<min(round, maxDoublings), maxQuarantine)
}

// applyQuarantine puts a quarantine into force, unless one that lasts as long is known.
func (t *Tracker) applyQuarantine(fingerprint Fingerprint, q *quarantine, now time.Duration) {
	existing := t.quarantines[fingerprint]
	if existing != nil && existing.until >= q.until {
		return
	}
	if existing == nil && len(t.quarantines) >= maxQuarantines {
		t.evictQuarantine()
	}
	isNew := existing == nil || now >= existing.until
	t.quarantines[fingerprint] = q
	for _, c := range slices.Clone(t.evidence.byFingerprint[fingerprint]) {
		t.evidence.markExplained(c)
	}
	if isNew {
		t.changes = append(t.changes, Change{Kind: Quarantined, Fingerprint: fingerprint, Servers: q.servers, Remaining: q.until - now, Round: q.round, Reporter: q.reporter})
	}
}

// evictQuarantine drops the oldest quarantine of the caller that has the most.
func (t *Tracker) evictQuarantine() {
	counts := map[uint64]int{}
	for fingerprint := range t.quarantines {
		counts[fingerprint.Caller]++
	}
	var oldest Fingerprint
	var evicted *quarantine
	for fingerprint, q := range t.quarantines {
		if evicted != nil && (counts[fingerprint.Caller] < counts[oldest.Caller] || (counts[fingerprint.Caller] == counts[oldest.Caller] && q.at >= evicted.at)) {
			continue
		}
		oldest, evicted = fingerprint, q
	}
	delete(t.quarantines, oldest)
}

// crashedServers lists the latest servers that have crashed under a fingerprint.
func (t *Tracker) crashedServers(fingerprint Fingerprint) []string {
	var servers []string
	if q := t.quarantines[fingerprint]; q != nil {
		servers = append(servers, q.servers...)
	}
	for _, c := range t.evidence.byFingerprint[fingerprint] {
		servers = append(servers, c.server)
	}
	return servers[max(0, len(servers)-maxListedServers):]
}
