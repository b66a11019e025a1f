package dispatch

import (
	"math"
	"time"

	"pinevane.example/pinevane/coordination/admission"
)

// A server in need names in its answers how many requests a second it takes from all entries together.
// The entries share that as they share what cold servers may receive, by ranks and without a message: a
// server that says it is in need can't be asked for grants.

// limitSeconds is over how many seconds servers judge what they get, and an entry spreads its share: over one
// second a rate below the number of entries leaves most of them nothing.
const limitSeconds = 4

// turns is how many spans of the window lie between two tries of entries without a share; scarceTurns where the limit
// leaves one request a span or none.
const (
	turns       = 2
	scarceTurns = 5
)

// namedLimit is the rate that a server names.
type namedLimit struct {
	perSecond float64
	// begunAt is when a limit was first heard of, since when this rate was, namedAt when one was last; all are zero
	// while no limit is in force.
	begunAt, since, namedAt time.Time
	// endedAt is when the last request was sent whose answer has named none, toldAt when the others were last
	// told of the rate.
	endedAt, toldAt time.Time
	// sentAt is when this entry last sent a request under the limit; zero if it has not.
	sentAt time.Time
}

func (l *namedLimit) inForce() bool { return !l.namedAt.IsZero() }

// tellAgain is how often the others are told of a rate that holds on, for entries that have started since.
const tellAgain = 5 * time.Minute

// LimitNews is what an answer has changed of its server's limit.
type LimitNews struct {
	Changed bool
	// Tell is set when the other entries are to be told.
	Tell bool
	// InForce is whether there is a limit now, PerSecond the rate, Former the one before.
	InForce           bool
	PerSecond, Former float64
	// Share is what this entry may send in admission.LimitSpan, Entries how many share.
	Share, Entries int
}

// LimitView is a server's limit, for people.
type LimitView struct {
	InForce   bool
	PerSecond float64
	// Named is how long ago an answer last named it.
	Named time.Duration
	Share int
}

// SawLimit notes the rate that an answer has named, whose request was sent at a time. Answers overtake each
// other: one to a request that was sent before the present rate was first named can lower the rate only, and
// one to a request that was sent before the limit ended can't bring it back.
func (c *Core) SawLimit(k *Candidate, perSecond float64, sentAt, now time.Time) LimitNews {
	held := &k.limit
	if sentAt.Before(held.endedAt) || (held.inForce() && sentAt.Before(held.since) && perSecond > held.perSecond) {
		return LimitNews{}
	}
	former, changed := held.perSecond, !held.inForce() || held.perSecond != perSecond
	if changed {
		held.since = now
	}
	if !held.inForce() {
		held.begunAt = now
	}
	held.perSecond, held.namedAt = perSecond, now
	c.noteLimited(k)
	tell := changed || now.Sub(held.toldAt) >= tellAgain
	if tell {
		held.toldAt = now
	}
	return LimitNews{Changed: changed, Tell: tell, InForce: true, PerSecond: perSecond, Former: former, Share: c.limitShare(k, now), Entries: c.bounded.count(now)}
}

// SawNoLimit notes that an answer has named no rate. One to a request that was sent before the rate was
// last named may be older than that.
func (c *Core) SawNoLimit(k *Candidate, sentAt, now time.Time) LimitNews {
	if sentAt.After(k.limit.endedAt) {
		k.limit.endedAt = sentAt
	}
	if !k.limit.inForce() || !sentAt.After(k.limit.namedAt) {
		return LimitNews{}
	}
	former := k.limit.perSecond
	k.limit = namedLimit{endedAt: sentAt}
	return LimitNews{Changed: true, Tell: true, Former: former}
}

// noteLimited notes until when the other entries matter for a server's limit: what was known of them then
// is used after that.
func (c *Core) noteLimited(k *Candidate) {
	if k.limit.inForce() {
		c.boundedTill = later(c.boundedTill, k.limit.namedAt.Add(memberMemory))
	}
}

// limitShare is how many requests this entry may send a server in admission.LimitSpan.
func (c *Core) limitShare(k *Candidate, now time.Time) int {
	return c.bounded.share(k.ID, float64(sharedPart(k.limit.perSecond)), now)
}

// sharedPart is what the entries that have a share of a limit may send in admission.LimitSpan: the whole number
// of requests that comes nearest to the rate, and one at least. Without any nobody would hear that the limit is over.
func sharedPart(perSecond float64) int {
	return max(1, int(math.Round(perSecond*admission.LimitWindow.Seconds())))
}

// tryTurn is how far apart entries without a share of a limit send one request each, to find out whether it is still
// in force. It comes on top of the rate, so that it is rarer where that is low.
func tryTurn(perSecond float64) time.Duration {
	if sharedPart(perSecond) > 1 {
		return turns * admission.LimitWindow
	}
	return scarceTurns * admission.LimitWindow
}

// tryAt is when such an entry may do so: they take turns by their ranks from when they have heard of the limit, and
// each comes again after all others.
func (c *Core) tryAt(k *Candidate, now time.Time) time.Time {
	turn := tryTurn(k.limit.perSecond)
	if !k.limit.sentAt.IsZero() {
		return k.limit.sentAt.Add(time.Duration(c.bounded.count(now)) * turn)
	}
	place := c.bounded.rank(k.ID) - sharedPart(k.limit.perSecond) + 1
	return k.limit.begunAt.Add(time.Duration(max(1, place)) * turn)
}

// limitOpensIn is when this entry may send a server the next request under its limit; 0 is now.
func (c *Core) limitOpensIn(k *Candidate, now time.Time) time.Duration {
	if !k.limit.inForce() {
		return 0
	}
	share := c.limitShare(k, now)
	if share == 0 {
		return max(0, c.tryAt(k, now).Sub(now))
	}
	since, inASecond := c.bounded.since(now), (share+limitSeconds-1)/limitSeconds
	return max(k.sent.AllowsIn(admission.LimitWindow, since, share), k.sent.AllowsIn(admission.ColdWindow, since, inASecond))
}

// countLimited notes that a request is being sent to a server under its limit.
func (c *Core) countLimited(k *Candidate, now time.Time) {
	if k.limit.inForce() {
		c.limitedSent++
		k.limit.sentAt = now
	}
}

// LimitCounts returns how many servers name a limit, and how many requests were sent to such.
func (c *Core) LimitCounts() (servers int, sent uint64) {
	for _, known := range c.byID {
		if known.limit.inForce() {
			servers++
		}
	}
	return servers, c.limitedSent
}

func (c *Core) limitView(k *Candidate, now time.Time) LimitView {
	if !k.limit.inForce() {
		return LimitView{}
	}
	return LimitView{InForce: true, PerSecond: k.limit.perSecond, Named: now.Sub(k.limit.namedAt), Share: c.limitShare(k, now)}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
