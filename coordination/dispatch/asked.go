package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
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
	news = k.restLeft(now) == 0
	k.asked.restUntil = later(k.asked.restUntil, now.Add(lasts))
	return news
}

// Unwilling reports whether a server wants nothing more from this entry, for good or for now.
func (c *Core) Unwilling(k *Candidate, now time.Time) bool {
	return c.Leaving(k) || k.restLeft(now) > 0
}

// restLeft is how much longer a server wants nothing from this entry.
func (k *Candidate) restLeft(now time.Time) time.Duration { return max(0, k.asked.restUntil.Sub(now)) }

// RestingServers is how many servers want nothing from this entry now.
func (c *Core) RestingServers(now time.Time) int {
	count := 0
	for _, known := range c.byID {
		if known.restLeft(now) > 0 {
			count++
		}
	}
	return count
}

// soonestOpen is when the first of the servers that only what they have asked for keeps from a request may be sent
// one, if there is such a server. Another entry may have a share, or not be asked for rest: a caller is not
// told to wait for longer than shares last.
func (c *Core) soonestOpen(request *Request, now time.Time) (soonest time.Duration, found bool) {
	soonest = admission.LimitSpan
	for _, candidate := range c.byService[request.Service] {
		switch c.fitness(candidate, request, now) {
		case unfitResting, unfitLimited:
			soonest, found = min(soonest, max(candidate.restLeft(now), c.limitOpensIn(candidate, now))), true
		}
	}
	return soonest, found
}
