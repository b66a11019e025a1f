package dispatch

import (
	"maps"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/health"
)

// Reasons of servers' health for which they are not sent a request.
const (
	excludedEjected Eligibility = "ejected"
	excludedOnTrial Eligibility = "on trial"
	// excludedSuspect leaves a server out for requests that must not run twice, or have failed
	// before, as long as there are others.
	excludedSuspect Eligibility = "suspect"
	// eligibleForTrial is no reason against: the request is the server's trial.
	eligibleForTrial Eligibility = "to be tried"
)

// suspectCost is what using a suspect server weighs in the choice: about what a request loses
// that fails there and begins anew elsewhere, at the share of failures that is looked for.
const suspectCost = 50 * time.Millisecond

// elapsed is a moment as the health of servers counts time.
func (c *Core) elapsed(moment time.Time) time.Duration { return moment.Sub(c.started) }

// healthEligibility returns whether a server's health lets it be sent a request.
func (c *Core) healthEligibility(k *Candidate, request *Request, now time.Time) Eligibility {
	if c.lost(k, now) {
		// It was left out before but for its trial.
		return eligibleForTrial
	}
	switch c.health.State(k.ID, c.elapsed(now)) {
	case health.Ejected:
		return excludedEjected
	case health.OnTrial:
		if len(request.Tried) > 0 || !c.health.MayTry(k.ID, request.retryable(), c.elapsed(now)) {
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

// retryable reports whether another attempt would follow one that fails.
func (r *Request) retryable() bool { return !r.AtMostOnce && !r.LastAttempt }

// healthGroups are the servers that a request may be sent to but for their health, by what that says.
type healthGroups struct {
	fit, suspect, forTrial, onTrial, ejected []*Candidate
}

// add takes in a server; one that is left out for another reason is none of them.
func (b *healthGroups) add(k *Candidate, reason Eligibility) {
	switch reason {
	case Eligible:
		b.fit = append(b.fit, k)
	case excludedSuspect:
		b.suspect = append(b.suspect, k)
	case eligibleForTrial:
		b.forTrial = append(b.forTrial, k)
	case excludedOnTrial:
		b.onTrial = append(b.onTrial, k)
	case excludedEjected:
		b.ejected = append(b.ejected, k)
	}
}

// selectByHealth picks among servers by their health: the one that the request is a trial of, if it
// would begin there in time, or else those in order, suspect ones only when there is no other, and
// ejected ones only when there is none of these.
func (c *Core) selectByHealth(candidates *healthGroups, request *Request, now time.Time) []*Candidate {
	if len(candidates.forTrial) > 1 {
		// Where trials are rare, none is passed over for those before it on the list.
		c.shuffleServers(candidates.forTrial)
	}
	for _, one := range candidates.forTrial {
		if c.admits(one, request, now) {
			return []*Candidate{one}
		}
	}
	for _, some := range [...][]*Candidate{candidates.fit, candidates.suspect, candidates.forTrial, candidates.onTrial} {
		if len(some) > 0 {
			return some
		}
	}
	return candidates.ejected
}

// shuffleServers puts servers in a random order.
func (c *Core) shuffleServers(servers []*Candidate) {
	c.shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
}

// healthCost is what a server's health weighs in the choice.
func (c *Core) healthCost(k *Candidate, now time.Time) time.Duration {
	if c.health.State(k.ID, c.elapsed(now)) == health.Suspect {
		return suspectCost
	}
	return 0
}

// beginTrial notes that a request is being sent to a server on trial, and reports whether it is.
func (c *Core) beginTrial(k *Candidate, now time.Time) bool {
	if c.lost(k, now) {
		c.health.BeginLostTrial(k.ID, c.elapsed(now))
		return true
	}
	return c.health.BeginTrial(k.ID, c.elapsed(now))
}

// lost reports whether the agent beside a server does not reach it, and no answer outweighs that.
func (c *Core) lost(k *Candidate, now time.Time) bool {
	return k.report.current(now) && !k.report.Reachable && !c.health.Proven(k.ID, c.elapsed(k.report.unreachableSince), c.elapsed(now))
}

// mayTryLost reports whether a request may be the trial of a lost server.
func (c *Core) mayTryLost(k *Candidate, request *Request, now time.Time) bool {
	if !request.retryable() || len(request.Tried) > 0 || k.report.unreachableSince.IsZero() {
		return false
	}
	due := c.health.MayTryLost
	if !c.otherServes(k, now) {
		due = c.health.MayTryLastLost
	}
	return due(k.ID, c.elapsed(k.report.unreachableSince), c.elapsed(now)) && c.leavesTimeForRetry(k, request, now)
}

// otherServes reports whether the service of a model server has another one that gets requests, if only
// for want of others, so that attempts are counted there.
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

// lostTrialFactor is how many times the usual time a lost server's trial waits for its answer: as long
// as silence takes to count as evidence elsewhere. Its agent is the second witness, so that it need not
// be waited for as long as at other servers, which at a service whose answers take 0.5 s would be the
// 5 s that many callers have in all (TestTrialOfAMuteLostServerAtASlowService).
const lostTrialFactor = 4

// lostTrialTimeout is the silence after which a lost server's trial is given up: the target, where no
// answer has shown what is usual.
func (c *Core) lostTrialTimeout(k *Candidate, request *Request, now time.Time) time.Duration {
	patience := max(request.MinOverdueTime, lostTrialFactor*c.startByLoad(k, request, now))
	if seen := c.observedAnswer(k, request); seen > 0 {
		return max(patience, lostTrialFactor*seen)
	}
	return max(patience, request.Target)
}

// typicalTrial is how long the answer to a trial usually takes to begin.
func (c *Core) typicalTrial(k *Candidate, request *Request, now time.Time) time.Duration {
	return max(c.typicalAnswer(k, request), c.startByLoad(k, request, now))
}

// leavesTimeForRetry reports whether a trial of a lost server that stays silent leaves its request the time that
// an answer usually takes elsewhere.
func (c *Core) leavesTimeForRetry(k *Candidate, request *Request, now time.Time) bool {
	return request.TimeLeft <= 0 || c.lostTrialTimeout(k, request, now)+c.typicalTrial(k, request, now) <= request.TimeLeft
}

// updateHealth takes over which servers there are.
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

// HealthUpdates is what has changed with servers' health, and what the zone's other entries are to
// be told.
type HealthUpdates struct {
	Changes []health.Change
	Reports []health.Word
}

// TakeHealthUpdates returns the news since the last call.
func (c *Core) TakeHealthUpdates() HealthUpdates {
	news := HealthUpdates{Changes: c.healthChanges, Reports: c.health.TakeWords()}
	c.healthChanges = nil
	return news
}

func (c *Core) recordHealth(change health.Change, changed bool) {
	if changed {
		c.healthChanges = append(c.healthChanges, change)
	}
}

// Outcome is what an attempt at a server has shown.
type Outcome struct {
	health.Outcome
	// Class groups requests that are alike, such as those of one route.
	Class  string
	SentAt time.Time
	// Retried is set when the same request had failed elsewhere before.
	Retried bool
}

// Observe notes what an attempt has shown of its server.
func (c *Core) Observe(k *Candidate, outcome Outcome, now time.Time) {
	if current := c.byID[k.ID]; current != nil && current != k {
		// Another server has its name now.
		return
	}
	c.recordHealth(c.health.Observe(health.Attempt{
		Server: k.ID, Class: outcome.Class, Outcome: outcome.Outcome, Sent: c.elapsed(outcome.SentAt), Repeated: outcome.Retried,
		Lost: k.report.current(now) && !k.report.Reachable, LostAt: c.elapsed(k.report.unreachableSince),
	}, c.elapsed(now)))
}

// EndTrial notes that an attempt has ended that says nothing of its server; it ends the server's
// trial if it was that.
func (c *Core) EndTrial(send *Send, now time.Time) {
	if send != nil && send.trial && c.byID[send.candidate.ID] == send.candidate {
		c.health.EndTrial(send.candidate.ID, c.elapsed(now))
	}
}

// ApplyHealthReport takes in what another entry of the zone said of a server at a time.
func (c *Core) ApplyHealthReport(word health.Word, at, now time.Time) {
	c.recordHealth(c.health.Hear(word, c.elapsed(at), c.elapsed(now)))
}

// SetZoneEntries takes over which other entries the zone has: they take turns with trials.
func (c *Core) SetZoneEntries(entries []string) { c.health.SetMembers(entries) }

// EjectedServers is how many servers are ejected or on trial.
func (c *Core) EjectedServers() int { return len(c.health.Ejected()) }

// RecordAnswerTime notes how long a whole answer took.
func (c *Core) RecordAnswerTime(k *Candidate, took time.Duration) { k.answerTimes.addWhole(took) }
