package quarantine

import (
	"bytes"
	"cmp"
	"iter"
	"maps"
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
	// MaxCrashParts is the number of different parts of prompts that are kept of a crash, those of the
	// latest sent suspects.
	MaxCrashParts = 128
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
	// suspects are the requests under way, by the fingerprints of the whole.
	suspects map[Fingerprint]suspect
	// parts holds the parts of these requests.
	parts map[Fingerprint]partUse
	// explained is set once a quarantined fingerprint is known to be the cause. The crash still counts
	// against the parts in kept, which may be the cause instead.
	explained bool
	kept      []Fingerprint
}

// suspect is a request that was under way at a crash.
type suspect struct {
	Request
	sentAt time.Duration
}

// partUse describes the requests with a part that were under way at a crash.
type partUse struct {
	// sentAt is when the last of them was sent.
	sentAt time.Duration
	// exposure is the sum of the times for which they had been under way.
	exposure time.Duration
}

// use describes the requests with a fingerprint that were under way at the crash.
func (c *crash) use(fingerprint Fingerprint) partUse {
	if fingerprint.Part {
		return c.parts[fingerprint]
	}
	sentAt := c.suspects[fingerprint].sentAt
	return partUse{sentAt: sentAt, exposure: c.at - sentAt}
}

// sortedParts lists the parts of the requests under way in an order of their own, so that what is done for
// each of them does not depend on chance.
func (c *crash) sortedParts() []Fingerprint { return sorted(maps.Keys(c.parts)) }

func sorted(fingerprints iter.Seq[Fingerprint]) []Fingerprint {
	return slices.SortedFunc(fingerprints, func(a, b Fingerprint) int {
		return cmp.Or(bytes.Compare(a.ID[:], b.ID[:]), cmp.Compare(a.Scope, b.Scope))
	})
}

// fingerprints lists all requests under way and their parts.
func (c *crash) fingerprints() []Fingerprint {
	return slices.AppendSeq(slices.Collect(maps.Keys(c.suspects)), maps.Keys(c.parts))
}

// addPart records that a request with a part was under way since the given time.
func (c *crash) addPart(part Fingerprint, sentAt time.Duration) {
	use, known := c.parts[part]
	if !known || sentAt > use.sentAt {
		use.sentAt = sentAt
	}
	use.exposure += c.at - sentAt
	c.parts[part] = use
}

// indexParts rebuilds the map of parts.
func (c *crash) indexParts() {
	c.parts = map[Fingerprint]partUse{}
	for _, request := range c.suspects {
		for _, part := range request.Parts {
			c.addPart(part, request.sentAt)
		}
	}
}

// clearing records that a fingerprint was cleared by an answer or an operator: crashes up to the time
// at do not count against it. liftsQuarantine is set if the clearing, or an earlier one, lifted a
// quarantine, at liftedAt.
type clearing struct {
	at              time.Duration
	liftsQuarantine bool
	liftedAt        time.Duration
}

// evidence holds the crashes that count, indexed by the fingerprints under way.
type evidence struct {
	crashes []*crash
	// byFingerprint lists the unexplained crashes of each fingerprint, in order of time.
	byFingerprint map[Fingerprint][]*crash
	// explainsCrash reports whether a request or a part of it is the known cause of a crash at the
	// given time in which it was under way.
	explainsCrash func(request Request, at time.Duration) bool
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
	found := &crash{server: server, at: at, suspects: map[Fingerprint]suspect{}, parts: map[Fingerprint]partUse{}}
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
func (e *evidence) add(c *crash, added Suspect) bool {
	if _, known := c.suspects[added.Request.Fingerprint]; known {
		return false
	}
	sentAt := c.at - added.SentBefore
	if len(c.suspects) >= MaxSuspects && !e.evictEarliest(c, sentAt) {
		return false
	}
	e.makeRoomForParts(c, len(added.Request.Parts), sentAt)
	parts := added.Request.Parts[:min(len(added.Request.Parts), MaxCrashParts-len(c.parts))]
	request := Request{Fingerprint: added.Request.Fingerprint, Model: added.Request.Model, Parts: parts}
	c.suspects[request.Fingerprint] = suspect{Request: request, sentAt: sentAt}
	for _, part := range parts {
		c.addPart(part, sentAt)
	}
	if e.explainsCrash(request, c.at) {
		e.markExplained(c, nil)
	}
	if !c.explained {
		e.count(c, request.Fingerprint)
		for _, part := range parts {
			e.count(c, part)
		}
	}
	return true
}

// count counts a crash against a fingerprint, unless that was cleared or answered later.
func (e *evidence) count(c *crash, fingerprint Fingerprint) {
	answeredAt, answered := e.answered.at(fingerprint)
	switch {
	case c.at <= e.clearedAt(fingerprint), slices.Contains(e.byFingerprint[fingerprint], c):
		return
	case fingerprint.Part && answered && c.at <= answeredAt:
		return
	}
	e.byFingerprint[fingerprint] = append(e.byFingerprint[fingerprint], c)
	slices.SortFunc(e.byFingerprint[fingerprint], func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
}

// evictEarliest removes the suspect that was sent first, unless that was not before the given time,
// and reports whether it removed one.
func (e *evidence) evictEarliest(c *crash, sentAt time.Duration) bool {
	first, found := c.earliest(sentAt, func(suspect) bool { return true })
	if !found {
		return false
	}
	e.dropParts(c, first)
	e.remove(first, c)
	delete(c.suspects, first)
	return true
}

// makeRoomForParts drops the parts of the suspects that were sent first, before the given time, until there is
// room for a number of others.
func (e *evidence) makeRoomForParts(c *crash, count int, sentAt time.Duration) {
	for len(c.parts)+count > MaxCrashParts {
		first, found := c.earliest(sentAt, func(request suspect) bool { return len(request.Parts) > 0 })
		if !found {
			return
		}
		e.dropParts(c, first)
	}
}

// earliest returns the one of some suspects that was sent first, and false if none was before the given time.
func (c *crash) earliest(sentAt time.Duration, some func(request suspect) bool) (first Fingerprint, found bool) {
	for fingerprint, request := range c.suspects {
		if request.sentAt < sentAt && some(request) {
			first, sentAt, found = fingerprint, request.sentAt, true
		}
	}
	return first, found
}

// dropParts forgets the parts of a suspect.
func (e *evidence) dropParts(c *crash, fingerprint Fingerprint) {
	request := c.suspects[fingerprint]
	dropped := request.Parts
	request.Parts = nil
	c.suspects[fingerprint] = request
	c.indexParts()
	for _, part := range dropped {
		if _, underWay := c.parts[part]; !underWay {
			e.remove(part, c)
		}
	}
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

// markExplained marks a crash as explained and removes it from those of all its suspects and their
// parts, apart from the given ones.
func (e *evidence) markExplained(c *crash, kept []Fingerprint) {
	c.explained, c.kept = true, kept
	for _, fingerprint := range c.fingerprints() {
		if !slices.Contains(kept, fingerprint) {
			e.remove(fingerprint, c)
		}
	}
}

func (e *evidence) drop(c *crash) {
	for _, fingerprint := range c.fingerprints() {
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
	current := clearing{at: max(e.clearedAt(fingerprint), at), liftsQuarantine: previous.liftsQuarantine, liftedAt: previous.liftedAt}
	if liftsQuarantine {
		current.liftsQuarantine, current.liftedAt = true, max(e.liftedAt(fingerprint), at)
	}
	e.cleared[fingerprint] = current
}

// liftedAt returns the time up to which quarantines of a fingerprint have been lifted.
func (e *evidence) liftedAt(fingerprint Fingerprint) time.Duration {
	previous, known := e.cleared[fingerprint]
	if !known || !previous.liftsQuarantine {
		return -maxQuarantine
	}
	return previous.liftedAt
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

// crashesSince counts the unexplained crashes with a part under way after one time and up to another.
func (e *evidence) crashesSince(part Fingerprint, after, upTo time.Duration) int {
	count := 0
	for _, c := range e.crashes {
		_, underWay := c.parts[part]
		if underWay && c.at > after && c.at <= upTo && (!c.explained || slices.Contains(c.kept, part)) {
			count++
		}
	}
	return count
}

// recordAnsweredElsewhere records an answer to a part that all processes know of.
func (e *evidence) recordAnsweredElsewhere(part Fingerprint, at time.Duration) {
	if latest, answered := e.answered.at(part); !answered || latest < at {
		e.answered.add(part, at)
	}
	if e.crashesSince(part, e.clearedAt(part), at) > 0 {
		e.clear(part, at)
		e.recordCleared(part, at, false)
	}
}
