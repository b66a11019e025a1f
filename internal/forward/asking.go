package forward

import (
	"context"
	"time"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/fleet"
)

// What agents tell all the time is 0.1 s old in the own zone and 0.3 s from others. At full
// servers, each of which gets nine requests a second, choices by it expected the first event
// after 0.25 s (median) where it came after 0.68 s; by answers to questions it is 0.35 s and
// 0.37 s. Measured on days of 45 to 76 servers with overload, 0.01 to 0.04 of their worth.

// LoadQuerier asks the agents beside model servers, named by the servers' addresses.
type LoadQuerier interface {
	// Query returns the answers that come within some ten milliseconds.
	Query(ctx context.Context, servers []string) []fleet.MachineStatus
	// Announce tells of a request that is being sent to a server.
	Announce(server string, promptTokens int)
}

// askingRounds is how often agents are asked: others, when the request would wait for too long at each of
// the first servers.
const askingRounds = 2

// askLoads asks the agents of a few servers how these do, and leaves the ones that have
// answered as the candidates for the next attempt. Without any answer the choice goes by
// what agents have told before.
func (w *work) askLoads(ctx context.Context) {
	w.wanted.Asked = nil
	if w.options.Loads == nil || w.wanted.Engine == nil {
		return
	}
	var asked []*dispatch.Candidate
	for range askingRounds {
		next := w.targets.toAsk(&w.wanted, asked)
		if len(next) == 0 {
			return
		}
		asked = append(asked, next...)
		answers := w.options.Loads.Query(ctx, addressesOf(next))
		answered := w.targets.takeAnswers(next, answers)
		w.metrics.loadQueries.WithLabelValues(queryAnswered).Add(float64(len(answered)))
		w.metrics.loadQueries.WithLabelValues(queryMissed).Add(float64(len(next) - len(answered)))
		w.wanted.Asked = append(w.wanted.Asked, answered...)
		if ctx.Err() != nil || w.targets.anyAdmits(&w.wanted) {
			return
		}
	}
}

func addressesOf(asked []*dispatch.Candidate) []string {
	addresses := make([]string, 0, len(asked))
	for _, one := range asked {
		addresses = append(addresses, one.Address)
	}
	return addresses
}

// announce tells the agent of the chosen server of the request.
func (w *work) announce(chosen *target) {
	if w.options.Loads != nil && w.wanted.Engine != nil {
		w.options.Loads.Announce(chosen.Address, w.wanted.Prompt)
	}
}

// toAsk picks the servers whose agents to ask, without those that were asked before.
func (t *targets) toAsk(wanted *dispatch.Request, before []*dispatch.Candidate) []*dispatch.Candidate {
	now := t.lockWithMembers()
	defer t.mutex.Unlock()
	return t.core.ToAsk(wanted, before, now)
}

// takeAnswers takes over what the asked agents have told, and returns their servers.
func (t *targets) takeAnswers(asked []*dispatch.Candidate, answers []fleet.MachineStatus) []*dispatch.Candidate {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, status := range answers {
		t.told[status.Address] = status
	}
	return t.core.TakeAnswers(asked, wordsOf(answers), time.Now())
}

// anyAdmits reports whether one of the asked servers may be sent the request, by how long it would wait there.
func (t *targets) anyAdmits(wanted *dispatch.Request) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.AnyAdmits(wanted, time.Now())
}
