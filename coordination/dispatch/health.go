package dispatch

import (
	"maps"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/health"
)

// Eligibility values that depend on a server's health.
const (
	excludedEjected Eligibility = "ejected"
	excludedOnTrial Eligibility = "on trial"
	// excludedSuspect excludes a server from requests that must run at most once or have failed before, as
	// long as there are others.
	excludedSuspect Eligibility = "suspect"
	// eligibleForTrial does not exclude the server: the request is its trial.
	eligibleForTrial Eligibility = "to be tried"
)

// suspectCost is the penalty of a suspect server: about the time lost by a request that fails there and is
// retried elsewhere, at the failure ratio that makes a server suspect.
const suspectCost = 50 * time.Millisecond

// elapsed converts a time to the health tracker's time, which counts from the start.
func (c *Core) elapsed(moment time.Time) time.Duration { return moment.Sub(c.started) }

// healthEligibility returns whether a server's health allows it to be sent a request.
func (c *Core) healthEligibility(k *Candidate, request *Request, now time.Time) Eligibility {
	if c.lost(k, now) {
		// Without a trial due it was excluded before.
		return eligibleForTrial
	}
	switch c.health.State(k.ID, c.elapsed(now)) {
	case health.Ejected:
		return excludedEjected
	case health.OnTrial:
		if len(request.Tried) > 0 || !c.health.MayBeginTrial(k.ID, request.retryable(), c.elapsed(now)) {
			return excludedOnTrial
		}
		return eligibleForTrial
	case health.Suspect:
		if len(request.Tried) > 0 || request.AtMostOnce {
			return excludedSuspect
		}
	}
	return Eligible
}

// retryable reports whether another attempt would follow a failed one.
func (r *Request) retryable() bool { return !r.AtMostOnce && !r.LastAttempt }

// healthGroups groups the servers that are eligible apart from their health by what their health allows.
type healthGroups struct {
	healthy, suspect, forTrial, onTrial, ejected []*Candidate
}

// add adds a server to its group. A server excluded for another reason is in none.
func (g *healthGroups) add(k *Candidate, reason Eligibility) {
	switch reason {
	case Eligible:
		g.healthy = append(g.healthy, k)
	case excludedSuspect:
		g.suspect = append(g.suspect, k)
	case eligibleForTrial:
		g.forTrial = append(g.forTrial, k)
	case excludedOnTrial:
		g.onTrial = append(g.onTrial, k)
	case excludedEjected:
		g.ejected = append(g.ejected, k)
	}
}

// selectByHealth selects servers by their health: the one that the request is a trial of, if it would begin
// there in time; otherwise healthy servers, suspect ones only without healthy ones, and ejected ones only
// without any others.
func (c *Core) selectByHealth(candidates *healthGroups, request *Request, now time.Time) []*Candidate {
	if len(candidates.forTrial) > 1 {
		// Where trials are rare, no server is passed over for those before it on the list.
		c.shuffleServers(candidates.forTrial)
	}
	for _, candidate := range candidates.forTrial {
		if c.admits(candidate, request, now) {
			return []*Candidate{candidate}
		}
	}
	for _, group := range [...][]*Candidate{candidates.healthy, candidates.suspect, candidates.forTrial, candidates.onTrial} {
		if len(group) > 0 {
			return group
		}
	}
	return candidates.ejected
}

// shuffleServers puts servers in random order.
func (c *Core) shuffleServers(servers []*Candidate) {
	c.shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
}

// healthCost returns the penalty for a server's health.
func (c *Core) healthCost(k *Candidate, now time.Time) time.Duration {
	if c.health.State(k.ID, c.elapsed(now)) == health.Suspect {
		return suspectCost
	}
	return 0
}

// beginTrial records that a request is being sent to a server on trial, and reports whether it is a trial.
func (c *Core) beginTrial(k *Candidate, now time.Time) bool {
	if c.lost(k, now) {
		c.health.BeginLostTrial(k.ID, c.elapsed(now))
		return true
	}
	return c.health.BeginTrial(k.ID, c.elapsed(now))
}

// lost reports whether the agent cannot reach its server and no answer of the server outweighs that.
func (c *Core) lost(k *Candidate, now time.Time) bool {
	return k.report.current(now) && !k.report.Reachable && !c.health.Confirmed(k.ID, c.elapsed(k.report.unreachableSince), c.elapsed(now))
}

// mayTryLost reports whether a request may be the trial of a lost server.
func (c *Core) mayTryLost(k *Candidate, request *Request, now time.Time) bool {
	if !request.retryable() || len(request.Tried) > 0 || k.report.unreachableSince.IsZero() {
		return false
	}
	due := c.health.MayBeginLostTrial
	if !c.otherServes(k, now) {
		due = c.health.MayBeginLostTrialUnlimited
	}
	return due(k.ID, c.elapsed(k.report.unreachableSince), c.elapsed(now)) && c.leavesTimeForRetry(k, request, now)
}

// otherServes reports whether the service of a model server has another one that gets requests, if only for
// lack of others, so that attempts are counted there.
func (c *Core) otherServes(k *Candidate, now time.Time) bool {
	return slices.ContainsFunc(c.byService[k.listing.server.Service], func(other *Candidate) bool {
		switch {
		case other == k || c.Leaving(other) || c.Evacuated(other.Zone) || c.lost(other, now):
			return false
		case other.report.current(now):
			return other.report.Version != 0
		}
		return other.listing.server.HoldsModel
	})
}

// lostTrialFactor is the timeout of a lost server's trial as a multiple of its typical time: the multiple at
// which silence counts as evidence elsewhere. The agent's report is a second witness, so the wait can be
// shorter than at other servers, where it would be 5 s for a service with answers of 0.5 s, which is all that
// many callers have (TestTrialOfAnUnresponsiveLostServerAtASlowService).
const lostTrialFactor = 4

// lostTrialTimeout returns the silence after which a lost server's trial is abandoned. It falls back to the
// target while no answer has been observed.
func (c *Core) lostTrialTimeout(k *Candidate, request *Request, now time.Time) time.Duration {
	timeout := max(request.MinOverdueTime, lostTrialFactor*c.startByLoad(k, request, now))
	if observed := c.observedAnswerTime(k, request); observed > 0 {
		return max(timeout, lostTrialFactor*observed)
	}
	return max(timeout, request.Target)
}

// typicalTrialTime returns how long the answer to a trial typically takes to begin.
func (c *Core) typicalTrialTime(k *Candidate, request *Request, now time.Time) time.Duration {
	return max(c.typicalAnswerTime(k, request), c.startByLoad(k, request, now))
}

// leavesTimeForRetry reports whether a lost server's trial that times out leaves the request the time that an
// answer typically takes elsewhere.
func (c *Core) leavesTimeForRetry(k *Candidate, request *Request, now time.Time) bool {
	return request.TimeRemaining <= 0 || c.lostTrialTimeout(k, request, now)+c.typicalTrialTime(k, request, now) <= request.TimeRemaining
}

// updateHealth passes the listed servers to the health tracker.
func (c *Core) updateHealth(old Fleet) {
	listed := map[string][]string{}
	for _, server := range old.Servers {
		listed[server.Service] = nil
	}
	for _, server := range c.fleet.Servers {
		listed[server.Service] = append(listed[server.Service], server.ID)
	}
	for _, service := range slices.Sorted(maps.Keys(listed)) {
		c.healthChanges = append(c.healthChanges, c.health.SetServers(service, listed[service])...)
	}
}

// HealthUpdates holds the changes of servers' health, and the reports to send to the zone's other entries.
type HealthUpdates struct {
	Changes []health.Change
	Reports []health.Report
}

// TakeHealthUpdates returns the updates since the previous call.
func (c *Core) TakeHealthUpdates() HealthUpdates {
	updates := HealthUpdates{Changes: c.healthChanges, Reports: c.health.TakeReports()}
	c.healthChanges = nil
	return updates
}

func (c *Core) recordHealth(change health.Change, changed bool) {
	if changed {
		c.healthChanges = append(c.healthChanges, change)
	}
}

// Outcome is the result of an attempt at a server.
type Outcome struct {
	health.Outcome
	// Class groups similar requests, such as those of one route.
	Class  string
	SentAt time.Time
	// Retried is set when the same request has failed at another server before.
	Retried bool
}

// Observe records the outcome of an attempt for its server.
func (c *Core) Observe(k *Candidate, outcome Outcome, now time.Time) {
	if current := c.byID[k.ID]; current != nil && current != k {
		// The ID belongs to another server now.
		return
	}
	c.recordHealth(c.health.Observe(health.Attempt{
		Server: k.ID, Class: outcome.Class, Outcome: outcome.Outcome, Sent: c.elapsed(outcome.SentAt), Retry: outcome.Retried,
		Lost: k.report.current(now) && !k.report.Reachable, LostAt: c.elapsed(k.report.unreachableSince),
	}, c.elapsed(now)))
}

// EndTrial records the end of an attempt that says nothing about its server. If it was the server's trial,
// the trial ends.
func (c *Core) EndTrial(send *Send, now time.Time) {
	if send != nil && send.trial && c.byID[send.candidate.ID] == send.candidate {
		c.health.EndTrial(send.candidate.ID, c.elapsed(now))
	}
}

// ApplyHealthReport applies a health report that another entry of the zone sent at the given time.
func (c *Core) ApplyHealthReport(report health.Report, at, now time.Time) {
	c.recordHealth(c.health.ApplyReport(report, c.elapsed(at), c.elapsed(now)))
}

// SetZoneEntries sets the zone's other entries, with which this one takes turns at trials.
func (c *Core) SetZoneEntries(entries []string) { c.health.SetMembers(entries) }

// EjectedServers returns the number of servers that are ejected or on trial.
func (c *Core) EjectedServers() int { return len(c.health.Ejected()) }

// RecordAnswerTime records how long a complete answer took.
func (c *Core) RecordAnswerTime(k *Candidate, elapsed time.Duration) {
	k.answerTimes.addComplete(elapsed)
}
