package dispatch

import "time"

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
func (c *Core) Unwilling(k *Candidate) bool { return c.Leaving(k) }

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
