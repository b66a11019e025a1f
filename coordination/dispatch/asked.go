package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/incarnation"
)

// notices holds what a server requests in response headers, apart from a rate limit.
type notices struct {
	// leaving is set once an answer announces that the server is about to stop. It holds for this
	// incarnation: neither an older list entry nor a later answer clears it.
	leaving bool
	// backoffUntil is the end of the backoff that the server requested from this entry.
	backoffUntil time.Time
}

// RecordLeaving records that an answer announced the server's shutdown. isNew is false if it was already
// known.
func (c *Core) RecordLeaving(k *Candidate) (change Change, isNew bool) {
	isNew = !c.Leaving(k)
	k.notices.leaving = true
	return Change{Kind: ServerLeaving, Candidate: k, InFlight: k.sends.inFlight}, isNew
}

// RecordBackoff records that a server which rejected a request asked this entry to back off, and reports
// whether the server was not backing off before. A shorter backoff does not cut a longer one short, because
// answers may arrive out of order.
func (c *Core) RecordBackoff(k *Candidate, duration time.Duration, now time.Time) (isNew bool) {
	isNew = !k.notices.backingOff(now)
	k.notices.backoffUntil = later(k.notices.backoffUntil, now.Add(duration))
	return isNew
}

// Unavailable reports whether a server is leaving or backing off.
func (c *Core) Unavailable(k *Candidate, now time.Time) bool {
	return c.Leaving(k) || k.notices.backingOff(now)
}

// ServerNotice is what a server requests of all entries in its answers, as entries announce it to each other.
type ServerNotice struct {
	Server    string
	StartTime incarnation.StartTime
	// Leaving is set when the server is about to stop.
	Leaving bool
	// Limited is set while the server names a rate limit, PerSecond.
	Limited   bool
	PerSecond float64
}

// NoticeOf returns the notice that is in force for a server.
func (c *Core) NoticeOf(k *Candidate) ServerNotice {
	return ServerNotice{
		Server: k.ID, StartTime: k.listing.server.StartTime, Leaving: k.notices.leaving, Limited: k.rateLimit.inForce(), PerSecond: k.rateLimit.perSecond,
	}
}

// ApplyNotice applies a notice that another entry received from a server at the given time. A notice for a
// server that is not listed is retained until it is: an entry that starts may receive the notice before the
// list.
func (c *Core) ApplyNotice(notice ServerNotice, at, now time.Time) (limit RateLimitChange, leaving bool) {
	k := c.byID[notice.Server]
	switch {
	case k == nil:
		c.retainNotice(notice, at, now)
		return RateLimitChange{}, false
	case k.listing.server.StartTime.Differs(notice.StartTime):
		return RateLimitChange{}, false
	}
	return c.recordNotice(k, notice, at, now)
}

// recordNotice records a notice on a server. A notice that the server is leaving says nothing about its rate
// limit, which the reporting entry may not know.
func (c *Core) recordNotice(k *Candidate, notice ServerNotice, at, now time.Time) (limit RateLimitChange, leaving bool) {
	switch {
	case notice.Leaving:
		_, leaving = c.RecordLeaving(k)
		return RateLimitChange{}, leaving
	case notice.Limited:
		return c.RecordRateLimit(k, notice.PerSecond, at, now), false
	}
	return c.RecordNoRateLimit(k, at, now), false
}

// retainNotice retains a notice for a server that is not on the list yet, or no longer.
func (c *Core) retainNotice(notice ServerNotice, at, now time.Time) {
	retained, found := c.retained[notice.Server]
	if !found {
		retained = retainedServer{startTime: notice.StartTime, sentWindow: *admission.NewWindow(admission.LimitWindow)}
	}
	if retained.startTime.Differs(notice.StartTime) {
		return
	}
	unlisted := &Candidate{ID: notice.Server, rateLimit: retained.rateLimit, notices: retained.notices}
	c.recordNotice(unlisted, notice, at, now)
	retained.at, retained.rateLimit, retained.notices = now, unlisted.rateLimit, unlisted.notices
	c.retained[notice.Server] = retained
}

// backingOff reports whether the server has requested that this entry send it nothing now.
func (n *notices) backingOff(now time.Time) bool {
	return !n.backoffUntil.IsZero() && now.Before(n.backoffUntil)
}

// backoffRemaining returns how much longer the server is backing off.
func (k *Candidate) backoffRemaining(now time.Time) time.Duration {
	return max(0, k.notices.backoffUntil.Sub(now))
}

// BackingOffServers returns the number of servers that are backing off.
func (c *Core) BackingOffServers(now time.Time) int {
	count := 0
	for _, candidate := range c.byID {
		if candidate.notices.backingOff(now) {
			count++
		}
	}
	return count
}

// maxClosedTime bounds how long a server that is excluded by its notices counts as closed: another entry may
// have a share of the limit, or not be asked to back off, so a caller is not told to wait longer than the
// window of the shares.
const maxClosedTime = admission.LimitWindow

// opensIn returns the time until a server excluded only by its notices may be sent a request; 0 means now.
func (c *Core) opensIn(k *Candidate, now time.Time) time.Duration {
	return max(k.backoffRemaining(now), c.limitOpensIn(k, now))
}

// byNotice reports whether a server is excluded only because of its notices.
func (f Eligibility) byNotice() bool { return f == excludedBackoff || f == excludedRateLimited }

// anyByNotice reports whether any server is excluded only because of its notices.
func (r *Refusal) anyByNotice() bool {
	return r.Servers[excludedBackoff]+r.Servers[excludedRateLimited] > 0
}
