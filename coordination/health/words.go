package health

import "time"

// Weights and limits of reports from other entries.
const (
	// peerEvidenceWeight is the weight of another entry's evidence relative to this entry's own:
	// the fault may lie between that entry and the server.
	peerEvidenceWeight = 0.5
	// maxPeerEvidence keeps other entries' evidence alone from ejecting a server.
	maxPeerEvidence = ejectThreshold - 1.5
	// sameEjectionTolerance is the largest difference between the times at which two entries place
	// the same ejection: the milliseconds that a report spends in transit add to it. It is less
	// than baseEjection, so that two ejections can be told apart.
	sameEjectionTolerance = 150 * time.Millisecond
	// peerEvidenceTTL is how long another entry's evidence counts, with a weight that falls to 0.
	peerEvidenceTTL = 3 * time.Second
	// maxPeerEjectedRatio is the largest ratio of a service's servers, but at least one server,
	// that one other entry may eject here at a time. An entry whose own connections fail regards
	// many servers as failing. If two entries agree, the limit does not apply.
	maxPeerEjectedRatio = 0.125
	// disputedEvidence is the evidence recorded for a reported ejection that is not accepted here.
	// It makes the server suspect.
	disputedEvidence = ejectThreshold + 1
)

// Report is what an entry announces to the others of its zone about one server. All times are ages
// and durations, so that clocks need not agree.
type Report struct {
	Server string
	// Entry is the entry that made the observation.
	Entry string
	// Ejected servers are sent nothing for Remaining, and trials after that. For others Evidence is
	// the entry's evidence against the server, 0 after its return.
	Ejected  bool
	Returned bool
	Evidence float64
	// Failed and Served count the entry's attempts since its failure period began, FailureAge ago,
	// with exponential decay. StateAge is how long the state has lasted.
	Failed     float64
	Served     float64
	FailureAge time.Duration
	StateAge   time.Duration
	Remaining  time.Duration
	Round      int
	// TrialOpen is set while a trial is in progress.
	TrialOpen bool
	// Unresponsive is set for a server that does not answer.
	Unresponsive bool
	// AnswerAge is the age of the server's last answer to the entry, LostTrialAge that of the
	// entry's last trial of it as a lost server; 0 if there was none recently.
	AnswerAge    time.Duration
	LostTrialAge time.Duration
}

// peerEvidence is another entry's evidence against a server.
type peerEvidence struct {
	evidence       float64
	failed, served float64
	updatedAt      time.Duration
}

// queueReport queues a report for the other entries. After the end of a failure period it contains
// no counts: other entries would take the remaining counts for new failures, and count successes
// against them.
func (t *Tracker) queueReport(server string, rec *record, now time.Duration) {
	report := Report{
		Server: server, Entry: t.self, Ejected: rec.ejected, Returned: !rec.ejected && rec.changedAt == now,
		StateAge: now - rec.changedAt, Remaining: rec.ejectedUntil - now, Round: rec.round,
		TrialOpen: rec.trialOpen, Unresponsive: rec.unresponsive, AnswerAge: recentAge(rec.servedAt, now), LostTrialAge: recentAge(rec.lost.ownTrialAt, now),
	}
	if rec.failurePeriodActive(now) || rec.ejected {
		report.Failed, report.Served, report.FailureAge = rec.failurePeriod.failed, rec.failurePeriod.served, now-rec.failurePeriod.startedAt
		report.Evidence = rec.ownEvidence(now)
	}
	t.reports = append(t.reports, report)
	rec.lost.reportedAt = max(rec.lost.reportedAt, rec.servedAt)
}

// TakeReports returns the reports to the other entries since the last call.
func (t *Tracker) TakeReports() []Report {
	taken := t.reports
	t.reports = nil
	return taken
}

// ApplyReport applies a report that another entry made at a time, and returns the change that it
// causes.
func (t *Tracker) ApplyReport(report Report, at, now time.Duration) (Change, bool) {
	if report.Entry == t.self {
		return Change{}, false
	}
	report, at = report.clamped(), min(at, now)
	rec := t.servers[report.Server]
	if rec == nil {
		t.addPending(pendingReport{report: report, at: at})
		return Change{}, false
	}
	rec.applyLostReport(report, at)
	if report.confirmationOnly() {
		return Change{}, false
	}
	changedAt := at - report.StateAge
	switch {
	case report.Ejected:
		return t.applyEjection(rec, report, at, changedAt, now)
	case report.Returned:
		return t.applyRecovery(rec, report, changedAt, now)
	}
	rec.beginFailurePeriod(at-report.FailureAge, at)
	rec.recordPeerEvidence(report, at)
	return Change{}, false
}

// maxPendingReports is the number of reports on unlisted servers that are kept.
const maxPendingReports = 64

// pendingReport is a report on a server that was not listed when it arrived: an entry that starts
// may receive health reports before the list of servers.
type pendingReport struct {
	report Report
	at     time.Duration
}

func (t *Tracker) addPending(pending pendingReport) {
	t.pending = append(t.pending, pending)
	if len(t.pending) > maxPendingReports {
		t.pending = t.pending[1:]
	}
}

// applyPending applies the reports on servers that have been listed since.
func (t *Tracker) applyPending() []Change {
	var kept []pendingReport
	var changes []Change
	for _, one := range t.pending {
		if t.servers[one.report.Server] == nil {
			kept = append(kept, one)
			continue
		}
		if change, changed := t.ApplyReport(one.report, one.at, one.at); changed {
			changes = append(changes, change)
		}
	}
	t.pending = kept
	return changes
}

// recordPeerEvidence stores another entry's evidence. Above maxPeers, the oldest is dropped.
func (r *record) recordPeerEvidence(report Report, updatedAt time.Duration) {
	if _, known := r.peerEvidence[report.Entry]; !known && len(r.peerEvidence) >= maxPeers {
		oldest := report.Entry
		oldestAt := updatedAt
		for entry, one := range r.peerEvidence {
			if one.updatedAt < oldestAt || (one.updatedAt == oldestAt && entry < oldest) {
				oldest, oldestAt = entry, one.updatedAt
			}
		}
		delete(r.peerEvidence, oldest)
		if oldest == report.Entry {
			return
		}
	}
	r.peerEvidence[report.Entry] = peerEvidence{evidence: report.Evidence, failed: report.Failed, served: report.Served, updatedAt: updatedAt}
}

// peerSum returns what the other entries add to the evidence.
func (r *record) peerSum(now time.Duration) float64 { return r.peerSumExcept("", now) }

// peerSumExcept is peerSum without one entry.
func (r *record) peerSumExcept(entry string, now time.Duration) float64 {
	sum := 0.0
	for reporter, one := range r.peerEvidence {
		if age := now - one.updatedAt; reporter != entry && age < peerEvidenceTTL {
			sum += peerEvidenceWeight * one.evidence * (1 - max(0, float64(age)/float64(peerEvidenceTTL)))
		}
	}
	return min(sum, maxPeerEvidence)
}

// applyEjection applies a reported ejection, or an update of one that is already known.
func (t *Tracker) applyEjection(rec *record, report Report, at, changedAt, now time.Duration) (Change, bool) {
	if rec.ejected {
		if until := at + report.Remaining; changedAt > rec.changedAt || until > rec.ejectedUntil {
			if report.Round > rec.round || changedAt-rec.changedAt > sameEjectionTolerance {
				rec.trialOpen, rec.ownTrial = false, false
			}
			rec.ejectedUntil, rec.round, rec.changedAt = max(rec.ejectedUntil, until), max(rec.round, report.Round), max(rec.changedAt, changedAt)
			rec.unresponsive = report.Unresponsive
		}
		rec.applyTrial(report, at)
		return Change{}, false
	}
	if changedAt <= rec.changedAt {
		return Change{}, false
	}
	if !t.acceptsEjection(rec, report, at) {
		return Change{}, false
	}
	from := t.State(report.Server, now)
	t.removeFromBaseline(rec, now)
	rec.ejected, rec.reporter, rec.changedAt, rec.ejectedUntil = true, report.Entry, changedAt, at+report.Remaining
	rec.round, rec.unresponsive = max(rec.round, report.Round), report.Unresponsive
	rec.trialOpen, rec.ownTrial = false, false
	rec.applyTrial(report, at)
	return Change{Server: report.Server, From: from, To: Ejected, Reporter: report.Entry, Duration: rec.ejectedUntil - now, Round: rec.round}, true
}

// applyTrial updates the state of a trial that another entry runs.
func (r *record) applyTrial(report Report, at time.Duration) {
	if at < r.ejectedUntil || r.ownTrial {
		return
	}
	r.trialOpen = report.TrialOpen
	if report.TrialOpen {
		r.trialAt = at
	}
}

// acceptsEjection reports whether another entry's ejection applies here too.
func (t *Tracker) acceptsEjection(rec *record, report Report, at time.Duration) bool {
	corroborated := rec.ownEvidence(at)+rec.peerSumExcept(report.Entry, at) >= suspectThreshold
	rec.beginFailurePeriod(at-report.FailureAge, at)
	report.Evidence = disputedEvidence
	rec.recordPeerEvidence(report, at)
	if !rec.mostlyFails(0, at) || !t.mayEjectMore(rec.service) {
		return false
	}
	if corroborated {
		return true
	}
	servers := t.services[rec.service].servers
	ejected := 0
	for _, id := range servers {
		if other := t.servers[id]; other != nil && other.service == rec.service && other.ejected && other.reporter == report.Entry {
			ejected++
		}
	}
	return ejected < max(1, int(maxPeerEjectedRatio*float64(len(servers))))
}

// applyRecovery applies a report that an ejected server has passed its trial.
func (t *Tracker) applyRecovery(rec *record, report Report, changedAt, now time.Duration) (Change, bool) {
	if !rec.ejected || changedAt <= rec.changedAt {
		return Change{}, false
	}
	from := t.State(report.Server, now)
	rec.restore(now)
	rec.changedAt = changedAt
	return Change{Server: report.Server, From: from, To: Healthy, Reporter: report.Entry, Round: rec.round}, true
}
