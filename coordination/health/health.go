// Package health tracks the health of servers from the outcomes of requests, and decides whether a
// server is sent ordinary requests, trial requests or nothing. It keeps a bounded record for each
// listed server, reads no clock and does no I/O: the caller passes in the outcomes of attempts and
// the health reports of the zone's other entries, each with its time, and reads the resulting
// states and the reports for the other entries.
//
// A server is healthy, suspect (there is evidence against it, and requests that must not fail go
// elsewhere), ejected (it is sent nothing for a time) or on trial (the whole zone sends it one
// request at a time, until one is served). What one entry observes applies to its whole zone: each
// entry sends a server a request only every few seconds, so if each had to detect the failure by
// itself, a failing server would cost requests at every entry.
//
// A server that its agent can't reach is lost, whatever its state: it is sent only trials, until an
// entry of the zone has received an answer since the loss (see lost.go).
package health

import (
	"slices"
	"time"
)

// State determines what a server may be sent.
type State int

// The states of a server.
const (
	Healthy State = iota + 1
	Suspect
	Ejected
	OnTrial
)

var stateNames = [...]string{Healthy: "in order", Suspect: "suspect", Ejected: "ejected", OnTrial: "on trial"}

func (s State) String() string { return stateNames[s] }

// Durations of ejections and trials.
const (
	// baseEjection is the duration of a server's first ejection. It doubles with each further one,
	// up to maxEjection. A trial costs the zone one request, and a fleet that is short of capacity
	// needs a server in every second in which it is up.
	baseEjection = 250 * time.Millisecond
	maxEjection  = time.Second
	maxRounds    = 3
	// forgiveInterval is the time as a healthy server after which one ejection is forgotten.
	forgiveInterval = 5 * time.Second
	// trialTurn is the length of one entry's turn. The entries of a zone take turns, and an entry may
	// begin a trial only in its own. A turn is longer than a report takes to reach the zone, so that
	// two entries do not begin trials at the same time.
	trialTurn = 300 * time.Millisecond
	// trialTimeout is the time after which an unfinished trial no longer blocks another one.
	trialTimeout = 1500 * time.Millisecond
	// repeatableTrialWait is how long a server on trial waits for a request that may be repeated.
	// After that any request may be its trial, so that a server without repeatable requests returns
	// too.
	repeatableTrialWait = 4 * time.Second
)

// distantPast is earlier than anything that another entry may have observed: a process that starts
// receives reports of events before its start.
const distantPast = -time.Hour

// Limits on what is stored and on ejections.
const (
	// maxEjectedRatio is the largest ratio of a service's servers that failed requests may eject at
	// a time. A failure that affects more of them is not the fault of the servers.
	maxEjectedRatio = 0.5
	// maxClasses is the number of request classes that are tracked for a service.
	maxClasses = 32
	// maxPeers is the number of other entries whose evidence is kept for a server.
	maxPeers = 16
	// maxRecentServed is the number of served attempts that are kept as evidence for a server
	// against the reports of other entries.
	maxRecentServed = 4
)

// Attempt is the outcome of one attempt to send a request to a server.
type Attempt struct {
	Server string
	// Class groups similar requests, such as those of one route.
	Class   string
	Outcome Outcome
	// Sent is the time at which the attempt was sent.
	Sent time.Duration
	// Retry is set when the same request has already failed at another server.
	Retry bool
	// Lost is set when the server's agent can't reach it now, LostAt is since when.
	Lost   bool
	LostAt time.Duration
}

// Change is a change of a server's state, caused by an attempt or a report.
type Change struct {
	Server   string
	From, To State
	// Reporter is the entry that reported the change; empty when this entry detected it.
	Reporter string
	// Outcome is the outcome that caused the change; 0 for a report.
	Outcome  Outcome
	Evidence float64
	// Duration is the length of an ejection, Round the number of ejections in a row.
	Duration time.Duration
	Round    int
}

// service holds what is known of a whole service.
type service struct {
	servers []string
	classes map[string]*rates
	// attemptsSinceLostTrial counts this entry's attempts since its last trial of a lost server.
	attemptsSinceLostTrial int
}

// record holds what is known of one server.
type record struct {
	service       string
	classes       map[string]*rates
	evidence      float64
	evidenceAt    time.Duration
	failurePeriod failurePeriod
	peerEvidence  map[string]peerEvidence
	// served holds when the last served attempts were sent.
	served   []time.Duration
	servedAt time.Duration
	failedAt time.Duration
	lost     lostState

	ejected bool
	// reporter is the entry that ejected the server; empty for this one.
	reporter string
	// unresponsive is set when the server was ejected because it does not answer.
	unresponsive bool
	// changedAt is when the server was last ejected or restored, ejectedUntil the end of the
	// ejection.
	changedAt    time.Duration
	ejectedUntil time.Duration
	round        int
	// trialAt is when the last trial began, trialOpen whether it is unfinished, and ownTrial
	// whether this entry runs it.
	trialAt   time.Duration
	trialOpen bool
	ownTrial  bool
	turns     turnOrder
}

// Tracker tracks the health of all servers for one entry. It is not safe for concurrent use.
type Tracker struct {
	self     string
	services map[string]*service
	servers  map[string]*record
	members  []string
	reports  []Report
	// pending holds reports on servers that are not listed yet.
	pending []pendingReport
}

// New returns a tracker without servers for the entry named self.
func New(self string) *Tracker {
	return &Tracker{self: self, services: map[string]*service{}, servers: map[string]*record{}}
}

// SetServers sets the servers of a service and removes the records of all that are no longer
// listed. It returns the changes from reports that arrived before their server was listed.
func (t *Tracker) SetServers(name string, ids []string) []Change {
	svc := t.services[name]
	if svc == nil {
		svc = &service{classes: map[string]*rates{}}
		t.services[name] = svc
	}
	for _, id := range svc.servers {
		if rec := t.servers[id]; rec != nil && rec.service == name && !slices.Contains(ids, id) {
			delete(t.servers, id)
		}
	}
	svc.servers = slices.Clone(ids)
	for _, id := range ids {
		// A server that moves here from another service starts with a new record: it receives other
		// requests now.
		if rec := t.servers[id]; rec == nil || rec.service != name {
			t.servers[id] = newRecord(name)
		}
	}
	changes := t.applyPending()
	if len(ids) == 0 {
		delete(t.services, name)
	}
	return changes
}

// Reset discards the record of a server whose name another server has taken. Observations from
// before now do not apply to the new one.
func (t *Tracker) Reset(server string, now time.Duration) {
	if rec := t.servers[server]; rec != nil {
		fresh := newRecord(rec.service)
		fresh.changedAt, fresh.lost.resetAt = now, now
		t.servers[server] = fresh
	}
}

func newRecord(service string) *record {
	return &record{service: service, classes: map[string]*rates{}, peerEvidence: map[string]peerEvidence{}, changedAt: distantPast, servedAt: distantPast, failedAt: distantPast, lost: newLostState()}
}

// SetMembers sets the other entries of the zone, which take turns with trials.
func (t *Tracker) SetMembers(others []string) {
	members := append(slices.Clone(others), t.self)
	slices.Sort(members)
	members = slices.Compact(members)
	if slices.Equal(members, t.members) {
		return
	}
	t.members = members
	for _, rec := range t.servers {
		rec.turns, rec.lost.turns = turnOrder{}, turnOrder{}
	}
}

// State returns the state of a server.
func (t *Tracker) State(server string, now time.Duration) State {
	rec := t.servers[server]
	switch {
	case rec == nil:
		return Healthy
	case rec.ejected && now < rec.ejectedUntil:
		return Ejected
	case rec.ejected:
		return OnTrial
	case rec.ownEvidence(now)+rec.peerSum(now) >= suspectThreshold:
		return Suspect
	}
	return Healthy
}

// Unresponsive reports whether a server was ejected because it does not answer, after the given
// request was sent there, so that the request need not wait any longer. A request sent later is the
// server's trial or has no other server: it gets the typical time, or else a slow service would never
// return.
func (t *Tracker) Unresponsive(server string, sent time.Duration) bool {
	rec := t.servers[server]
	return rec != nil && rec.ejected && rec.unresponsive && sent < rec.changedAt
}

// Observe records the outcome of an attempt and returns the change that it causes.
func (t *Tracker) Observe(attempt Attempt, now time.Duration) (Change, bool) {
	rec := t.servers[attempt.Server]
	if rec == nil {
		return Change{}, false
	}
	weight := t.recordOutcome(rec, attempt, now)
	if attempt.Outcome == Served {
		return t.observeServed(rec, attempt, weight, now)
	}
	return t.observeFailure(rec, attempt, weight, now)
}

// recordOutcome adds the outcome to the rates and returns its weight as evidence. Outcomes at an
// ejected server do not count towards the service's baseline.
func (t *Tracker) recordOutcome(rec *record, attempt Attempt, now time.Duration) float64 {
	all := classRates(t.services[rec.service].classes, attempt.Class)
	own := classRates(rec.classes, attempt.Class)
	all.decay(now)
	own.decay(now)
	weight := logLikelihoodRatio(all, own, attempt.Outcome, attempt.Retry)
	t.services[rec.service].attemptsSinceLostTrial++
	if !rec.ejected {
		all.add(attempt.Outcome, now)
		own.add(attempt.Outcome, now)
	}
	return weight
}

// classRates returns the rates of a class. When there are too many classes, a new one replaces the
// least recently used.
func classRates(classes map[string]*rates, class string) *rates {
	if existing := classes[class]; existing != nil {
		return existing
	}
	if len(classes) >= maxClasses {
		oldest := ""
		for name, one := range classes {
			if oldest == "" || one.updatedAt < classes[oldest].updatedAt || (one.updatedAt == classes[oldest].updatedAt && name < oldest) {
				oldest = name
			}
		}
		delete(classes, oldest)
	}
	fresh := &rates{}
	classes[class] = fresh
	return fresh
}

// ownEvidence returns the evidence from this entry's own attempts.
func (r *record) ownEvidence(now time.Duration) float64 {
	return r.evidence * decayFactor(now-r.evidenceAt, evidenceHalfLife)
}

func (r *record) addEvidence(weight float64, now time.Duration) {
	r.evidence, r.evidenceAt = min(max(0, r.ownEvidence(now)+weight), maxEvidence), now
}

func (t *Tracker) observeServed(rec *record, attempt Attempt, weight float64, now time.Duration) (Change, bool) {
	if rec.ejected && attempt.Sent < rec.changedAt {
		// The attempt was sent before the ejection.
		return Change{}, false
	}
	rec.addEvidence(weight, now)
	rec.servedAt, rec.lost.answeredAt = now, now
	rec.served = append(rec.served, attempt.Sent)
	if len(rec.served) > maxRecentServed {
		rec.served = rec.served[1:]
	}
	rec.forgiveEjections(now)
	if !rec.ejected {
		counts := rec.failurePeriodActive(now) && attempt.Sent > rec.failurePeriod.startedAt
		if counts {
			rec.failurePeriod.count(false, now)
		}
		if counts || rec.needsConfirmationReport(attempt, now) {
			t.queueReport(attempt.Server, rec, now)
		}
		return Change{}, false
	}
	if now < rec.ejectedUntil {
		return Change{}, false
	}
	rec.restore(now)
	t.queueReport(attempt.Server, rec, now)
	return Change{Server: attempt.Server, From: OnTrial, To: Healthy, Outcome: Served, Round: rec.round}, true
}

// restore makes a server healthy again. Its earlier ejections expire later.
func (r *record) restore(now time.Duration) {
	r.ejected, r.trialOpen, r.ownTrial, r.reporter = false, false, false, ""
	r.evidence, r.evidenceAt, r.changedAt, r.failurePeriod = 0, now, now, failurePeriod{}
	clear(r.peerEvidence)
	r.failedAt = distantPast
}

// forgiveEjections forgets one ejection for each forgiveInterval as a healthy server.
func (r *record) forgiveEjections(now time.Duration) {
	for !r.ejected && r.round > 0 && now-r.changedAt >= forgiveInterval {
		r.round--
		r.changedAt += forgiveInterval
	}
}

func (t *Tracker) observeFailure(rec *record, attempt Attempt, weight float64, now time.Duration) (Change, bool) {
	if rec.round > 0 && attempt.Sent < max(rec.changedAt, rec.ejectedUntil) {
		// The attempt was sent before the server was restored or put on trial, so that its failure
		// belongs to the ejection before.
		return Change{}, false
	}
	rec.forgiveEjections(now)
	rec.addEvidence(weight, now)
	rec.beginFailurePeriod(attempt.Sent, now)
	rec.failurePeriod.count(true, now)
	rec.failedAt = now
	from := t.State(attempt.Server, now)
	if rec.ejected && (attempt.Outcome == Declined || rec.ownEvidence(now) < trialFailedThreshold) {
		rec.repeatEjection(now)
		t.queueReport(attempt.Server, rec, now)
		return Change{}, false
	}
	lostTrial := attempt.Lost && rec.isLostTrial(attempt.Sent, attempt.LostAt)
	if !rec.ejected && (lostTrial || !t.shouldEject(rec, attempt.Outcome, now)) {
		// A lost server that fails its trial is sent nothing anyway. If it were ejected, it would
		// count towards maxEjectedRatio in the place of another server.
		if rec.ownEvidence(now) >= suspectThreshold {
			t.queueReport(attempt.Server, rec, now)
		}
		return Change{}, false
	}
	evidence := rec.ownEvidence(now)
	t.removeFromBaseline(rec, now)
	rec.eject(now)
	rec.unresponsive = attempt.Outcome == Overdue || attempt.Outcome == Unreachable
	t.queueReport(attempt.Server, rec, now)
	return Change{
		Server: attempt.Server, From: from, To: Ejected, Outcome: attempt.Outcome, Evidence: evidence, Duration: rec.ejectedUntil - now, Round: rec.round,
	}, true
}

// shouldEject reports whether the evidence suffices to eject a server. A server that was ejected
// recently needs less.
func (t *Tracker) shouldEject(rec *record, outcome Outcome, now time.Duration) bool {
	needed := float64(ejectThreshold)
	if rec.round > 0 {
		needed = suspectThreshold
	}
	if rec.ownEvidence(now)+rec.peerSum(now) < needed {
		return false
	}
	return outcome == Unreachable || (rec.mostlyFails(minFailures, now) && t.mayEjectMore(rec.service))
}

// mayEjectMore reports whether one more server of a service may be ejected because of failed
// requests.
func (t *Tracker) mayEjectMore(name string) bool {
	servers := t.services[name].servers
	ejected := 0
	for _, id := range servers {
		// A server that has moved to another service stays in this list until the next update of
		// this service.
		if other := t.servers[id]; other != nil && other.service == name && other.ejected {
			ejected++
		}
	}
	return ejected+1 <= int(maxEjectedRatio*float64(len(servers)))
}

// removeFromBaseline removes a server's outcomes from the baseline of its service, so that they do
// not hide the next server that fails.
func (t *Tracker) removeFromBaseline(rec *record, now time.Duration) {
	for class, own := range rec.classes {
		if all := t.services[rec.service].classes[class]; all != nil {
			all.decay(now)
			own.decay(now)
			all.subtract(own)
		}
	}
	clear(rec.classes)
}

// eject ejects a server, for longer each time.
func (r *record) eject(now time.Duration) {
	r.round++
	r.ejectedUntil = now + r.ejectionDuration()
	r.round = min(r.round, maxRounds)
	r.ejected, r.reporter, r.changedAt = true, "", now
	r.trialOpen, r.ownTrial = false, false
	r.evidence, r.evidenceAt = 0, now
}

// repeatEjection ejects a server for as long as before: its trial failed in a way that is typical of
// its service, or was declined because the server is full or in a changeover.
func (r *record) repeatEjection(now time.Duration) {
	evidence := r.evidence
	r.round--
	r.eject(now)
	r.evidence = evidence
}

// ejectionDuration returns the duration of the current ejection.
func (r *record) ejectionDuration() time.Duration {
	return min(baseEjection<<(min(max(r.round, 1), maxRounds)-1), maxEjection)
}

// View describes the record of one server for a dump.
type View struct {
	State        State
	Evidence     float64
	PeerEvidence float64
	Round        int
	// Remaining is the remaining time of an ejection.
	Remaining time.Duration
	Reporter  string
}

// View returns the description of one server.
func (t *Tracker) View(server string, now time.Duration) View {
	rec := t.servers[server]
	if rec == nil {
		return View{State: Healthy}
	}
	view := View{State: t.State(server, now), Evidence: rec.ownEvidence(now), PeerEvidence: rec.peerSum(now), Round: rec.round, Reporter: rec.reporter}
	if rec.ejected {
		view.Remaining = max(0, rec.ejectedUntil-now)
	}
	return view
}

// Ejected returns the servers that are ejected or on trial.
func (t *Tracker) Ejected() []string {
	var ejected []string
	for id, rec := range t.servers {
		if rec.ejected {
			ejected = append(ejected, id)
		}
	}
	slices.Sort(ejected)
	return ejected
}
