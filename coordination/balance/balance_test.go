package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var engine = Server{
	Slots: 16, StepMilliseconds: 9.27, PerSequence: 0.0232, ContextPerThousand: 0.0322, Stride: 5,
	ReadPerSecond: 20700, TypicalPrompt: 979, TypicalAnswer: 92,
}

// Guards against sending requests to a server that has just returned: it runs few requests, but a
// queue of unread prompts delays the first event more than many running requests do.
func TestUnreadPromptsOutweighRunningRequests(t *testing.T) {
	queued := Load{Running: 0, Waiting: 6, Unread: 6 * 979}
	busy := Load{Running: 9}
	assert.Greater(t, engine.TimeToFirstEvent(queued, 979), engine.TimeToFirstEvent(busy, 979))
}

func TestIdleServerReadsThePromptAndWritesOneEvent(t *testing.T) {
	assert.InDelta(t, 47+46, float64(engine.TimeToFirstEvent(Load{}, 979))/float64(time.Millisecond), 1)
}

func TestFullServerWaitsForASlot(t *testing.T) {
	almostFull := engine.TimeToFirstEvent(Load{Running: 15}, 979)
	full := engine.TimeToFirstEvent(Load{Running: 16}, 979)
	assert.InDelta(t, float64(engine.ServiceTime()), float64(full-almostFull), float64(2*time.Millisecond))
	assert.InDelta(t, 108, float64(engine.ServiceTime())/float64(time.Millisecond), 5)
}

func TestPaceScalesTimeToFirstEvent(t *testing.T) {
	normal := float64(engine.TimeToFirstEvent(Load{Running: 4}, 500))
	assert.InDelta(t, 3*normal, float64(engine.TimeToFirstEvent(Load{Running: 4, Pace: 3}, 500)), float64(time.Microsecond))
}

func TestQueueingAtServersThatReadNoPrompts(t *testing.T) {
	noPrompts := Server{Slots: 6, RequestMilliseconds: 60}
	assert.Equal(t, 60*time.Millisecond, noPrompts.TimeToFirstEvent(Load{Running: 5}, 0))
	assert.Equal(t, 90*time.Millisecond, noPrompts.TimeToFirstEvent(Load{Running: 8}, 0))
}

// Prompts are read in chunks, and between two chunks the server generates tokens for running
// requests, so a long queue of prompts takes one pass per chunk.
func TestEachChunkOfReadingTakesAPass(t *testing.T) {
	server := Server{Slots: 16, StepMilliseconds: 10, Stride: 6, ReadPerSecond: 30000, ReadChunk: 2000}
	load := Load{Running: 10, Waiting: 5, Unread: 5000}
	reading, passes := 200*time.Millisecond, 1+3
	assert.Equal(t, reading+time.Duration(passes)*60*time.Millisecond, server.TimeToFirstEvent(load, 1000))
	server.ReadChunk = 0
	assert.Equal(t, reading+2*60*time.Millisecond, server.TimeToFirstEvent(load, 1000), "no chunk size published")
}

// The wait for others must grow with the load and the pace of a slow server; an idle server must
// cause no wait, however slow it is. The maximum wait is what a typical prompt leaves of the limit.
func TestWaitForOthers(t *testing.T) {
	server := Server{Slots: 16, StepMilliseconds: 7, Stride: 6, ReadPerSecond: 30000, ReadChunk: 2048, TypicalPrompt: 1000, TypicalAnswer: 100}
	for _, pace := range []float64{0, 1, 4} {
		assert.Zero(t, server.Wait(Load{Pace: pace}))
	}
	busy := Load{Running: 16, Waiting: 2, Unread: 3000}
	assert.Greater(t, server.Wait(busy), server.Wait(Load{Running: 16}))
	busy.Pace = 2
	assert.Greater(t, server.Wait(busy), server.Wait(Load{Running: 16, Waiting: 2, Unread: 3000}))
	limit := 400 * time.Millisecond
	assert.Equal(t, limit-server.TimeToFirstEvent(Load{}, 1000), server.MaxWait(limit))
	assert.Zero(t, server.MaxWait(10*time.Millisecond))
	noPrompts := Server{Slots: 4, RequestMilliseconds: 60}
	assert.Zero(t, noPrompts.Wait(Load{Running: 3}))
	assert.Equal(t, 15*time.Millisecond, noPrompts.Wait(Load{Running: 4}))
}
