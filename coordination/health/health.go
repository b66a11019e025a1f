// Package health decides whether a server is sent ordinary requests, a trial, or nothing, by
// what its answers show. It holds a bounded record for each listed server, reads no clock and
// sends nothing: outcomes of attempts and words of the zone's other entries go in with the
// time, states and words for the others come out.
//
// A server that the agent beside it does not reach is lost, whatever its state: it is sent nothing but
// trials, until an answer has come to some entry of the zone since the loss (see lost.go).
//
// A server is in order, suspect (there is evidence, and requests that must not fail go
// elsewhere), ejected (it is sent nothing for a time) or on trial (it is sent one request at a
// time of the whole zone, until one was served). What is learned by one entry holds
// in its zone, because each entry sends a server a request only every few seconds: were each to
// learn for itself, a failing server would cost requests of every one.
package health

import (
	"slices"
	"time"
)

// State is what a server may be sent.
type State int

// The states.
const (
	Healthy State = iota + 1
	Suspect
	Ejected
	OnTrial
)

var stateNames = [...]string{Healthy: "in order", Suspect: "suspect", Ejected: "ejected", OnTrial: "on trial"}

func (s State) String() string { return stateNames[s] }

// Times of ejections and trials.
const (
	// firstEjection is the length of a server's first ejection; it doubles with each further one
	// up to longestEjection. A trial costs one request of the zone, and a fleet that is short of
	// places needs a server in each second in which it is up.
	firstEjection   = 250 * time.Millisecond
	longestEjection = time.Second
	maximumRounds   = 3
	// forgiveTime is the time in order after which one ejection is forgotten.
	forgiveTime = 5 * time.Second
	// trialTurn is how long each entry of the zone in turn may begin a trial: longer than a
	// word takes to reach the zone, so that two do not begin one at the same time.
	trialTurn = 300 * time.Millisecond
	// trialLimit is how long a trial may be without an end, until another may begin.
	trialLimit = 1500 * time.Millisecond
	// trialPatience is how long a server waits for a trial by a request that may be repeated;
	// after that any request is one, so that a server with no such requests returns too.
	trialPatience = 4 * time.Second
)

// longAgo is before anything that another entry may have found out: a process that starts hears
// of what was before.
const longAgo = -time.Hour

// Bounds of what is held.
const (
	// mostEjectedShare is the largest part of a service's servers that failures of requests may
	// eject at a time: what fails at more of them is no fault of the servers.
	mostEjectedShare = 0.5
	// mostClasses is how many classes of requests are told apart at a service.
	mostClasses = 32
	// mostHints is how many entries' hints are held for a server.
	mostHints = 16
	// recentServed is how many served attempts are held as evidence against a hint.
	recentServed = 4
)

// Attempt is the outcome of one attempt.
type Attempt struct {
	Server string
	// Class groups requests that are alike, such as those of one route.
	Class   string
	Outcome Outcome
	// Sent is when the attempt was sent.
	Sent time.Duration
	// Retry is set when the same request had failed elsewhere before.
	Retry bool
	// Lost is set when the agent beside the server does not reach it now, LostAt since when.
	Lost   bool
	LostAt time.Duration
}

// Change is a change of a server's state that an attempt or a word has brought.
type Change struct {
	Server   string
	From, To State
	// Reporter is the entry that told it; empty when this one has found out itself.
	Reporter string
	// Outcome is what decided it; 0 for a word.
	Outcome  Outcome
	Evidence float64
	// Duration is the length of an ejection, Round how many there were in a row.
	Duration time.Duration
	Round    int
}

// service is what is known of a service as a whole.
type service struct {
	servers []string
	classes map[string]*rates
	// sinceLostTrial counts this entry's attempts since it has last tried a lost server.
	sinceLostTrial int
}

// record is what is known of one server.
type record struct {
	service       string
	classes       map[string]*rates
	evidence      float64
	evidenceAt    time.Duration
	failurePeriod failurePeriod
	hints         map[string]hint
	// served are when the last served attempts were sent.
	served   []time.Duration
	servedAt time.Duration
	failedAt time.Duration
	lost     lostRecord

	ejected bool
	// by is the entry that has ejected the server; empty for this one.
	by string
	// mute is set when it was ejected because it answers nothing.
	mute bool
	// changedAt is when it was last ejected or returned, till the end of the ejection.
	changedAt time.Duration
	till      time.Duration
	round     int
	// trialAt is when the present trial began, trialOpen that it has not ended, and ownTrial that
	// it is this entry's.
	trialAt   time.Duration
	trialOpen bool
	ownTrial  bool
	turns     turns
}

// Tracker holds the health of all servers for one entry. It is not safe for concurrent use.
type Tracker struct {
	self     string
	services map[string]*service
	servers  map[string]*record
	members  []string
	words    []Report
	// early are words on servers that are not listed yet.
	early []earlyWord
}

// New returns a tracker for an entry that knows no server yet.
func New(self string) *Tracker {
	return &Tracker{self: self, services: map[string]*service{}, servers: map[string]*record{}}
}

// SetServers takes over which servers a service has; what is held of others is forgotten. It
// returns the changes that words have brought which came before their server was listed.
func (t *Tracker) SetServers(name string, ids []string) []Change {
	known := t.services[name]
	if known == nil {
		known = &service{classes: map[string]*rates{}}
		t.services[name] = known
	}
	for _, id := range known.servers {
		if held := t.servers[id]; held != nil && held.service == name && !slices.Contains(ids, id) {
			delete(t.servers, id)
		}
	}
	known.servers = slices.Clone(ids)
	for _, id := range ids {
		// A server that has moved here begins anew: other requests go there now.
		if held := t.servers[id]; held == nil || held.service != name {
			t.servers[id] = newRecord(name)
		}
	}
	early := t.hearEarly()
	if len(ids) == 0 {
		delete(t.services, name)
	}
	return early
}

// Reset forgets a server whose name another one has: what was found out before now does not hold.
func (t *Tracker) Reset(server string, now time.Duration) {
	if held := t.servers[server]; held != nil {
		fresh := newRecord(held.service)
		fresh.changedAt, fresh.lost.renewedAt = now, now
		t.servers[server] = fresh
	}
}

func newRecord(service string) *record {
	return &record{service: service, classes: map[string]*rates{}, hints: map[string]hint{}, changedAt: longAgo, servedAt: longAgo, failedAt: longAgo, lost: newLostRecord()}
}

// SetMembers takes over which other entries the zone has; they take turns with trials.
func (t *Tracker) SetMembers(others []string) {
	members := append(slices.Clone(others), t.self)
	slices.Sort(members)
	members = slices.Compact(members)
	if slices.Equal(members, t.members) {
		return
	}
	t.members = members
	for _, held := range t.servers {
		held.turns, held.lost.turns = turns{}, turns{}
	}
}

// State tells what a server may be sent.
func (t *Tracker) State(server string, now time.Duration) State {
	held := t.servers[server]
	switch {
	case held == nil:
		return Healthy
	case held.ejected && now < held.till:
		return Ejected
	case held.ejected:
		return OnTrial
	case held.against(now)+held.hinted(now) >= suspectAt:
		return Suspect
	}
	return Healthy
}

// Unresponsive reports whether a server is out because it answers nothing, and was ejected after a request
// was sent there, so that this need not wait on. A request sent later is the server's trial, or
// has no other server: it has the usual time, or a service that is slow would never return.
func (t *Tracker) Unresponsive(server string, sent time.Duration) bool {
	held := t.servers[server]
	return held != nil && held.ejected && held.mute && sent < held.changedAt
}

// Observe takes in the outcome of an attempt, and returns the change that it brings.
func (t *Tracker) Observe(attempt Attempt, now time.Duration) (Change, bool) {
	held := t.servers[attempt.Server]
	if held == nil {
		return Change{}, false
	}
	weight := t.count(held, attempt, now)
	if attempt.Outcome == Served {
		return t.observeServed(held, attempt, weight, now)
	}
	return t.observeFailure(held, attempt, weight, now)
}

// count adds the outcome to the rates, and returns what it weighs. What an ejected server shows is
// not usual at its service.
func (t *Tracker) count(held *record, attempt Attempt, now time.Duration) float64 {
	all := classOf(t.services[held.service].classes, attempt.Class)
	own := classOf(held.classes, attempt.Class)
	all.forget(now)
	own.forget(now)
	weight := weightOf(all, own, attempt.Outcome, attempt.Retry)
	t.services[held.service].sinceLostTrial++
	if !held.ejected {
		all.add(attempt.Outcome, now)
		own.add(attempt.Outcome, now)
	}
	return weight
}

// classOf returns the rates of a class; the one that was longest unused makes room for a new one.
func classOf(classes map[string]*rates, class string) *rates {
	if known := classes[class]; known != nil {
		return known
	}
	if len(classes) >= mostClasses {
		oldest := ""
		for name, one := range classes {
			if oldest == "" || one.at < classes[oldest].at || (one.at == classes[oldest].at && name < oldest) {
				oldest = name
			}
		}
		delete(classes, oldest)
	}
	fresh := &rates{}
	classes[class] = fresh
	return fresh
}

// against is the evidence of this entry's own attempts.
func (r *record) against(now time.Duration) float64 {
	return r.evidence * remembered(now-r.evidenceAt, evidenceHalfLife)
}

func (r *record) weigh(weight float64, now time.Duration) {
	r.evidence, r.evidenceAt = min(max(0, r.against(now)+weight), evidenceCap), now
}

func (t *Tracker) observeServed(held *record, attempt Attempt, weight float64, now time.Duration) (Change, bool) {
	if held.ejected && attempt.Sent < held.changedAt {
		// It was sent before what ejected the server.
		return Change{}, false
	}
	held.weigh(weight, now)
	held.servedAt, held.lost.answeredAt = now, now
	held.served = append(held.served, attempt.Sent)
	if len(held.served) > recentServed {
		held.served = held.served[1:]
	}
	held.forgive(now)
	if !held.ejected {
		counts := held.failurePeriodLasts(now) && attempt.Sent > held.failurePeriod.began
		if counts {
			held.failurePeriod.count(false, now)
		}
		if counts || held.provesAnew(attempt, now) {
			t.tell(attempt.Server, held, now)
		}
		return Change{}, false
	}
	if now < held.till {
		return Change{}, false
	}
	held.restore(now)
	t.tell(attempt.Server, held, now)
	return Change{Server: attempt.Server, From: OnTrial, To: Healthy, Outcome: Served, Round: held.round}, true
}

// restore takes a server back into order. Its ejections are forgotten later.
func (r *record) restore(now time.Duration) {
	r.ejected, r.trialOpen, r.ownTrial, r.by = false, false, false, ""
	r.evidence, r.evidenceAt, r.changedAt, r.failurePeriod = 0, now, now, failurePeriod{}
	clear(r.hints)
	r.failedAt = longAgo
}

// forgive forgets one ejection for each forgiveTime in order.
func (r *record) forgive(now time.Duration) {
	for !r.ejected && r.round > 0 && now-r.changedAt >= forgiveTime {
		r.round--
		r.changedAt += forgiveTime
	}
}

func (t *Tracker) observeFailure(held *record, attempt Attempt, weight float64, now time.Duration) (Change, bool) {
	if held.round > 0 && attempt.Sent < max(held.changedAt, held.till) {
		// It was sent before the server returned or came on trial: more of what ejected it.
		return Change{}, false
	}
	held.forgive(now)
	held.weigh(weight, now)
	held.beginFailurePeriod(attempt.Sent, now)
	held.failurePeriod.count(true, now)
	held.failedAt = now
	from := t.State(attempt.Server, now)
	if held.ejected && (attempt.Outcome == Declined || held.against(now) < trialAt) {
		held.ejectAgain(now)
		t.tell(attempt.Server, held, now)
		return Change{}, false
	}
	onLostTrial := attempt.Lost && held.onLostTrial(attempt.Sent, attempt.LostAt)
	if !held.ejected && (onLostTrial || !t.convicts(held, attempt.Outcome, now)) {
		// A lost server that fails its trial is sent nothing anyhow; ejected, it would take the place
		// of another one that may be.
		if held.against(now) >= suspectAt {
			t.tell(attempt.Server, held, now)
		}
		return Change{}, false
	}
	evidence := held.against(now)
	t.dropFromUsual(held, now)
	held.eject(now)
	held.mute = attempt.Outcome == Overdue || attempt.Outcome == Unreachable
	t.tell(attempt.Server, held, now)
	return Change{
		Server: attempt.Server, From: from, To: Ejected, Outcome: attempt.Outcome, Evidence: evidence, Duration: held.till - now, Round: held.round,
	}, true
}

// convicts reports whether the evidence suffices to eject a server: less of it where the server
// has returned lately.
func (t *Tracker) convicts(held *record, outcome Outcome, now time.Duration) bool {
	needed := float64(ejectAt)
	if held.round > 0 {
		needed = suspectAt
	}
	if held.against(now)+held.hinted(now) < needed {
		return false
	}
	return outcome == Unreachable || (held.mostlyFails(leastFailures, now) && t.mayEject(held.service))
}

// mayEject reports whether one more server of a service may be ejected for what its requests
// have met.
func (t *Tracker) mayEject(name string) bool {
	servers := t.services[name].servers
	ejected := 0
	for _, id := range servers {
		// A server that has moved to another service is in the list of this one until that is told.
		if one := t.servers[id]; one != nil && one.service == name && one.ejected {
			ejected++
		}
	}
	return ejected+1 <= int(mostEjectedShare*float64(len(servers)))
}

// dropFromUsual takes what a server has shown out of what is usual at its service: the next one that
// fails is not taken for sound because this one has failed.
func (t *Tracker) dropFromUsual(held *record, now time.Duration) {
	for class, own := range held.classes {
		if all := t.services[held.service].classes[class]; all != nil {
			all.forget(now)
			own.forget(now)
			all.remove(own)
		}
	}
	clear(held.classes)
}

// eject takes a server out, for longer each time.
func (r *record) eject(now time.Duration) {
	r.round++
	r.till = now + r.length()
	r.round = min(r.round, maximumRounds)
	r.ejected, r.by, r.changedAt = true, "", now
	r.trialOpen, r.ownTrial = false, false
	r.evidence, r.evidenceAt = 0, now
}

// ejectAgain takes a server out for as long as before: its trial has failed in a way that is usual,
// or was declined because it is full or changes over.
func (r *record) ejectAgain(now time.Duration) {
	evidence := r.evidence
	r.round--
	r.eject(now)
	r.evidence = evidence
}

// length is that of the present ejection.
func (r *record) length() time.Duration {
	return min(firstEjection<<(min(max(r.round, 1), maximumRounds)-1), longestEjection)
}

// View is what is held of one server, for a dump.
type View struct {
	State        State
	Evidence     float64
	PeerEvidence float64
	Round        int
	// Remaining is what is left of an ejection.
	Remaining time.Duration
	Reporter  string
}

// View describes one server.
func (t *Tracker) View(server string, now time.Duration) View {
	held := t.servers[server]
	if held == nil {
		return View{State: Healthy}
	}
	view := View{State: t.State(server, now), Evidence: held.against(now), PeerEvidence: held.hinted(now), Round: held.round, Reporter: held.by}
	if held.ejected {
		view.Remaining = max(0, held.till-now)
	}
	return view
}

// Ejected lists the servers that are ejected or on trial.
func (t *Tracker) Ejected() []string {
	var ejected []string
	for id, held := range t.servers {
		if held.ejected {
			ejected = append(ejected, id)
		}
	}
	slices.Sort(ejected)
	return ejected
}
