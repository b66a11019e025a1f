package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// answers notes a number of streams of a server that reads 20,000 tokens a second and
// writes five tokens in 50 ms, reached over a network that takes 40 ms.
func answers(learned *Estimator, published Server, count int) {
	for range count {
		learned.RecordIdleFirstEvent(published, 1000, 140*time.Millisecond)
		learned.RecordStream(1000, 21, 20*50*time.Millisecond)
	}
}

// A figure that is not published is never taken for zero: not before anything is seen,
// and afterwards it is what the answers show.
func TestMissingFiguresAreLearned(t *testing.T) {
	learned := &Estimator{}
	empty := learned.Merge(Server{})
	assert.Positive(t, empty.ReadPerSecond)
	assert.Positive(t, empty.StepMilliseconds)
	assert.Positive(t, empty.Slots)
	assert.Positive(t, empty.TimeToFirstEvent(Load{}, 1000))
	partly := Server{Slots: 16, Stride: 5, StepMilliseconds: 10}
	answers(learned, partly, enoughToFill)
	seen := learned.Merge(Server{Slots: 16, Stride: 5})
	assert.InDelta(t, 11111, seen.ReadPerSecond, 1, "the network counts as reading")
	assert.InDelta(t, 10, seen.StepMilliseconds, 0.01)
	assert.InDelta(t, 1000, seen.UsualPrompt, 0.01)
	assert.InDelta(t, 105, seen.UsualAnswer, 0.01)
}

// A published figure stands as long as the answers agree with it within what the
// network and other requests explain; one that is far off is replaced.
func TestWrongFiguresAreCorrected(t *testing.T) {
	learned := &Estimator{}
	answers(learned, engine, enoughToCorrect)
	assert.Equal(t, engine, learned.Merge(engine))
	learned.RecordIdleFirstEvent(engine, 1000, 20*time.Second)
	assert.Equal(t, engine, learned.Merge(engine), "one that was held up changes nothing")
	wrong := engine
	wrong.ReadPerSecond = 1000
	wrong.StepMilliseconds = 500
	learned = &Estimator{}
	answers(learned, wrong, enoughToCorrect)
	corrected := learned.Merge(wrong)
	assert.Greater(t, corrected.ReadPerSecond, 7000.0)
	assert.InDelta(t, 10, corrected.StepMilliseconds, 0.01)
}
