package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of asking.
const (
	// querySampleSize is how many servers are drawn, among which the most promising are asked:
	// were it all of them, every entry would ask the same.
	querySampleSize = 8
	// queriesAtOnce is how many agents are asked at once. Asking six more as soon as none of
	// the first would begin the request within half of the limit was worse, by 0.01 to 0.06
	// of a day's worth: the few idle servers draw everybody.
	queriesAtOnce = 3
	// noReplyTime is how long an agent that has not answered is asked last, and
	// unansweredCost what that weighs in the choice of whom to ask: its machine's link is
	// full or cut, or the agent stands still.
	noReplyTime = time.Second
	noReplyCost = 200 * time.Millisecond
)

// QueryTargets picks the servers whose agents to ask: the most promising of a few, without those
// that were asked before.
func (c *Core) QueryTargets(request *Request, before []*Candidate, now time.Time) []*Candidate {
	c.computeMinMissing(now)
	c.computeScarcity(request, now)
	if len(before) > 0 {
		// None of the others admits it: what is scarce is better than a refusal.
		clear(c.scarce)
	}
	usable := slices.DeleteFunc(c.usable(request, now), func(k *Candidate) bool { return slices.Contains(before, k) })
	type promise struct {
		candidate *Candidate
		score     time.Duration
	}
	var drawn [querySampleSize]promise
	promises := drawn[:0]
	for _, one := range c.sample(usable, querySampleSize) {
		score := c.score(one, request, now)
		if now.Sub(one.report.noReplyAt) < noReplyTime {
			score += noReplyCost
		}
		promises = append(promises, promise{candidate: one, score: score})
	}
	slices.SortFunc(promises, func(a, b promise) int { return cmp.Compare(a.score, b.score) })
	chosen := make([]*Candidate, 0, queriesAtOnce)
	for _, one := range promises[:min(queriesAtOnce, len(promises))] {
		chosen = append(chosen, one.candidate)
	}
	return chosen
}

// ApplyQueryReplies takes over what asked agents have told, and returns their servers.
func (c *Core) ApplyQueryReplies(asked []*Candidate, answers []LoadReport, now time.Time) []*Candidate {
	for _, word := range answers {
		c.ApplyReport(word, now)
	}
	var answered []*Candidate
	for _, one := range asked {
		if slices.ContainsFunc(answers, func(word LoadReport) bool { return word.Address == one.Address }) {
			one.report.repliedAt = now
			answered = append(answered, one)
		} else {
			one.report.noReplyAt = now
		}
	}
	return answered
}

// AnyAdmits reports whether one of the asked servers may be sent the request, by how long it would wait there.
func (c *Core) AnyAdmits(request *Request, now time.Time) bool {
	return slices.ContainsFunc(request.Queried, func(k *Candidate) bool {
		return c.eligibility(k, request, now) == Eligible && c.admits(k, request, now)
	})
}
