package faults

import (
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/attempt"
)

// outcome is what a caller was told.
type outcome int

const (
	pending outcome = iota
	answered
	notRun
	unknown
)

// token is a token as the caller got it.
type token struct {
	request int
	index   int
	version uint64
	wrong   bool
}

// request is one caller's request at its entry.
type request struct {
	world      *world
	id         int
	entry      *process
	stream     bool
	repeatable bool
	deadline   time.Duration
	outcome    outcome
	received   []token
	pinned     uint64
	tried      []int
	flight     *flight
	mayHaveRun bool
	// runs counts how often a back end began it.
	runs      int
	cutByStop bool
}

// flight is the attempt under way.
type flight struct {
	link *link
	id   attempt.ID
	// inquiring is set once the link is lost and the agent is being asked.
	inquiring bool
}

// arrive brings a request to an entry.
func (w *world) arrive(id int) {
	r := &request{
		world: w, id: id, entry: w.entries[w.random.IntN(entryCount)],
		stream: w.random.IntN(2) == 0, deadline: w.Now() + requestTime,
	}
	r.repeatable = r.stream && w.random.IntN(3) > 0
	w.requests = append(w.requests, r)
	w.on(r.entry, r.attempt)
	w.After(requestTime, func() { r.tell(unknown) })
}

// tell ends a request once.
func (r *request) tell(result outcome) {
	if r.outcome != pending {
		return
	}
	if result == notRun && r.mayHaveRun {
		result = unknown
	}
	r.outcome = result
	r.flight = nil
}

// attempt sends the request to an agent that has not been tried.
func (r *request) attempt() {
	w := r.world
	if r.outcome != pending {
		return
	}
	if w.Now() >= r.deadline {
		r.tell(notRun)
		return
	}
	agent := r.choose()
	if agent == nil {
		r.giveUp()
		return
	}
	l := w.linkTo(r.entry, agent)
	started := &flight{link: l, id: attempt.ID{Incarnation: l.incarnation, Session: l.session, Sequence: w.nextSequence(l)}}
	r.flight = started
	r.tried = append(r.tried, agent.index)
	version := agent.engine.version
	if r.stream && len(r.received) > 0 {
		version = r.pinned
	}
	w.toAgent(l, func() { w.submit(agent, l, started.id, r, version) })
}

// choose picks an agent in reach that has not been tried and, for a stream under
// way, serves its version.
func (r *request) choose() *process {
	w := r.world
	for _, index := range w.random.Perm(agentCount) {
		agent := w.agents[index]
		usable := !agent.dead && !agent.leaving && w.connected(r.entry, agent) && !slices.Contains(r.tried, index)
		if usable && r.stream {
			usable = agent.engine.version > 0 && (len(r.received) == 0 || agent.engine.version == r.pinned)
		}
		if usable {
			return agent
		}
	}
	return nil
}

func (r *request) giveUp() {
	if len(r.received) > 0 {
		r.tell(unknown)
		return
	}
	r.tell(notRun)
}

// nextSequence numbers the attempts of a link.
func (w *world) nextSequence(l *link) uint64 {
	l.submitted++
	return l.submitted
}

// linkTo returns the entry's link to an agent, opening one when there is none.
func (w *world) linkTo(entry, agent *process) *link {
	if existing := entry.links[agent.index]; existing != nil && existing.entryUp && existing.incarnation == agent.incarnation {
		return existing
	}
	opened := &link{entry: entry, agent: agent, incarnation: agent.incarnation, session: agent.ledger.Open(), entryUp: true, agentUp: true}
	entry.links[agent.index] = opened
	return opened
}

// toAgent delivers a message in order, as long as the agent holds the link.
func (w *world) toAgent(l *link, do func()) {
	at := max(l.next[0], w.Now()+minimumDelay+w.randomTime(delayRange))
	l.next[0] = at
	w.After(at-w.Now(), func() {
		w.on(l.agent, func() {
			if l.agentUp && l.agent.incarnation == l.incarnation {
				do()
			}
		})
	})
}

// toEntry delivers a message in order, as long as the entry holds the link.
func (w *world) toEntry(l *link, do func()) {
	at := max(l.next[1], w.Now()+minimumDelay+w.randomTime(delayRange))
	l.next[1] = at
	w.After(at-w.Now(), func() {
		w.on(l.entry, func() {
			if l.entryUp {
				do()
			}
		})
	})
}

// submit is the agent's handling of a submission: its gate.
func (w *world) submit(agent *process, l *link, id attempt.ID, r *request, version uint64) {
	if known := agent.ledger.Inquire(id); known == attempt.Running || known == attempt.Ran {
		return
	}
	refused := agent.leaving && w.broken != SafeguardDrain || r.stream && (agent.engine.version != version || version == 0)
	if refused {
		agent.ledger.Revoke(id)
	}
	if refused || agent.ledger.Submit(id) != attempt.Start {
		w.toEntry(l, func() { r.refused(l, id) })
		return
	}
	if agent.leaving && w.Now() > agent.leavingSince+quietAfter {
		w.violate(LeavingIsQuiet, "request %d started %.1fs after the agent began to leave", r.id, (w.Now() - agent.leavingSince).Seconds())
	}
	r.runs++
	started := &work{request: r, link: l, version: version, token: len(r.received), engine: agent.engine.incarnation}
	agent.open[id] = started
	if r.stream {
		w.After(tokenTime, func() { w.nextToken(agent, id, started, agent.incarnation) })
		return
	}
	w.After(callTime, func() { w.endCall(agent, id, started, agent.incarnation) })
}

// nextToken is one step of an engine, passed on by the gate after its checks.
func (w *world) nextToken(agent *process, id attempt.ID, started *work, incarnation uint64) {
	if agent.dead || agent.incarnation != incarnation {
		return
	}
	e := agent.engine
	sent := token{request: started.request.id, index: started.token, version: e.version, wrong: e.wrongWeights}
	checked := e.version == started.version && e.incarnation == started.engine
	if e.version == 0 || !checked && w.broken != SafeguardPinning {
		w.finish(agent, id)
		w.toEntry(started.link, func() { started.request.failed(started.link, id) })
		return
	}
	started.token++
	last := started.token >= tokenCount
	if last {
		w.finish(agent, id)
	}
	w.toEntry(started.link, func() { started.request.token(started.link, id, sent, last) })
	if !last {
		w.After(tokenTime, func() { w.nextToken(agent, id, started, incarnation) })
	}
}

// endCall is the answer of a plain service. The service ran; whether the answer
// gets through is another matter.
func (w *world) endCall(agent *process, id attempt.ID, started *work, incarnation uint64) {
	if agent.dead || agent.incarnation != incarnation {
		return
	}
	w.finish(agent, id)
	w.toEntry(started.link, func() { started.request.done(started.link, id) })
}

func (w *world) finish(agent *process, id attempt.ID) {
	agent.ledger.Finish(id)
	delete(agent.open, id)
}

// current reports whether a message is about the attempt under way.
func (r *request) current(l *link, id attempt.ID) bool {
	return r.outcome == pending && r.flight != nil && r.flight.link == l && r.flight.id == id
}

func (r *request) refused(l *link, id attempt.ID) {
	if r.current(l, id) {
		r.flight = nil
		r.attempt()
	}
}

// failed is the end of an attempt that may have run.
func (r *request) failed(l *link, id attempt.ID) {
	if !r.current(l, id) {
		return
	}
	r.flight = nil
	r.mayHaveRun = true
	if !r.repeatable {
		r.tell(unknown)
		return
	}
	r.attempt()
}

func (r *request) token(l *link, id attempt.ID, got token, last bool) {
	if !r.current(l, id) {
		return
	}
	if got.index != len(r.received) {
		// A gap ends the attempt, as in an entry.
		r.failed(l, id)
		return
	}
	r.received = append(r.received, got)
	if len(r.received) == 1 {
		r.pinned = got.version
	}
	if last {
		r.tell(answered)
	}
}

func (r *request) done(l *link, id attempt.ID) {
	if r.current(l, id) {
		r.tell(answered)
	}
}

// linkLost decides what to do with an attempt whose link is gone.
func (r *request) linkLost(lost *link) {
	if r.outcome != pending || r.flight == nil || r.flight.link != lost || r.flight.inquiring {
		return
	}
	if r.repeatable {
		r.mayHaveRun = true
		r.flight = nil
		r.attempt()
		return
	}
	r.flight.inquiring = true
	r.inquire(r.flight)
}

// inquire asks the agent, over a new link, what became of an attempt.
func (r *request) inquire(about *flight) {
	w := r.world
	if r.outcome != pending || r.flight != about {
		return
	}
	agent := about.link.agent
	if agent.incarnation != about.id.Incarnation {
		r.mayHaveRun = true
		r.tell(unknown)
		return
	}
	w.After(inquiryPeriod, func() { w.on(r.entry, func() { r.inquire(about) }) })
	if agent.dead || !w.connected(r.entry, agent) {
		return
	}
	l := w.linkTo(r.entry, agent)
	w.toAgent(l, func() {
		found := agent.ledger.Revoke(about.id)
		w.toEntry(l, func() { r.resolved(about, found) })
	})
}

func (r *request) resolved(about *flight, found attempt.Outcome) {
	if r.outcome != pending || r.flight != about {
		return
	}
	switch found {
	case attempt.NotRun:
		r.flight = nil
		r.attempt()
	case attempt.Ran:
		// The agent keeps the answers of calls; a stream's tokens are gone.
		if r.stream {
			r.tell(unknown)
			return
		}
		r.tell(answered)
	case attempt.Unknown:
		r.mayHaveRun = true
		r.tell(unknown)
	}
}

// judge checks every promise about requests from the records.
func (w *world) judge() {
	for _, r := range w.requests {
		switch r.outcome {
		case answered:
			w.answered++
		case notRun:
			w.notRun++
		default:
			w.unknown++
		}
		if r.outcome == notRun && r.runs > 0 {
			w.violate(NotRunIsTrue, "request %d was refused as not run and ran %d times", r.id, r.runs)
		}
		if !r.repeatable && r.runs > 1 {
			w.violate(AtMostOnce, "request %d ran %d times", r.id, r.runs)
		}
		if r.outcome == answered && r.runs == 0 {
			w.violate(OwnAnswer, "request %d was answered without a run", r.id)
		}
		if r.cutByStop && r.outcome == unknown {
			w.violate(StopCutsNone, "request %d was cut by a planned stop", r.id)
		}
		if r.stream {
			w.judgeStream(r)
		}
	}
}

// judgeStream checks that what a caller got is of one version, of right weights,
// of its own request, in order, and whole if it was said to be.
func (w *world) judgeStream(r *request) {
	for i, got := range r.received {
		if got.request != r.id || got.index != i {
			w.violate(OwnAnswer, "request %d got token %d of request %d at position %d", r.id, got.index, got.request, i)
			return
		}
		if got.version != r.received[0].version || got.wrong {
			w.violate(WholeVersion, "request %d got a token of version %d (wrong weights: %t) after version %d", r.id, got.version, got.wrong, r.received[0].version)
			return
		}
	}
	if r.outcome == answered && len(r.received) != tokenCount {
		w.violate(OwnAnswer, "request %d was answered with %d of %d tokens", r.id, len(r.received), tokenCount)
	}
}
