package dispatch

import (
	"slices"
	"time"
)

// Eligibility says whether a server may be sent a request, and why not.
type Eligibility string

// Eligibility values.
const (
	Eligible            Eligibility = "usable"
	excludedLeaving     Eligibility = "leaving"
	excludedTried       Eligibility = "tried before"
	excludedByRequest   Eligibility = "runs another suspect"
	excludedEvacuated   Eligibility = "zone evacuated"
	excludedRegion      Eligibility = "outside the allowed regions"
	excludedCold        Eligibility = "cold, and has its share"
	excludedRateLimited Eligibility = "names a limit, and has its share"
	excludedBackoff     Eligibility = "has asked for rest"
	// The following apply to model servers only.
	excludedUnreachable     Eligibility = "unreachable"
	excludedEmpty           Eligibility = "serves nothing"
	excludedSwitching       Eligibility = "changing over"
	excludedVersion         Eligibility = "other version"
	excludedVersionDeadline Eligibility = "would begin after the version's bound"
)

// switchMargin is how long before its switch a server is sent no more requests.
const switchMargin = 150 * time.Millisecond

// eligibility returns whether a server may be sent the request.
func (c *Core) eligibility(k *Candidate, request *Request, now time.Time) Eligibility {
	switch {
	case !c.Allowed(k.Zone, request.Residency):
		return excludedRegion
	case c.Leaving(k), now.Before(k.listing.presumedEndedUntil):
		return excludedLeaving
	case c.Evacuated(k.Zone):
		return excludedEvacuated
	case slices.Contains(request.Tried, k):
		return excludedTried
	case slices.Contains(request.Excluded, k.ID):
		return excludedByRequest
	}
	if request.Engine != nil {
		if reason := c.modelEligibility(k, request, now); reason != Eligible {
			return reason
		}
	}
	if c.coldShareUsed(k, now) {
		return excludedCold
	}
	if k.notices.backingOff(now) {
		return excludedBackoff
	}
	if k.rateLimit.inForce() && c.limitOpensIn(k, now) > 0 {
		return excludedRateLimited
	}
	// Checked last: servers excluded by their health are used when there are no others.
	return c.healthEligibility(k, request, now)
}

// modelEligibility returns whether a model server serves a suitable version now.
func (c *Core) modelEligibility(k *Candidate, request *Request, now time.Time) Eligibility {
	version := k.servedVersion(now)
	if k.report.current(now) {
		switch {
		case c.lost(k, now) && !c.mayTryLost(k, request, now):
			return excludedUnreachable
		case k.report.SwitchPlanned && k.report.untilSwitch(now) < switchMargin:
			return excludedSwitching
		case k.report.Version == 0:
			return excludedEmpty
		}
	} else if !k.listing.server.HoldsModel {
		return excludedEmpty
	}
	if (request.ExactVersion != 0 && version != request.ExactVersion) || version < request.MinVersion {
		return excludedVersion
	}
	if deadline, found := request.VersionDeadlines.For(version); found && c.missesVersionDeadline(k, request, now, deadline) {
		return excludedVersionDeadline
	}
	return Eligible
}

// usable returns the servers that may be sent the request.
func (c *Core) usable(request *Request, now time.Time) []*Candidate {
	all := c.byService[request.Service]
	candidates := healthGroups{healthy: make([]*Candidate, 0, len(all))}
	for _, candidate := range all {
		candidates.add(candidate, c.eligibility(candidate, request, now))
	}
	return c.selectByHealth(&candidates, request, now)
}
