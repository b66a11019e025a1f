package dispatch

import (
	"math"
	"slices"
	"time"
)

// Terms of the score that selects a server.
const (
	// otherZoneCost and otherRegionCost are the penalties for servers in another zone or region.
	otherZoneCost   = 20 * time.Millisecond
	otherRegionCost = 100 * time.Millisecond
	// runningCost spreads requests over servers with the same predicted start.
	runningCost = 3 * time.Millisecond
	// jitterCost spreads the choices of entries that see the same load figures.
	jitterCost = 15 * time.Millisecond
	// silentCost keeps requests away from servers whose agent is silent.
	silentCost = 2 * time.Second
)

// Choose selects the server for a request and counts the request as in flight. A refusal guarantees that
// nothing was sent.
func (c *Core) Choose(request *Request, now time.Time) (Decision, *Refusal) {
	if request.Engine != nil {
		c.computeMinMissing(now)
	}
	c.recordDemand(request, now)
	c.computeScarcity(request, now)
	all := c.usable(request, now)
	usable := queriedOf(all, request)
	if len(usable) == 0 {
		return Decision{}, c.noServer(request, now)
	}
	var best *Candidate
	lowest := time.Duration(math.MaxInt64)
	for _, candidate := range c.sample(usable, max(c.policy.SampleSize, len(request.Queried))) {
		if score := c.score(candidate, request, now); score < lowest {
			best, lowest = candidate, score
		}
	}
	best, refusal := c.admit(best, usable, all, request, now)
	if refusal != nil {
		return Decision{}, refusal
	}
	return c.send(best, request, len(usable), now), nil
}

// send counts a request as sent to a server.
func (c *Core) send(k *Candidate, request *Request, considered int, now time.Time) Decision {
	decision := Decision{
		Candidate: k, Considered: considered, Outstanding: k.outstanding(now), Load: c.load(k, request, now),
		Expected: c.timeToFirstEvent(k, request, now), startByLoad: c.startByLoad(k, request, now), ReportAge: k.report.age(now), Version: k.servedVersion(now),
		Admission: c.admission(k, request, now),
	}
	wait, firstAttemptWait := decision.Admission.Wait, c.firstAttemptWait(k, request)
	decision.Send = &Send{
		candidate: k, service: request.Service, engine: request.Engine, target: request.Target,
		sentAt: now, expectedAt: now.Add(decision.Expected), prompt: request.Prompt, nearLimit: wait >= firstAttemptWait/2,
		idle: decision.Outstanding == 0 && decision.ReportAge != NoReport,
	}
	if c.lost(k, now) {
		decision.OverdueAfter = c.lostTrialTimeout(k, request, now)
	}
	c.recordFull(request, wait, firstAttemptWait, now)
	k.sends.add(decision.Send)
	c.countSent(k, now)
	decision.Trial = c.beginTrial(k, now)
	decision.Send.trial = decision.Trial
	return decision
}

// queriedOf returns the usable servers whose agents were queried, or all usable ones if there are none.
func queriedOf(usable []*Candidate, request *Request) []*Candidate {
	var queried []*Candidate
	for _, candidate := range usable {
		if slices.Contains(request.Queried, candidate) {
			queried = append(queried, candidate)
		}
	}
	if len(queried) == 0 {
		return usable
	}
	return queried
}

// sample draws the servers to compare, half of them from the entry's own zone if it has enough. Load figures
// are a few hundred milliseconds old: if all servers were compared, all entries would send to the same one
// until the next figures arrive.
func (c *Core) sample(usable []*Candidate, sampleSize int) []*Candidate {
	if len(usable) <= sampleSize {
		return usable
	}
	c.shuffleServers(usable)
	near, far := make([]*Candidate, 0, len(usable)), make([]*Candidate, 0, len(usable))
	for _, candidate := range usable {
		if candidate.Zone == c.zone {
			near = append(near, candidate)
		} else {
			far = append(far, candidate)
		}
	}
	fromNear := min(len(near), max(sampleSize/2, sampleSize-len(far)))
	return append(near[:fromNear:fromNear], far[:sampleSize-fromNear]...)
}

// score returns the cost of sending the request to a server.
func (c *Core) score(k *Candidate, request *Request, now time.Time) time.Duration {
	score := c.timeToFirstEvent(k, request, now) + c.distanceCost(k)
	score += time.Duration(k.outstanding(now)) * runningCost
	score += time.Duration(c.random() * float64(jitterCost))
	if k.report.silent(now) {
		score += silentCost
	}
	return score + c.switchCost(k, request, now) + c.healthCost(k, now) + c.scarcityCost(k, request, now)
}

func (c *Core) distanceCost(k *Candidate) time.Duration {
	switch {
	case k.Zone == c.zone:
		return 0
	case c.regions[k.Zone] == c.regions[c.zone]:
		return otherZoneCost
	}
	return otherRegionCost
}
