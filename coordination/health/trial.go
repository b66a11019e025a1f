package health

import (
	"strconv"
	"time"

	"pinevane.example/pinevane/coordination/placement"
)

// A server returns by trials. Other ways to find out were weighed: a server's health check is
// what may be false, waits for a place as a request does, and is priced; an agent's report
// comes by another way than requests do. What costs a caller least is one request that may be
// sent again, at one entry of the zone at a time.

// MayBeginTrial reports whether this entry may send a server on trial a request now. It has no other
// request of the zone, and it is this entry's turn. A request that must not be repeated is a
// trial only when no other has come for trialPatience.
func (t *Tracker) MayBeginTrial(server string, repeatable bool, now time.Duration) bool {
	held := t.servers[server]
	if held == nil || !held.ejected || now < held.till {
		return false
	}
	if held.trying(now) {
		return false
	}
	if !repeatable && now-max(held.till, held.trialAt) < trialPatience {
		return false
	}
	return t.hasTurn(server, held, now)
}

// hasTurn reports whether the turn of trials has come to this entry. The zone's entries take
// turns in an order of their own for each server, and agree on it without a message: the end
// of an ejection was told to all of them.
func (t *Tracker) hasTurn(server string, held *record, now time.Duration) bool {
	return t.turnIn(&held.turns, server, held.round, int((now-held.till)/trialTurn))
}

// turns is the order of the zone's entries in the trials of a round, kept because each request
// asks for it; nil when the zone has changed.
type turns struct {
	order []string
	round int
}

// turnIn reports whether a turn, counted from 0 on, is this entry's.
func (t *Tracker) turnIn(kept *turns, name string, round, turn int) bool {
	if len(t.members) < 2 {
		return true
	}
	if kept.order == nil || kept.round != round {
		*kept = turns{order: placement.Rank(name+"/"+strconv.Itoa(round), t.members), round: round}
	}
	return kept.order[turn%len(kept.order)] == t.self
}

// BeginTrial notes that this entry sends a server a request, and reports whether it is the server's
// trial: a request that goes to a server on trial for want of others, beside an open trial, is none.
func (t *Tracker) BeginTrial(server string, now time.Duration) bool {
	held := t.servers[server]
	if held == nil || !held.ejected || now < held.till || held.trying(now) {
		return false
	}
	held.trialAt, held.trialOpen, held.ownTrial = now, true, true
	t.tell(server, held, now)
	return true
}

// trying reports whether a trial of the zone is under way.
func (r *record) trying(now time.Duration) bool { return r.trialOpen && now-r.trialAt < trialLimit }

// EndTrial notes that this entry's trial has ended without showing anything.
func (t *Tracker) EndTrial(server string, now time.Duration) {
	held := t.servers[server]
	if held == nil || !held.ownTrial {
		return
	}
	held.trialOpen, held.ownTrial = false, false
	t.tell(server, held, now)
}
