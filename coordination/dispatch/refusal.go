package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/shedding"
)

// Bounds of the retry times sent with refusals.
const (
	refusalRetryFloor = 100 * time.Millisecond
	refusalRetryCap   = 1500 * time.Millisecond
	// NoServerRetry is sent when there is no server at all.
	NoServerRetry = 700 * time.Millisecond
	// noRegionRetry is sent when no zone of the fleet is in an allowed region: only a configuration change
	// helps. A published configuration takes 2 to 3 s to be in force everywhere; the rest is a guess at the
	// time an operator needs to write it. Callers that come back sooner are refused again.
	noRegionRetry = 5 * time.Second
)

// Estimates of when servers are ready again.
const (
	// switchTime is how long a version switch takes, without a better estimate.
	switchTime = 800 * time.Millisecond
	// unknownTransferTime is the estimate while no agent has reported its transfer's progress.
	unknownTransferTime = 1500 * time.Millisecond
)

// hasFreeSlot reports whether a plain server could begin the request now. Recent late answers are then no
// reason to refuse: they may have been delayed on the way, and without further requests nothing would show
// that the delay is over.
func (k *Candidate) hasFreeSlot(request *Request) bool {
	return request.Engine == nil && k.sends.inFlight < k.listing.server.Slots
}

// admit refuses a request that would queue too long at every server. If it would do so only at the sampled
// ones, the soonest of all is used. A request that was sent to a server before has been admitted and is not
// refused any more. Scarce servers that were not queried are considered before a refusal.
func (c *Core) admit(best *Candidate, usable, all []*Candidate, request *Request, now time.Time) (*Candidate, *Refusal) {
	if request.Resumed || len(request.Tried) > 0 || c.admits(best, request, now) {
		return best, nil
	}
	best = c.soonest(usable, request, now)
	if c.admits(best, request, now) {
		return best, nil
	}
	if scarce := c.soonest(c.scarceOf(all), request, now); scarce != nil && c.admits(scarce, request, now) {
		return scarce, nil
	}
	refusal := c.refuse(RefusedOverload, request, now)
	refusal.Admission = c.admission(best, request, now)
	refusal.RetryAfter = shedding.MinRetryDelay(refusal.Admission.Wait, refusal.Admission.MaxWait, refusalRetryFloor, refusalRetryCap, request.Arrival)
	getOrCreate(c.overloadDetectors, request.Service).RecordRefusal(now.Sub(c.started), request.Arrival)
	return nil, refusal
}

// admission returns the figures by which a request is admitted or refused at a server.
func (c *Core) admission(k *Candidate, request *Request, now time.Time) Admission {
	return Admission{
		IdleTimeToFirstEvent: k.model(request).IdleTimeToFirstEvent(request.Prompt), Wait: c.wait(k, request, now), Lateness: c.startDelay(k, now),
		MaxWait: c.maxWait(k, request, now), Margin: c.marginOf(request.Service).Fraction(),
	}
}

// soonest returns the first of the servers that would begin a request soonest, nil if there are none.
func (c *Core) soonest(usable []*Candidate, request *Request, now time.Time) (best *Candidate) {
	var soonest time.Duration
	for _, candidate := range usable {
		if expected := c.timeToFirstEvent(candidate, request, now); best == nil || expected < soonest {
			best, soonest = candidate, expected
		}
	}
	return best
}

// refuse counts the servers by eligibility, and finds when the first of those opens that are excluded only by
// their notices.
func (c *Core) refuse(reason RefusalReason, request *Request, now time.Time) *Refusal {
	refusal := &Refusal{Reason: reason, Servers: map[Eligibility]int{}, opensIn: maxClosedTime}
	for _, candidate := range c.byService[request.Service] {
		eligibility := c.eligibility(candidate, request, now)
		refusal.Servers[eligibility]++
		if eligibility.byNotice() {
			refusal.opensIn = min(refusal.opensIn, c.opensIn(candidate, now))
		}
		refusal.OldestReport = max(refusal.OldestReport, candidate.report.age(now))
	}
	return refusal
}

// noServer refuses a request for which no server is eligible, with the time until one in the allowed regions
// is expected.
func (c *Core) noServer(request *Request, now time.Time) *Refusal {
	reason := RefusedNoServer
	if c.residencyExcludes(request, now) {
		reason = RefusedResidency
	}
	refusal := c.refuse(reason, request, now)
	refusal.RetryAfter = c.soonestReady(request, now)
	if refusal.anyByNotice() {
		refusal.RetryAfter = max(refusal.opensIn, refusalRetryFloor)
	}
	if !request.Residency.AllowsAny(c.regions) {
		refusal.RetryAfter = noRegionRetry
	}
	return refusal
}

// soonestReady estimates when a server will be able to take the request, from the transfers that the agents
// report.
func (c *Core) soonestReady(request *Request, now time.Time) time.Duration {
	engine := request.Engine
	if engine == nil || engine.Pieces == 0 {
		return NoServerRetry
	}
	earliest := unknownTransferTime + engine.CopyTime/2
	for _, reported := range c.reports {
		if !reported.Reachable || now.Sub(reported.at) >= reportTTL || !c.allowedAt(reported.Address, request.Residency) {
			continue
		}
		remaining := engine.CopyTime * time.Duration(reported.MissingPieces) / time.Duration(engine.Pieces)
		earliest = min(earliest, remaining+engine.ActivationTime+switchTime/2)
	}
	return max(earliest, refusalRetryFloor)
}
