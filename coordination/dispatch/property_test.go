package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/coordination/residency"
)

// drawnZones are the zones of generated fleets; the last has no region.
var drawnZones = []string{"a", "b", "c"}

const (
	drawnServers   = 6
	drawnColdLimit = 5.0
)

// generated is a core that receives generated messages, with their content kept beside it, by which its
// decisions are checked independently of the code under test.
type generated struct {
	*rapid.T
	core     *Core
	now      time.Time
	fleet    Fleet
	reports  map[string]timedReport
	inFlight []Decision
	// sentCold holds when this entry sent requests to each server while it was cold by its list entry.
	sentCold map[string][]time.Time
	// answeredAt holds when each server last answered.
	answeredAt map[string]time.Time
	// unreachableSince holds the time of the first of the consecutive reports that each address is
	// unreachable.
	unreachableSince map[string]time.Time
	// trialAt holds when each server was last sent a request while it was lost and had not answered since,
	// sinceTrial the number of attempts that have ended since the last such request.
	trialAt    map[string]time.Time
	sinceTrial int
}

func newGenerated(t *rapid.T) *generated {
	seed := rapid.Uint64().Draw(t, "seed")
	random := rand.New(rand.NewPCG(seed, 1))
	g := &generated{T: t, now: epoch, reports: map[string]timedReport{}, sentCold: map[string][]time.Time{}, answeredAt: map[string]time.Time{}, unreachableSince: map[string]time.Time{}, trialAt: map[string]time.Time{}}
	g.core = New(Options{
		Zone: "a", Regions: map[string]string{"a": "north", "b": "south"}, Policy: testPolicy(), Self: "entry-0",
		Started: epoch.Add(-time.Minute), Random: random.Float64, Shuffle: random.Shuffle,
	})
	g.core.SetEntries(membersOf("entry-1"), g.now)
	g.drawFleet()
	return g
}

// drawFleet generates a list of servers, evacuations, and which servers are cold.
func (g *generated) drawFleet() {
	g.fleet = Fleet{Services: map[string]Service{"s": {ColdRate: drawnColdLimit, ColdTime: time.Second}}}
	for number := range drawnServers {
		if rapid.IntRange(0, 5).Draw(g.T, "listed") == 0 {
			continue
		}
		server := Server{
			ID: fmt.Sprintf("i-%d", number), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", number), Zone: drawnZones[number%len(drawnZones)],
			Slots: 4, Version: 1, HoldsModel: true, Draining: rapid.IntRange(0, 5).Draw(g.T, "draining") == 0,
		}
		if rapid.IntRange(0, 2).Draw(g.T, "cold") == 0 {
			server.ColdUntil = g.now.Add(2 * time.Second)
		}
		g.fleet.Servers = append(g.fleet.Servers, server)
	}
	for _, zone := range drawnZones {
		if rapid.IntRange(0, 4).Draw(g.T, "evacuated") == 0 {
			g.fleet.Evacuated = append(g.fleet.Evacuated, zone)
		}
	}
	maps.DeleteFunc(g.trialAt, func(id string, _ time.Time) bool {
		// A server that is listed again starts afresh.
		return !slices.ContainsFunc(g.fleet.Servers, func(one Server) bool { return one.ID == id })
	})
	g.core.Update(g.fleet, g.now)
}

// drawReport generates a report on a server, which may be old.
func (g *generated) drawReport() {
	report := LoadReport{
		Address: fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(0, drawnServers-1).Draw(g.T, "told")), Reachable: rapid.IntRange(0, 4).Draw(g.T, "reachable") > 0,
		Version: uint64(rapid.IntRange(0, 3).Draw(g.T, "version")), Running: rapid.IntRange(0, 4).Draw(g.T, "running"), Waiting: rapid.IntRange(0, 2).Draw(g.T, "waiting"),
		SwitchPlanned: rapid.IntRange(0, 4).Draw(g.T, "switch") == 0, SwitchIn: time.Duration(rapid.IntRange(0, 1000).Draw(g.T, "in")) * time.Millisecond,
	}
	at := g.now.Add(-time.Duration(rapid.IntRange(0, 300).Draw(g.T, "age")) * time.Millisecond)
	g.core.ApplyReport(report, at)
	if !g.reports[report.Address].at.After(at) {
		if previous, found := g.reports[report.Address]; !report.Reachable && (!found || previous.Reachable) {
			g.unreachableSince[report.Address] = at
		}
		g.reports[report.Address] = timedReport{LoadReport: report, at: at}
	}
}

// drawRequest generates a request.
func (g *generated) drawRequest() *Request {
	request := &Request{
		Service: "s", Engine: scriptEngine, Figures: g.core.Figures("s", scriptEngine), Target: 400 * time.Millisecond, Streaming: true,
		Prompt: rapid.IntRange(1, 4000).Draw(g.T, "prompt"), Answer: 100, OtherEntries: 1,
	}
	for _, lists := range [][]string{{"north"}, {"south", "north"}, {"nowhere"}} {
		if rapid.IntRange(0, 4).Draw(g.T, "list") == 0 {
			request.Residency = request.Residency.With(residency.AllowedRegions(lists))
		}
	}
	if rapid.Bool().Draw(g.T, "bounded") {
		request.VersionDeadlines = VersionDeadlines{{Version: 2, Until: epoch.Add(2 * time.Second)}, {Version: 3, Until: epoch.Add(4 * time.Second)}}
	}
	for _, one := range g.core.Candidates("s") {
		if rapid.IntRange(0, 5).Draw(g.T, "tried") == 0 {
			request.Tried = append(request.Tried, one)
		}
	}
	return request
}

// decide decides a request and checks the decision.
func (g *generated) decide() {
	request := g.drawRequest()
	request.AtMostOnce = rapid.IntRange(0, 3).Draw(g.T, "once") == 0
	for _, queried := range g.core.QueryTargets(request, nil, g.now) {
		g.check(request, queried)
	}
	decision, refusal := g.core.Choose(request, g.now)
	if refusal != nil {
		assert.Positive(g, refusal.RetryAfter)
		if refusal.Reason == RefusedOverload {
			assert.Greater(g, refusal.Admission.Wait, refusal.Admission.MaxWait)
			assert.Empty(g, request.Tried, "it was admitted before")
		} else {
			assert.Zero(g, refusal.Servers[Eligible], "refused though a server is eligible")
		}
		return
	}
	if g.check(request, decision.Candidate) {
		assert.True(g, decision.Trial)
		g.trialAt[decision.Candidate.ID], g.sinceTrial = g.now, 0
	}
	g.checkCold(decision.Candidate)
	g.inFlight = append(g.inFlight, decision)
}

// check fails for a server that may not be sent a request by the messages, and reports whether the request
// would be the trial of a lost server.
func (g *generated) check(request *Request, chosen *Candidate) (trial bool) {
	at := slices.IndexFunc(g.fleet.Servers, func(one Server) bool { return one.ID == chosen.ID })
	require.GreaterOrEqual(g, at, 0, "the server is listed")
	server := g.fleet.Servers[at]
	assert.False(g, server.Draining)
	assert.NotContains(g, g.fleet.Evacuated, server.Zone)
	assert.NotContains(g, request.Tried, chosen)
	region := map[string]string{"a": "north", "b": "south"}[server.Zone]
	for _, list := range request.Residency {
		assert.Contains(g, list, region)
		assert.NotEmpty(g, region)
	}
	reported, found := g.reports[server.Address]
	if !found || g.now.Sub(reported.at) >= reportTTL {
		return false
	}
	// An answer of the server after its agent has lost it outweighs the agent for two seconds.
	answered, known := g.answeredAt[chosen.ID]
	confirmed := known && answered.After(g.unreachableSince[server.Address]) && g.now.Sub(answered) <= 2*time.Second
	if !reported.Reachable && !confirmed {
		trial = true
		g.checkTrial(request, chosen, g.unreachableSince[server.Address])
	}
	assert.NotZero(g, reported.Version)
	assert.False(g, reported.SwitchPlanned && reported.SwitchIn-g.now.Sub(reported.at) < switchMargin)
	for _, deadline := range request.VersionDeadlines {
		if reported.Version < deadline.Version {
			assert.Less(g, g.now, deadline.Until)
		}
	}
	return trial
}

// checkTrial fails for a request that may not be the trial of a lost server. One in twenty attempts may, or
// any if no other server gets requests: on its first attempt, if it may be repeated, some time after the
// loss, and one at a time.
func (g *generated) checkTrial(request *Request, chosen *Candidate, lostAt time.Time) {
	assert.False(g, request.AtMostOnce)
	assert.Empty(g, request.Tried)
	if g.otherServes(chosen) {
		assert.GreaterOrEqual(g, g.sinceTrial, 20)
	}
	assert.GreaterOrEqual(g, g.now.Sub(lostAt), 250*time.Millisecond)
	answered, served := g.answeredAt[chosen.ID]
	if served {
		assert.GreaterOrEqual(g, g.now.Sub(answered), 250*time.Millisecond)
	}
	if tried, known := g.trialAt[chosen.ID]; known && !(served && !answered.Before(tried)) {
		assert.GreaterOrEqual(g, g.now.Sub(tried), 1500*time.Millisecond)
	}
}

// otherServes reports whether the messages name another server that gets requests, and that its agent reaches
// if it has reported recently.
func (g *generated) otherServes(chosen *Candidate) bool {
	return slices.ContainsFunc(g.fleet.Servers, func(one Server) bool {
		if one.ID == chosen.ID || one.Draining || slices.Contains(g.fleet.Evacuated, one.Zone) {
			return false
		}
		if reported, found := g.reports[one.Address]; found && g.now.Sub(reported.at) < reportTTL {
			return reported.Reachable && reported.Version != 0
		}
		return one.HoldsModel
	})
}

// checkCold checks that a cold server gets at most this entry's share, one of two, in any second.
func (g *generated) checkCold(chosen *Candidate) {
	at := slices.IndexFunc(g.fleet.Servers, func(one Server) bool { return one.ID == chosen.ID })
	if !g.now.Before(g.fleet.Servers[at].ColdUntil) {
		return
	}
	recent := slices.DeleteFunc(g.sentCold[chosen.ID], func(sent time.Time) bool { return g.now.Sub(sent) >= time.Second })
	g.sentCold[chosen.ID] = append(recent, g.now)
	assert.LessOrEqual(g, float64(len(g.sentCold[chosen.ID])), drawnColdLimit/2)
}

// end ends one of the requests in flight, begun or not.
func (g *generated) end(at int, begun bool) {
	decision := g.inFlight[at]
	g.inFlight = slices.Delete(g.inFlight, at, at+1)
	g.core.EndPrefill(decision.Send, begun, g.now)
	g.core.Release(decision.Send)
	g.sinceTrial++
	if begun {
		g.core.Observe(decision.Candidate, Outcome{Outcome: health.Served, SentAt: decision.Send.sentAt}, g.now)
		g.answeredAt[decision.Candidate.ID] = g.now
		g.core.RecordAnswerTime(decision.Candidate, 500*time.Millisecond)
	} else {
		failure := rapid.SampledFrom([]health.Outcome{health.Errored, health.Declined, health.Broken, health.Overdue, health.Unreachable}).Draw(g.T, "failure")
		g.core.Observe(decision.Candidate, Outcome{Outcome: failure, SentAt: decision.Send.sentAt}, g.now)
	}
}

// serve makes a server serve as many attempts as an entry sees before it tries a lost one.
func (g *generated) serve() {
	candidates := g.core.Candidates("s")
	if len(candidates) == 0 {
		return
	}
	served := candidates[rapid.IntRange(0, len(candidates)-1).Draw(g.T, "serves")]
	for range 20 {
		g.core.Observe(served, Outcome{Outcome: health.Served, SentAt: g.now}, g.now)
		g.sinceTrial++
	}
	g.answeredAt[served.ID] = g.now
}

// In any order of messages and decisions, no request and no load query goes where the messages forbid it,
// each refusal has a reason, and when all requests have ended, none is counted.
func TestDecisionsFollowTheMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGenerated(t)
		for range rapid.IntRange(10, 160).Draw(t, "messages") {
			g.now = g.now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case kind == 0:
				g.drawFleet()
			case kind <= 3:
				g.drawReport()
			case kind == 4 && rapid.IntRange(0, 3).Draw(t, "many") == 0:
				g.serve()
			case kind <= 5 && len(g.inFlight) > 0:
				g.end(rapid.IntRange(0, len(g.inFlight)-1).Draw(t, "ends"), rapid.Bool().Draw(t, "begun"))
			default:
				g.decide()
			}
		}
		for len(g.inFlight) > 0 {
			g.end(0, true)
		}
		for _, one := range g.core.Describe(g.now) {
			assert.Zero(t, one.InFlight)
			known := g.core.byID[one.Server.ID]
			assert.Equal(t, loadCounts{}, loadCounts{unread: known.sends.unread, unreadTokens: known.sends.unreadTokens, inFlight: known.sends.inFlight})
			assert.Empty(t, known.sends.pending)
		}
	})
}
