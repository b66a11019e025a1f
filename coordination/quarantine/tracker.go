package quarantine

import (
	"cmp"
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
	// oneAtATime is when a caller may come back whose content is being tried at a server.
	oneAtATime = time.Second
	// namedServers is how many of the ended servers are told of.
	namedServers = 5
)

// State is what may be done with a content.
type State int

// The states of contents.
const (
	// Free contents are sent to any server.
	Free State = iota
	// Suspected contents are sent to servers that have no other suspect.
	Suspected
	// Undecided contents are not sent until what others have to say is known.
	Undecided
	// Shut contents are quarantined.
	Shut
)

// Verdict is the state of a content now.
type Verdict struct {
	State State
	// Left is how long the state lasts at the most; 0 where it has no end.
	Left time.Duration
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

// broken are the requests of this process whose connections to a server have broken lately.
type broken struct {
	at       time.Duration
	suspects []Suspect
}

// Change is what has changed, for people.
type Change struct {
	Kind Kind
	// Server and Contents are those of an end that this process has seen.
	Server   string
	Contents []Content
	// Content was quarantined, for Left, after it had ended Servers; or it was cleared.
	Content Content
	Servers []string
	Left    time.Duration
	Round   int
	// By is the entry that has told it.
	By string
}

// Tracker decides which contents may be sent to servers.
type Tracker struct {
	self   string
	number uint64

	evidence    evidence
	quarantines map[Content]*quarantine
	// broken are by server; running are the suspects of this process that are under way, by content.
	broken  map[string]*broken
	running map[Content]string

	words   []Word
	changes []Change
}

// New returns a tracker that knows nothing. Words of a process that has started later have higher
// numbers when it begins with a higher one.
func New(self string, firstNumber uint64) *Tracker {
	t := &Tracker{self: self, number: firstNumber, quarantines: map[Content]*quarantine{}, broken: map[string]*broken{}, running: map[Content]string{}}
	t.evidence = evidence{held: map[Content][]*end{}, cleared: map[Content]clearing{}, blamed: t.inForce}
	return t
}

// inForce reports whether a content was quarantined at a moment. The ends of some time before that have
// the same cause.
func (t *Tracker) inForce(content Content, at time.Duration) bool {
	held := t.quarantines[content]
	return held != nil && at < held.till
}

// Self is the name of this process in words.
func (t *Tracker) Self() string { return t.self }

// tell has the others told what was found out.
func (t *Tracker) tell(word Word) {
	t.number++
	word.Entry, word.Number = t.self, t.number
	t.words = append(t.words, word)
}

// TakeWords returns what the others are to be told since the last call.
func (t *Tracker) TakeWords() []Word {
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

// Broke notes that a request's connection to a server has ended before the answer had. That counts
// once the server is known to have ended: connections also break by themselves.
// It reports whether it is the first one, so that the server is to be looked after.
func (t *Tracker) Broke(server string, content Content, sent, now time.Duration) bool {
	for name, one := range t.broken {
		if now-one.at > confirmWithin {
			delete(t.broken, name)
		}
	}
	held, doubted := t.broken[server]
	if !doubted {
		held = &broken{}
		t.broken[server] = held
	}
	held.at = now
	held.suspects = append(held.suspects, Suspect{Content: content, Before: now - sent})
	if known := t.evidence.known(server, now); known != nil && sent < known.at {
		t.ended(server, known.at)
		return false
	}
	return !doubted
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

// Doubts reports whether connections to a server have broken lately and its end is not known.
func (t *Tracker) Doubts(server string, now time.Duration) bool {
	held := t.broken[server]
	return held != nil && now-held.at <= confirmWithin
}

// Ended notes that a server has ended without a word: its machine refuses connections, or another one
// is at its address.
func (t *Tracker) Ended(server string, now time.Duration) {
	if held := t.broken[server]; held != nil && now-held.at <= confirmWithin {
		t.ended(server, held.at)
	}
}

// ended takes the requests that broke over as suspects of an end, and tells the others.
func (t *Tracker) ended(server string, at time.Duration) {
	suspects := t.broken[server].suspects
	delete(t.broken, server)
	one, _ := t.evidence.find(server, at)
	var fresh []Suspect
	for _, suspect := range suspects {
		if t.evidence.add(one, suspect) {
			fresh = append(fresh, suspect)
		}
	}
	if len(fresh) == 0 {
		return
	}
	t.tell(Word{Kind: Ended, At: one.at, Server: server, Suspects: fresh})
	change := Change{Kind: Ended, Server: server, By: t.self}
	for _, suspect := range fresh {
		change.Contents = append(change.Contents, suspect.Content)
	}
	t.changes = append(t.changes, change)
}

// Answered notes that a server has answered a content whole: it does not end its servers.
func (t *Tracker) Answered(content Content, now time.Duration) {
	t.evidence.answered.add(content, now)
	t.clearAndTell(content, now)
}

// Release ends a quarantine at an operator's wish, and reports whether anything was held against
// the content.
func (t *Tracker) Release(content Content, now time.Duration) bool {
	return t.clearAndTell(content, now)
}

// clearAndTell takes back what is held against a content, and tells the others if there was anything.
func (t *Tracker) clearAndTell(content Content, at time.Duration) bool {
	counted, lifted := t.clear(content, at, t.self)
	if !counted && !lifted {
		return false
	}
	t.evidence.noteCleared(content, at, lifted)
	t.tell(Word{Kind: Cleared, At: at, Content: content, Lifts: lifted})
	return true
}

// clear takes back what is held against a content up to a moment. It reports whether ends counted
// against it, and whether that has ended a quarantine.
func (t *Tracker) clear(content Content, at time.Duration, by string) (counted, lifted bool) {
	counted = t.evidence.clear(content, at)
	held := t.quarantines[content]
	lifted = held != nil && held.at <= at
	if lifted {
		delete(t.quarantines, content)
		t.changes = append(t.changes, Change{Kind: Cleared, Content: content, By: by})
	}
	return counted, lifted
}

// Hear takes in what another process has found out, or this one in an earlier life.
func (t *Tracker) Hear(word Word, now time.Duration) {
	at := min(word.At, now)
	switch word.Kind {
	case Ended:
		one, _ := t.evidence.find(word.Server, at)
		for _, suspect := range word.Suspects {
			t.evidence.add(one, suspect)
		}
		if t.Doubts(word.Server, now) {
			t.ended(word.Server, one.at)
		}
	case Cleared:
		_, lifted := t.clear(word.Content, at, word.Entry)
		t.evidence.noteCleared(word.Content, at, lifted || word.Lifts)
	case Quarantined:
		if at > t.evidence.clearedAt(word.Content) && at+word.Lasts > now {
			t.shut(word.Content, &quarantine{at: at, till: at + word.Lasts, round: word.Round, servers: word.Servers, by: word.Entry}, now)
		}
	}
}

// Judge decides what may be done with a content now.
func (t *Tracker) Judge(content Content, now time.Duration) Verdict {
	held := t.quarantines[content]
	if held != nil && now < held.till {
		return Verdict{State: Shut, Left: held.till - now, Servers: held.servers}
	}
	last := t.evidence.last(content)
	if held == nil && last == nil {
		return Verdict{}
	}
	if last != nil && t.mayBeCause(content) {
		if settled := last.at + settleTime; now < settled {
			return Verdict{State: Undecided, Left: settled - now, Servers: t.endsOf(content)}
		}
		if t.isCause(content) {
			t.convict(content, now)
			return t.Judge(content, now)
		}
	}
	if held == nil && t.evidence.score(content) < endsForSuspicion {
		return Verdict{}
	}
	if _, runs := t.running[content]; runs {
		return Verdict{State: Undecided, Left: oneAtATime, Servers: t.endsOf(content)}
	}
	return Verdict{State: Suspected, Servers: t.endsOf(content)}
}

// mayBeCause reports whether enough servers have ended under a content.
func (t *Tracker) mayBeCause(content Content) bool {
	return t.evidence.score(content) >= t.endsNeeded(content)
}

// isCause reports whether no other content explains these ends as well.
func (t *Tracker) isCause(content Content) bool {
	return t.evidence.leads(content) >= t.endsNeeded(content) || t.evidence.score(content) >= endsAtMost
}

// endsNeeded is how many ends a content is quarantined after: one is enough after a quarantine.
func (t *Tracker) endsNeeded(content Content) int {
	if t.quarantines[content] != nil {
		return 1
	}
	return endsForQuarantine
}

// convict quarantines a content, and tells the others.
func (t *Tracker) convict(content Content, now time.Duration) {
	fresh := &quarantine{at: t.evidence.last(content).at, servers: t.endsOf(content), by: t.self}
	if former := t.quarantines[content]; former != nil {
		fresh.round = former.round + 1
	}
	lasts := longestQuarantine
	if fresh.round < len(quarantineTimes) {
		lasts = quarantineTimes[fresh.round]
	}
	fresh.till = fresh.at + lasts
	t.shut(content, fresh, now)
	t.tell(Word{Kind: Quarantined, At: fresh.at, Content: content, Servers: fresh.servers, Round: fresh.round, Lasts: lasts})
}

// quarantineTimes are how long the first ones last.
var quarantineTimes = []time.Duration{firstQuarantine, 2 * firstQuarantine, 4 * firstQuarantine, 8 * firstQuarantine, 16 * firstQuarantine}

// shut takes over a quarantine, unless one is known that lasts longer.
func (t *Tracker) shut(content Content, fresh *quarantine, now time.Duration) {
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
		t.changes = append(t.changes, Change{Kind: Quarantined, Content: content, Servers: fresh.servers, Left: fresh.till - now, Round: fresh.round, By: fresh.by})
	}
}

// evictQuarantine drops the oldest quarantine of the caller that has the most.
func (t *Tracker) evictQuarantine() {
	counts := map[uint64]int{}
	for content := range t.quarantines {
		counts[content.Caller]++
	}
	var oldest Content
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
func (t *Tracker) endsOf(content Content) []string {
	var servers []string
	if held := t.quarantines[content]; held != nil {
		servers = append(servers, held.servers...)
	}
	for _, one := range t.evidence.held[content] {
		servers = append(servers, one.server)
	}
	return servers[max(0, len(servers)-namedServers):]
}

// Admit judges a content that is about to be sent. One that is a suspect counts as under way from now
// on until End.
func (t *Tracker) Admit(content Content, now time.Duration) Verdict {
	verdict := t.Judge(content, now)
	if verdict.State == Suspected {
		t.running[content] = ""
	}
	return verdict
}

// Begin notes to which server a suspect is being sent.
func (t *Tracker) Begin(content Content, server string) { t.running[content] = server }

// End notes that it is not under way any more.
func (t *Tracker) End(content Content) { delete(t.running, content) }

// Occupied lists the servers at which suspects of this process are under way.
func (t *Tracker) Occupied() []string {
	var servers []string
	for _, server := range t.running {
		if server != "" {
			servers = append(servers, server)
		}
	}
	return servers
}

// Tick decides what is due by time: contents that nobody asks for are quarantined too, so that others
// learn of it, and quarantines are forgotten a while after they have ended.
func (t *Tracker) Tick(now time.Duration) {
	t.evidence.expire(now)
	for content := range t.evidence.held {
		if t.mayBeCause(content) {
			t.Judge(content, now)
		}
	}
	for content, held := range t.quarantines {
		if now-held.till > longestQuarantine {
			delete(t.quarantines, content)
		}
	}
}

// Description is what is held against one content.
type Description struct {
	Content Content
	State   State
	Left    time.Duration
	Round   int
	Servers []string
	By      string
}

// Describe lists the contents that are quarantined or suspected.
func (t *Tracker) Describe(now time.Duration) []Description {
	var all []Description
	for content, held := range t.quarantines {
		state := Suspected
		if now < held.till {
			state = Shut
		}
		all = append(all, Description{Content: content, State: state, Left: max(0, held.till-now), Round: held.round, Servers: held.servers, By: held.by})
	}
	for content := range t.evidence.held {
		if t.quarantines[content] == nil && t.evidence.score(content) >= endsForSuspicion {
			all = append(all, Description{Content: content, State: Suspected, Servers: t.endsOf(content)})
		}
	}
	slices.SortFunc(all, func(a, b Description) int { return cmp.Compare(a.Content.String(), b.Content.String()) })
	return all
}

// Quarantines counts the contents that are kept from servers now.
func (t *Tracker) Quarantines(now time.Duration) int {
	count := 0
	for _, held := range t.quarantines {
		if now < held.till {
			count++
		}
	}
	return count
}
