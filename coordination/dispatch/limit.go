package dispatch

import (
	"math"
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/sharing"
)

// A server under load names in its answers the requests per second that it accepts from all entries together.
// The entries share this rate as they share the rate of cold servers, by rank and without exchanging
// messages: a server that reports overload can't be asked for grants.

// limitWindowSeconds is the window over which servers measure their rate and an entry spreads its share.
// Within one second, a rate below the number of entries leaves most of them with nothing.
const limitWindowSeconds = 4

// probeTurns is the number of windows between two probes of entries without a share, sparseProbeTurns where
// the limit allows at most one request per window.
const (
	probeTurns       = 2
	sparseProbeTurns = 5
)

// rateLimit is the rate limit that a server names.
type rateLimit struct {
	perSecond float64
	// inForceSince is when a limit was first received, rateSince when the present rate was first received,
	// lastNamedAt when a limit was last received. All are zero while no limit is in force.
	inForceSince, rateSince, lastNamedAt time.Time
	// endedAt is when the last request was sent whose answer named no limit, announcedAt when the rate was
	// last announced to the other entries.
	endedAt, announcedAt time.Time
	// lastSentAt is when this entry last sent a request under the limit, zero if it has not.
	lastSentAt time.Time
}

func (l *rateLimit) inForce() bool { return !l.lastNamedAt.IsZero() }

// reannounceInterval is how often an unchanged rate is announced again, for entries that have started since.
const reannounceInterval = 5 * time.Minute

// RateLimitChange is the effect of an answer on its server's rate limit.
type RateLimitChange struct {
	Changed bool
	// Announce is set when the change is to be announced to the other entries.
	Announce bool
	// InForce says whether there is a limit now. PerSecond is its rate, Previous the one before.
	InForce             bool
	PerSecond, Previous float64
	// Share is how many requests this entry may send per window, Entries how many entries share the limit.
	Share, Entries int
}

// RateLimitStatus is a human-readable view of a server's rate limit.
type RateLimitStatus struct {
	InForce   bool
	PerSecond float64
	// SinceNamed is the time since an answer last named the limit.
	SinceNamed time.Duration
	Share      int
}

// RecordRateLimit records the rate named by the answer to a request sent at sentAt. Answers may arrive out of
// order: the answer to a request sent before the present rate was first named can only lower the rate, and
// the answer to one sent before the limit ended can't restore it.
func (c *Core) RecordRateLimit(k *Candidate, perSecond float64, sentAt, now time.Time) RateLimitChange {
	limit := &k.rateLimit
	if sentAt.Before(limit.endedAt) || (limit.inForce() && sentAt.Before(limit.rateSince) && perSecond > limit.perSecond) {
		return RateLimitChange{}
	}
	previous, changed := limit.perSecond, !limit.inForce() || limit.perSecond != perSecond
	if changed {
		limit.rateSince = now
	}
	if !limit.inForce() {
		limit.inForceSince = now
	}
	limit.perSecond, limit.lastNamedAt = perSecond, now
	c.extendForRateLimit(k)
	announce := changed || now.Sub(limit.announcedAt) >= reannounceInterval
	if announce {
		limit.announcedAt = now
	}
	return RateLimitChange{Changed: changed, Announce: announce, InForce: true, PerSecond: perSecond, Previous: previous, Share: c.limitShare(k, now), Entries: c.members.count(now)}
}

// RecordNoRateLimit records that the answer to a request sent at sentAt named no rate limit. The answer to a
// request sent before the limit was last named may be outdated and is ignored.
func (c *Core) RecordNoRateLimit(k *Candidate, sentAt, now time.Time) RateLimitChange {
	if sentAt.After(k.rateLimit.endedAt) {
		k.rateLimit.endedAt = sentAt
	}
	if !k.rateLimit.inForce() || !sentAt.After(k.rateLimit.lastNamedAt) {
		return RateLimitChange{}
	}
	previous := k.rateLimit.perSecond
	k.rateLimit = rateLimit{endedAt: sentAt}
	return RateLimitChange{Changed: true, Announce: true, Previous: previous}
}

// extendForRateLimit extends limitsUntil for a server with a rate limit; after that the entries known by then
// are used.
func (c *Core) extendForRateLimit(k *Candidate) {
	if k.rateLimit.inForce() {
		c.limitsUntil = later(c.limitsUntil, k.rateLimit.lastNamedAt.Add(sharing.MemberTTL))
	}
}

// limitShare returns how many requests this entry may send a server per window.
func (c *Core) limitShare(k *Candidate, now time.Time) int {
	return c.members.share(k.ID, float64(sharedTotal(k.rateLimit.perSecond)), now)
}

// sharedTotal returns how many requests per window the entries with a share may send together: the rate
// rounded to a whole number, and at least one. With none, no entry would learn that the limit has ended.
func sharedTotal(perSecond float64) int {
	return max(1, int(math.Round(perSecond*admission.LimitWindow.Seconds())))
}

// probeInterval returns the time between probes of entries without a share, each of which sends one request
// to find out whether the limit is still in force. Probes come on top of the rate, so they are rarer where it
// is low.
func probeInterval(perSecond float64) time.Duration {
	if sharedTotal(perSecond) > 1 {
		return probeTurns * admission.LimitWindow
	}
	return sparseProbeTurns * admission.LimitWindow
}

// nextProbeAt returns when an entry without a share may probe. Entries take turns by rank from the time at
// which they learned of the limit, and each probes again after all others.
func (c *Core) nextProbeAt(k *Candidate, now time.Time) time.Time {
	interval := probeInterval(k.rateLimit.perSecond)
	if !k.rateLimit.lastSentAt.IsZero() {
		return k.rateLimit.lastSentAt.Add(time.Duration(c.members.count(now)) * interval)
	}
	position := c.members.rank(k.ID) - sharedTotal(k.rateLimit.perSecond) + 1
	return k.rateLimit.inForceSince.Add(time.Duration(max(1, position)) * interval)
}

// limitOpensIn returns the time until this entry may send a server the next request under its limit; 0 means
// now.
func (c *Core) limitOpensIn(k *Candidate, now time.Time) time.Duration {
	if !k.rateLimit.inForce() {
		return 0
	}
	share := c.limitShare(k, now)
	if share == 0 {
		return max(0, c.nextProbeAt(k, now).Sub(now))
	}
	elapsed, perSecond := c.members.elapsed(now), (share+limitWindowSeconds-1)/limitWindowSeconds
	return max(k.sentWindow.AllowsIn(admission.LimitWindow, elapsed, share), k.sentWindow.AllowsIn(admission.ColdWindow, elapsed, perSecond))
}

// countLimited records that a request is being sent to a server under its limit.
func (c *Core) countLimited(k *Candidate, now time.Time) {
	if k.rateLimit.inForce() {
		c.limitedSent++
		k.rateLimit.lastSentAt = now
	}
}

// RateLimitCounts returns the number of servers with a rate limit, and of requests sent to such servers.
func (c *Core) RateLimitCounts() (servers int, sent uint64) {
	for _, candidate := range c.byID {
		if candidate.rateLimit.inForce() {
			servers++
		}
	}
	return servers, c.limitedSent
}

func (c *Core) rateLimitStatus(k *Candidate, now time.Time) RateLimitStatus {
	if !k.rateLimit.inForce() {
		return RateLimitStatus{}
	}
	return RateLimitStatus{InForce: true, PerSecond: k.rateLimit.perSecond, SinceNamed: now.Sub(k.rateLimit.lastNamedAt), Share: c.limitShare(k, now)}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
