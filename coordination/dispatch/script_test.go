package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/balance"
)

// script plays what an entry hears, and asks for decisions between.
type script struct {
	*testing.T
	core  *Core
	now   time.Time
	fleet Fleet
}

// Sizes of the scripts' fleets. A copy of a version takes 2.5 s.
var scriptEngine = &Engine{
	Pieces: 100, CopyTime: 2500 * time.Millisecond, Warm: 100 * time.Millisecond,
	Published: balance.Server{Slots: 16, StepMilliseconds: 7, Stride: 6, ReadPerSecond: 30000, TypicalPrompt: 1000, TypicalAnswer: 100},
}

// newScript begins with servers by their names, whose first letter is their zone and its region,
// seen from zone a. All serve version 1 by the list.
func newScript(t *testing.T, servers ...string) *script {
	s := &script{T: t, core: testCore("a", map[string]string{"a": "a", "b": "b", "c": "c"}), now: epoch}
	for _, id := range servers {
		s.fleet.Servers = append(s.fleet.Servers, Server{
			ID: id, Service: "s", Address: id + ":1", Zone: id[:1], Slots: 16, Version: 1, HoldsModel: true,
		})
	}
	s.update()
	return s
}

// update tells the fleet as it is now.
func (s *script) update() []Change { return s.core.Update(s.fleet, s.now) }

// at goes to a time after the beginning.
func (s *script) at(after time.Duration) { s.now = epoch.Add(after) }

// hear tells a word that was said some time ago, of a server that is reachable.
func (s *script) hear(id string, ago time.Duration, word Word) {
	word.Address, word.Reachable = id+":1", true
	s.core.TakeWord(word, s.now.Add(-ago))
}

// request is one for a model server.
func (s *script) request() *Request {
	request := &Request{Service: "s", Engine: scriptEngine, Target: 400 * time.Millisecond, Streaming: true, Prompt: 1000, Answer: 100}
	request.Figures = s.core.Figures("s", scriptEngine)
	return request
}

func (s *script) candidate(id string) *Candidate {
	known := s.core.byID[id]
	require.NotNil(s, known, id)
	return known
}

// goesTo decides a request, for which a server is expected.
func (s *script) goesTo(request *Request, id string) Decision {
	s.Helper()
	decision, refusal := s.core.Choose(request, s.now)
	require.Nil(s, refusal, "%+v", refusal)
	assert.Equal(s, id, decision.Candidate.ID, "after %s", s.now.Sub(epoch))
	return decision
}

// served is goesTo with the request's beginning and end at once.
func (s *script) served(request *Request, id string) {
	s.Helper()
	s.ends(s.goesTo(request, id))
}

// ends tells that a request has begun and ended.
func (s *script) ends(decision Decision) {
	s.core.PromptRead(decision.Send, true, s.now)
	s.core.Release(decision.Send)
}

// refused decides a request, for which a refusal is expected.
func (s *script) refused(request *Request, reason RefusalReason) *Refusal {
	s.Helper()
	decision, refusal := s.core.Choose(request, s.now)
	require.NotNil(s, refusal, "%+v", decision)
	assert.Equal(s, reason, refusal.Reason)
	return refusal
}

// A word of a server that has been idle is trusted for a while, then the server counts as one
// whose agent has fallen silent: it is used only without another.
func TestStaleWords(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.hear("a1", 0, Word{Version: 1})
	s.hear("a2", 0, Word{Version: 1, Running: 10})
	s.served(s.request(), "a1")

	s.at(time.Second)
	s.hear("a2", 0, Word{Version: 1, Running: 10})
	s.hear("a2", 100*time.Millisecond, Word{Version: 1, Running: 16, Waiting: 9}) // By a longer way, later.
	assert.Equal(t, 10, s.candidate("a2").outstanding(s.now), "an older word changes nothing")

	s.at(1300 * time.Millisecond)
	decision := s.goesTo(s.request(), "a2")
	assert.Equal(t, 300*time.Millisecond, decision.WordAge)
	tried := s.request()
	tried.Tried = []*Candidate{s.candidate("a2")}
	decision = s.goesTo(tried, "a1")
	assert.Equal(t, 1300*time.Millisecond, decision.WordAge)
	assert.True(t, s.core.Suspect(s.candidate("a1"), s.now, s.now))

	s.hear("a1", 0, Word{Version: 1, SwitchPlanned: true})
	assert.Equal(t, 1, s.refused(tried, RefusedNoServer).Servers[unfitChanging])
	s.at(1300*time.Millisecond + wordCurrent)
	s.goesTo(tried, "a1") // By the version on the list, as nobody knows better.
}

// What the agents answer overtakes their words: the server that has filled up since is left.
func TestAnswersDecideBetweenTheAsked(t *testing.T) {
	s := newScript(t, "a1", "a2", "a3", "a4")
	for _, server := range s.fleet.Servers {
		s.hear(server.ID, 300*time.Millisecond, Word{Version: 1})
	}
	request := s.request()
	asked := s.core.ToAsk(request, nil, s.now)
	require.Len(t, asked, askedAtOnce)
	free := asked[1]
	answers := []Word{
		{Address: asked[0].Address, Reachable: true, Version: 1, Running: 16, Waiting: 6, UnreadTokens: 6000},
		{Address: free.Address, Reachable: true, Version: 1, Running: 2},
	}
	s.at(10 * time.Millisecond)
	request.Asked = s.core.TakeAnswers(asked, answers, s.now)
	assert.Equal(t, asked[:2], request.Asked, "the third agent has not answered")
	assert.True(t, s.core.AnyAdmits(request, s.now))
	s.goesTo(request, free.ID)
	assert.NotContains(t, s.core.ToAsk(request, asked, s.now), asked[2], "nobody is asked twice for a request")
	again := s.core.ToAsk(s.request(), nil, s.now)
	assert.Equal(t, asked[2], again[askedAtOnce-1], "an agent that has just not answered is asked last")
}

// A server that is lost after its word: the first attempt fails, the next goes elsewhere, and
// the server is tried again after its ejection. Its end is told by the list, an answer or a word.
func TestServerLostBetweenWordAndUse(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.hear("a1", 0, Word{Version: 1})
	s.hear("a2", 0, Word{Version: 1, Running: 8})
	s.at(50 * time.Millisecond)
	request := s.request()
	lost := s.goesTo(request, "a1")
	s.core.Release(lost.Send)
	s.core.PromptRead(lost.Send, false, s.now)
	assert.Equal(t, ejectTime, eject(s.core, lost.Candidate, s.now))
	request.Tried = []*Candidate{lost.Candidate}
	s.served(request, "a2")
	s.served(s.request(), "a2")

	s.at(100*time.Millisecond + ejectTime)
	s.served(s.request(), "a1")

	s.core.TakeWord(Word{Address: "a1:1", Version: 1}, s.now)
	s.served(s.request(), "a2")
	s.hear("a1", -time.Millisecond, Word{Version: 1})
	assert.True(t, s.core.Supersede(s.candidate("a1")))
	s.goesTo(s.request(), "a2")
}

// A server's end on the list, by a newer line at its address or by its line's going, and what
// becomes of its requests: they change no later server of the same name.
func TestServerReplacedAtItsAddress(t *testing.T) {
	s := newScript(t, "a1")
	s.hear("a1", 0, Word{Version: 1})
	open := s.goesTo(s.request(), "a1")
	s.fleet.Servers = append(s.fleet.Servers, Server{ID: "a9", Service: "s", Address: "a1:1", Zone: "a", Slots: 16, Version: 1, HoldsModel: true, Revision: 7})
	changes := s.update()
	require.Len(t, changes, 1)
	assert.Equal(t, Change{Kind: AddressTaken, Candidate: open.Candidate, InFlight: 1}, changes[0])
	s.goesTo(s.request(), "a9")
	tried := s.request()
	tried.Tried = []*Candidate{s.candidate("a9")}
	assert.Equal(t, map[Fitness]int{unfitLeaving: 1, unfitTried: 1}, s.refused(tried, RefusedNoServer).Servers)

	s.fleet.Servers = s.fleet.Servers[1:]
	changes = s.update()
	assert.Equal(t, []Change{{Kind: ServerGone, Candidate: open.Candidate, InFlight: 1}}, changes)
	s.fleet.Servers = append(s.fleet.Servers, Server{ID: "a1", Service: "s", Address: "a2:1", Zone: "a", Slots: 16, Version: 1, HoldsModel: true})
	s.update()
	s.core.PromptRead(open.Send, true, s.now)
	s.core.Release(open.Send)
	assert.Zero(t, s.candidate("a1").sends.inFlight)

	s.fleet.Servers[0].Draining = true
	assert.Equal(t, []Change{{Kind: ServerLeaving, Candidate: s.candidate("a9"), InFlight: 1}}, s.update())
	last := s.goesTo(s.request(), "a1").Candidate

	asked := s.request()
	asked.Asked = []*Candidate{last}
	assert.True(t, s.core.AnyAdmits(asked, s.now))
	s.fleet.Servers = nil
	s.update()
	assert.False(t, s.core.AnyAdmits(asked, s.now))
}

// HOME: a line that names another zone is that of another server, by whose region goes what may be
// sent there.
func TestServerThatIsListedElsewhereIsAnother(t *testing.T) {
	s := newScript(t, "a1")
	s.hear("a1", 0, Word{Version: 1})
	request := s.request()
	request.Residency = request.Residency.With([]string{"a"})
	open := s.goesTo(request, "a1")
	s.fleet.Servers[0].Zone = "b"
	assert.Equal(t, []Change{{Kind: ServerGone, Candidate: open.Candidate, InFlight: 1}}, s.update())
	s.refused(request, RefusedResidency)
	s.ends(open)
	assert.Zero(t, s.candidate("a1").sends.inFlight)
	assert.Empty(t, s.update())
}

// VERSION: two versions are named within two seconds. Each server serves until shortly before the
// first version that it lacks is in force; then only newer ones do, and when none is left the
// refusal tells when the transfers end.
func TestTwoVersionsInSuccession(t *testing.T) {
	const apply = 8 * time.Second
	s := newScript(t, "a1", "a2", "a3")
	bounds := VersionBounds{{Version: 2, Until: epoch.Add(apply)}, {Version: 3, Until: epoch.Add(2*time.Second + apply)}}
	served := map[string]uint64{"a1": 1, "a2": 2, "a3": 3}
	usable := func(after time.Duration, changing ...string) []string {
		s.at(after)
		for id, version := range served {
			s.hear(id, 0, Word{Version: version, Wanted: 3, SwitchPlanned: len(changing) > 0 && id == changing[0]})
		}
		request := s.request()
		request.Bounds = bounds
		var ids []string
		for _, one := range s.core.usable(request, s.now) {
			ids = append(ids, one.ID)
		}
		return ids
	}
	assert.Equal(t, []string{"a1", "a2", "a3"}, usable(6500*time.Millisecond))
	assert.Equal(t, []string{"a2", "a3"}, usable(7*time.Second))
	assert.Equal(t, []string{"a2", "a3"}, usable(8500*time.Millisecond))
	assert.Equal(t, []string{"a3"}, usable(9*time.Second))
	assert.Empty(t, usable(9100*time.Millisecond, "a3"))

	request := s.request()
	request.Bounds = bounds
	s.hear("a1", 0, Word{Version: 1, Wanted: 3, Missing: 40})
	s.hear("a2", 0, Word{Version: 2, Wanted: 3, Missing: 20})
	s.hear("a3", 0, Word{Version: 3, SwitchPlanned: true, Missing: 80})
	refusal := s.refused(request, RefusedNoServer)
	assert.Equal(t, map[Fitness]int{unfitBound: 2, unfitChanging: 1}, refusal.Servers)
	assert.Equal(t, 500*time.Millisecond+scriptEngine.Warm+changeTime/2, refusal.RetryAfter)

	resumed := s.request()
	resumed.Bounds, resumed.Exactly, resumed.Resumed = bounds, 1, true
	refusal = s.refused(resumed, RefusedNoServer)
	assert.Equal(t, map[Fitness]int{unfitBound: 1, unfitVersion: 1, unfitChanging: 1}, refusal.Servers, "a stream goes on only at its own version")
}

// A request whose answer would last into a change-over goes to a server that does not change, as
// long as that costs it less than the change-over is put off.
func TestLongAnswersKeepAwayFromAPlannedChange(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.hear("a1", 0, Word{Version: 1, SwitchPlanned: true, SwitchIn: 400 * time.Millisecond})
	s.hear("a2", 0, Word{Version: 1, Running: 10})
	s.goesTo(s.request(), "a2")
	short := s.request()
	short.Answer = 5
	s.goesTo(short, "a1")
}

// HOME: an ejected server in an allowed region goes before a sound one elsewhere, and lists that
// contradict each other allow no server, with the time of an operator to come back.
func TestResidencyWithContradictingLists(t *testing.T) {
	s := newScript(t, "a1", "b1", "c1")
	for _, server := range s.fleet.Servers {
		s.hear(server.ID, 0, Word{Version: 1})
	}
	request := s.request()
	request.Residency = request.Residency.With([]string{"b", "c"}).With([]string{"b"})
	s.goesTo(request, "b1")
	eject(s.core, s.candidate("b1"), s.now)
	s.goesTo(request, "b1")
	assert.Equal(t, []*Candidate{s.candidate("b1")}, s.core.ToAsk(request, nil, s.now))

	request.Residency = request.Residency.With([]string{"a", "c"})
	refusal := s.refused(request, RefusedResidency)
	assert.Equal(t, noRegionRetry, refusal.RetryAfter)
	assert.Equal(t, map[Fitness]int{unfitRegion: 3}, refusal.Servers)
	assert.Empty(t, s.core.ToAsk(request, nil, s.now))

	request.Residency = nil
	s.goesTo(request, "a1")
}

// FAILBACK: a cold server gets this entry's share of a second's requests, what was refused there
// goes elsewhere, and the share is there again a second later; once warm it has no bound.
func TestColdShareOfOneEntry(t *testing.T) {
	s := newScript(t, "a1", "b1")
	s.core.bounded.started = epoch.Add(-time.Minute)
	s.core.TakeEntries([]string{"entry-1", "entry-2"}, s.now)
	s.fleet.Services = map[string]Service{"s": {ColdLimit: 10, ColdTime: 3 * time.Second}}
	s.fleet.Servers[0].ColdUntil = epoch.Add(3 * time.Second)
	s.update()
	const share = 3 // A third of nine tenths of ten.
	sends := func() (near int) {
		for range 20 {
			s.hear("a1", 0, Word{Version: 1})
			s.hear("b1", 0, Word{Version: 1})
			decision, refusal := s.core.Choose(s.request(), s.now)
			require.Nil(t, refusal)
			if decision.Candidate.ID == "a1" {
				near++
			}
			s.ends(decision)
		}
		return near
	}
	assert.Equal(t, share, sends())
	s.at(time.Second)
	assert.Zero(t, sends(), "what a connection takes belongs to the second")
	s.at(admission.ColdWindow)
	assert.Equal(t, share, sends())
	servers, sent := s.core.ColdCounts(s.now)
	assert.Equal(t, 1, servers)
	assert.EqualValues(t, 2*share, sent)
	s.at(3 * time.Second)
	assert.Equal(t, 20, sends(), "warm")
}

// EVAC: a zone is evacuated with requests open there, and taken back: what is open ends there,
// nothing new begins, and afterwards its servers are cold by the entry's own word.
func TestEvacuationAndItsReturn(t *testing.T) {
	s := newScript(t, "a1", "b1")
	s.core.bounded.started = epoch.Add(-time.Minute)
	s.fleet.Services = map[string]Service{"s": {ColdLimit: 3, ColdTime: 3 * time.Second}}
	s.update()
	s.hear("a1", 0, Word{Version: 1})
	s.hear("b1", 0, Word{Version: 1, Running: 5})
	open := s.goesTo(s.request(), "a1")

	s.fleet.Evacuated = []string{"a"}
	assert.Equal(t, []Change{{Kind: ZoneEvacuated, Zone: "a", Servers: 1, InFlight: 1}}, s.update())
	assert.Empty(t, s.update(), "it is told once")
	s.served(s.request(), "b1")
	assert.Equal(t, []*Candidate{s.candidate("b1")}, s.core.ToAsk(s.request(), nil, s.now))
	failed := s.request()
	failed.Tried = []*Candidate{s.candidate("b1")}
	assert.Equal(t, 1, s.refused(failed, RefusedNoServer).Servers[unfitEvacuated])
	s.ends(open)

	s.at(time.Second)
	s.fleet.Evacuated = nil
	assert.Equal(t, []Change{{Kind: ZoneReadmitted, Zone: "a", Servers: 1}}, s.update())
	s.core.TakeEntries(nil, s.now)
	s.hear("a1", 0, Word{Version: 1})
	s.hear("b1", 0, Word{Version: 1, Running: 10})
	s.served(s.request(), "a1")
	s.served(s.request(), "b1") // One was sent within the second before, as long as the zone was in use.
	s.at(1200 * time.Millisecond)
	s.hear("a1", 0, Word{Version: 1})
	s.goesTo(s.request(), "a1")
	s.at(4 * time.Second)
	assert.Zero(t, s.core.Describe(s.now)[0].ColdFor)
}

// In overload the soonest of all servers is looked for before a refusal, which tells the figures
// that it was decided by; a request that was admitted before is not refused.
func TestOverloadIsRefusedWithItsFigures(t *testing.T) {
	s := newScript(t, "a1", "a2", "a3", "a4", "a5", "a6")
	for _, server := range s.fleet.Servers {
		s.hear(server.ID, 200*time.Millisecond, Word{Version: 1, Running: 16, Waiting: 6})
	}
	refusal := s.refused(s.request(), RefusedOverload)
	assert.Greater(t, refusal.Admission.Wait, refusal.Admission.MostWait)
	assert.Equal(t, scriptEngine.Published.MaxWait(440*time.Millisecond), refusal.Admission.MostWait)
	assert.Equal(t, 200*time.Millisecond, refusal.OldestWord)
	assert.Equal(t, min(refusal.Admission.Wait-refusal.Admission.MostWait/2, refusalRetryCap), refusal.RetryAfter)
	s.hear("a6", 0, Word{Version: 1})
	s.goesTo(s.request(), "a6")
	resumed := s.request()
	resumed.Resumed = true
	resumed.Tried = []*Candidate{s.candidate("a6")}
	_, refusal = s.core.Choose(resumed, s.now)
	assert.Nil(t, refusal)
}

// coldScript begins with one server, a1, that is cold and may be sent two requests a second by this
// entry.
func coldScript(t *testing.T) *script {
	s := newScript(t, "a1")
	s.core.bounded.started = epoch.Add(-time.Minute)
	s.fleet.Services = map[string]Service{"s": {ColdLimit: 3, ColdTime: 3 * time.Second}}
	s.fleet.Servers[0].ColdUntil = epoch.Add(5 * time.Second)
	s.update()
	s.hear("a1", 0, Word{Version: 1})
	return s
}

// FAILBACK: a cold server whose line goes and comes again at once has been sent what it was sent.
func TestServerListedAgainKeepsItsShareOfTheSecond(t *testing.T) {
	s := coldScript(t)
	for range 2 {
		s.served(s.request(), "a1")
	}
	listed := s.fleet.Servers
	s.at(300 * time.Millisecond)
	s.fleet.Servers = nil
	s.update()
	s.at(600 * time.Millisecond)
	s.fleet.Servers = listed
	s.update()
	assert.Equal(t, map[Fitness]int{unfitCold: 1}, s.refused(s.request(), RefusedNoServer).Servers)
	s.at(admission.ColdWindow)
	s.hear("a1", 0, Word{Version: 1})
	s.served(s.request(), "a1")
}

// FAILBACK: an ejected server that is taken because there is no other has its cold share too.
func TestEjectedServerKeepsToItsColdShare(t *testing.T) {
	s := coldScript(t)
	eject(s.core, s.candidate("a1"), s.now)
	for range 2 {
		s.served(s.request(), "a1")
	}
	assert.Equal(t, map[Fitness]int{unfitCold: 1}, s.refused(s.request(), RefusedNoServer).Servers)
}
