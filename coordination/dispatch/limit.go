package dispatch

import (
	"math"
	"time"

	"pinevane.example/pinevane/coordination/admission"
)

// A server in need names in its answers how many requests a second it takes from all entries together.
// The entries share that as they share what cold servers may receive, by ranks and without a message: a
// server that says it is in need can't be asked for grants.

// limitWindowSeconds is over how many seconds servers judge what they get, and an entry spreads its share: over one
// second a rate below the number of entries leaves most of them nothing.
const limitWindowSeconds = 4

// turns is how many spans of the window lie between two tries of entries without a share; scarceTurns where the limit
// leaves one request a span or none.
const (
	probeTurns       = 2
	sparseProbeTurns = 5
)

// rateLimit is the rate that a server names.
type rateLimit struct {
	perSecond float64
	// inForceSince is when a limit was first heard of, since when this rate was, namedAt when one was last; all are zero
	// while no limit is in force.
	inForceSince, rateSince, lastNamedAt time.Time
	// endedAt is when the last request was sent whose answer has named none, toldAt when the others were last
	// told of the rate.
	endedAt, announcedAt time.Time
	// lastSentAt is when this entry last sent a request under the limit; zero if it has not.
	lastSentAt time.Time
}

func (l *rateLimit) inForce() bool { return !l.lastNamedAt.IsZero() }

// reannounceInterval is how often the others are told of a rate that holds on, for entries that have started since.
const reannounceInterval = 5 * time.Minute

// RateLimitChange is what an answer has changed of its server's limit.
type RateLimitChange struct {
	Changed bool
	// Announce is set when the other entries are to be told.
	Announce bool
	// InForce is whether there is a limit now, PerSecond the rate, Former the one before.
	InForce             bool
	PerSecond, Previous float64
	// Share is what this entry may send in admission.LimitSpan, Entries how many share.
	Share, Entries int
}

// RateLimitStatus is a server's limit, for people.
type RateLimitStatus struct {
	InForce   bool
	PerSecond float64
	// SinceNamed is how long ago an answer last named it.
	SinceNamed time.Duration
	Share      int
}

// RecordRateLimit notes the rate that an answer has named, whose request was sent at a time. Answers overtake each
// other: one to a request that was sent before the present rate was first named can lower the rate only, and
// one to a request that was sent before the limit ended can't bring it back.
func (c *Core) RecordRateLimit(k *Candidate, perSecond float64, sentAt, now time.Time) RateLimitChange {
	held := &k.rateLimit
	if sentAt.Before(held.endedAt) || (held.inForce() && sentAt.Before(held.rateSince) && perSecond > held.perSecond) {
		return RateLimitChange{}
	}
	former, changed := held.perSecond, !held.inForce() || held.perSecond != perSecond
	if changed {
		held.rateSince = now
	}
	if !held.inForce() {
		held.inForceSince = now
	}
	held.perSecond, held.lastNamedAt = perSecond, now
	c.extendForRateLimit(k)
	tell := changed || now.Sub(held.announcedAt) >= reannounceInterval
	if tell {
		held.announcedAt = now
	}
	return RateLimitChange{Changed: changed, Announce: tell, InForce: true, PerSecond: perSecond, Previous: former, Share: c.limitShare(k, now), Entries: c.members.count(now)}
}

// RecordNoRateLimit notes that an answer has named no rate. One to a request that was sent before the rate was
// last named may be older than that.
func (c *Core) RecordNoRateLimit(k *Candidate, sentAt, now time.Time) RateLimitChange {
	if sentAt.After(k.rateLimit.endedAt) {
		k.rateLimit.endedAt = sentAt
	}
	if !k.rateLimit.inForce() || !sentAt.After(k.rateLimit.lastNamedAt) {
		return RateLimitChange{}
	}
	former := k.rateLimit.perSecond
	k.rateLimit = rateLimit{endedAt: sentAt}
	return RateLimitChange{Changed: true, Announce: true, Previous: former}
}

// extendForRateLimit notes until when the other entries matter for a server's limit: what was known of them then
// is used after that.
func (c *Core) extendForRateLimit(k *Candidate) {
	if k.rateLimit.inForce() {
		c.limitsUntil = later(c.limitsUntil, k.rateLimit.lastNamedAt.Add(memberTTL))
	}
}

// limitShare is how many requests this entry may send a server in admission.LimitSpan.
func (c *Core) limitShare(k *Candidate, now time.Time) int {
	return c.members.share(k.ID, float64(sharedTotal(k.rateLimit.perSecond)), now)
}

// sharedTotal is what the entries that have a share of a limit may send in admission.LimitSpan: the whole number
// of requests that comes nearest to the rate, and one at least. Without any nobody would hear that the limit is over.
func sharedTotal(perSecond float64) int {
	return max(1, int(math.Round(perSecond*admission.LimitSpan.Seconds())))
}

// probeInterval is how far apart entries without a share of a limit send one request each, to find out whether it is still
// in force. It comes on top of the rate, so that it is rarer where that is low.
func probeInterval(perSecond float64) time.Duration {
	if sharedTotal(perSecond) > 1 {
		return probeTurns * admission.LimitSpan
	}
	return sparseProbeTurns * admission.LimitSpan
}

// nextProbeAt is when such an entry may do so: they take turns by their ranks from when they have heard of the limit, and
// each comes again after all others.
func (c *Core) nextProbeAt(k *Candidate, now time.Time) time.Time {
	turn := probeInterval(k.rateLimit.perSecond)
	if !k.rateLimit.lastSentAt.IsZero() {
		return k.rateLimit.lastSentAt.Add(time.Duration(c.members.count(now)) * turn)
	}
	place := c.members.rank(k.ID) - sharedTotal(k.rateLimit.perSecond) + 1
	return k.rateLimit.inForceSince.Add(time.Duration(max(1, place)) * turn)
}

// limitOpensIn is when this entry may send a server the next request under its limit; 0 is now.
func (c *Core) limitOpensIn(k *Candidate, now time.Time) time.Duration {
	if !k.rateLimit.inForce() {
		return 0
	}
	share := c.limitShare(k, now)
	if share == 0 {
		return max(0, c.nextProbeAt(k, now).Sub(now))
	}
	since, inASecond := c.members.elapsed(now), (share+limitWindowSeconds-1)/limitWindowSeconds
	return max(k.sentWindow.OpensIn(admission.LimitSpan, since, share), k.sentWindow.OpensIn(admission.ColdSpan, since, inASecond))
}

// countLimited notes that a request is being sent to a server under its limit.
func (c *Core) countLimited(k *Candidate, now time.Time) {
	if k.rateLimit.inForce() {
		c.limitedSent++
		k.rateLimit.lastSentAt = now
	}
}

// RateLimitCounts returns how many servers name a limit, and how many requests were sent to such.
func (c *Core) RateLimitCounts() (servers int, sent uint64) {
	for _, known := range c.byID {
		if known.rateLimit.inForce() {
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
