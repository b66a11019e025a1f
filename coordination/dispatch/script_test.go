package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/coordination/monotonic"
)

// script plays a sequence of messages to an entry, with decisions in between.
type script struct {
	*testing.T
	core  *Core
	now   time.Time
	fleet Fleet
}

// scriptEngine is the engine of the scripts' fleets. A copy of a version takes 2.5 s.
var scriptEngine = &Engine{
	Pieces: 100, CopyTime: 2500 * time.Millisecond, ActivationTime: 100 * time.Millisecond,
	Published: balance.Server{Slots: 16, StepMilliseconds: 7, Stride: 6, ReadPerSecond: 30000, TypicalPrompt: 1000, TypicalAnswer: 100},
}

// newScript returns a script with the named servers, seen from zone a. The first letter of a name is the
// server's zone and region. All serve version 1 by the list.
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

// isOnlyEntry makes this entry the only one, some time after its start.
func (s *script) isOnlyEntry() {
	s.core.members.started = epoch.Add(-time.Minute)
	s.core.members.setZones(nil)
	s.core.SetEntries(nil, s.now)
}

// update applies the present fleet.
func (s *script) update() []Change { return s.core.Update(s.fleet, s.now) }

// at sets the time since epoch.
func (s *script) at(after time.Duration) { s.now = epoch.Add(after) }

// report applies a report that was made some time ago on a reachable server.
func (s *script) report(id string, ago time.Duration, report LoadReport) {
	report.Address, report.Reachable = id+":1", true
	s.core.ApplyReport(report, s.now.Add(-ago))
}

// request returns a request for a model server.
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

// goesTo decides a request and expects it to be sent to the given server.
func (s *script) goesTo(request *Request, id string) Decision {
	s.Helper()
	decision, refusal := s.core.Choose(request, s.now)
	require.Nil(s, refusal, "%+v", refusal)
	assert.Equal(s, id, decision.Candidate.ID, "after %s", s.now.Sub(epoch))
	return decision
}

// served is goesTo for a request that begins and ends at once.
func (s *script) served(request *Request, id string) {
	s.Helper()
	s.ends(s.goesTo(request, id))
}

// ends records that a request has begun and ended.
func (s *script) ends(decision Decision) {
	s.core.EndPrefill(decision.Send, true, s.now)
	s.core.Release(decision.Send)
}

// refused decides a request and expects a refusal.
func (s *script) refused(request *Request, reason RefusalReason) *Refusal {
	s.Helper()
	decision, refusal := s.core.Choose(request, s.now)
	require.NotNil(s, refusal, "%+v", decision)
	assert.Equal(s, reason, refusal.Reason)
	return refusal
}

// A report that a server is idle is trusted for a while. Afterwards its agent counts as silent, and the
// server is used only without an alternative.
func TestStaleReports(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.report("a1", 0, LoadReport{Version: 1})
	s.report("a2", 0, LoadReport{Version: 1, Running: 10})
	s.served(s.request(), "a1")

	s.at(time.Second)
	s.report("a2", 0, LoadReport{Version: 1, Running: 10})
	s.report("a2", 100*time.Millisecond, LoadReport{Version: 1, Running: 16, Waiting: 9}) // Arrives later, by a longer path.
	assert.Equal(t, 10, s.candidate("a2").outstanding(s.now), "an older report changes nothing")

	s.at(1300 * time.Millisecond)
	decision := s.goesTo(s.request(), "a2")
	assert.Equal(t, 300*time.Millisecond, decision.ReportAge)
	tried := s.request()
	tried.Tried = []*Candidate{s.candidate("a2")}
	decision = s.goesTo(tried, "a1")
	assert.Equal(t, 1300*time.Millisecond, decision.ReportAge)
	assert.True(t, s.core.FailureSuspected(s.candidate("a1"), s.now, s.now))

	s.report("a1", 0, LoadReport{Version: 1, SwitchPlanned: true})
	assert.Equal(t, 1, s.refused(tried, RefusedNoServer).Servers[excludedSwitching])
	s.at(1300*time.Millisecond + reportTTL)
	s.goesTo(tried, "a1") // By the version on the list, for lack of a report.
}

// Replies to load queries supersede the agents' reports: a server that has filled up since is avoided.
func TestQueryRepliesDecide(t *testing.T) {
	s := newScript(t, "a1", "a2", "a3", "a4")
	for _, server := range s.fleet.Servers {
		s.report(server.ID, 300*time.Millisecond, LoadReport{Version: 1})
	}
	request := s.request()
	queried := s.core.QueryTargets(request, nil, s.now)
	require.Len(t, queried, queriesAtOnce)
	free := queried[1]
	replies := []LoadReport{
		{Address: queried[0].Address, Reachable: true, Version: 1, Running: 16, Waiting: 6, UnreadTokens: 6000},
		{Address: free.Address, Reachable: true, Version: 1, Running: 2},
	}
	s.at(10 * time.Millisecond)
	request.Queried = s.core.ApplyQueryReplies(queried, replies, s.now)
	assert.Equal(t, queried[:2], request.Queried, "the third agent has not replied")
	assert.True(t, s.core.AnyAdmits(request, s.now))
	s.goesTo(request, free.ID)
	assert.NotContains(t, s.core.QueryTargets(request, queried, s.now), queried[2], "no agent is queried twice for a request")
	again := s.core.QueryTargets(s.request(), nil, s.now)
	assert.Equal(t, queried[2], again[queriesAtOnce-1], "an agent that has just not replied is queried last")
}

// A server is lost after its report: the first attempt fails, the next goes elsewhere, and the server is
// tried again after its ejection. The list, an answer or a report tells that it has stopped.
func TestServerLostBetweenReportAndUse(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.report("a1", 0, LoadReport{Version: 1})
	s.report("a2", 0, LoadReport{Version: 1, Running: 8})
	s.at(50 * time.Millisecond)
	request := s.request()
	lost := s.goesTo(request, "a1")
	s.core.Release(lost.Send)
	s.core.EndPrefill(lost.Send, false, s.now)
	assert.Equal(t, ejectTime, eject(s.core, lost.Candidate, s.now))
	request.Tried = []*Candidate{lost.Candidate}
	s.served(request, "a2")
	s.served(s.request(), "a2")

	s.at(100*time.Millisecond + ejectTime)
	s.served(s.request(), "a1")

	s.core.ApplyReport(LoadReport{Address: "a1:1", Version: 1}, s.now)
	s.served(s.request(), "a2")
	s.report("a1", -time.Millisecond, LoadReport{Version: 1})
	assert.True(t, s.core.Supersede(s.candidate("a1")))
	s.goesTo(s.request(), "a2")
}

// A server's removal by a newer list entry at its address, or by the removal of its own, and the effect on
// its requests: they change no later server with the same ID.
func TestServerReplacedAtItsAddress(t *testing.T) {
	s := newScript(t, "a1")
	s.report("a1", 0, LoadReport{Version: 1})
	open := s.goesTo(s.request(), "a1")
	s.fleet.Servers = append(s.fleet.Servers, Server{ID: "a9", Service: "s", Address: "a1:1", Zone: "a", Slots: 16, Version: 1, HoldsModel: true, WrittenAt: monotonic.Version{Revision: 7}})
	changes := s.update()
	require.Len(t, changes, 1)
	assert.Equal(t, Change{Kind: AddressTaken, Candidate: open.Candidate, InFlight: 1}, changes[0])
	s.goesTo(s.request(), "a9")
	tried := s.request()
	tried.Tried = []*Candidate{s.candidate("a9")}
	assert.Equal(t, map[Eligibility]int{excludedLeaving: 1, excludedTried: 1}, s.refused(tried, RefusedNoServer).Servers)

	s.fleet.Servers = s.fleet.Servers[1:]
	changes = s.update()
	assert.Equal(t, []Change{{Kind: ServerRemoved, Candidate: open.Candidate, InFlight: 1}}, changes)
	s.fleet.Servers = append(s.fleet.Servers, Server{ID: "a1", Service: "s", Address: "a2:1", Zone: "a", Slots: 16, Version: 1, HoldsModel: true})
	s.update()
	s.core.EndPrefill(open.Send, true, s.now)
	s.core.Release(open.Send)
	assert.Zero(t, s.candidate("a1").sends.inFlight)

	s.fleet.Servers[0].Draining = true
	assert.Equal(t, []Change{{Kind: ServerLeaving, Candidate: s.candidate("a9"), InFlight: 1}}, s.update())
	last := s.goesTo(s.request(), "a1").Candidate

	queried := s.request()
	queried.Queried = []*Candidate{last}
	assert.True(t, s.core.AnyAdmits(queried, s.now))
	s.fleet.Servers = nil
	s.update()
	assert.False(t, s.core.AnyAdmits(queried, s.now))
}

// HOME: a list entry that names another zone belongs to another server, whose region decides what may be sent
// there.
func TestServerThatIsListedElsewhereIsAnother(t *testing.T) {
	s := newScript(t, "a1")
	s.report("a1", 0, LoadReport{Version: 1})
	request := s.request()
	request.Residency = request.Residency.With([]string{"a"})
	open := s.goesTo(request, "a1")
	s.fleet.Servers[0].Zone = "b"
	assert.Equal(t, []Change{{Kind: ServerRemoved, Candidate: open.Candidate, InFlight: 1}}, s.update())
	s.refused(request, RefusedResidency)
	s.ends(open)
	assert.Zero(t, s.candidate("a1").sends.inFlight)
	assert.Empty(t, s.update())
}

// VERSION: two versions are announced within two seconds. Each server serves until shortly before the first
// version that it lacks is in force; after that only newer ones do. When none is left, the refusal says when
// the transfers end.
func TestTwoVersionsInSuccession(t *testing.T) {
	const apply = 8 * time.Second
	s := newScript(t, "a1", "a2", "a3")
	deadlines := VersionDeadlines{{Version: 2, Until: epoch.Add(apply)}, {Version: 3, Until: epoch.Add(2*time.Second + apply)}}
	served := map[string]uint64{"a1": 1, "a2": 2, "a3": 3}
	usable := func(after time.Duration, changing ...string) []string {
		s.at(after)
		for id, version := range served {
			s.report(id, 0, LoadReport{Version: version, FetchingVersion: 3, SwitchPlanned: len(changing) > 0 && id == changing[0]})
		}
		request := s.request()
		request.VersionDeadlines = deadlines
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
	request.VersionDeadlines = deadlines
	s.report("a1", 0, LoadReport{Version: 1, FetchingVersion: 3, MissingPieces: 40})
	s.report("a2", 0, LoadReport{Version: 2, FetchingVersion: 3, MissingPieces: 20})
	s.report("a3", 0, LoadReport{Version: 3, SwitchPlanned: true, MissingPieces: 80})
	refusal := s.refused(request, RefusedNoServer)
	assert.Equal(t, map[Eligibility]int{excludedVersionDeadline: 2, excludedSwitching: 1}, refusal.Servers)
	assert.Equal(t, 500*time.Millisecond+scriptEngine.ActivationTime+switchTime/2, refusal.RetryAfter)

	resumed := s.request()
	resumed.VersionDeadlines, resumed.ExactVersion, resumed.Resumed = deadlines, 1, true
	refusal = s.refused(resumed, RefusedNoServer)
	assert.Equal(t, map[Eligibility]int{excludedVersionDeadline: 1, excludedVersion: 1, excludedSwitching: 1}, refusal.Servers, "a stream continues only at its own version")
}

// A request whose answer would last into a version switch goes to a server that does not switch, as long as
// that costs it less time than the delay of the switch.
func TestLongAnswersKeepAwayFromAPlannedChange(t *testing.T) {
	s := newScript(t, "a1", "a2")
	s.report("a1", 0, LoadReport{Version: 1, SwitchPlanned: true, SwitchIn: 400 * time.Millisecond})
	s.report("a2", 0, LoadReport{Version: 1, Running: 10})
	s.goesTo(s.request(), "a2")
	short := s.request()
	short.Answer = 5
	s.goesTo(short, "a1")
}

// HOME: an ejected server in an allowed region takes precedence over a healthy one elsewhere. Contradictory
// lists of regions allow no server, and the retry time allows for an operator's change.
func TestResidencyWithContradictingLists(t *testing.T) {
	s := newScript(t, "a1", "b1", "c1")
	for _, server := range s.fleet.Servers {
		s.report(server.ID, 0, LoadReport{Version: 1})
	}
	request := s.request()
	request.Residency = request.Residency.With([]string{"b", "c"}).With([]string{"b"})
	s.goesTo(request, "b1")
	eject(s.core, s.candidate("b1"), s.now)
	s.goesTo(request, "b1")
	assert.Equal(t, []*Candidate{s.candidate("b1")}, s.core.QueryTargets(request, nil, s.now))

	request.Residency = request.Residency.With([]string{"a", "c"})
	refusal := s.refused(request, RefusedResidency)
	assert.Equal(t, noRegionRetry, refusal.RetryAfter)
	assert.Equal(t, map[Eligibility]int{excludedRegion: 3}, refusal.Servers)
	assert.Empty(t, s.core.QueryTargets(request, nil, s.now))

	request.Residency = nil
	s.goesTo(request, "a1")
}

// FAILBACK: a cold server gets this entry's share of requests in a second, further ones go elsewhere, and the
// share is available again a second later; a warm server has no limit.
func TestColdShareOfOneEntry(t *testing.T) {
	s := newScript(t, "a1", "b1")
	s.core.members.started = epoch.Add(-time.Minute)
	s.core.SetEntries(membersOf("entry-1", "entry-2"), s.now)
	s.fleet.Services = map[string]Service{"s": {ColdRate: 10, ColdTime: 3 * time.Second}}
	s.fleet.Servers[0].ColdUntil = epoch.Add(3 * time.Second)
	s.update()
	const share = 3 // A third of nine tenths of ten.
	sends := func() (near int) {
		for range 20 {
			s.report("a1", 0, LoadReport{Version: 1})
			s.report("b1", 0, LoadReport{Version: 1})
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
	assert.Zero(t, sends(), "the window includes the time to connect")
	s.at(admission.ColdWindow)
	assert.Equal(t, share, sends())
	servers, sent := s.core.ColdCounts(s.now)
	assert.Equal(t, 1, servers)
	assert.EqualValues(t, 2*share, sent)
	s.at(3 * time.Second)
	assert.Equal(t, 20, sends(), "warm")
}

// EVAC: a zone with requests in flight is evacuated and readmitted: the requests in flight complete, no new
// ones begin, and afterwards this entry treats the zone's servers as cold.
func TestEvacuationAndItsReturn(t *testing.T) {
	s := newScript(t, "a1", "b1")
	s.isOnlyEntry()
	s.fleet.Services = map[string]Service{"s": {ColdRate: 3, ColdTime: 3 * time.Second}}
	s.update()
	s.report("a1", 0, LoadReport{Version: 1})
	s.report("b1", 0, LoadReport{Version: 1, Running: 5})
	open := s.goesTo(s.request(), "a1")

	s.fleet.Evacuated = []string{"a"}
	assert.Equal(t, []Change{{Kind: ZoneEvacuated, Zone: "a", Servers: 1, InFlight: 1}}, s.update())
	assert.Empty(t, s.update(), "it is reported once")
	s.served(s.request(), "b1")
	assert.Equal(t, []*Candidate{s.candidate("b1")}, s.core.QueryTargets(s.request(), nil, s.now))
	failed := s.request()
	failed.Tried = []*Candidate{s.candidate("b1")}
	assert.Equal(t, 1, s.refused(failed, RefusedNoServer).Servers[excludedEvacuated])
	s.ends(open)

	s.at(time.Second)
	s.fleet.Evacuated = nil
	assert.Equal(t, []Change{{Kind: ZoneReadmitted, Zone: "a", Servers: 1}}, s.update())
	s.core.SetEntries(nil, s.now)
	s.report("a1", 0, LoadReport{Version: 1})
	s.report("b1", 0, LoadReport{Version: 1, Running: 10})
	s.served(s.request(), "a1")
	s.served(s.request(), "b1") // One was sent within the second before, while the zone was in use.
	s.at(1200 * time.Millisecond)
	s.report("a1", 0, LoadReport{Version: 1})
	s.goesTo(s.request(), "a1")
	s.at(4 * time.Second)
	assert.Zero(t, s.core.Describe(s.now)[0].ColdFor)
}

// In overload, the soonest of all servers is considered before a refusal, which carries the figures of its
// decision. A request that was admitted before is not refused.
func TestOverloadIsRefusedWithItsFigures(t *testing.T) {
	s := newScript(t, "a1", "a2", "a3", "a4", "a5", "a6")
	for _, server := range s.fleet.Servers {
		s.report(server.ID, 200*time.Millisecond, LoadReport{Version: 1, Running: 16, Waiting: 6})
	}
	refusal := s.refused(s.request(), RefusedOverload)
	assert.Greater(t, refusal.Admission.Wait, refusal.Admission.MaxWait)
	assert.Equal(t, scriptEngine.Published.MaxWait(440*time.Millisecond), refusal.Admission.MaxWait)
	assert.Equal(t, 200*time.Millisecond, refusal.OldestReport)
	assert.Equal(t, min(refusal.Admission.Wait-refusal.Admission.MaxWait/2, refusalRetryCap), refusal.RetryAfter)
	s.report("a6", 0, LoadReport{Version: 1})
	s.goesTo(s.request(), "a6")
	resumed := s.request()
	resumed.Resumed = true
	resumed.Tried = []*Candidate{s.candidate("a6")}
	_, refusal = s.core.Choose(resumed, s.now)
	assert.Nil(t, refusal)
}

// coldScript returns a script with one cold server, a1, that this entry may send two requests a second.
func coldScript(t *testing.T) *script {
	s := newScript(t, "a1")
	s.isOnlyEntry()
	s.fleet.Services = map[string]Service{"s": {ColdRate: 3, ColdTime: 3 * time.Second}}
	s.fleet.Servers[0].ColdUntil = epoch.Add(5 * time.Second)
	s.update()
	s.report("a1", 0, LoadReport{Version: 1})
	return s
}

// FAILBACK: the request count of a cold server is kept when its list entry is removed and returns at once.
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
	assert.Equal(t, map[Eligibility]int{excludedCold: 1}, s.refused(s.request(), RefusedNoServer).Servers)
	s.at(admission.ColdWindow)
	s.report("a1", 0, LoadReport{Version: 1})
	s.served(s.request(), "a1")
}

// FAILBACK: the cold share also limits an ejected server that is used for lack of others.
func TestEjectedServerKeepsToItsColdShare(t *testing.T) {
	s := coldScript(t)
	eject(s.core, s.candidate("a1"), s.now)
	for range 2 {
		s.served(s.request(), "a1")
	}
	assert.Equal(t, map[Eligibility]int{excludedCold: 1}, s.refused(s.request(), RefusedNoServer).Servers)
}
