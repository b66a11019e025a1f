package dispatch

import (
	"slices"
	"time"
)

// Eligibility is whether a server may be sent a request, and why not.
type Eligibility string

// Reasons for which a server is not sent a request.
const (
	Eligible       Eligibility = "usable"
	unfitLeaving   Eligibility = "leaving"
	unfitTried     Eligibility = "tried before"
	unfitAvoided   Eligibility = "runs another suspect"
	unfitEvacuated Eligibility = "zone evacuated"
	unfitRegion    Eligibility = "outside the allowed regions"
	unfitCold      Eligibility = "cold, and has its share"
	unfitLimited   Eligibility = "names a limit, and has its share"
	unfitResting   Eligibility = "has asked for rest"
	// Those below are of model servers.
	unfitUnreachable Eligibility = "unreachable"
	unfitEmpty       Eligibility = "serves nothing"
	unfitChanging    Eligibility = "changing over"
	unfitVersion     Eligibility = "other version"
	unfitBound       Eligibility = "would begin after the version's bound"
)

// switchMargin is how long before its switch a server is sent nothing more.
const switchMargin = 150 * time.Millisecond

// fitness returns whether a server may be sent the request.
func (c *Core) fitness(k *Candidate, request *Request, now time.Time) Eligibility {
	switch {
	case !c.Allowed(k.Zone, request.Residency):
		return unfitRegion
	case c.Leaving(k), now.Before(k.listing.endedTill):
		return unfitLeaving
	case c.Evacuated(k.Zone):
		return unfitEvacuated
	case slices.Contains(request.Tried, k):
		return unfitTried
	case slices.Contains(request.Excluded, k.ID):
		return unfitAvoided
	}
	if request.Engine != nil {
		if reason := c.modelFitness(k, request, now); reason != Eligible {
			return reason
		}
	}
	if c.coldFull(k, now) {
		return unfitCold
	}
	if k.asked.rests(now) {
		return unfitResting
	}
	if k.limit.inForce() && c.limitOpensIn(k, now) > 0 {
		return unfitLimited
	}
	// Last, because servers that their health leaves out are taken when there is no other.
	return c.healthFitness(k, request, now)
}

// modelFitness returns whether a model server serves a fitting version now.
func (c *Core) modelFitness(k *Candidate, request *Request, now time.Time) Eligibility {
	version := k.servedVersion(now)
	if k.word.current(now) {
		switch {
		case c.lost(k, now) && !c.mayTryLost(k, request, now):
			return unfitUnreachable
		case k.word.SwitchPlanned && k.word.untilSwitch(now) < switchMargin:
			return unfitChanging
		case k.word.Version == 0:
			return unfitEmpty
		}
	} else if !k.listing.server.HoldsModel {
		return unfitEmpty
	}
	if (request.ExactVersion != 0 && version != request.ExactVersion) || version < request.MinVersion {
		return unfitVersion
	}
	if bound, limited := request.VersionDeadlines.For(version); limited && c.beyondBound(k, request, now, bound) {
		return unfitBound
	}
	return Eligible
}

// usable lists the servers that may be sent the request.
func (c *Core) usable(request *Request, now time.Time) []*Candidate {
	all := c.byService[request.Service]
	candidates := byHealth{fit: make([]*Candidate, 0, len(all))}
	for _, candidate := range all {
		candidates.add(candidate, c.fitness(candidate, request, now))
	}
	return c.pickByHealth(&candidates, request, now)
}
