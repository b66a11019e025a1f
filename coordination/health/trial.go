package health

import (
	"strconv"
	"time"

	"pinevane.example/pinevane/coordination/placement"
)

// An ejected server returns through a trial request. The alternatives are worse: a server's own
// health check may be the very thing that is wrong, waits for a slot like a request and has a cost,
// and an agent's status report takes another path than requests do. The cheapest trial for callers
// is one repeatable request, sent by one entry of the zone at a time.

// MayBeginTrial reports whether this entry may now send a request to a server on trial: no other
// request of the zone is its trial, and it is this entry's turn. A request that must not be
// repeated may become a trial only after repeatableTrialWait without another one.
func (t *Tracker) MayBeginTrial(server string, repeatable bool, now time.Duration) bool {
	rec := t.servers[server]
	if rec == nil || !rec.ejected || now < rec.ejectedUntil {
		return false
	}
	if rec.trialActive(now) {
		return false
	}
	if !repeatable && now-max(rec.ejectedUntil, rec.trialAt) < repeatableTrialWait {
		return false
	}
	return t.hasTrialTurn(server, rec, now)
}

// hasTrialTurn reports whether it is this entry's turn to begin a trial. The zone's entries take
// turns in an order that depends on the server. They need no messages to agree on it, because the
// end of the ejection was reported to all of them.
func (t *Tracker) hasTrialTurn(server string, rec *record, now time.Duration) bool {
	return t.isOwnTurn(&rec.turns, server, rec.round, int((now-rec.ejectedUntil)/trialTurn))
}

// turnOrder caches the order of the zone's entries in the trials of a round, because each request
// needs it. It is empty after the members of the zone have changed.
type turnOrder struct {
	order []string
	round int
}

// isOwnTurn reports whether a turn, counted from 0, is this entry's.
func (t *Tracker) isOwnTurn(kept *turnOrder, name string, round, turn int) bool {
	if len(t.members) < 2 {
		return true
	}
	if kept.order == nil || kept.round != round {
		*kept = turnOrder{order: placement.Rank(name+"/"+strconv.Itoa(round), t.members), round: round}
	}
	return kept.order[turn%len(kept.order)] == t.self
}

// BeginTrial records that this entry sends a request to a server, and reports whether it is the
// server's trial. A request that is sent to a server on trial for lack of others, while a trial is
// open, is not.
func (t *Tracker) BeginTrial(server string, now time.Duration) bool {
	rec := t.servers[server]
	if rec == nil || !rec.ejected || now < rec.ejectedUntil || rec.trialActive(now) {
		return false
	}
	rec.trialAt, rec.trialOpen, rec.ownTrial = now, true, true
	t.queueReport(server, rec, now)
	return true
}

// trialActive reports whether a trial of the zone is in progress.
func (r *record) trialActive(now time.Duration) bool {
	return r.trialOpen && now-r.trialAt < trialTimeout
}

// EndTrial records that this entry's trial has ended without a result.
func (t *Tracker) EndTrial(server string, now time.Duration) {
	rec := t.servers[server]
	if rec == nil || !rec.ownTrial {
		return
	}
	rec.trialOpen, rec.ownTrial = false, false
	t.queueReport(server, rec, now)
}
