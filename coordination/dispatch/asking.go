package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of load queries.
const (
	// querySampleSize is the number of servers sampled, of which the best-scoring are queried. With all
	// servers in the sample, every entry would query the same ones.
	querySampleSize = 8
	// queriesAtOnce is the number of agents queried at the same time. Querying six more as soon as none of
	// the first would begin the request within half of the limit lowered the value of a day's requests by
	// 0.01 to 0.06: the few idle servers attract every entry.
	queriesAtOnce = 3
	// noReplyTime is how long an agent that did not reply is ranked last for queries, and noReplyCost is the
	// penalty: its machine's link is full or cut, or the agent has stalled.
	noReplyTime = time.Second
	noReplyCost = 200 * time.Millisecond
)

// QueryTargets selects the servers whose agents to query: the best-scoring of a sample, without those queried
// before.
func (c *Core) QueryTargets(request *Request, queried []*Candidate, now time.Time) []*Candidate {
	c.computeMinMissing(now)
	c.computeScarcity(request, now)
	if len(queried) > 0 {
		// None of the others admits the request: a scarce server is better than a refusal.
		clear(c.scarce)
	}
	usable := slices.DeleteFunc(c.usable(request, now), func(k *Candidate) bool { return slices.Contains(queried, k) })
	type scored struct {
		candidate *Candidate
		score     time.Duration
	}
	var buffer [querySampleSize]scored
	ranked := buffer[:0]
	for _, server := range c.sample(usable, querySampleSize) {
		score := c.score(server, request, now)
		if now.Sub(server.report.noReplyAt) < noReplyTime {
			score += noReplyCost
		}
		ranked = append(ranked, scored{candidate: server, score: score})
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	chosen := make([]*Candidate, 0, queriesAtOnce)
	for _, selected := range ranked[:min(queriesAtOnce, len(ranked))] {
		chosen = append(chosen, selected.candidate)
	}
	return chosen
}

// ApplyQueryReplies applies the replies of the queried agents and returns the servers whose agents replied.
func (c *Core) ApplyQueryReplies(queried []*Candidate, replies []LoadReport, now time.Time) []*Candidate {
	for _, report := range replies {
		c.ApplyReport(report, now)
	}
	var replied []*Candidate
	for _, candidate := range queried {
		if slices.ContainsFunc(replies, func(report LoadReport) bool { return report.Address == candidate.Address }) {
			candidate.report.repliedAt = now
			replied = append(replied, candidate)
		} else {
			candidate.report.noReplyAt = now
		}
	}
	return replied
}

// AnyAdmits reports whether one of the queried servers is eligible and would begin the request within its
// maximum wait.
func (c *Core) AnyAdmits(request *Request, now time.Time) bool {
	return slices.ContainsFunc(request.Queried, func(k *Candidate) bool {
		return c.eligibility(k, request, now) == Eligible && c.admits(k, request, now)
	})
}
