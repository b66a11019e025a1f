package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/shedding"
)

func allowedIn(request *Request, regions ...string) *Request {
	request.Residency = request.Residency.With(regions)
	return request
}

// chooseQueried decides a free request with one server in a region that single-region requests keep busy, and
// seven others. The reports say that all have room; the agents of the others reply that they have none.
func chooseQueried(t *testing.T, weight float64, scarce LoadReport) *Refusal {
	s := newScript(t, "a1", "b1", "b2", "b3", "b4", "b5", "b6", "b7")
	s.core.policy.Scarcity = weight
	for range 100 {
		s.at(s.now.Sub(epoch) + 80*time.Millisecond)
		s.report("a1", 0, LoadReport{Version: 1})
		s.served(allowedIn(s.request(), "a"), "a1")
	}
	s.at(s.now.Sub(epoch) + time.Second)
	s.report("a1", 300*time.Millisecond, LoadReport{Version: 1, Running: 10})
	scarce.Address, scarce.Reachable = "a1:1", true
	agents := map[string]LoadReport{"a1": scarce}
	for _, id := range []string{"b1", "b2", "b3", "b4", "b5", "b6", "b7"} {
		s.report(id, 300*time.Millisecond, LoadReport{Version: 1, Running: 13})
		agents[id] = LoadReport{Address: id + ":1", Reachable: true, Version: 1, Running: 16, Waiting: 9, UnreadTokens: 9000}
	}
	request := s.request()
	var queried []*Candidate
	for range 2 {
		next := s.core.QueryTargets(request, queried, s.now)
		queried = append(queried, next...)
		var answers []LoadReport
		for _, one := range next {
			answers = append(answers, agents[one.ID])
		}
		request.Queried = append(request.Queried, s.core.ApplyQueryReplies(next, answers, s.now)...)
		if s.core.AnyAdmits(request, s.now) {
			break
		}
	}
	_, refusal := s.core.Choose(request, s.now)
	return refusal
}

// The penalty ranks the scarce server last among those queried; the request is not refused because of it.
func TestNothingIsRefusedForScarcityWhereAgentsAreQueried(t *testing.T) {
	assert.Nil(t, chooseQueried(t, 0, LoadReport{Version: 1, Running: 10}), "without the penalty")
	assert.Nil(t, chooseQueried(t, 1, LoadReport{Version: 1, Running: 10}), "beside a server with room")
	assert.Nil(t, chooseQueried(t, 1, LoadReport{Version: 1}), "beside an idle server")
}

// Only the first of the two rounds of queries is answered, as when the caller's time for them is up.
func TestScarceServerThatWasNotQueriedIsUsedBeforeARefusal(t *testing.T) {
	s, _ := regionScript(t)
	s.report("a1", 0, LoadReport{Version: 1, Running: 10})
	s.report("b1", 0, LoadReport{Version: 1, Running: 16, Waiting: 9, UnreadTokens: 9000})
	request := s.request()
	request.Queried = []*Candidate{s.candidate("b1")}
	s.served(request, "a1")
}

// A caller that comes back counts as one request.
func TestSingleRegionLoadCountsReturningCallersOnce(t *testing.T) {
	s := newScript(t, "a1", "b1")
	request := allowedIn(s.request(), "a")
	s.report("a1", 0, LoadReport{Version: 1, Running: 16, Waiting: 9, UnreadTokens: 9000})
	s.refused(request, RefusedOverload)
	once := s.core.SingleRegionLoads(s.now)[0].Utilization
	for range 5 {
		request.Arrival = shedding.Arrival{Remaining: time.Second, Elapsed: time.Second}
		s.refused(request, RefusedOverload)
	}
	assert.InDelta(t, once, s.core.SingleRegionLoads(s.now)[0].Utilization, 0.001)
}

// A region without servers of the service, or whose zones are all evacuated, is not an alternative.
func TestRegionsWithoutServersAreNoChoice(t *testing.T) {
	s := newScript(t, "a1", "b1")
	s.served(allowedIn(s.request(), "a", "c"), "a1")
	assert.NotEmpty(t, s.core.SingleRegionLoads(s.now))

	s = newScript(t, "a1", "b1", "c1")
	s.fleet.Evacuated = []string{"b"}
	s.update()
	s.served(allowedIn(s.request(), "a", "b"), "a1")
	assert.NotEmpty(t, s.core.SingleRegionLoads(s.now))
}

// With a slow model the time of a slot is several seconds, which is still no reason to use a server whose
// agent is silent.
func TestScarcityWeighsLessThanSilence(t *testing.T) {
	s := newScript(t, "a1", "b1")
	slow := *scriptEngine
	slow.Published.TypicalAnswer = 400
	request := func() *Request {
		one := s.request()
		one.Engine = &slow
		one.Figures = s.core.Figures("s", &slow)
		return one
	}
	s.report("b1", 0, LoadReport{Version: 1})
	for range 100 {
		s.at(s.now.Sub(epoch) + 50*time.Millisecond)
		s.report("a1", 0, LoadReport{Version: 1})
		s.served(allowedIn(request(), "a"), "a1")
	}
	s.report("a1", 0, LoadReport{Version: 1, Running: 15})
	decision, refusal := s.core.Choose(request(), s.now)
	assert.Nil(t, refusal)
	assert.Equal(t, "a1", decision.Candidate.ID)
}

// Requests for a region whose servers are evacuated are refused and add no load.
func TestNoSingleRegionLoadWithoutServers(t *testing.T) {
	s := newScript(t, "a1", "b1")
	s.fleet.Evacuated = []string{"a"}
	s.update()
	_, _ = s.core.Choose(allowedIn(s.request(), "a"), s.now) // Refused: no server may serve it.
	assert.Empty(t, s.core.SingleRegionLoads(s.now))
}

// Where most servers are in the region of the single-region requests, the others have few slots for the
// requests that would leave it: free requests lose next to nothing by the penalty, and neither do all
// requests together. Ratios vary by 0.01 between sets of seeds.
func TestLargeRegionIsSharedWithFreeRequests(t *testing.T) {
	for _, queries := range []bool{false, true} {
		for _, load := range []float64{0.5, 0.7, 0.8, 0.9, 0.95} {
			for _, singleRegion := range []float64{0.3, 0.6} {
				t.Run(fmt.Sprintf("%v of the slots, %v single-region, agents queried %v", load, singleRegion, queries), func(t *testing.T) {
					day := regionDay{small: 8, large: 2, smallEntries: 6, largeEntries: 2, load: load, singleRegion: singleRegion, reportAge: 300 * time.Millisecond, queries: queries}
					with, without := playRegions(day, 1), playRegions(day, 0)
					t.Logf("in time: single-region %.3f, without %.3f; free %.3f, %.3f; all %.3f, %.3f", with.singleRegion.ratio(with.singleRegion.inTime), without.singleRegion.ratio(without.singleRegion.inTime),
						with.free.ratio(with.free.inTime), without.free.ratio(without.free.inTime), with.inTimeRatio(), without.inTimeRatio())
					assert.Greater(t, with.free.ratio(with.free.inTime), without.free.ratio(without.free.inTime)-0.02)
					assert.Greater(t, with.singleRegion.ratio(with.singleRegion.inTime), without.singleRegion.ratio(without.singleRegion.inTime)-0.02)
					assert.Greater(t, with.inTimeRatio(), without.inTimeRatio()-0.015)
				})
			}
		}
	}
}
