package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/balance"
)

// idleServer returns a core with one model server that its agent has just reported idle, and a request while
// other entries send too.
func idleServer(now time.Time, others int) (*Core, *Candidate, *Request) {
	core := testCore("z", nil)
	server := modelServer(now.Add(-20*time.Millisecond), 0)
	core.byService["s"] = []*Candidate{server}
	core.byAddress["10.0.0.1:1"] = server
	engine := &Engine{Published: balance.Server{Slots: 16, StepMilliseconds: 7, Stride: 6, ReadPerSecond: 30000, TypicalPrompt: 1000, TypicalAnswer: 100}}
	return core, server, withFigures(Request{Service: "s", OtherEntries: others, Prompt: 1000, Target: 400 * time.Millisecond}, engine)
}

// A server that has just become idle attracts all entries at once: each of the others may have sent as much
// since the agent's report as this entry.
func TestOthersMayHaveSentAsMuchSinceTheReport(t *testing.T) {
	now := epoch
	core, server, request := idleServer(now, 8)
	sent := 0
	for range 10 {
		if _, refusal := core.Choose(request, now); refusal == nil {
			sent++
		}
	}
	assert.Equal(t, 2, sent, "nine entries with two requests each make 600 ms of prefill")
	core.ApplyReport(LoadReport{Address: "10.0.0.1:1", Reachable: true, Version: 1, Running: 2}, now)
	require.Equal(t, server.report.at, now)
	_, refusal := core.Choose(request, now)
	assert.Nil(t, refusal, "the next report says how much it was")
}

// Requests sent after the agent's report are not part of it: all that it counts beyond those sent before
// belongs to other entries.
func TestRequestsInTransitAreNotInTheReport(t *testing.T) {
	now := epoch
	core, server, request := idleServer(now, 0)
	_, refusal := core.Choose(request, now)
	require.Nil(t, refusal)
	core.ApplyReport(LoadReport{Address: "10.0.0.1:1", Reachable: true, Version: 1, Waiting: 3}, now.Add(-10*time.Millisecond))
	assert.Equal(t, 4, core.load(server, request, now).Waiting, "three of other entries and this entry's own")
}

// The link's round-trip time that a machine's agent reports counts at every entry, even at one that has sent
// nothing there yet.
func TestNarrowLinkIsKnownBeforeTheFirstRequest(t *testing.T) {
	now := epoch
	core := testCore("z", nil)
	request := withFigures(Request{}, &Engine{Published: balance.Server{ReadPerSecond: 20000}})
	sound, narrow := modelServer(now, 0), modelServer(now, 0)
	narrow.report.LinkRTT = 900 * time.Millisecond
	assert.Equal(t, 900*time.Millisecond, core.timeToFirstEvent(narrow, request, now)-core.timeToFirstEvent(sound, request, now))
}

// A server that has begun requests later than predicted is expected to do so for a while, and is trusted
// again after a long time.
func TestLatenessDecays(t *testing.T) {
	now := epoch
	core, server := testCore("z", nil), modelServer(now, 0)
	waiting := &Send{candidate: server, engine: &Engine{}, expectedAt: now.Add(-2 * time.Second)}
	server.sends.add(waiting)
	assert.InDelta(t, 2, server.lateBy(now).Seconds(), 0.01)
	core.EndPrefill(waiting, false, now)
	first := server.lateBy(now)
	assert.Greater(t, first, 500*time.Millisecond)
	assert.InDelta(t, first.Seconds()/2, server.lateBy(now.Add(latenessHalfLife)).Seconds(), 0.01)
	assert.Zero(t, server.lateBy(now.Add(10*latenessHalfLife)))
}
