package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/incarnation"
)

// notices is what a server has asked for in its answers, beside a rate.
type notices struct {
	// leaving is set once an answer has said that the server is about to end. It holds for that life of the
	// server: neither an older line nor a later answer takes it back.
	leaving bool
	// backoffUntil is until when it wants nothing from this entry.
	backoffUntil time.Time
}

// RecordLeaving notes that an answer has said that its server is about to end, and returns what that changes.
func (c *Core) RecordLeaving(k *Candidate) (change Change, news bool) {
	news = !c.Leaving(k)
	k.notices.leaving = true
	return Change{Kind: ServerLeaving, Candidate: k, InFlight: k.sends.inFlight}, news
}

// RecordBackoff notes that a server which has turned a request away wants nothing from this entry for a while, and
// reports whether it wanted something until now. A shorter rest asked for later does not end a longer one:
// answers overtake each other.
func (c *Core) RecordBackoff(k *Candidate, lasts time.Duration, now time.Time) (news bool) {
	news = !k.notices.backingOff(now)
	k.notices.backoffUntil = later(k.notices.backoffUntil, now.Add(lasts))
	return news
}

// Unavailable reports whether a server wants nothing more from this entry, for good or for now.
func (c *Core) Unavailable(k *Candidate, now time.Time) bool {
	return c.Leaving(k) || k.notices.backingOff(now)
}

// ServerNotice is what a server asks of all entries in its answers, as these tell each other.
type ServerNotice struct {
	Server    string
	StartTime incarnation.Born
	// Leaving is set when the server is about to end.
	Leaving bool
	// Limited is set while the server names a rate, PerSecond.
	Limited   bool
	PerSecond float64
}

// NoticeOf is what a server asks of all entries now.
func (c *Core) NoticeOf(k *Candidate) ServerNotice {
	return ServerNotice{
		Server: k.ID, StartTime: k.listing.server.StartTime, Leaving: k.notices.leaving, Limited: k.rateLimit.inForce(), PerSecond: k.rateLimit.perSecond,
	}
}

// ApplyNotice takes in what a server has asked of another entry at a time. One on a server that is not listed is kept
// until it is: an entry that starts may hear it before the list.
func (c *Core) ApplyNotice(ask ServerNotice, at, now time.Time) (limit RateLimitChange, leaving bool) {
	k := c.byID[ask.Server]
	switch {
	case k == nil:
		c.retainNotice(ask, at, now)
		return RateLimitChange{}, false
	case k.listing.server.StartTime.Differs(ask.StartTime):
		return RateLimitChange{}, false
	}
	return c.recordNotice(k, ask, at, now)
}

// recordNotice notes a word on a server. One that it leaves says nothing of its limit, which the teller may not know.
func (c *Core) recordNotice(k *Candidate, ask ServerNotice, at, now time.Time) (limit RateLimitChange, leaving bool) {
	switch {
	case ask.Leaving:
		_, leaving = c.RecordLeaving(k)
		return RateLimitChange{}, leaving
	case ask.Limited:
		return c.RecordRateLimit(k, ask.PerSecond, at, now), false
	}
	return c.RecordNoRateLimit(k, at, now), false
}

// retainNotice holds a word on a server that is not listed yet, or no more.
func (c *Core) retainNotice(ask ServerNotice, at, now time.Time) {
	held, found := c.retained[ask.Server]
	if !found {
		held = retainedServer{born: ask.StartTime, sent: *admission.NewWindow(admission.LimitSpan)}
	}
	if held.born.Differs(ask.StartTime) {
		return
	}
	unlisted := &Candidate{ID: ask.Server, rateLimit: held.limit, notices: held.asked}
	c.recordNotice(unlisted, ask, at, now)
	held.at, held.limit, held.asked = now, unlisted.rateLimit, unlisted.notices
	c.retained[ask.Server] = held
}

// backingOff reports whether a server wants nothing from this entry now.
func (a *notices) backingOff(now time.Time) bool {
	return !a.backoffUntil.IsZero() && now.Before(a.backoffUntil)
}

// backoffLeft is how much longer a server wants nothing from this entry.
func (k *Candidate) backoffLeft(now time.Time) time.Duration {
	return max(0, k.notices.backoffUntil.Sub(now))
}

// BackingOffServers is how many servers want nothing from this entry now.
func (c *Core) BackingOffServers(now time.Time) int {
	count := 0
	for _, known := range c.byID {
		if known.notices.backingOff(now) {
			count++
		}
	}
	return count
}

// maxClosedTime bounds when a server counts as open that has asked for something: another entry may have a share, or not
// be asked for rest, so that a caller is not told to wait for longer than shares last.
const maxClosedTime = admission.LimitSpan

// opensIn is when a server may be sent a request that only what it has asked for keeps from it; 0 is now.
func (c *Core) opensIn(k *Candidate, now time.Time) time.Duration {
	return max(k.backoffLeft(now), c.limitOpensIn(k, now))
}

// byNotice reports whether a server is not sent a request only because of what it has asked for.
func (f Eligibility) byNotice() bool { return f == excludedBackoff || f == excludedRateLimited }

// anyByNotice reports whether there is such a server.
func (r *Refusal) anyByNotice() bool {
	return r.Servers[excludedBackoff]+r.Servers[excludedRateLimited] > 0
}
