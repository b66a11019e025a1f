package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/balance"
)

// idleServer is a core with one model server that its agent has just called idle, and
// what a request wants while other entries send too.
func idleServer(now time.Time, others int) (*Core, *Candidate, *Request) {
	core := testCore("z", nil)
	server := modelServer(now.Add(-20*time.Millisecond), 0)
	core.byService["s"] = []*Candidate{server}
	core.byAddress["10.0.0.1:1"] = server
	engine := &Engine{Published: balance.Server{Slots: 16, StepMilliseconds: 7, Stride: 6, ReadPerSecond: 30000, TypicalPrompt: 1000, TypicalAnswer: 100}}
	return core, server, withFigures(Request{Service: "s", Others: others, Prompt: 1000, Target: 400 * time.Millisecond}, engine)
}

// A server that has just become idle draws all entries at the same time: what this one
// has sent since the agent's word, each other may have sent as well.
func TestOthersMayHaveSentAsMuchSinceTheWord(t *testing.T) {
	now := epoch
	core, server, wanted := idleServer(now, 8)
	sent := 0
	for range 10 {
		if _, refusal := core.Choose(wanted, now); refusal == nil {
			sent++
		}
	}
	assert.Equal(t, 2, sent, "nine entries with two requests each make 600 ms of reading")
	core.TakeWord(Word{Address: "10.0.0.1:1", Reachable: true, Version: 1, Running: 2}, now)
	require.Equal(t, server.word.at, now)
	_, refusal := core.Choose(wanted, now)
	assert.Nil(t, refusal, "the next word tells how much it was")
}

// Requests that were sent after the agent looked are no part of what it saw: all that
// it saw beyond those before is others'.
func TestRequestsOnTheirWayAreNotTakenForSeen(t *testing.T) {
	now := epoch
	core, server, wanted := idleServer(now, 0)
	_, refusal := core.Choose(wanted, now)
	require.Nil(t, refusal)
	core.TakeWord(Word{Address: "10.0.0.1:1", Reachable: true, Version: 1, Waiting: 3}, now.Add(-10*time.Millisecond))
	assert.Equal(t, 4, core.load(server, wanted, now).Waiting, "three of others and the own one")
}

// What a machine's agent tells of its link counts at every entry, also at one that has
// sent nothing there yet.
func TestNarrowLinkIsKnownBeforeTheFirstRequest(t *testing.T) {
	now := epoch
	core := testCore("z", nil)
	wanted := withFigures(Request{}, &Engine{Published: balance.Server{ReadPerSecond: 20000}})
	sound, narrow := modelServer(now, 0), modelServer(now, 0)
	narrow.word.Link = 900 * time.Millisecond
	assert.Equal(t, 900*time.Millisecond, core.firstEvent(narrow, wanted, now)-core.firstEvent(sound, wanted, now))
}

// A server that has begun requests later than predicted is expected to go on so for a
// while, and is trusted again when that was long ago.
func TestLatenessFades(t *testing.T) {
	now := epoch
	core, server := testCore("z", nil), modelServer(now, 0)
	waiting := &Send{candidate: server, engine: &Engine{}, due: now.Add(-2 * time.Second)}
	server.sends.add(waiting)
	assert.InDelta(t, 2, server.lateBy(now).Seconds(), 0.01)
	core.PromptRead(waiting, false, now)
	first := server.lateBy(now)
	assert.Greater(t, first, 500*time.Millisecond)
	assert.InDelta(t, first.Seconds()/2, server.lateBy(now.Add(latenessHalfLife)).Seconds(), 0.01)
	assert.Zero(t, server.lateBy(now.Add(10*latenessHalfLife)))
}
