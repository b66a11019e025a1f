package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Limits and durations of quarantines.
const (
	// crashesForQuarantine is the number of crashes after which a fingerprint is quarantined: fewer
	// are inconclusive, because about a dozen harmless requests are under way at each server.
	crashesForQuarantine = 3
	// crashesForSuspicion is the number of crashes from which requests with a fingerprint run apart
	// from other suspects, one at a time.
	crashesForSuspicion = crashesForQuarantine - 1
	// maxAmbiguousCrashes is the number of crashes after which a fingerprint is quarantined even if
	// it can't be told from another one: the servers matter more than a fingerprint that was under
	// way at three crashes too many by coincidence.
	maxAmbiguousCrashes = crashesForQuarantine + 2
	// settleTime is how long to wait for the other entries' reports on a crash, so that a
	// fingerprint is not quarantined for what a request of another entry caused: three hops between
	// entries, each within 60 ms, plus the time to detect the crash. Requests with the fingerprint
	// are not sent meanwhile.
	settleTime = 400 * time.Millisecond
	// initialQuarantine is the duration of the first quarantine; each later one of the same
	// fingerprint lasts quarantineFactor times as long, up to maxQuarantine. A request that still crashes its server
	// costs one server each time.
	initialQuarantine = time.Hour
	maxQuarantine     = 24 * time.Hour
	quarantineFactor  = 2
	// The same for a part of a prompt, whose quarantine concerns other requests too. A part that is the
	// likely cause but not the certain one is tried soon, so that a sound one is not kept out for long; a
	// certain one begins in certainRound.
	initialPartQuarantine = 2 * time.Second
	partQuarantineFactor  = 8
	certainRound          = 2
	// crashesForPartQuarantine is the number of crashes after which a part of a prompt is quarantined.
	// It is higher than for whole requests, because more requests have the part.
	crashesForPartQuarantine = crashesForQuarantine + 2
	// maxAmbiguousPartCrashes is the same as maxAmbiguousCrashes for a part that was never answered.
	maxAmbiguousPartCrashes = 2 * crashesForPartQuarantine
	// crashesForReport is the number of crashes that count against a part from which its answers are
	// reported to the other processes. Reporting each one would cost a message per entry and crash.
	crashesForReport = 2
	// maxQuarantines limits the number of quarantines. Beyond it, the oldest one of the caller with
	// the most is dropped.
	maxQuarantines = 1024
	// confirmTimeout is how long after a broken connection the crash of its server must be known
	// for the request to count as a suspect: an agent detects the crash within 0.25 s, and its
	// report takes 0.3 s.
	confirmTimeout = time.Second
	// checkInterval is the minimum time between two checks of a server whose connections keep
	// breaking.
	checkInterval = 250 * time.Millisecond
	// trialRetryDelay is when a caller should retry while a request with the same fingerprint is
	// being tried at a server.
	trialRetryDelay = time.Second
	// maxListedServers is the number of crashed servers listed in reports.
	maxListedServers = 5
)

// brokenConnections holds the requests of this process whose connections to a server have recently
// broken, in order of time.
type brokenConnections struct {
	requests []brokenRequest
	// checkedAt is when a check of the server was last requested.
	checkedAt time.Duration
}

// brokenRequest records when a request was sent and when its connection broke.
type brokenRequest struct {
	request          Request
	sentAt, brokenAt time.Duration
}

// expire drops the requests that broke too long ago to belong to a crash now.
func (b *brokenConnections) expire(now time.Duration) {
	b.requests = slices.DeleteFunc(b.requests, func(request brokenRequest) bool { return now-request.brokenAt > confirmTimeout })
}

// Change describes a change for logs and metrics.
type Change struct {
	Kind Kind
	// Server and Fingerprints describe a crash that this process has observed; Parts are those of the
	// prompts of the requests.
	Server       string
	Fingerprints []Fingerprint
	Parts        []Fingerprint
	// Fingerprint was cleared, or quarantined for Remaining after it had crashed Servers; a part of a
	// prompt together with its Companions.
	Fingerprint Fingerprint
	Companions  []Fingerprint
	Servers     []string
	Remaining   time.Duration
	Round       int
	// Reporter is the entry that reported the change.
	Reporter string
}

// Tracker decides which requests may be sent to servers.
type Tracker struct {
	self   string
	number uint64

	evidence    evidence
	quarantines map[Fingerprint]*quarantine
	// brokenConnections is indexed by server. trials maps the suspects of this process that are
	// under way to their servers; "" means that none has been chosen yet.
	brokenConnections map[string]*brokenConnections
	trials            map[Fingerprint]string

	reports []Report
	changes []Change
}

// New returns a tracker without any evidence. Processes that start later must use a higher
// firstNumber, so that their reports are numbered higher.
func New(self string, firstNumber uint64) *Tracker {
	t := &Tracker{self: self, number: firstNumber, quarantines: map[Fingerprint]*quarantine{}, brokenConnections: map[string]*brokenConnections{}, trials: map[Fingerprint]string{}}
	t.evidence = evidence{
		byFingerprint: map[Fingerprint][]*crash{}, cleared: map[Fingerprint]clearing{}, explainsCrash: t.explainsCrash,
	}
	return t
}

// explainsCrash reports whether a request or a part of it is the known cause of a crash at the given
// time: it was quarantined then or later. Crashes before the quarantine have the same cause.
func (t *Tracker) explainsCrash(request Request, at time.Duration) bool {
	if q := t.quarantines[request.Fingerprint]; q != nil && at < q.until {
		return true
	}
	return slices.ContainsFunc(request.Parts, func(part Fingerprint) bool {
		q := t.quarantines[part]
		return q != nil && at < q.until && q.isVerified(part) && q.appliesTo(request)
	})
}

// Self returns the name of this process in reports.
func (t *Tracker) Self() string { return t.self }

// report queues a report for the other processes.
func (t *Tracker) report(report Report) {
	t.number++
	report.Entry, report.Number = t.self, t.number
	t.reports = append(t.reports, report)
}

// TakeReports returns the reports to send to the other processes since the last call.
func (t *Tracker) TakeReports() []Report {
	taken := t.reports
	t.reports = nil
	return taken
}

// TakeChanges returns the changes since the last call.
func (t *Tracker) TakeChanges() []Change {
	taken := t.changes
	t.changes = nil
	return taken
}

// RecordBrokenConnection records that the connection to a server broke before the answer to a
// request was complete. It counts only once the server is known to have crashed, because
// connections also break for other reasons. It reports whether the server should be checked.
func (t *Tracker) RecordBrokenConnection(server string, request Request, sentAt, now time.Duration) bool {
	t.expireBroken(now)
	connections := t.brokenConnections[server]
	if connections == nil {
		connections = &brokenConnections{checkedAt: now - checkInterval}
		t.brokenConnections[server] = connections
	}
	connections.requests = append(connections.requests, brokenRequest{request: request, sentAt: sentAt, brokenAt: now})
	connections.requests = connections.requests[max(0, len(connections.requests)-MaxSuspects):]
	if c := t.evidence.recentCrash(server, now); c != nil && sentAt < c.at {
		t.addSuspects(server, c.at)
		return false
	}
	if now-connections.checkedAt < checkInterval {
		return false
	}
	connections.checkedAt = now
	return true
}

func (t *Tracker) expireBroken(now time.Duration) {
	for server, connections := range t.brokenConnections {
		if connections.expire(now); len(connections.requests) == 0 {
			delete(t.brokenConnections, server)
		}
	}
}

// HasBrokenConnections reports whether connections to a server have recently broken without a known
// crash.
func (t *Tracker) HasBrokenConnections(server string, now time.Duration) bool {
	t.expireBroken(now)
	return t.brokenConnections[server] != nil
}

// RecordCrash records that a server has crashed without giving notice: its machine refuses
// connections, or another server runs at its address.
func (t *Tracker) RecordCrash(server string, now time.Duration) {
	if t.HasBrokenConnections(server, now) {
		requests := t.brokenConnections[server].requests
		t.addSuspects(server, requests[len(requests)-1].brokenAt)
	}
}

// addSuspects adds the requests whose connections broke to the suspects of a crash, and reports
// them. Those that broke long before the crash had another cause, such as connection resets over
// some time.
func (t *Tracker) addSuspects(server string, at time.Duration) {
	requests := t.brokenConnections[server].requests
	delete(t.brokenConnections, server)
	c := t.evidence.findOrAdd(server, at)
	var added []Suspect
	for _, broken := range requests {
		suspect := Suspect{Request: broken.request, SentBefore: max(0, c.at-broken.sentAt)}
		if (broken.brokenAt-at).Abs() <= sameCrashTolerance && t.evidence.add(c, suspect) {
			suspect.Request = c.suspects[suspect.Request.Fingerprint].Request
			added = append(added, suspect)
		}
	}
	if len(added) == 0 {
		return
	}
	t.report(Report{Kind: Crashed, At: c.at, Server: server, Suspects: added, Answered: t.takeAnswers(c)})
	t.reportAnswers(c)
	change := Change{Kind: Crashed, Server: server, Reporter: t.self, Parts: c.sortedParts()}
	for _, suspect := range added {
		change.Fingerprints = append(change.Fingerprints, suspect.Request.Fingerprint)
	}
	t.changes = append(t.changes, change)
}

// takeAnswers returns the parts under way at a crash that this process has seen answered before. The
// others are told with the crash.
func (t *Tracker) takeAnswers(c *crash) (answers []Answer) {
	underWay := map[Fingerprint]struct{}{}
	for part := range c.parts {
		underWay[part], underWay[anyPartOf(part.Scope)] = struct{}{}, struct{}{}
	}
	for _, part := range sorted(maps.Keys(underWay)) {
		at, answered := t.evidence.answered.at(part)
		if answered && at < c.at && len(answers) < MaxCrashParts {
			answers = append(answers, Answer{Part: part, Before: c.at - at})
			t.evidence.recordAnsweredElsewhere(part, at)
		}
	}
	return answers
}

// reportAnswers reports the answers of this process to the parts under way at a crash which count
// crashesForReport times or more for processes that do not know of the answers.
func (t *Tracker) reportAnswers(c *crash) {
	for _, part := range c.sortedParts() {
		if at, answered := t.evidence.answered.at(part); answered {
			t.reportAnswer(part, at, c.at)
		}
	}
}

// reportAnswer reports an answer to a part if that clears it of a crash, and crashesForReport or more
// count up to now.
func (t *Tracker) reportAnswer(part Fingerprint, at, now time.Duration) {
	clearedAt := t.evidence.clearedAt(part)
	if t.evidence.crashesSince(part, clearedAt, at) == 0 || t.evidence.crashesSince(part, clearedAt, now) < crashesForReport {
		return
	}
	t.evidence.recordCleared(part, at, false)
	t.report(Report{Kind: Cleared, At: at, Fingerprint: part})
}

// RecordAnswer records that a server has answered a request completely, so that neither it nor its parts
// crash servers.
func (t *Tracker) RecordAnswer(request Request, now time.Duration) {
	t.evidence.answered.add(request.Fingerprint, now)
	t.clearAndReport(request.Fingerprint, now)
	if request.Model != 0 {
		t.evidence.answered.add(anyPartOf(request.Model), now)
	}
	for _, part := range request.Parts {
		t.evidence.answered.add(part, now)
		q := t.quarantines[part]
		switch {
		case q != nil && q.appliesTo(request):
			t.clearAndReport(part, now)
		case t.evidence.clear(part, now):
			t.reportAnswer(part, now, now)
		}
	}
}

// Release lifts a quarantine on behalf of an operator, and reports whether there was any evidence
// against the fingerprint.
func (t *Tracker) Release(fingerprint Fingerprint, now time.Duration) bool {
	return t.clearAndReport(fingerprint, now)
}

// clearAndReport clears a fingerprint, and reports it to the other processes if there was any
// evidence against it.
func (t *Tracker) clearAndReport(fingerprint Fingerprint, at time.Duration) bool {
	counted, lifted := t.clear(fingerprint, at, t.self)
	if !counted && !lifted {
		return false
	}
	t.evidence.recordCleared(fingerprint, at, lifted)
	t.report(Report{Kind: Cleared, At: at, Fingerprint: fingerprint, LiftsQuarantine: lifted})
	return true
}

// clear removes the evidence against a fingerprint up to the given time. It returns whether crashes
// counted against it, and whether that lifted a quarantine.
func (t *Tracker) clear(fingerprint Fingerprint, at time.Duration, reporter string) (counted, lifted bool) {
	counted = t.evidence.clear(fingerprint, at)
	q := t.quarantines[fingerprint]
	lifted = q != nil && q.at <= at
	if lifted {
		delete(t.quarantines, fingerprint)
		t.changes = append(t.changes, Change{Kind: Cleared, Fingerprint: fingerprint, Reporter: reporter})
	}
	return counted, lifted
}

// ApplyReport applies a report of another process, or of an earlier incarnation of this one.
func (t *Tracker) ApplyReport(report Report, now time.Duration) {
	at := min(report.At, now)
	switch report.Kind {
	case Crashed:
		c := t.evidence.findOrAdd(report.Server, at)
		for _, answer := range report.Answered {
			t.evidence.recordAnsweredElsewhere(answer.Part, at-answer.Before)
		}
		for _, suspect := range report.Suspects {
			t.evidence.add(c, suspect)
		}
		if t.HasBrokenConnections(report.Server, now) {
			t.addSuspects(report.Server, c.at)
		}
		t.reportAnswers(c)
	case Cleared:
		t.applyCleared(report, at)
	case Quarantined:
		if at > t.clearedBefore(report.Fingerprint) && at+report.Duration > now {
			t.applyQuarantine(report.Fingerprint, &quarantine{
				at: at, until: at + report.Duration, round: report.Round, servers: report.Servers, reporter: report.Entry,
				companions: report.Companions, callers: report.Callers,
			}, now)
		}
	}
}

// applyCleared applies the report of an answer or a release. An answer to a part of a prompt lifts its
// quarantine only if the reporter says so: the part may be quarantined together with others, which the
// request that was answered did not have.
func (t *Tracker) applyCleared(report Report, at time.Duration) {
	if report.Fingerprint.Part && !report.LiftsQuarantine {
		t.evidence.clear(report.Fingerprint, at)
		t.evidence.recordCleared(report.Fingerprint, at, false)
		return
	}
	_, lifted := t.clear(report.Fingerprint, at, report.Entry)
	t.evidence.recordCleared(report.Fingerprint, at, lifted || report.LiftsQuarantine)
}

// clearedBefore returns the time up to which reports of a quarantine are void. A part of a prompt may be
// cleared by an answer that leaves its quarantine in force.
func (t *Tracker) clearedBefore(fingerprint Fingerprint) time.Duration {
	if fingerprint.Part {
		return t.evidence.liftedAt(fingerprint)
	}
	return t.evidence.clearedAt(fingerprint)
}

// Admit evaluates a request that is about to be sent. What the verdict suspects counts as under way from
// now on until EndTrial.
func (t *Tracker) Admit(request Request, now time.Duration) Verdict {
	verdict := t.Evaluate(request, now)
	if verdict.State == Suspected {
		t.trials[verdict.Fingerprint] = ""
	}
	return verdict
}

// SetTrialServer records the server to which a suspect is being sent.
func (t *Tracker) SetTrialServer(fingerprint Fingerprint, server string) {
	t.trials[fingerprint] = server
}

// EndTrial records that a suspect is no longer under way.
func (t *Tracker) EndTrial(fingerprint Fingerprint) { delete(t.trials, fingerprint) }

// TrialServers lists the servers at which suspects of this process are under way.
func (t *Tracker) TrialServers() []string {
	var servers []string
	for _, server := range t.trials {
		if server != "" {
			servers = append(servers, server)
		}
	}
	return servers
}
