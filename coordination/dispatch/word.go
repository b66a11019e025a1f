package dispatch

import (
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/health"
)

// wordCurrent is the age up to which an agent's word is trusted: four times the 0.3 s that words
// from other zones usually are old.
const wordCurrent = 1200 * time.Millisecond

// NoWord is the age of an agent's word that never came.
const NoWord = -time.Second

// heardWord is a word and when it was said.
type heardWord struct {
	Word
	at time.Time
	// lostAt is when it was first said that the server is not reached, of the words in a row that say so.
	lostAt time.Time
}

// agentWord is what the agent beside a server has told of it.
type agentWord struct {
	heardWord
	// seen is this entry's own part of the load that the word tells.
	seen counts
	// answeredAt is when the agent last answered a question of this entry.
	answeredAt time.Time
	// unansweredAt is when the agent last did not answer a question.
	unansweredAt time.Time
}

// current reports whether the agent's word is recent.
func (w *agentWord) current(now time.Time) bool {
	return !w.at.IsZero() && now.Sub(w.at) < wordCurrent
}

// counts reports whether what the agent counted can still be in the span that ends now.
func (w *agentWord) counts(now time.Time) bool {
	return w.current(now) && now.Sub(w.at) < admission.ColdWindow
}

// silent reports whether the server has an agent that has fallen silent.
func (w *agentWord) silent(now time.Time) bool {
	return !w.at.IsZero() && now.Sub(w.at) >= wordCurrent
}

func (w *agentWord) age(now time.Time) time.Duration {
	if w.at.IsZero() {
		return NoWord
	}
	return now.Sub(w.at)
}

// untilSwitch is the time until the server changes over; it counts only when that is planned.
func (w *agentWord) untilSwitch(now time.Time) time.Duration { return w.SwitchIn - now.Sub(w.at) }

// TakeWord notes an agent's word on its server and when it was said. It reports whether the word
// is news, and returns the server if it tells another version, or another reachability, of it.
func (c *Core) TakeWord(word Word, at time.Time) (news bool, changed *Candidate) {
	if c.words[word.Address].at.After(at) {
		// An answer to a question overtakes what is told all the time.
		return false, nil
	}
	if c.onFormerIncarnation(word, at) {
		return false, nil
	}
	if !word.Reachable {
		// The agent sees no request begin there: what waits could only grow.
		word.Waiting, word.UnreadTokens = 0, 0
	}
	former, heard := c.words[word.Address]
	fresh := heardWord{Word: word, at: at}
	if !word.Reachable {
		fresh.lostAt = at
		if heard && !former.Reachable && !former.Born.Differs(word.Born) {
			fresh.lostAt = former.lostAt
		}
	}
	c.words[word.Address] = fresh
	known := c.byAddress[word.Address]
	if known == nil {
		return true, nil
	}
	if known.aheadOfList(word, at) {
		return true, nil
	}
	if known.word.Reachable != word.Reachable || known.word.Version != word.Version {
		changed = known
	}
	known.word.heardWord = fresh
	known.word.seen = known.sends.seenAt(at)
	known.version = max(known.version, word.Version)
	c.noteCold(known)
	return true, changed
}

// Bounds of trust in births: a list and agents that go on telling different ones must not keep a server
// from being used.
const (
	// formerWordTime is how long words on a former incarnation may come late: as long as agents' words
	// are passed on.
	formerWordTime = 10 * time.Second
	// aheadTime is how long the list may take to name an incarnation that an agent knows: a line is
	// written at the start, and reaches entries within a second.
	aheadTime = 2 * time.Second
)

// onFormerIncarnation reports whether a word is on a life of its server that is over, by what the list or a
// later word has lately told.
func (c *Core) onFormerIncarnation(word Word, at time.Time) bool {
	if held := c.words[word.Address]; word.Born.Before(held.Born) && at.Sub(held.at) < formerWordTime {
		return true
	}
	known := c.byAddress[word.Address]
	return known != nil && word.Born.Before(known.listing.server.Born) && at.Sub(known.listing.since) < formerWordTime
}

// aheadOfList reports whether a word is on an incarnation that the list does not name yet. The one that it
// names gets nothing until the list follows, or has had the time for that.
func (k *Candidate) aheadOfList(word Word, at time.Time) bool {
	if !k.listing.server.Born.Before(word.Born) {
		return false
	}
	if k.listing.next != word.Born {
		k.listing.next, k.listing.endedTill = word.Born, at.Add(aheadTime)
	}
	return at.Before(k.listing.endedTill)
}

// Suspect reports whether there is evidence against a server beside its own silence, for a request
// that was sent there at a time.
func (c *Core) Suspect(k *Candidate, sentAt, now time.Time) bool {
	onTrial := c.health.OnLostTrial(k.ID, c.since(sentAt), c.since(k.word.lostAt))
	return k.word.silent(now) || (c.lost(k, now) && !onTrial) ||
		(c.health.Mute(k.ID, c.since(sentAt)) && c.hasOther(k, now))
}

// hasOther reports whether the service of a server has another one that is sent ordinary requests.
func (c *Core) hasOther(k *Candidate, now time.Time) bool {
	return slices.ContainsFunc(c.byService[k.listing.server.Service], func(other *Candidate) bool {
		state := c.health.State(other.ID, c.since(now))
		return other != k && !c.Leaving(other) && (state == health.InOrder || state == health.Suspect)
	})
}

// outstanding estimates how many requests the server holds.
func (k *Candidate) outstanding(now time.Time) int {
	if !k.word.current(now) || !k.word.Reachable {
		return k.sends.inFlight
	}
	others := max(0, k.word.Running+k.word.Waiting-k.word.seen.inFlight)
	return others + k.sends.inFlight
}
