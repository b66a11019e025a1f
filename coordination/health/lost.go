package health

import "time"

// A server is lost while its agent can't reach it, whatever its answers to the entries show. An
// answer to any entry of the zone since the loss outweighs the agent in the whole zone: the server
// stays in use as long as some entry is served there once every confirmationTTL. Without requests
// in flight that could be answered, it is tried with one repeatable request at a time.
//
// In a fleet that is short of capacity this keeps servers in use whose agents are wrong: they get a
// normal share of the requests instead of 3 to 7 of 900 (TestServerThatIsFalselyIllStaysInUse). The
// cost where servers are really down is limited by attemptsPerLostTrial and the pauses below
// (TestCostOfLostServers).

// Durations and limits for lost servers.
const (
	// confirmationTTL is how long an answer outweighs an agent that can't reach its server.
	confirmationTTL = 2 * time.Second
	// confirmationInterval is the shortest time between two reports to the zone that a lost server
	// has answered. It is short enough that one report may be lost without the confirmation
	// expiring.
	confirmationInterval = confirmationTTL / 4
	// lostTrialDelay is the time from a loss, or from the last answer, to the first trial. Requests
	// already in flight may show within it whether the server serves.
	lostTrialDelay = 250 * time.Millisecond
	// maxLostTrialPause limits the pause between two trials. The pause is the time that the server
	// had gone without an answer at the last trial, but at least trialTimeout: a server that is
	// down costs the zone about four requests in the first 7 s and then one in 8 s.
	maxLostTrialPause = 8 * time.Second
	// lostTurn is the length of one entry's turn to begin the trial of a lost server. In the last
	// lostTurnGuard of its turn an entry may not begin one, so that its report reaches the next entry
	// first. trialTurn is too short here: a trial may have been due for a while when an entry learns
	// of the loss, so that its first request comes at any time of a turn and not at its beginning.
	lostTurn      = 600 * time.Millisecond
	lostTurnGuard = 200 * time.Millisecond
	// attemptsPerLostTrial is the smallest number of attempts at a service that an entry makes for
	// each trial of one of its lost servers, so that the loss of a large part of a fleet costs
	// callers no more than that ratio of attempts.
	attemptsPerLostTrial = 20
	// recentWindow is the age up to which answers and trials are reported. Older ones have no
	// effect.
	recentWindow = 2 * maxLostTrialPause
)

// lostState decides whether a lost server is sent requests. Whether and since when it is lost is
// known from its agent's status reports, which are stored elsewhere.
type lostState struct {
	// answeredAt is the last known answer to any entry of the zone, reportedAt the last one that
	// was reported in the zone.
	answeredAt time.Duration
	reportedAt time.Duration
	// trialAt is the zone's last trial, ownTrialAt this entry's.
	trialAt    time.Duration
	ownTrialAt time.Duration
	// resetAt is when another server took the name. Earlier observations do not count.
	resetAt time.Duration
	turns   turnOrder
}

func newLostState() lostState {
	return lostState{answeredAt: distantPast, reportedAt: distantPast, trialAt: distantPast, ownTrialAt: distantPast, resetAt: distantPast}
}

// Confirmed reports whether a server has served an attempt in the zone recently, after its agent
// lost it, and has not failed an attempt of this entry since. This outweighs the agent's status
// report.
func (t *Tracker) Confirmed(server string, lostAt, now time.Duration) bool {
	rec := t.servers[server]
	return rec != nil && !rec.ejected && rec.lost.answeredAt > max(rec.failedAt, lostAt) && now-rec.lost.answeredAt <= confirmationTTL
}

// MayBeginLostTrial reports whether this entry may send a lost server a trial now.
func (t *Tracker) MayBeginLostTrial(server string, lostAt, now time.Duration) bool {
	rec := t.servers[server]
	return rec != nil && t.services[rec.service].attemptsSinceLostTrial >= attemptsPerLostTrial && t.MayBeginLostTrialUnlimited(server, lostAt, now)
}

// MayBeginLostTrialUnlimited is MayBeginLostTrial without attemptsPerLostTrial, for a server whose
// service has no other server to send requests to: there are no attempts to count, and any request
// that is not a trial is refused.
func (t *Tracker) MayBeginLostTrialUnlimited(server string, lostAt, now time.Duration) bool {
	rec := t.servers[server]
	if rec == nil {
		return false
	}
	if rec.ejected && (now < rec.ejectedUntil || rec.trialActive(now)) {
		return false
	}
	begin, due := rec.nextLostTrial(lostAt)
	if now < due || (now-due)%lostTurn >= lostTurn-lostTurnGuard {
		return false
	}
	// Entries derive the same trial number without exchanging messages, except for those that
	// compute it near the boundary between two numbers.
	number := int((due - begin) / trialTimeout)
	return t.isOwnTurn(&rec.lost.turns, server+"/lost", number, int((now-due)/lostTurn))
}

// nextLostTrial returns since when the server has not answered, and when the next trial is due.
// If the server is ejected, answers to other entries do not count, because the failure must be
// cleared at this entry.
func (r *record) nextLostTrial(lostAt time.Duration) (begin, due time.Duration) {
	answeredAt := r.lost.answeredAt
	if r.ejected {
		answeredAt = r.servedAt
	}
	begin = max(lostAt, answeredAt)
	due = begin + lostTrialDelay
	if r.lost.trialAt > answeredAt {
		// The trial may also be from before the loss, if the agent has reached the server and lost
		// it again since.
		due = max(due, r.lost.trialAt+clampDuration(r.lost.trialAt-begin, trialTimeout, maxLostTrialPause))
	}
	return begin, due
}

// BeginLostTrial records that this entry sends a lost server its trial.
func (t *Tracker) BeginLostTrial(server string, now time.Duration) {
	rec := t.servers[server]
	if rec == nil {
		return
	}
	t.services[rec.service].attemptsSinceLostTrial = 0
	rec.lost.trialAt, rec.lost.ownTrialAt = now, now
	if !t.BeginTrial(server, now) {
		t.queueReport(server, rec, now)
	}
}

// IsLostTrial reports whether a request is the unanswered trial of a lost server. Such a request
// need not be given up because the server is lost.
func (t *Tracker) IsLostTrial(server string, sent, lostAt time.Duration) bool {
	rec := t.servers[server]
	return rec != nil && rec.isLostTrial(sent, lostAt)
}

func (r *record) isLostTrial(sent, lostAt time.Duration) bool {
	began := r.lost.ownTrialAt
	return began > max(lostAt, r.lost.answeredAt) && sent >= began
}

// needsConfirmationReport reports whether the zone must be informed that a lost server has served
// an attempt.
func (r *record) needsConfirmationReport(attempt Attempt, now time.Duration) bool {
	return attempt.Lost && r.lost.reportedAt <= max(attempt.LostAt, now-confirmationInterval)
}

// applyLostReport applies another entry's last answer from the server and its last trial of it as a
// lost server.
func (r *record) applyLostReport(report Report, at time.Duration) {
	if answered := at - report.AnswerAge; report.AnswerAge > 0 && answered > r.lost.resetAt {
		r.lost.answeredAt, r.lost.reportedAt = max(r.lost.answeredAt, answered), max(r.lost.reportedAt, answered)
	}
	if tried := at - report.LostTrialAge; report.LostTrialAge > 0 && tried > r.lost.resetAt {
		r.lost.trialAt = max(r.lost.trialAt, tried)
	}
}

// confirmationOnly reports whether a report contains no failures and no ejection.
func (r Report) confirmationOnly() bool {
	return !r.Ejected && !r.Returned && r.Evidence == 0 && r.Failed == 0 && r.Served == 0
}

// recentAge returns the age of an event, or 0 if it is older than recentWindow.
func recentAge(at, now time.Duration) time.Duration {
	if now-at > recentWindow {
		return 0
	}
	return max(now-at, time.Millisecond)
}
