package forward

import (
	"cmp"
	"context"
	"slices"
	"time"

	"pinevane.example/pinevane/internal/fleet"
)

// What agents tell all the time is 0.1 s old in the own zone and 0.3 s from others. At full
// servers, each of which gets nine requests a second, choices by it expected the first event
// after 0.25 s (median) where it came after 0.68 s; by answers to questions it is 0.35 s and
// 0.37 s. Measured on days of 45 to 76 servers with overload, 0.01 to 0.04 of their worth.

// LoadSource asks the agents beside model servers, named by the servers' addresses.
type LoadSource interface {
	// Ask returns the answers that come within some ten milliseconds.
	Ask(ctx context.Context, servers []string) []fleet.MachineStatus
	// Announce tells of a request that is being sent to a server.
	Announce(server string, promptTokens int)
}

// Bounds of asking.
const (
	// askedFrom is how many servers are drawn, among which the most promising are asked:
	// were it all of them, every entry would ask the same.
	askedFrom = 8
	// askedAtOnce is how many agents are asked at once. Asking six more as soon as none of
	// the first would begin the request within half of the limit was worse, by 0.01 to 0.06
	// of a day's worth: the few idle servers draw everybody.
	askedAtOnce = 3
	// askingRounds is how often agents are asked: others, when none of the first servers
	// would begin the request in time.
	askingRounds = 2
	// unansweredTime is how long an agent that has not answered is asked last, and
	// unansweredCost what that weighs in the choice of whom to ask: its machine's link is
	// full or cut, or the agent stands still.
	unansweredTime = time.Second
	unansweredCost = 200 * time.Millisecond
)

// askLoads asks the agents of a few servers how these do, and leaves the ones that have
// answered as the candidates for the next attempt. Without any answer the choice goes by
// what agents have told before.
func (w *work) askLoads(ctx context.Context) {
	w.wanted.candidates = nil
	if w.options.Loads == nil || w.wanted.engine == nil {
		return
	}
	var asked []*target
	for range askingRounds {
		next := w.targets.toAsk(w.wanted, asked)
		if len(next) == 0 {
			return
		}
		asked = append(asked, next...)
		answers := w.options.Loads.Ask(ctx, addressesOf(next))
		answered := w.targets.takeAnswers(next, answers)
		w.metrics.loadQueries.WithLabelValues(queryAnswered).Add(float64(len(answered)))
		w.metrics.loadQueries.WithLabelValues(queryMissed).Add(float64(len(next) - len(answered)))
		w.wanted.candidates = append(w.wanted.candidates, answered...)
		if ctx.Err() != nil || w.targets.anyInTime(w.wanted) {
			return
		}
	}
}

func addressesOf(asked []*target) []string {
	addresses := make([]string, 0, len(asked))
	for _, one := range asked {
		addresses = append(addresses, one.address)
	}
	return addresses
}

// announce tells the agent of the chosen server of the request.
func (w *work) announce(chosen *target) {
	if w.options.Loads != nil && w.wanted.engine != nil {
		w.options.Loads.Announce(chosen.address, w.wanted.prompt)
	}
}

// toAsk picks the servers whose agents to ask: the most promising of a few, without those
// that were asked before.
func (t *targets) toAsk(wanted need, before []*target) []*target {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.findLeastMissing(now)
	usable := slices.DeleteFunc(t.usable(wanted, now), func(k *target) bool { return slices.Contains(before, k) })
	drawn := slices.Clone(t.sample(usable, askedFrom))
	scores := make(map[*target]time.Duration, len(drawn))
	for _, one := range drawn {
		scores[one] = t.score(one, wanted, now)
		if now.Sub(one.unansweredAt) < unansweredTime {
			scores[one] += unansweredCost
		}
	}
	slices.SortFunc(drawn, func(a, b *target) int { return cmp.Compare(scores[a], scores[b]) })
	return drawn[:min(askedAtOnce, len(drawn))]
}

// takeAnswers takes over what the asked agents have told, and returns their servers.
func (t *targets) takeAnswers(asked []*target, answers []fleet.MachineStatus) []*target {
	now := time.Now()
	for _, status := range answers {
		t.takeStatus(status, now, false)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var answered []*target
	for _, one := range asked {
		if slices.ContainsFunc(answers, func(status fleet.MachineStatus) bool { return status.Address == one.address }) {
			one.answeredAt = now
			answered = append(answered, one)
		} else {
			one.unansweredAt = now
		}
	}
	return answered
}

// anyInTime reports whether one of the candidates would begin the request in time.
func (t *targets) anyInTime(wanted need) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	limit := t.refusalLimit(wanted)
	return slices.ContainsFunc(wanted.candidates, func(k *target) bool {
		return t.unfit(k, wanted, now) == unfitNot && (limit <= 0 || k.firstEvent(wanted, now) <= limit)
	})
}
