package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of what is held of servers that have ended.
const (
	// evidenceMemory is how long an end counts. Callers come back within seconds; a content that
	// ends a server each few minutes is found by it too.
	evidenceMemory = 15 * time.Minute
	// mostEnds and MostSuspects bound the memory: of a server's suspects those are kept that were sent
	// last, since a content ends its server soon after it has begun.
	mostEnds    = 256
	MaxSuspects = 64
	// sameEnd is by how much the moments may differ at which processes see the same end; a server is away
	// for longer than that.
	sameEnd = 500 * time.Millisecond
	// oneLoss is how far apart servers may end that are lost together, as with the power of a zone or one
	// after the other by an operator's script.
	oneLoss = time.Second
	// mostCleared bounds the cleared contents that are remembered.
	mostCleared = 4096
)

// end is one server that has ended. A server may be listed again under its name, and end again.
type end struct {
	server string
	at     time.Duration
	// suspects are the contents that were under way there, by when they were sent.
	suspects map[Fingerprint]time.Duration
	// explained is set once a quarantined content is known to have been the cause.
	explained bool
}

// clearing is the moment up to which a content is cleared, and whether that has ended a quarantine.
type clearing struct {
	at    time.Duration
	lifts bool
}

// evidence is every end that counts, and where each content was under way.
type evidence struct {
	ends []*end
	// held lists the ends of each content that are not explained, in order of time.
	held map[Fingerprint][]*end
	// blamed says whether a content explains an end at a moment that it was part of.
	blamed func(content Fingerprint, at time.Duration) bool
	// cleared is until when ends do not count against a content.
	cleared map[Fingerprint]clearing
	// answered contents were answered not long ago.
	answered recentlyAnswered
}

// find returns the end of a server at a moment, which is made if it was not known.
func (e *evidence) find(server string, at time.Duration) *end {
	for _, one := range e.ends {
		if one.server == server && (one.at-at).Abs() < sameEnd {
			return one
		}
	}
	e.expire(at)
	if len(e.ends) >= mostEnds {
		e.drop(e.ends[0])
	}
	found := &end{server: server, at: at, suspects: map[Fingerprint]time.Duration{}}
	e.ends = append(e.ends, found)
	return found
}

// known returns the end of a server within confirmWithin, or nil.
func (e *evidence) known(server string, now time.Duration) *end {
	for _, one := range e.ends {
		if one.server == server && (now-one.at).Abs() < confirmWithin {
			return one
		}
	}
	return nil
}

// add puts a content under suspicion of an end, and reports whether that is news.
func (e *evidence) add(to *end, one Suspect) bool {
	if _, known := to.suspects[one.Fingerprint]; known {
		return false
	}
	sent := to.at - one.SentBefore
	if len(to.suspects) >= MaxSuspects && !e.makeRoom(to, sent) {
		return false
	}
	to.suspects[one.Fingerprint] = sent
	if e.blamed(one.Fingerprint, to.at) {
		e.explain(to)
	}
	if to.explained || to.at <= e.clearedAt(one.Fingerprint) {
		return true
	}
	e.held[one.Fingerprint] = append(e.held[one.Fingerprint], to)
	slices.SortFunc(e.held[one.Fingerprint], func(a, b *end) int { return cmp.Compare(a.at, b.at) })
	return true
}

// makeRoom takes the suspect off that was sent first, unless that was after a moment.
func (e *evidence) makeRoom(of *end, sent time.Duration) bool {
	var first Fingerprint
	earliest := sent
	for content, at := range of.suspects {
		if at < earliest {
			first, earliest = content, at
		}
	}
	if earliest == sent {
		return false
	}
	e.forget(first, of)
	delete(of.suspects, first)
	return true
}

// forget takes an end off a content's.
func (e *evidence) forget(content Fingerprint, of *end) {
	rest := slices.DeleteFunc(e.held[content], func(one *end) bool { return one == of })
	if len(rest) == 0 {
		delete(e.held, content)
		return
	}
	e.held[content] = rest
}

// explain takes an end off all its suspects, since its cause is known.
func (e *evidence) explain(one *end) {
	one.explained = true
	for content := range one.suspects {
		e.forget(content, one)
	}
}

func (e *evidence) drop(one *end) {
	for content := range one.suspects {
		e.forget(content, one)
	}
	e.ends = slices.DeleteFunc(e.ends, func(other *end) bool { return other == one })
}

// expire drops what is too old to count.
func (e *evidence) expire(now time.Duration) {
	for len(e.ends) > 0 && now-e.ends[0].at > evidenceMemory {
		e.drop(e.ends[0])
	}
	for content, one := range e.cleared {
		if now-one.at > one.memory() {
			delete(e.cleared, content)
		}
	}
}

// memory is how long a clearing is remembered: a word of a quarantine that it has ended may come from a
// zone that was cut off for long.
func (c clearing) memory() time.Duration {
	if c.lifts {
		return longestQuarantine
	}
	return evidenceMemory
}

// noteCleared remembers up to when a content is cleared.
func (e *evidence) noteCleared(content Fingerprint, at time.Duration, lifts bool) {
	held, known := e.cleared[content]
	if !known && len(e.cleared) >= mostCleared {
		return
	}
	e.cleared[content] = clearing{at: max(e.clearedAt(content), at), lifts: lifts || held.lifts}
}

func (e *evidence) clearedAt(content Fingerprint) time.Duration {
	held, known := e.cleared[content]
	if !known {
		return -longestQuarantine
	}
	return held.at
}

// clear takes everything off a content that was held against it up to a moment, and reports whether
// there was anything.
func (e *evidence) clear(content Fingerprint, at time.Duration) bool {
	counted := len(e.held[content]) > 0
	for _, one := range slices.Clone(e.held[content]) {
		if one.at <= at {
			e.forget(content, one)
		}
	}
	return counted
}

// score is how many ends count against a content. Of one that was answered not long ago those count
// alone that it was sent to after the one before, and that are no part of the same loss: it is under way
// at many servers at any time, and sent on from each that ends to another, so that many which end
// together for another cause, as in a loss of power, say nothing of it.
func (e *evidence) score(content Fingerprint) int {
	held := e.held[content]
	if !e.answered.has(content) {
		return len(held)
	}
	count, last := 0, -longestQuarantine
	for _, one := range held {
		if one.suspects[content] > last && one.at-last >= oneLoss {
			count, last = count+1, one.at
		}
	}
	return count
}

// leads counts the ends of a content of which no other content is as good an explanation.
func (e *evidence) leads(content Fingerprint) int {
	own, count := e.score(content), 0
	for _, one := range e.held[content] {
		if !e.rivalled(one, content, own) {
			count++
		}
	}
	return min(count, own)
}

// rivalled reports whether another content has as many ends as one.
func (e *evidence) rivalled(one *end, content Fingerprint, own int) bool {
	for other := range one.suspects {
		if other != content && e.score(other) >= own {
			return true
		}
	}
	return false
}

// last is the newest end of a content, or nil.
func (e *evidence) last(content Fingerprint) *end {
	held := e.held[content]
	if len(held) == 0 {
		return nil
	}
	return held[len(held)-1]
}
