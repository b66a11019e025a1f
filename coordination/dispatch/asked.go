package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/incarnation"
)

// asked is what a server has asked for in its answers, beside a rate.
type asked struct {
	// leaving is set once an answer has said that the server is about to end. It holds for that life of the
	// server: neither an older line nor a later answer takes it back.
	leaving bool
	// restUntil is until when it wants nothing from this entry.
	restUntil time.Time
}

// SawLeaving notes that an answer has said that its server is about to end, and returns what that changes.
func (c *Core) SawLeaving(k *Candidate) (change Change, news bool) {
	news = !c.Leaving(k)
	k.asked.leaving = true
	return Change{Kind: ServerLeaving, Candidate: k, InFlight: k.sends.inFlight}, news
}

// SawRest notes that a server which has turned a request away wants nothing from this entry for a while, and
// reports whether it wanted something until now. A shorter rest asked for later does not end a longer one:
// answers overtake each other.
func (c *Core) SawRest(k *Candidate, lasts time.Duration, now time.Time) (news bool) {
	news = !k.asked.rests(now)
	k.asked.restUntil = later(k.asked.restUntil, now.Add(lasts))
	return news
}

// Unwilling reports whether a server wants nothing more from this entry, for good or for now.
func (c *Core) Unwilling(k *Candidate, now time.Time) bool {
	return c.Leaving(k) || k.asked.rests(now)
}

// Ask is what a server asks of all entries in its answers, as these tell each other.
type Ask struct {
	Server string
	Born   incarnation.Born
	// Leaving is set when the server is about to end.
	Leaving bool
	// Limited is set while the server names a rate, PerSecond.
	Limited   bool
	PerSecond float64
}

// AskOf is what a server asks of all entries now.
func (c *Core) AskOf(k *Candidate) Ask {
	return Ask{
		Server: k.ID, Born: k.listing.server.Born, Leaving: k.asked.leaving, Limited: k.limit.inForce(), PerSecond: k.limit.perSecond,
	}
}

// HearAsk takes in what a server has asked of another entry at a time. One on a server that is not listed is kept
// until it is: an entry that starts may hear it before the list.
func (c *Core) HearAsk(ask Ask, at, now time.Time) (limit LimitNews, leaving bool) {
	k := c.byID[ask.Server]
	switch {
	case k == nil:
		c.keepAsk(ask, at, now)
		return LimitNews{}, false
	case k.listing.server.Born.Differs(ask.Born):
		return LimitNews{}, false
	}
	return c.takeAsk(k, ask, at, now)
}

// takeAsk notes a word on a server. One that it leaves says nothing of its limit, which the teller may not know.
func (c *Core) takeAsk(k *Candidate, ask Ask, at, now time.Time) (limit LimitNews, leaving bool) {
	switch {
	case ask.Leaving:
		_, leaving = c.SawLeaving(k)
		return LimitNews{}, leaving
	case ask.Limited:
		return c.SawLimit(k, ask.PerSecond, at, now), false
	}
	return c.SawNoLimit(k, at, now), false
}

// keepAsk holds a word on a server that is not listed yet, or no more.
func (c *Core) keepAsk(ask Ask, at, now time.Time) {
	held, found := c.kept[ask.Server]
	if !found {
		held = keptServer{born: ask.Born, sent: *admission.NewWindow(admission.LimitWindow)}
	}
	if held.born.Differs(ask.Born) {
		return
	}
	unlisted := &Candidate{ID: ask.Server, limit: held.limit, asked: held.asked}
	c.takeAsk(unlisted, ask, at, now)
	held.at, held.limit, held.asked = now, unlisted.limit, unlisted.asked
	c.kept[ask.Server] = held
}

// rests reports whether a server wants nothing from this entry now.
func (a *asked) rests(now time.Time) bool { return !a.restUntil.IsZero() && now.Before(a.restUntil) }

// restLeft is how much longer a server wants nothing from this entry.
func (k *Candidate) restLeft(now time.Time) time.Duration { return max(0, k.asked.restUntil.Sub(now)) }

// RestingServers is how many servers want nothing from this entry now.
func (c *Core) RestingServers(now time.Time) int {
	count := 0
	for _, known := range c.byID {
		if known.asked.rests(now) {
			count++
		}
	}
	return count
}

// longestClosed bounds when a server counts as open that has asked for something: another entry may have a share, or not
// be asked for rest, so that a caller is not told to wait for longer than shares last.
const longestClosed = admission.LimitWindow

// opensIn is when a server may be sent a request that only what it has asked for keeps from it; 0 is now.
func (c *Core) opensIn(k *Candidate, now time.Time) time.Duration {
	return max(k.restLeft(now), c.limitOpensIn(k, now))
}

// asked reports whether a server is not sent a request only because of what it has asked for.
func (f Fitness) asked() bool { return f == unfitResting || f == unfitLimited }

// anyAsked reports whether there is such a server.
func (r *Refusal) anyAsked() bool { return r.Servers[unfitResting]+r.Servers[unfitLimited] > 0 }
