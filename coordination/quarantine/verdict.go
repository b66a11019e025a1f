package quarantine

import (
	"slices"
	"time"
)

// State is what may be done with a content.
type State int

// The states of contents.
const (
	// Allowed contents are sent to any server.
	Allowed State = iota
	// Suspected contents are sent to servers that have no other suspect.
	Suspected
	// Undecided contents are not sent until what others have to say is known.
	Undecided
	// InQuarantine: the content is sent to no server.
	InQuarantine
)

// Verdict is the state of a content now.
type Verdict struct {
	State State
	// Remaining is how long the state lasts at the most; 0 where it has no end.
	Remaining time.Duration
	// Servers are the last ones that the content has ended, as far as that is known.
	Servers []string
}

// quarantine is one that lasts until a moment, or has lasted: from then on the content is a suspect of
// which one more end is enough.
type quarantine struct {
	at, till time.Duration
	round    int
	servers  []string
	// by is the entry that has told of it.
	by string
}

// Evaluate decides what may be done with a content now.
func (t *Tracker) Evaluate(content Fingerprint, now time.Duration) Verdict {
	held := t.quarantines[content]
	if held != nil && now < held.till {
		return Verdict{State: InQuarantine, Remaining: held.till - now, Servers: held.servers}
	}
	last := t.evidence.last(content)
	if held == nil && last == nil {
		return Verdict{}
	}
	if last != nil && t.mayBeCause(content) {
		if settled := last.at + settleTime; now < settled {
			return Verdict{State: Undecided, Remaining: settled - now, Servers: t.endsOf(content)}
		}
		if t.isCause(content) {
			t.startQuarantine(content, now)
			return t.Evaluate(content, now)
		}
	}
	if held == nil && t.evidence.score(content) < endsForSuspicion {
		return Verdict{}
	}
	if _, runs := t.running[content]; runs {
		return Verdict{State: Undecided, Remaining: oneAtATime, Servers: t.endsOf(content)}
	}
	return Verdict{State: Suspected, Servers: t.endsOf(content)}
}

// mayBeCause reports whether enough servers have ended under a content.
func (t *Tracker) mayBeCause(content Fingerprint) bool {
	return t.evidence.score(content) >= t.endsNeeded(content)
}

// isCause reports whether no other content explains these ends as well.
func (t *Tracker) isCause(content Fingerprint) bool {
	return t.evidence.leads(content) >= t.endsNeeded(content) || t.evidence.score(content) >= endsAtMost
}

// endsNeeded is how many ends a content is quarantined after: one is enough after a quarantine.
func (t *Tracker) endsNeeded(content Fingerprint) int {
	if t.quarantines[content] != nil {
		return 1
	}
	return endsForQuarantine
}

// startQuarantine quarantines a content, and tells the others.
func (t *Tracker) startQuarantine(content Fingerprint, now time.Duration) {
	fresh := &quarantine{at: t.evidence.last(content).at, servers: t.endsOf(content), by: t.self}
	if former := t.quarantines[content]; former != nil {
		fresh.round = former.round + 1
	}
	lasts := quarantineTime(fresh.round)
	fresh.till = fresh.at + lasts
	t.takeQuarantine(content, fresh, now)
	t.tell(Report{Kind: Quarantined, At: fresh.at, Fingerprint: content, Servers: fresh.servers, Round: fresh.round, Duration: lasts})
}

// mostDoublings is after how many the longest quarantine is reached.
const mostDoublings = 5

// quarantineTime is how long a quarantine lasts that follows a number of others of its content.
func quarantineTime(round int) time.Duration {
	return min(firstQuarantine<<min(round, mostDoublings), longestQuarantine)
}

// takeQuarantine takes over a quarantine, unless one is known that lasts longer.
func (t *Tracker) takeQuarantine(content Fingerprint, fresh *quarantine, now time.Duration) {
	held := t.quarantines[content]
	if held != nil && held.till >= fresh.till {
		return
	}
	if held == nil && len(t.quarantines) >= mostQuarantined {
		t.evictQuarantine()
	}
	news := held == nil || now >= held.till
	t.quarantines[content] = fresh
	for _, one := range slices.Clone(t.evidence.held[content]) {
		t.evidence.explain(one)
	}
	if news {
		t.changes = append(t.changes, Change{Kind: Quarantined, Fingerprint: content, Servers: fresh.servers, Remaining: fresh.till - now, Round: fresh.round, Reporter: fresh.by})
	}
}

// evictQuarantine drops the oldest quarantine of the caller that has the most.
func (t *Tracker) evictQuarantine() {
	counts := map[uint64]int{}
	for content := range t.quarantines {
		counts[content.Caller]++
	}
	var oldest Fingerprint
	var found *quarantine
	for content, held := range t.quarantines {
		if found != nil && (counts[content.Caller] < counts[oldest.Caller] || (counts[content.Caller] == counts[oldest.Caller] && held.at >= found.at)) {
			continue
		}
		oldest, found = content, held
	}
	delete(t.quarantines, oldest)
}

// endsOf names the last servers that have ended under a content.
func (t *Tracker) endsOf(content Fingerprint) []string {
	var servers []string
	if held := t.quarantines[content]; held != nil {
		servers = append(servers, held.servers...)
	}
	for _, one := range t.evidence.held[content] {
		servers = append(servers, one.server)
	}
	return servers[max(0, len(servers)-namedServers):]
}
