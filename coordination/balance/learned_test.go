package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// recordAnswers records a number of streams of a server that reads 20,000 tokens a second and
// writes five tokens in 50 ms, over a network that takes 40 ms.
func recordAnswers(estimator *Estimator, published Server, count int) {
	for range count {
		estimator.RecordIdleFirstEvent(published, 1000, 140*time.Millisecond)
		estimator.RecordStream(1000, 21, 20*50*time.Millisecond)
	}
}

// A figure that is not published must never count as zero: it has a default before any samples, and
// is learned from answers afterwards.
func TestMissingFiguresAreLearned(t *testing.T) {
	estimator := &Estimator{}
	empty := estimator.Merge(Server{})
	assert.Positive(t, empty.ReadPerSecond)
	assert.Positive(t, empty.StepMilliseconds)
	assert.Positive(t, empty.Slots)
	assert.Positive(t, empty.TimeToFirstEvent(Load{}, 1000))
	partial := Server{Slots: 16, Stride: 5, StepMilliseconds: 10}
	recordAnswers(estimator, partial, minSamplesToFill)
	merged := estimator.Merge(Server{Slots: 16, Stride: 5})
	assert.InDelta(t, 11111, merged.ReadPerSecond, 1, "network time counts as reading")
	assert.InDelta(t, 10, merged.StepMilliseconds, 0.01)
	assert.InDelta(t, 1000, merged.TypicalPrompt, 0.01)
	assert.InDelta(t, 105, merged.TypicalAnswer, 0.01)
}

// A published figure must be kept as long as the answers agree with it within the effect of the
// network and other requests, and replaced if it is far off.
func TestWrongPublishedFiguresAreCorrected(t *testing.T) {
	estimator := &Estimator{}
	recordAnswers(estimator, engine, minSamplesToCorrect)
	assert.Equal(t, engine, estimator.Merge(engine))
	estimator.RecordIdleFirstEvent(engine, 1000, 20*time.Second)
	assert.Equal(t, engine, estimator.Merge(engine), "a single delayed request changes nothing")
	wrong := engine
	wrong.ReadPerSecond = 1000
	wrong.StepMilliseconds = 500
	estimator = &Estimator{}
	recordAnswers(estimator, wrong, minSamplesToCorrect)
	corrected := estimator.Merge(wrong)
	assert.Greater(t, corrected.ReadPerSecond, 7000.0)
	assert.InDelta(t, 10, corrected.StepMilliseconds, 0.01)
}
