package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Limits of what is kept about crashes.
const (
	// evidenceTTL is how long a crash counts. Callers retry within seconds; the time also suffices
	// for a request that crashes a server every few minutes.
	evidenceTTL = 15 * time.Minute
	// maxCrashes and MaxSuspects limit the memory. Of the suspects of a crash, the latest sent are
	// kept, because a request that crashes its server does so soon after it has started.
	maxCrashes  = 256
	MaxSuspects = 64
	// sameCrashTolerance is the maximum difference between the times at which processes observe the
	// same crash; a server is down for longer than that.
	sameCrashTolerance = 500 * time.Millisecond
	// jointLossWindow is the maximum time between crashes that have a common cause, such as a power
	// failure of a zone or an operator's script that stops one server after the other.
	jointLossWindow = time.Second
	// maxCleared limits the cleared fingerprints that are remembered.
	maxCleared = 4096
)

// crash is the crash of one server. A server may return under the same name and crash again.
type crash struct {
	server string
	at     time.Duration
	// suspects maps the fingerprints of the requests under way to the times at which they were
	// sent.
	suspects map[Fingerprint]time.Duration
	// explained is set once a quarantined fingerprint is known to be the cause.
	explained bool
}

// clearing records that a fingerprint was cleared by an answer or an operator: crashes up to the time
// at do not count against it. liftsQuarantine is set if the clearing lifted a quarantine.
type clearing struct {
	at              time.Duration
	liftsQuarantine bool
}

// evidence holds the crashes that count, indexed by the fingerprints under way.
type evidence struct {
	crashes []*crash
	// byFingerprint lists the unexplained crashes of each fingerprint, in order of time.
	byFingerprint map[Fingerprint][]*crash
	// explainsCrash reports whether a fingerprint is the known cause of a crash at the given time
	// in which it was under way.
	explainsCrash func(fingerprint Fingerprint, at time.Duration) bool
	// cleared holds the time up to which crashes do not count against a fingerprint.
	cleared map[Fingerprint]clearing
	// answered holds the fingerprints that were answered recently.
	answered recentAnswers
}

// findOrAdd returns the crash of a server at a time, and adds it if it was not known.
func (e *evidence) findOrAdd(server string, at time.Duration) *crash {
	for _, c := range e.crashes {
		if c.server == server && (c.at-at).Abs() < sameCrashTolerance {
			return c
		}
	}
	e.expire(at)
	if len(e.crashes) >= maxCrashes {
		e.drop(e.crashes[0])
	}
	found := &crash{server: server, at: at, suspects: map[Fingerprint]time.Duration{}}
	e.crashes = append(e.crashes, found)
	return found
}

// recentCrash returns the crash of a server within confirmTimeout, or nil.
func (e *evidence) recentCrash(server string, now time.Duration) *crash {
	for _, c := range e.crashes {
		if c.server == server && (now-c.at).Abs() < confirmTimeout {
			return c
		}
	}
	return nil
}

// add adds a suspect to a crash and reports whether it was new.
func (e *evidence) add(c *crash, suspect Suspect) bool {
	if _, known := c.suspects[suspect.Fingerprint]; known {
		return false
	}
	sent := c.at - suspect.SentBefore
	if len(c.suspects) >= MaxSuspects && !e.evictEarliest(c, sent) {
		return false
	}
	c.suspects[suspect.Fingerprint] = sent
	if e.explainsCrash(suspect.Fingerprint, c.at) {
		e.markExplained(c)
	}
	if c.explained || c.at <= e.clearedAt(suspect.Fingerprint) {
		return true
	}
	e.byFingerprint[suspect.Fingerprint] = append(e.byFingerprint[suspect.Fingerprint], c)
	slices.SortFunc(e.byFingerprint[suspect.Fingerprint], func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	return true
}

// evictEarliest removes the suspect that was sent first, unless that was not before the given time,
// and reports whether it removed one.
func (e *evidence) evictEarliest(c *crash, sent time.Duration) bool {
	var first Fingerprint
	earliest := sent
	for fingerprint, at := range c.suspects {
		if at < earliest {
			first, earliest = fingerprint, at
		}
	}
	if earliest == sent {
		return false
	}
	e.remove(first, c)
	delete(c.suspects, first)
	return true
}

// remove removes a crash from those of a fingerprint.
func (e *evidence) remove(fingerprint Fingerprint, c *crash) {
	rest := slices.DeleteFunc(e.byFingerprint[fingerprint], func(other *crash) bool { return other == c })
	if len(rest) == 0 {
		delete(e.byFingerprint, fingerprint)
		return
	}
	e.byFingerprint[fingerprint] = rest
}

// markExplained marks a crash as explained and removes it from those of all its suspects.
func (e *evidence) markExplained(c *crash) {
	c.explained = true
	for fingerprint := range c.suspects {
		e.remove(fingerprint, c)
	}
}

func (e *evidence) drop(c *crash) {
	for fingerprint := range c.suspects {
		e.remove(fingerprint, c)
	}
	e.crashes = slices.DeleteFunc(e.crashes, func(other *crash) bool { return other == c })
}

// expire drops what is too old to count.
func (e *evidence) expire(now time.Duration) {
	for len(e.crashes) > 0 && now-e.crashes[0].at > evidenceTTL {
		e.drop(e.crashes[0])
	}
	for fingerprint, c := range e.cleared {
		if now-c.at > c.ttl() {
			delete(e.cleared, fingerprint)
		}
	}
}

// ttl returns how long a clearing is remembered: reports of a quarantine that it lifted may arrive
// late from a zone that was partitioned for a long time.
func (c clearing) ttl() time.Duration {
	if c.liftsQuarantine {
		return maxQuarantine
	}
	return evidenceTTL
}

// recordCleared records the time up to which a fingerprint is cleared.
func (e *evidence) recordCleared(fingerprint Fingerprint, at time.Duration, liftsQuarantine bool) {
	previous, known := e.cleared[fingerprint]
	if !known && len(e.cleared) >= maxCleared {
		return
	}
	e.cleared[fingerprint] = clearing{at: max(e.clearedAt(fingerprint), at), liftsQuarantine: liftsQuarantine || previous.liftsQuarantine}
}

func (e *evidence) clearedAt(fingerprint Fingerprint) time.Duration {
	previous, known := e.cleared[fingerprint]
	if !known {
		return -maxQuarantine
	}
	return previous.at
}

// clear removes the crashes up to the given time from those of a fingerprint, and reports whether
// there were any against it.
func (e *evidence) clear(fingerprint Fingerprint, at time.Duration) bool {
	counted := len(e.byFingerprint[fingerprint]) > 0
	for _, c := range slices.Clone(e.byFingerprint[fingerprint]) {
		if c.at <= at {
			e.remove(fingerprint, c)
		}
	}
	return counted
}

// score returns how many crashes count against a fingerprint. For a recently answered one, a crash
// counts only if the request was sent after the previous crash and the two are not part of the same
// joint loss. Such a fingerprint is under way at many servers at any time, and its requests are
// resent from each crashed server to another, so many crashes with a common cause, such as a power
// failure, say nothing about it.
func (e *evidence) score(fingerprint Fingerprint) int {
	crashes := e.byFingerprint[fingerprint]
	if !e.answered.has(fingerprint) {
		return len(crashes)
	}
	count, last := 0, -maxQuarantine
	for _, c := range crashes {
		if c.suspects[fingerprint] > last && c.at-last >= jointLossWindow {
			count, last = count+1, c.at
		}
	}
	return count
}

// uniqueScore counts the crashes for which no other fingerprint is as likely a cause.
func (e *evidence) uniqueScore(fingerprint Fingerprint) int {
	own, count := e.score(fingerprint), 0
	for _, c := range e.byFingerprint[fingerprint] {
		if !e.hasRival(c, fingerprint, own) {
			count++
		}
	}
	return min(count, own)
}

// hasRival reports whether another suspect of a crash has a score of at least own.
func (e *evidence) hasRival(c *crash, fingerprint Fingerprint, own int) bool {
	for other := range c.suspects {
		if other != fingerprint && e.score(other) >= own {
			return true
		}
	}
	return false
}

// latest returns the latest crash of a fingerprint, or nil.
func (e *evidence) latest(fingerprint Fingerprint) *crash {
	crashes := e.byFingerprint[fingerprint]
	if len(crashes) == 0 {
		return nil
	}
	return crashes[len(crashes)-1]
}
