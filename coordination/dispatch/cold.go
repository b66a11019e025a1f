package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
)

// Parameters of the shares of cold servers.
const (
	// reportCountDelay is how long a request may take until the server's agent counts it: one way between
	// regions, measured at 1 to 2.8 ms, and the queueing at both ends.
	reportCountDelay = 5 * time.Millisecond
	// coldRatio is the part of the cold rate that the known entries use together; the rest is for entries
	// that started recently and are not known to all.
	coldRatio = 0.9
)

// updateLimitsUntil recomputes how long the other entries matter, because a server is cold with a limited
// rate or has recently named a rate limit.
func (c *Core) updateLimitsUntil() {
	c.limitsUntil = time.Time{}
	for _, servers := range c.byService {
		for _, candidate := range servers {
			c.extendForCold(candidate)
			c.extendForRateLimit(candidate)
		}
	}
}

// extendForCold extends limitsUntil to the time when a cold server is warm, if its rate is limited until
// then.
func (c *Core) extendForCold(k *Candidate) {
	if c.fleet.Services[k.listing.server.Service].ColdRate > 0 {
		c.limitsUntil = later(c.limitsUntil, k.coldUntil())
	}
}

// coldTime returns how long a server of a service is cold after a start.
func (c *Core) coldTime(service string) time.Duration { return c.fleet.Services[service].ColdTime }

// coldUntil returns when a server will be warm: by its list entry, by its agent's report, which comes with
// the reply to a load query when this entry has not received the list entry yet, by its own answer, or
// because its zone was readmitted. A faulty report makes a server cold for no longer than a start does.
func (k *Candidate) coldUntil() time.Time {
	until := k.report.at.Add(min(k.report.ColdFor, k.coldTime))
	for _, other := range []time.Time{k.listing.server.ColdUntil, k.answeredColdUntil, k.readmittedUntil} {
		until = later(until, other)
	}
	return until
}

// RecordCold records how much longer a server is cold according to its answer. The only health checks are the
// requests that callers send to a service's health path: entries and agents make none, because they are
// billed. A faulty answer makes a server cold for no longer than a start does.
func (c *Core) RecordCold(k *Candidate, remaining time.Duration, now time.Time) {
	if remaining > 0 {
		k.answeredColdUntil = now.Add(min(remaining, k.coldTime))
		c.extendForCold(k)
	}
}

// cold reports whether a server is cold.
func (k *Candidate) cold(now time.Time) bool { return now.Before(k.coldUntil()) }

// coldShareUsed reports whether this entry has used up its share of a cold server's rate. Requests are also
// counted while a server is warm, because it may have become cold shortly before this entry learns of it.
func (c *Core) coldShareUsed(k *Candidate, now time.Time) bool {
	if !k.cold(now) {
		return false
	}
	limit := c.fleet.Services[k.listing.server.Service].ColdRate
	if limit <= 0 {
		return false
	}
	elapsed := c.members.elapsed(now)
	if !k.sentWindow.Allows(admission.ColdWindow, elapsed, c.members.share(k.ID, coldRatio*limit, now)) {
		return true
	}
	// Shares cover only what each entry has sent itself. The agent's count covers the requests of all
	// entries, including those sent before they learned that the server is cold.
	return k.report.receivedCurrent(now) && k.sentWindow.Exhausted(coldRatio*limit, k.report.Received, c.members.elapsed(k.report.at)-reportCountDelay, elapsed)
}

// countSent counts a request that is being sent to a server.
func (c *Core) countSent(k *Candidate, now time.Time) {
	k.sentWindow.Add(c.members.elapsed(now))
	if k.cold(now) {
		c.coldSent++
	}
	c.countLimited(k, now)
}

// ColdCounts returns the number of cold servers, and of requests sent to cold servers.
func (c *Core) ColdCounts(now time.Time) (servers int, sent uint64) {
	for _, candidate := range c.byID {
		if candidate.cold(now) {
			servers++
		}
	}
	return servers, c.coldSent
}
