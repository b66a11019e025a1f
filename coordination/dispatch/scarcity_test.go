package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/shedding"
)

func boundTo(request *Request, regions ...string) *Request {
	request.Residency = request.Residency.With(regions)
	return request
}

// chooseAsked decides a free request at one server of a region that bound requests keep busy and
// seven others. The words tell that all have room; the agents of the others tell that they have not.
func chooseAsked(t *testing.T, weight float64, scarce Word) *Refusal {
	s := newScript(t, "a1", "b1", "b2", "b3", "b4", "b5", "b6", "b7")
	s.core.policy.Scarcity = weight
	for range 100 {
		s.at(s.now.Sub(epoch) + 80*time.Millisecond)
		s.hear("a1", 0, Word{Version: 1})
		s.served(boundTo(s.request(), "a"), "a1")
	}
	s.at(s.now.Sub(epoch) + time.Second)
	s.hear("a1", 300*time.Millisecond, Word{Version: 1, Running: 10})
	scarce.Address, scarce.Reachable = "a1:1", true
	agents := map[string]Word{"a1": scarce}
	for _, id := range []string{"b1", "b2", "b3", "b4", "b5", "b6", "b7"} {
		s.hear(id, 300*time.Millisecond, Word{Version: 1, Running: 13})
		agents[id] = Word{Address: id + ":1", Reachable: true, Version: 1, Running: 16, Waiting: 9, UnreadTokens: 9000}
	}
	request := s.request()
	var asked []*Candidate
	for range 2 {
		next := s.core.ToAsk(request, asked, s.now)
		asked = append(asked, next...)
		var answers []Word
		for _, one := range next {
			answers = append(answers, agents[one.ID])
		}
		request.Asked = append(request.Asked, s.core.TakeAnswers(next, answers, s.now)...)
		if s.core.AnyAdmits(request, s.now) {
			break
		}
	}
	_, refusal := s.core.Choose(request, s.now)
	return refusal
}

// The cost puts the scarce server last among those that are asked; the request is not refused for it.
func TestNothingIsRefusedForScarcityWhereAgentsAreAsked(t *testing.T) {
	assert.Nil(t, chooseAsked(t, 0, Word{Version: 1, Running: 10}), "without the cost")
	assert.Nil(t, chooseAsked(t, 1, Word{Version: 1, Running: 10}), "beside a server with room")
	assert.Nil(t, chooseAsked(t, 1, Word{Version: 1}), "beside an idle server")
}

// Only the first of the two rounds of questions is answered, as when the caller's time for them is up.
func TestScarceServerThatWasNotAskedCountsBeforeARefusal(t *testing.T) {
	s, _ := regionScript(t)
	s.hear("a1", 0, Word{Version: 1, Running: 10})
	s.hear("b1", 0, Word{Version: 1, Running: 16, Waiting: 9, UnreadTokens: 9000})
	request := s.request()
	request.Asked = []*Candidate{s.candidate("b1")}
	s.served(request, "a1")
}

// A caller that comes back is one request.
func TestBoundLoadCountsReturningCallersOnce(t *testing.T) {
	s := newScript(t, "a1", "b1")
	request := boundTo(s.request(), "a")
	s.hear("a1", 0, Word{Version: 1, Running: 16, Waiting: 9, UnreadTokens: 9000})
	s.refused(request, RefusedOverload)
	once := s.core.BoundLoads(s.now)[0].Share
	for range 5 {
		request.Arrival = shedding.Arrival{Remaining: time.Second, Elapsed: time.Second}
		s.refused(request, RefusedOverload)
	}
	assert.InDelta(t, once, s.core.BoundLoads(s.now)[0].Share, 0.001)
}

// A region without servers of the service, or whose zones are all evacuated, is no choice.
func TestRegionsThatServeNothingAreNoChoice(t *testing.T) {
	s := newScript(t, "a1", "b1")
	s.served(boundTo(s.request(), "a", "c"), "a1")
	assert.NotEmpty(t, s.core.BoundLoads(s.now))

	s = newScript(t, "a1", "b1", "c1")
	s.fleet.Evacuated = []string{"b"}
	s.update()
	s.served(boundTo(s.request(), "a", "b"), "a1")
	assert.NotEmpty(t, s.core.BoundLoads(s.now))
}

// With a slow model the time of a place is several seconds, and still no reason to use a server
// whose agent has fallen silent.
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
	s.hear("b1", 0, Word{Version: 1})
	for range 100 {
		s.at(s.now.Sub(epoch) + 50*time.Millisecond)
		s.hear("a1", 0, Word{Version: 1})
		s.served(boundTo(request(), "a"), "a1")
	}
	s.hear("a1", 0, Word{Version: 1, Running: 15})
	decision, refusal := s.core.Choose(request(), s.now)
	assert.Nil(t, refusal)
	assert.Equal(t, "a1", decision.Candidate.ID)
}

// Requests for a region whose servers are evacuated are refused, and keep nothing busy.
func TestNoBoundLoadWithoutServers(t *testing.T) {
	s := newScript(t, "a1", "b1")
	s.fleet.Evacuated = []string{"a"}
	s.update()
	_, _ = s.core.Choose(boundTo(s.request(), "a"), s.now) // Refused, as nothing may serve it.
	assert.Empty(t, s.core.BoundLoads(s.now))
}

// Where most servers are in the region of the bound requests the others have few places for what
// would leave it: free requests lose next to nothing to the cost, and all together neither. Shares move
// by 0.01 from one set of seeds to the next.
func TestLargeRegionIsSharedWithFreeRequests(t *testing.T) {
	for _, asks := range []bool{false, true} {
		for _, load := range []float64{0.5, 0.7, 0.8, 0.9, 0.95} {
			for _, bound := range []float64{0.3, 0.6} {
				t.Run(fmt.Sprintf("%v of the places, %v bound, agents asked %v", load, bound, asks), func(t *testing.T) {
					day := regionDay{small: 8, large: 2, smallEntries: 6, largeEntries: 2, load: load, bound: bound, wordAge: 300 * time.Millisecond, asks: asks}
					with, without := playRegions(day, 1), playRegions(day, 0)
					t.Logf("in time: bound %.3f, without %.3f; free %.3f, %.3f; all %.3f, %.3f", with.bound.share(with.bound.inTime), without.bound.share(without.bound.inTime),
						with.free.share(with.free.inTime), without.free.share(without.free.inTime), with.inTime(), without.inTime())
					assert.Greater(t, with.free.share(with.free.inTime), without.free.share(without.free.inTime)-0.02)
					assert.Greater(t, with.bound.share(with.bound.inTime), without.bound.share(without.bound.inTime)-0.02)
					assert.Greater(t, with.inTime(), without.inTime()-0.015)
				})
			}
		}
	}
}
