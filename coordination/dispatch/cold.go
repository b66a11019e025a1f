package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
)

// Constants of the sharing of cold servers.
const (
	// countDelay is how long a request may be on its way to the count of the server's agent:
	// one way between regions, of 1 to 2.8 ms where this was measured, and the wait at both ends.
	countDelay = 5 * time.Millisecond
	// coldShare is the part of the bound that all entries together use; the rest is for
	// entries that have lately come and are not known to all.
	coldShare = 0.9
)

// findBoundedTill looks until when the other entries matter, because a server is cold whose requests are
// bounded then, or has lately named a limit.
func (c *Core) findBoundedTill() {
	c.boundedTill = time.Time{}
	for _, servers := range c.byService {
		for _, known := range servers {
			c.noteCold(known)
			c.noteLimited(known)
		}
	}
}

// noteCold notes until when a server is cold, if its requests are bounded then.
func (c *Core) noteCold(k *Candidate) {
	if c.fleet.Services[k.listing.server.Service].ColdLimit > 0 {
		c.boundedTill = later(c.boundedTill, k.coldUntil())
	}
}

// coldTime is how long a server of a service is cold after a start.
func (c *Core) coldTime(service string) time.Duration { return c.fleet.Services[service].ColdTime }

// coldUntil is when a server will be warm: by its own line, by its agent's word, which arrives
// with the answer to a question when this entry has not heard of the line yet, by an answer of
// its own, or because its zone has just been readmitted. A faulty word makes a server cold for
// no longer than a start does.
func (k *Candidate) coldUntil() time.Time {
	until := k.word.at.Add(min(k.word.ColdFor, k.coldTime))
	for _, other := range []time.Time{k.listing.server.ColdUntil, k.answeredColdUntil, k.readmittedUntil} {
		until = later(until, other)
	}
	return until
}

// SawCold notes what an answer has said of how much longer its server is cold. Requests that
// callers send to a service's health path are the only health checks there are: entries and
// agents make none, because they are priced. A faulty answer makes a server cold for no longer
// than a start does.
func (c *Core) SawCold(k *Candidate, left time.Duration, now time.Time) {
	if left > 0 {
		k.answeredColdUntil = now.Add(min(left, k.coldTime))
		c.noteCold(k)
	}
}

// cold reports whether a server is cold.
func (k *Candidate) cold(now time.Time) bool { return now.Before(k.coldUntil()) }

// coldFull reports whether this entry has sent a cold server all that it may for now. A
// server's requests are counted while it is warm too, because it may have become cold shortly
// before that is known.
func (c *Core) coldFull(k *Candidate, now time.Time) bool {
	if !k.cold(now) {
		return false
	}
	limit := c.fleet.Services[k.listing.server.Service].ColdLimit
	if limit <= 0 {
		return false
	}
	since := c.bounded.since(now)
	if !k.sent.Allows(admission.ColdWindow, since, c.bounded.share(k.ID, coldShare*limit, now)) {
		return true
	}
	// Shares reckon with what each entry has sent itself. The agent's count has what all have
	// sent, also before they heard that the server is cold.
	return k.word.counts(now) && k.sent.Exhausted(coldShare*limit, k.word.Received, c.bounded.since(k.word.at)-countDelay, since)
}

// countSent counts a request that is being sent to a server.
func (c *Core) countSent(k *Candidate, now time.Time) {
	k.sent.Add(c.bounded.since(now))
	if k.cold(now) {
		c.coldSent++
	}
	c.countLimited(k, now)
}

// ColdCounts returns how many servers are cold, and how many requests were sent to cold ones.
func (c *Core) ColdCounts(now time.Time) (servers int, sent uint64) {
	for _, known := range c.byID {
		if known.cold(now) {
			servers++
		}
	}
	return servers, c.coldSent
}
