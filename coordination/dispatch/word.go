package dispatch

import (
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/health"
)

// reportTTL is the age up to which a report is used: four times the 0.3 s that reports from other zones
// usually are old.
const reportTTL = 1200 * time.Millisecond

// NoReport is the age of a report that never arrived.
const NoReport = -time.Second

// timedReport is a load report with its time.
type timedReport struct {
	LoadReport
	at time.Time
	// unreachableSince is the time of the first of the consecutive reports that the server is unreachable.
	unreachableSince time.Time
}

// agentReport holds the latest report of a server's agent.
type agentReport struct {
	timedReport
	// ownCounts is this entry's own part of the reported load.
	ownCounts loadCounts
	// repliedAt is when the agent last replied to a load query of this entry.
	repliedAt time.Time
	// noReplyAt is when the agent last failed to reply to one.
	noReplyAt time.Time
}

// current reports whether the report is recent enough to be used.
func (r *agentReport) current(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) < reportTTL
}

// receivedCurrent reports whether requests that the agent counted can still be in the cold window that ends
// now.
func (r *agentReport) receivedCurrent(now time.Time) bool {
	return r.current(now) && now.Sub(r.at) < admission.ColdWindow
}

// silent reports whether the server has an agent whose reports have stopped.
func (r *agentReport) silent(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) >= reportTTL
}

func (r *agentReport) age(now time.Time) time.Duration {
	if r.at.IsZero() {
		return NoReport
	}
	return now.Sub(r.at)
}

// untilSwitch returns the time until the server switches versions; valid only when a switch is planned.
func (r *agentReport) untilSwitch(now time.Time) time.Duration { return r.SwitchIn - now.Sub(r.at) }

// ApplyReport applies an agent's report on its server, made at the given time. It reports whether the report
// was applied, and returns the server if its version or its reachability changed.
func (c *Core) ApplyReport(report LoadReport, at time.Time) (applied bool, changed *Candidate) {
	if c.reports[report.Address].at.After(at) {
		// The reply to a load query has overtaken this periodic report.
		return false, nil
	}
	if c.fromFormerIncarnation(report, at) {
		return false, nil
	}
	if !report.Reachable {
		// The agent sees no request begin there, so the waiting ones could only grow.
		report.Waiting, report.UnreadTokens = 0, 0
	}
	previous, found := c.reports[report.Address]
	latest := timedReport{LoadReport: report, at: at}
	if !report.Reachable {
		latest.unreachableSince = at
		if found && !previous.Reachable && !previous.StartTime.Differs(report.StartTime) {
			latest.unreachableSince = previous.unreachableSince
		}
	}
	c.reports[report.Address] = latest
	candidate := c.byAddress[report.Address]
	if candidate == nil {
		return true, nil
	}
	if candidate.aheadOfList(report, at) {
		return true, nil
	}
	if candidate.report.Reachable != report.Reachable || candidate.report.Version != report.Version {
		changed = candidate
	}
	candidate.report.timedReport = latest
	candidate.report.ownCounts = candidate.sends.countsAt(at)
	candidate.version = max(candidate.version, report.Version)
	c.extendForCold(candidate)
	return true, changed
}

// Limits of trust in start times: a list and agents that keep reporting different ones must not exclude a
// server for good.
const (
	// formerReportTime is how long reports on a former incarnation may arrive late: as long as agents'
	// reports are forwarded.
	formerReportTime = 10 * time.Second
	// aheadOfListTime is how long the list may take to name an incarnation that an agent knows: the list
	// entry is written at the start, and reaches entries within a second.
	aheadOfListTime = 2 * time.Second
)

// fromFormerIncarnation reports whether a report is on an incarnation of its server that has ended, by the
// list or a recent later report.
func (c *Core) fromFormerIncarnation(report LoadReport, at time.Time) bool {
	if latest := c.reports[report.Address]; report.StartTime.Before(latest.StartTime) && at.Sub(latest.at) < formerReportTime {
		return true
	}
	candidate := c.byAddress[report.Address]
	return candidate != nil && report.StartTime.Before(candidate.listing.server.StartTime) && at.Sub(candidate.listing.firstListed) < formerReportTime
}

// aheadOfList reports whether a report is on an incarnation that the list does not name yet. The listed one
// is sent nothing until the list names the newer one, or aheadOfListTime has passed.
func (k *Candidate) aheadOfList(report LoadReport, at time.Time) bool {
	if !k.listing.server.StartTime.Before(report.StartTime) {
		return false
	}
	if k.listing.nextStart != report.StartTime {
		k.listing.nextStart, k.listing.presumedEndedUntil = report.StartTime, at.Add(aheadOfListTime)
	}
	return at.Before(k.listing.presumedEndedUntil)
}

// FailureSuspected reports whether there is evidence against a server other than its silence, for a request
// sent there at sentAt.
func (c *Core) FailureSuspected(k *Candidate, sentAt, now time.Time) bool {
	onTrial := c.health.IsLostTrial(k.ID, c.elapsed(sentAt), c.elapsed(k.report.unreachableSince))
	return c.agentSilent(k, now) || (c.lost(k, now) && !onTrial) ||
		(c.health.Unresponsive(k.ID, c.elapsed(sentAt)) && c.hasAlternative(k, now))
}

// agentSilent reports whether the silence of a server's agent is evidence against the server. It is not if the
// reports ended because the server is no longer listed, unless another one is listed at its address: it has
// stopped then.
func (c *Core) agentSilent(k *Candidate, now time.Time) bool {
	holder := c.byAddress[k.Address]
	switch {
	case holder == nil && k.listing.agentCurrent:
		return false
	case holder != nil && holder.ID == k.ID && !holder.listing.server.StartTime.Differs(k.listing.server.StartTime):
		// The server may have been dropped and listed again, which makes another Candidate of it.
		return holder.report.silent(now)
	}
	return k.report.silent(now)
}

// hasAlternative reports whether the service of a server has another one that is sent ordinary requests.
func (c *Core) hasAlternative(k *Candidate, now time.Time) bool {
	return slices.ContainsFunc(c.byService[k.listing.server.Service], func(other *Candidate) bool {
		state := c.health.State(other.ID, c.elapsed(now))
		return other != k && !c.Leaving(other) && (state == health.Healthy || state == health.Suspect)
	})
}

// outstanding estimates how many requests the server holds.
func (k *Candidate) outstanding(now time.Time) int {
	if !k.report.current(now) || !k.report.Reachable {
		return k.sends.inFlight
	}
	others := max(0, k.report.Running+k.report.Waiting-k.report.ownCounts.inFlight)
	return others + k.sends.inFlight
}
