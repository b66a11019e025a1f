package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// answers notes a number of streams of a server that reads 20,000 tokens a second and
// writes five tokens in 50 ms.
func answers(learned *Learned, count int) {
	for range count {
		learned.IdleFirstEvent(1000, 50*time.Millisecond)
		learned.Stream(1000, 21, 20*50*time.Millisecond)
	}
}

// A figure that is not published is never taken for zero: not before anything is seen,
// and afterwards it is what the answers show.
func TestMissingFiguresAreLearned(t *testing.T) {
	learned := &Learned{}
	empty := learned.Complete(Server{})
	assert.Positive(t, empty.ReadPerSecond)
	assert.Positive(t, empty.StepMilliseconds)
	assert.Positive(t, empty.Slots)
	assert.Positive(t, empty.FirstEvent(Load{}, 1000))
	answers(learned, enoughToFill)
	seen := learned.Complete(Server{Slots: 16, Stride: 5})
	assert.InDelta(t, 20000, seen.ReadPerSecond, 1)
	assert.InDelta(t, 10, seen.StepMilliseconds, 0.01)
	assert.InDelta(t, 1000, seen.UsualPrompt, 0.01)
	assert.InDelta(t, 105, seen.UsualAnswer, 0.01)
}

// A published figure stands as long as the answers agree with it within what the
// network and other requests explain; one that is far off is replaced.
func TestWrongFiguresAreCorrected(t *testing.T) {
	learned := &Learned{}
	answers(learned, enoughToCorrect)
	sound := learned.Complete(engine)
	assert.Equal(t, engine, sound)
	wrong := engine
	wrong.ReadPerSecond = 100
	wrong.StepMilliseconds = 500
	corrected := learned.Complete(wrong)
	assert.InDelta(t, 20000, corrected.ReadPerSecond, 1)
	assert.InDelta(t, 10, corrected.StepMilliseconds, 0.01)
}
