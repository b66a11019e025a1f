package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/shedding"
)

// Bounds of refusals.
const (
	refusalRetryFloor = 100 * time.Millisecond
	refusalRetryCap   = 1500 * time.Millisecond
	// NoServerRetry is told when there is no server at all.
	NoServerRetry = 700 * time.Millisecond
	// noRegionRetry is told when no zone of the fleet is in an allowed region: only another
	// configuration helps. Deployments give a published one 2 to 3 s to be in force everywhere;
	// the rest is for an operator to write it, which is a guess. Callers that come back sooner
	// are refused again.
	noRegionRetry = 5 * time.Second
)

// Times until servers serve again.
const (
	// changeTime is how long a server takes to change over, as long as nobody knows
	// better.
	changeTime = 800 * time.Millisecond
	// emptyTime is told while no agent has said how its transfer goes.
	emptyTime = 1500 * time.Millisecond
)

// hasFreePlace reports whether a plain server could begin the request now. That its
// last answers came late is then no reason to refuse: they may have been held up on
// the way, and without further requests nothing would show that it is past.
func (k *Candidate) hasFreePlace(request *Request) bool {
	return request.Engine == nil && k.sends.inFlight < k.listing.server.Slots
}

// admit refuses a request that would wait for others for too long at every server. When
// only at the drawn ones it would, the soonest of all is taken. One that was sent to a
// server before has been admitted: it is not refused any more. Servers that were not asked because
// they are left to others count before a refusal.
func (c *Core) admit(best *Candidate, usable, all []*Candidate, request *Request, now time.Time) (*Candidate, *Refusal) {
	if request.Resumed || len(request.Tried) > 0 || c.admits(best, request, now) {
		return best, nil
	}
	best = c.soonestOf(usable, request, now)
	if c.admits(best, request, now) {
		return best, nil
	}
	if scarce := c.soonestOf(c.scarceOf(all), request, now); scarce != nil && c.admits(scarce, request, now) {
		return scarce, nil
	}
	refusal := c.refuse(RefusedOverload, request, now)
	refusal.Admission = c.admission(best, request, now)
	refusal.RetryAfter = shedding.Return(refusal.Admission.Wait, refusal.Admission.MostWait, refusalRetryFloor, refusalRetryCap, request.Arrival)
	held(c.pressures, request.Service).Refused(now.Sub(c.started), request.Arrival)
	return nil, refusal
}

// admission tells what a request is admitted or refused by at a server.
func (c *Core) admission(k *Candidate, request *Request, now time.Time) Admission {
	return Admission{
		Alone: k.model(request).Alone(request.Prompt), Wait: c.wait(k, request, now), Late: c.delay(k, now),
		MostWait: c.mostWait(k, request, now), Margin: c.marginOf(request.Service).Share(),
	}
}

// soonestOf returns the first of some servers that would begin a request soonest; nil without any.
func (c *Core) soonestOf(usable []*Candidate, request *Request, now time.Time) (best *Candidate) {
	var soonest time.Duration
	for _, candidate := range usable {
		if expected := c.firstEvent(candidate, request, now); best == nil || expected < soonest {
			best, soonest = candidate, expected
		}
	}
	return best
}

// refuse tells which servers fall out for which reason, and when the first is open of those that only what
// they have asked for keeps from the request.
func (c *Core) refuse(reason RefusalReason, request *Request, now time.Time) *Refusal {
	refusal := &Refusal{Reason: reason, Servers: map[Fitness]int{}, opensIn: longestClosed}
	for _, candidate := range c.byService[request.Service] {
		unfit := c.fitness(candidate, request, now)
		refusal.Servers[unfit]++
		if unfit.asked() {
			refusal.opensIn = min(refusal.opensIn, c.opensIn(candidate, now))
		}
		refusal.OldestWord = max(refusal.OldestWord, candidate.word.age(now))
	}
	return refusal
}

// noServer refuses a request that no server may be sent now, with the time until one of
// the allowed regions is expected.
func (c *Core) noServer(request *Request, now time.Time) *Refusal {
	reason := RefusedNoServer
	if c.residencyDecides(request, now) {
		reason = RefusedResidency
	}
	refusal := c.refuse(reason, request, now)
	refusal.RetryAfter = c.soonestReady(request, now)
	if refusal.anyAsked() {
		refusal.RetryAfter = max(refusal.opensIn, refusalRetryFloor)
	}
	if !request.Residency.AllowsAny(c.regions) {
		refusal.RetryAfter = noRegionRetry
	}
	return refusal
}

// soonestReady estimates when a server will be able to take the request, from what
// the agents say of their transfers.
func (c *Core) soonestReady(request *Request, now time.Time) time.Duration {
	engine := request.Engine
	if engine == nil || engine.Pieces == 0 {
		return NoServerRetry
	}
	soonest := emptyTime + engine.CopyTime/2
	for _, told := range c.words {
		if !told.Reachable || now.Sub(told.at) > wordCurrent || !c.allowedAt(told.Address, request.Residency) {
			continue
		}
		left := engine.CopyTime * time.Duration(told.Missing) / time.Duration(engine.Pieces)
		soonest = min(soonest, left+engine.Warm+changeTime/2)
	}
	return max(soonest, refusalRetryFloor)
}
