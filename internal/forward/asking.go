package forward

import (
	"context"
	"time"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/fleet"
)

// Periodic status reports are 0.1 s old in the entry's own zone and 0.3 s old from other zones. At
// full servers, each of which gets nine requests a second, choices based on them expected the first
// event after 0.25 s (median) where it came after 0.68 s; based on answers to load queries it is
// 0.35 s and 0.37 s. Measured on days of 45 to 76 servers with overload, load queries are worth
// 0.01 to 0.04 of a day's value.

// LoadQuerier sends load queries to the agents beside model servers, named by the servers'
// addresses.
type LoadQuerier interface {
	// Query returns the answers that arrive within some tens of milliseconds.
	Query(ctx context.Context, servers []string) []fleet.MachineStatus
	// Announce notifies a server's agent of a request that is being sent to the server.
	Announce(server string, promptTokens int)
}

// queryRounds is the maximum number of query rounds. The second round asks other servers' agents,
// and takes place if the request would wait too long at each server of the first.
const queryRounds = 2

// queryLoads queries the agents of a few servers and makes the servers whose agents answered the
// candidates for the next attempt. Without any answer the choice is based on earlier status
// reports.
func (w *forwarding) queryLoads(ctx context.Context) {
	w.criteria.Queried = nil
	if w.options.Loads == nil || w.criteria.Engine == nil {
		return
	}
	var queried []*dispatch.Candidate
	for range queryRounds {
		next := w.targets.serversToQuery(&w.criteria, queried)
		if len(next) == 0 {
			return
		}
		queried = append(queried, next...)
		answers := w.options.Loads.Query(ctx, addressesOf(next))
		answered := w.targets.applyLoadAnswers(next, answers)
		w.metrics.loadQueries.WithLabelValues(queryAnswered).Add(float64(len(answered)))
		w.metrics.loadQueries.WithLabelValues(queryMissed).Add(float64(len(next) - len(answered)))
		w.criteria.Queried = append(w.criteria.Queried, answered...)
		if ctx.Err() != nil || w.targets.anyAdmits(&w.criteria) {
			return
		}
	}
}

func addressesOf(queried []*dispatch.Candidate) []string {
	addresses := make([]string, 0, len(queried))
	for _, candidate := range queried {
		addresses = append(addresses, candidate.Address)
	}
	return addresses
}

// announce notifies the agent of the chosen server of the request.
func (w *forwarding) announce(chosen *target) {
	if w.options.Loads != nil && w.criteria.Engine != nil {
		w.options.Loads.Announce(chosen.Address, w.criteria.Prompt)
	}
}

// serversToQuery picks the servers whose agents to query, leaving out those queried before.
func (t *targets) serversToQuery(criteria *dispatch.Request, earlier []*dispatch.Candidate) []*dispatch.Candidate {
	now := t.lockWithMembers()
	defer t.mutex.Unlock()
	return t.core.QueryTargets(criteria, earlier, now)
}

// applyLoadAnswers applies the answers of the queried agents and returns the servers they belong
// to.
func (t *targets) applyLoadAnswers(queried []*dispatch.Candidate, answers []fleet.MachineStatus) []*dispatch.Candidate {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, status := range answers {
		t.statuses[status.Address] = status
	}
	return t.core.ApplyQueryReplies(queried, loadReportsOf(answers), time.Now())
}

// anyAdmits reports whether the expected wait at one of the queried servers admits the request.
func (t *targets) anyAdmits(criteria *dispatch.Request) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.AnyAdmits(criteria, time.Now())
}
