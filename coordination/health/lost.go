package health

import "time"

// A server that only the agent beside it does not reach is lost. Its own answers outweigh the agent,
// in the whole zone, if they have come since the loss: in use it is as long as some entry is served
// there every provenTime. Where nothing is under way that could answer, one request that may be
// repeated tries it at a time.
//
// What it buys: a fleet that is short of places keeps servers whose agents err, with a share of the
// requests like that of others instead of 3 to 7 of 900 (TestServerThatIsFalselyIllStaysInUse). What
// it costs where the servers are really down is bounded by attemptsPerLostTrial and the pauses below
// (TestCostOfLostServers).

// Times and bounds of lost servers.
const (
	// provenTime is for how long an answer outweighs an agent that does not reach its server.
	provenTime = 2 * time.Second
	// provenPace is how often the zone is told at the most that a lost server has answered: often
	// enough that one word may be missed, and a proof holds on.
	provenPace = provenTime / 4
	// firstLostTrial is the time from a loss, or the last answer, to the first trial: what is under
	// way then may show without one whether the server serves.
	firstLostTrial = 250 * time.Millisecond
	// longestLostPause bounds the pause between two trials, which is as long as the server has been
	// without an answer until the last one, but trialLimit at the least: a server that is down costs
	// the zone some four requests in the first 7 s and one in 8 s then.
	longestLostPause = 8 * time.Second
	// lostTurn is how long each entry in turn may begin a trial, and lostTurnEnd the part at its end in
	// which it may not, so that the word of a trial reaches the next entry first. A turn of trialTurn
	// would not do: a trial may be due for long when an entry hears of the loss, so that its first
	// request comes at any time of a turn, and not at the beginning.
	lostTurn    = 600 * time.Millisecond
	lostTurnEnd = 200 * time.Millisecond
	// attemptsPerLostTrial is how many attempts at a service an entry makes at the least for each
	// trial of a lost server of it, so that the loss of a large part of a fleet costs callers no
	// more than one attempt in so many.
	attemptsPerLostTrial = 20
	// latelyTime is the age up to which answers and trials are told: an older one changes nothing.
	latelyTime = 2 * longestLostPause
)

// lostRecord is what decides whether a lost server is sent requests. That it is lost, and since when,
// its agent's words tell, which are kept elsewhere.
type lostRecord struct {
	// answeredAt is the last answer to any entry of the zone, as far as that is known, toldAt the
	// last one that the zone knows of.
	answeredAt time.Duration
	toldAt     time.Duration
	// trialAt is the zone's last trial, ownTrialAt this entry's.
	trialAt    time.Duration
	ownTrialAt time.Duration
	// renewedAt is since when the server has its name: what was before does not count.
	renewedAt time.Duration
	turns     turns
}

func newLostRecord() lostRecord {
	return lostRecord{answeredAt: longAgo, toldAt: longAgo, trialAt: longAgo, ownTrialAt: longAgo, renewedAt: longAgo}
}

// Confirmed reports whether a server has served an attempt in the zone lately, after it was said not
// to be reached, and failed none of this entry's since. That outweighs what its agent says.
func (t *Tracker) Confirmed(server string, lostAt, now time.Duration) bool {
	held := t.servers[server]
	return held != nil && !held.ejected && held.lost.answeredAt > max(held.failedAt, lostAt) && now-held.lost.answeredAt <= provenTime
}

// MayBeginLostTrial reports whether this entry may send a lost server a trial now.
func (t *Tracker) MayBeginLostTrial(server string, lostAt, now time.Duration) bool {
	held := t.servers[server]
	return held != nil && t.services[held.service].sinceLostTrial >= attemptsPerLostTrial && t.MayBeginLostTrialUnlimited(server, lostAt, now)
}

// MayBeginLostTrialUnlimited is MayTryLost for a server of a service that has no other to send requests to: there
// are no attempts to count, and a request that is no trial is refused.
func (t *Tracker) MayBeginLostTrialUnlimited(server string, lostAt, now time.Duration) bool {
	held := t.servers[server]
	if held == nil {
		return false
	}
	if held.ejected && (now < held.till || held.trying(now)) {
		return false
	}
	begin, due := held.lostTrialDue(lostAt)
	if now < due || (now-due)%lostTurn >= lostTurn-lostTurnEnd {
		return false
	}
	// Entries agree on a number of the trial without a message, but for those that find it out
	// around a limit of two.
	number := int((due - begin) / trialLimit)
	return t.turnIn(&held.lost.turns, server+"/lost", number, int((now-due)/lostTurn))
}

// lostTrialDue is when the next trial may begin, and since when the server has shown nothing. Where it is
// ejected, answers to other entries do not count: what has failed here is found out here.
func (r *record) lostTrialDue(lostAt time.Duration) (begin, due time.Duration) {
	answeredAt := r.lost.answeredAt
	if r.ejected {
		answeredAt = r.servedAt
	}
	begin = max(lostAt, answeredAt)
	due = begin + firstLostTrial
	if r.lost.trialAt > answeredAt {
		// Also one from before the loss, if the agent has found the server and lost it anew since.
		due = max(due, r.lost.trialAt+clamp(r.lost.trialAt-begin, trialLimit, longestLostPause))
	}
	return begin, due
}

// BeginLostTrial notes that this entry sends a lost server its trial.
func (t *Tracker) BeginLostTrial(server string, now time.Duration) {
	held := t.servers[server]
	if held == nil {
		return
	}
	t.services[held.service].sinceLostTrial = 0
	held.lost.trialAt, held.lost.ownTrialAt = now, now
	if !t.BeginTrial(server, now) {
		t.tell(server, held, now)
	}
}

// IsLostTrial reports whether a request was sent to a lost server as its trial, which has not been
// answered: it need not be given up because the server is lost.
func (t *Tracker) IsLostTrial(server string, sent, lostAt time.Duration) bool {
	held := t.servers[server]
	return held != nil && held.onLostTrial(sent, lostAt)
}

func (r *record) onLostTrial(sent, lostAt time.Duration) bool {
	began := r.lost.ownTrialAt
	return began > max(lostAt, r.lost.answeredAt) && sent >= began
}

// provesAnew reports whether the zone is to be told that a lost server has served an attempt.
func (r *record) provesAnew(attempt Attempt, now time.Duration) bool {
	return attempt.Lost && r.lost.toldAt <= max(attempt.LostAt, now-provenPace)
}

// hearLost takes in what another entry has seen of a server that may be lost.
func (r *record) hearLost(word Report, at time.Duration) {
	if answered := at - word.AnswerAge; word.AnswerAge > 0 && answered > r.lost.renewedAt {
		r.lost.answeredAt, r.lost.toldAt = max(r.lost.answeredAt, answered), max(r.lost.toldAt, answered)
	}
	if tried := at - word.LostTrialAge; word.LostTrialAge > 0 && tried > r.lost.renewedAt {
		r.lost.trialAt = max(r.lost.trialAt, tried)
	}
}

// onlyProof reports whether a word says nothing of failures or ejections.
func (w Report) onlyProof() bool {
	return !w.Ejected && !w.Returned && w.Evidence == 0 && w.Failed == 0 && w.Served == 0
}

// lately is the age of something that has happened, 0 if that is long ago.
func lately(at, now time.Duration) time.Duration {
	if now-at > latelyTime {
		return 0
	}
	return max(now-at, time.Millisecond)
}
