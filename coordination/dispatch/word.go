package dispatch

import (
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/health"
)

// reportTTL is the age up to which an agent's word is trusted: four times the 0.3 s that words
// from other zones usually are old.
const reportTTL = 1200 * time.Millisecond

// NoReport is the age of an agent's word that never came.
const NoReport = -time.Second

// timedReport is a word and when it was said.
type timedReport struct {
	LoadReport
	at time.Time
	// unreachableSince is when it was first said that the server is not reached, of the words in a row that say so.
	unreachableSince time.Time
}

// agentReport is what the agent beside a server has told of it.
type agentReport struct {
	timedReport
	// ownCounts is this entry's own part of the load that the word tells.
	ownCounts loadCounts
	// repliedAt is when the agent last answered a question of this entry.
	repliedAt time.Time
	// noReplyAt is when the agent last did not answer a question.
	noReplyAt time.Time
}

// current reports whether the agent's word is recent.
func (w *agentReport) current(now time.Time) bool {
	return !w.at.IsZero() && now.Sub(w.at) < reportTTL
}

// receivedCurrent reports whether what the agent counted can still be in the span that ends now.
func (w *agentReport) receivedCurrent(now time.Time) bool {
	return w.current(now) && now.Sub(w.at) < admission.ColdSpan
}

// silent reports whether the server has an agent that has fallen silent.
func (w *agentReport) silent(now time.Time) bool {
	return !w.at.IsZero() && now.Sub(w.at) >= reportTTL
}

func (w *agentReport) age(now time.Time) time.Duration {
	if w.at.IsZero() {
		return NoReport
	}
	return now.Sub(w.at)
}

// untilSwitch is the time until the server changes over; it counts only when that is planned.
func (w *agentReport) untilSwitch(now time.Time) time.Duration { return w.SwitchIn - now.Sub(w.at) }

// ApplyReport notes an agent's word on its server and when it was said. It reports whether the word
// is news, and returns the server if it tells another version, or another reachability, of it.
func (c *Core) ApplyReport(word LoadReport, at time.Time) (news bool, changed *Candidate) {
	if c.reports[word.Address].at.After(at) {
		// An answer to a question overtakes what is told all the time.
		return false, nil
	}
	if c.fromFormerIncarnation(word, at) {
		return false, nil
	}
	if !word.Reachable {
		// The agent sees no request begin there: what waits could only grow.
		word.Waiting, word.UnreadTokens = 0, 0
	}
	former, heard := c.reports[word.Address]
	fresh := timedReport{LoadReport: word, at: at}
	if !word.Reachable {
		fresh.unreachableSince = at
		if heard && !former.Reachable && !former.StartTime.Differs(word.StartTime) {
			fresh.unreachableSince = former.unreachableSince
		}
	}
	c.reports[word.Address] = fresh
	known := c.byAddress[word.Address]
	if known == nil {
		return true, nil
	}
	if known.aheadOfList(word, at) {
		return true, nil
	}
	if known.report.Reachable != word.Reachable || known.report.Version != word.Version {
		changed = known
	}
	known.report.timedReport = fresh
	known.report.ownCounts = known.sends.countsAt(at)
	known.version = max(known.version, word.Version)
	c.extendForCold(known)
	return true, changed
}

// Bounds of trust in births: a list and agents that go on telling different ones must not keep a server
// from being used.
const (
	// formerReportTime is how long words on a former incarnation may come late: as long as agents' words
	// are passed on.
	formerReportTime = 10 * time.Second
	// aheadOfListTime is how long the list may take to name an incarnation that an agent knows: a line is
	// written at the start, and reaches entries within a second.
	aheadOfListTime = 2 * time.Second
)

// fromFormerIncarnation reports whether a word is on a life of its server that is over, by what the list or a
// later word has lately told.
func (c *Core) fromFormerIncarnation(word LoadReport, at time.Time) bool {
	if held := c.reports[word.Address]; word.StartTime.Before(held.StartTime) && at.Sub(held.at) < formerReportTime {
		return true
	}
	known := c.byAddress[word.Address]
	return known != nil && word.StartTime.Before(known.listing.server.StartTime) && at.Sub(known.listing.firstListed) < formerReportTime
}

// aheadOfList reports whether a word is on an incarnation that the list does not name yet. The one that it
// names gets nothing until the list follows, or has had the time for that.
func (k *Candidate) aheadOfList(word LoadReport, at time.Time) bool {
	if !k.listing.server.StartTime.Before(word.StartTime) {
		return false
	}
	if k.listing.nextStart != word.StartTime {
		k.listing.nextStart, k.listing.endedUntil = word.StartTime, at.Add(aheadOfListTime)
	}
	return at.Before(k.listing.endedUntil)
}

// FailureSuspected reports whether there is evidence against a server beside its own silence, for a request
// that was sent there at a time.
func (c *Core) FailureSuspected(k *Candidate, sentAt, now time.Time) bool {
	onTrial := c.health.OnLostTrial(k.ID, c.elapsed(sentAt), c.elapsed(k.report.unreachableSince))
	return k.report.silent(now) || (c.lost(k, now) && !onTrial) ||
		(c.health.Mute(k.ID, c.elapsed(sentAt)) && c.hasAlternative(k, now))
}

// hasAlternative reports whether the service of a server has another one that is sent ordinary requests.
func (c *Core) hasAlternative(k *Candidate, now time.Time) bool {
	return slices.ContainsFunc(c.byService[k.listing.server.Service], func(other *Candidate) bool {
		state := c.health.State(other.ID, c.elapsed(now))
		return other != k && !c.Leaving(other) && (state == health.InOrder || state == health.Suspect)
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
