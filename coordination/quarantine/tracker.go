package quarantine

import (
	"slices"
	"time"
)

// Bounds of quarantines.
const (
	// endsForQuarantine is how many servers a content may end: fewer say too little, since a dozen
	// harmless ones are under way at each.
	endsForQuarantine = 3
	// endsForSuspicion is from how many ends on a content runs apart from other suspects, one request
	// at a time.
	endsForSuspicion = endsForQuarantine - 1
	// endsAtMost is how many a content may end that can't be told from another one: its servers are
	// worth more than a content that was three times too often at the wrong server.
	endsAtMost = endsForQuarantine + 2
	// settleTime is how long the others' words on an end are waited for, so that a content is not blamed
	// for what another entry's request has done: three hops between entries, each within 60 ms, and the
	// news of the end itself. The content is not sent meanwhile.
	settleTime = 400 * time.Millisecond
	// firstQuarantine is how long the first one lasts; each later one of a content twice as long, up to
	// longestQuarantine. A content that still ends its server costs one server each time.
	firstQuarantine   = time.Hour
	longestQuarantine = 24 * time.Hour
	// mostQuarantined bounds the contents that are held. When there are more, the one goes that was
	// quarantined first of the caller who has the most.
	mostQuarantined = 1024
	// confirmWithin is how long after a connection has broken its server's end must be known for the
	// request to count as part of it: an agent finds it out within 0.25 s, and its word takes 0.3 s.
	confirmWithin = time.Second
	// checkPause is the time between two looks after a server whose connections go on breaking.
	checkPause = 250 * time.Millisecond
	// oneAtATime is when a caller may come back whose content is being tried at a server.
	oneAtATime = time.Second
	// namedServers is how many of the ended servers are told of.
	namedServers = 5
)

// broken are the requests of this process whose connections to a server have broken lately, in order of
// time.
type broken struct {
	requests []brokenRequest
	// checkedAt is when the server was last to be looked after.
	checkedAt time.Duration
}

// brokenRequest is one of them: when it was sent, and when its connection broke.
type brokenRequest struct {
	content  Fingerprint
	sent, at time.Duration
}

// expire drops what broke too long ago to be part of an end now.
func (b *broken) expire(now time.Duration) {
	b.requests = slices.DeleteFunc(b.requests, func(one brokenRequest) bool { return now-one.at > confirmWithin })
}

// Change is what has changed, for people.
type Change struct {
	Kind Kind
	// Server and Contents are those of an end that this process has seen.
	Server       string
	Fingerprints []Fingerprint
	// Fingerprint was quarantined, for Left, after it had ended Servers; or it was cleared.
	Fingerprint Fingerprint
	Servers     []string
	Remaining   time.Duration
	Round       int
	// Reporter is the entry that has told it.
	Reporter string
}

// Tracker decides which contents may be sent to servers.
type Tracker struct {
	self   string
	number uint64

	evidence    evidence
	quarantines map[Fingerprint]*quarantine
	// broken are by server; running are the suspects of this process that are under way, by content.
	broken  map[string]*broken
	running map[Fingerprint]string

	words   []Report
	changes []Change
}

// New returns a tracker that knows nothing. Words of a process that has started later have higher
// numbers when it begins with a higher one.
func New(self string, firstNumber uint64) *Tracker {
	t := &Tracker{self: self, number: firstNumber, quarantines: map[Fingerprint]*quarantine{}, broken: map[string]*broken{}, running: map[Fingerprint]string{}}
	t.evidence = evidence{held: map[Fingerprint][]*end{}, cleared: map[Fingerprint]clearing{}, blamed: t.inForce}
	return t
}

// inForce reports whether a content was quarantined at a moment. The ends of some time before that have
// the same cause.
func (t *Tracker) inForce(content Fingerprint, at time.Duration) bool {
	held := t.quarantines[content]
	return held != nil && at < held.till
}

// Self is the name of this process in words.
func (t *Tracker) Self() string { return t.self }

// tell has the others told what was found out.
func (t *Tracker) tell(word Report) {
	t.number++
	word.Entry, word.Number = t.self, t.number
	t.words = append(t.words, word)
}

// TakeReports returns what the others are to be told since the last call.
func (t *Tracker) TakeReports() []Report {
	taken := t.words
	t.words = nil
	return taken
}

// TakeChanges returns what has changed since the last call.
func (t *Tracker) TakeChanges() []Change {
	taken := t.changes
	t.changes = nil
	return taken
}

// RecordBrokenConnection notes that a request's connection to a server has ended before the answer had. That counts
// once the server is known to have ended: connections also break by themselves. It reports whether the
// server is to be looked after.
func (t *Tracker) RecordBrokenConnection(server string, content Fingerprint, sent, now time.Duration) bool {
	t.expireBroken(now)
	held := t.broken[server]
	if held == nil {
		held = &broken{checkedAt: now - checkPause}
		t.broken[server] = held
	}
	held.requests = append(held.requests, brokenRequest{content: content, sent: sent, at: now})
	held.requests = held.requests[max(0, len(held.requests)-MaxSuspects):]
	if known := t.evidence.known(server, now); known != nil && sent < known.at {
		t.ended(server, known.at)
		return false
	}
	if now-held.checkedAt < checkPause {
		return false
	}
	held.checkedAt = now
	return true
}

func (t *Tracker) expireBroken(now time.Duration) {
	for server, held := range t.broken {
		if held.expire(now); len(held.requests) == 0 {
			delete(t.broken, server)
		}
	}
}

// HasBrokenConnections reports whether connections to a server have broken lately and its end is not known.
func (t *Tracker) HasBrokenConnections(server string, now time.Duration) bool {
	t.expireBroken(now)
	return t.broken[server] != nil
}

// RecordCrash notes that a server has ended without a word: its machine refuses connections, or another one
// is at its address.
func (t *Tracker) RecordCrash(server string, now time.Duration) {
	if t.HasBrokenConnections(server, now) {
		requests := t.broken[server].requests
		t.ended(server, requests[len(requests)-1].at)
	}
}

// ended takes the requests that broke over as suspects of an end, and tells the others. Those that broke
// long before it had another cause, such as resets that went on for a while.
func (t *Tracker) ended(server string, at time.Duration) {
	requests := t.broken[server].requests
	delete(t.broken, server)
	one := t.evidence.find(server, at)
	var fresh []Suspect
	for _, request := range requests {
		suspect := Suspect{Fingerprint: request.content, SentBefore: max(0, one.at-request.sent)}
		if (request.at-at).Abs() <= sameEnd && t.evidence.add(one, suspect) {
			fresh = append(fresh, suspect)
		}
	}
	if len(fresh) == 0 {
		return
	}
	t.tell(Report{Kind: Crashed, At: one.at, Server: server, Suspects: fresh})
	change := Change{Kind: Crashed, Server: server, Reporter: t.self}
	for _, suspect := range fresh {
		change.Fingerprints = append(change.Fingerprints, suspect.Fingerprint)
	}
	t.changes = append(t.changes, change)
}

// RecordAnswer notes that a server has answered a content whole: it does not end its servers.
func (t *Tracker) RecordAnswer(content Fingerprint, now time.Duration) {
	t.evidence.answered.add(content, now)
	t.clearAndTell(content, now)
}

// Release ends a quarantine at an operator's wish, and reports whether anything was held against
// the content.
func (t *Tracker) Release(content Fingerprint, now time.Duration) bool {
	return t.clearAndTell(content, now)
}

// clearAndTell takes back what is held against a content, and tells the others if there was anything.
func (t *Tracker) clearAndTell(content Fingerprint, at time.Duration) bool {
	counted, lifted := t.clear(content, at, t.self)
	if !counted && !lifted {
		return false
	}
	t.evidence.noteCleared(content, at, lifted)
	t.tell(Report{Kind: Cleared, At: at, Fingerprint: content, LiftsQuarantine: lifted})
	return true
}

// clear takes back what is held against a content up to a moment. It reports whether ends counted
// against it, and whether that has ended a quarantine.
func (t *Tracker) clear(content Fingerprint, at time.Duration, by string) (counted, lifted bool) {
	counted = t.evidence.clear(content, at)
	held := t.quarantines[content]
	lifted = held != nil && held.at <= at
	if lifted {
		delete(t.quarantines, content)
		t.changes = append(t.changes, Change{Kind: Cleared, Fingerprint: content, Reporter: by})
	}
	return counted, lifted
}

// Apply takes in what another process has found out, or this one in an earlier life.
func (t *Tracker) Apply(word Report, now time.Duration) {
	at := min(word.At, now)
	switch word.Kind {
	case Crashed:
		one := t.evidence.find(word.Server, at)
		for _, suspect := range word.Suspects {
			t.evidence.add(one, suspect)
		}
		if t.HasBrokenConnections(word.Server, now) {
			t.ended(word.Server, one.at)
		}
	case Cleared:
		_, lifted := t.clear(word.Fingerprint, at, word.Entry)
		t.evidence.noteCleared(word.Fingerprint, at, lifted || word.LiftsQuarantine)
	case Quarantined:
		if at > t.evidence.clearedAt(word.Fingerprint) && at+word.Duration > now {
			t.takeQuarantine(word.Fingerprint, &quarantine{at: at, till: at + word.Duration, round: word.Round, servers: word.Servers, by: word.Entry}, now)
		}
	}
}

// Admit judges a content that is about to be sent. One that is a suspect counts as under way from now
// on until End.
func (t *Tracker) Admit(content Fingerprint, now time.Duration) Verdict {
	verdict := t.Evaluate(content, now)
	if verdict.State == Suspected {
		t.running[content] = ""
	}
	return verdict
}

// SetTrialServer notes to which server a suspect is being sent.
func (t *Tracker) SetTrialServer(content Fingerprint, server string) { t.running[content] = server }

// EndTrial notes that it is not under way any more.
func (t *Tracker) EndTrial(content Fingerprint) { delete(t.running, content) }

// TrialServers lists the servers at which suspects of this process are under way.
func (t *Tracker) TrialServers() []string {
	var servers []string
	for _, server := range t.running {
		if server != "" {
			servers = append(servers, server)
		}
	}
	return servers
}
