package shedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

func TestWait(t *testing.T) {
	for name, one := range map[string]struct {
		most, elapsed time.Duration
		share         float64
		want          time.Duration
	}{
		"a first attempt":              {most: 300 * ms, share: 0.2, want: 300 * ms},
		"one that is back in time":     {most: 300 * ms, elapsed: 100 * ms, share: 0.2, want: 200 * ms},
		"a late one waits for a share": {most: 300 * ms, elapsed: time.Second, share: 0.2, want: 60 * ms},
		"only idle servers":            {most: 300 * ms, elapsed: time.Second, want: 0},
		"like a first attempt":         {most: 300 * ms, elapsed: time.Second, share: 1, want: 300 * ms},
		"nobody may wait":              {elapsed: time.Second, share: 0.2, want: 0},
	} {
		assert.InDelta(t, float64(one.want), float64(MaxWait(one.most, Arrival{Elapsed: one.elapsed}, one.share)), 10, name)
	}
}

// A target that is shorter than others of its service bounds the wait of these too, as often as it is asked for.
func TestCommonTarget(t *testing.T) {
	var targets TargetEstimator
	assert.Equal(t, 500*ms, targets.Bound(500*ms), "nothing is known")
	targets.Record(0)
	for range 500 {
		targets.Record(500 * ms)
		targets.Record(400 * ms)
	}
	assert.Equal(t, 400*ms, targets.Bound(400*ms))
	assert.InDelta(t, float64(444*ms), float64(targets.Bound(500*ms)), float64(2*ms))
	for range 500 {
		targets.Record(500 * ms)
	}
	assert.InDelta(t, float64(500*ms), float64(targets.Bound(500*ms)), float64(ms), "nobody asks for the shorter one any more")
}

func TestLateCountsFromTheFirstAttempt(t *testing.T) {
	assert.False(t, Arrival{}.Late(600*ms, 400*ms), "a first attempt that begins late is no late caller")
	assert.False(t, Arrival{Elapsed: 100 * ms}.Late(200*ms, 400*ms))
	assert.True(t, Arrival{Elapsed: 300 * ms}.Late(200*ms, 400*ms))
}

// Refused callers come back when the queue has come down, in the second half of the time that
// they heed.
func TestReturn(t *testing.T) {
	assert.Equal(t, time.Second, MinRetryDelay(500*ms, 400*ms, 100*ms, 1500*ms, Arrival{Remaining: 6 * time.Second}))
	assert.Equal(t, 1500*ms, MinRetryDelay(3*time.Second, 400*ms, 100*ms, 1500*ms, Arrival{Remaining: 6 * time.Second}))
	assert.Equal(t, 100*ms, MinRetryDelay(200*ms, 400*ms, 100*ms, 1500*ms, Arrival{Remaining: 300 * ms}))
	assert.Equal(t, 300*ms, MinRetryDelay(500*ms, 400*ms, 100*ms, 1500*ms, Arrival{}), "a caller that does not say how long it waits")
}

// While first attempts are refused late requests are held to the least share; once none has
// been refused for a second they are treated like any other.
func TestPressureEases(t *testing.T) {
	var pressure OverloadDetector
	assert.InDelta(t, 1, pressure.LateFraction(0, 0.2), 1e-9)
	pressure.RecordRefusal(5*time.Second, Arrival{Elapsed: time.Second})
	assert.InDelta(t, 1, pressure.LateFraction(5*time.Second, 0.2), 1e-9, "a late one's refusal shows no overload of first attempts")
	pressure.RecordRefusal(5*time.Second, Arrival{})
	assert.InDelta(t, 0.2, pressure.LateFraction(5*time.Second, 0.2), 1e-9)
	assert.InDelta(t, 0.6, pressure.LateFraction(5500*ms, 0.2), 1e-9)
	assert.InDelta(t, 1, pressure.LateFraction(7*time.Second, 0.2), 1e-9)
}

// An overload lasts as long as first attempts are admitted to full servers; full servers alone are
// none.
func TestOverloadLastsWhileServersAreFull(t *testing.T) {
	var pressure OverloadDetector
	pressure.RecordFull(4 * time.Second)
	assert.InDelta(t, 1, pressure.LateFraction(4*time.Second, 0.2), 1e-9)
	pressure.RecordRefusal(5*time.Second, Arrival{})
	for at := 5 * time.Second; at < 8*time.Second; at += 300 * ms {
		pressure.RecordFull(at)
	}
	assert.InDelta(t, 0.2, pressure.LateFraction(7700*ms, 0.2), 1e-9)
	assert.InDelta(t, 1, pressure.LateFraction(9*time.Second, 0.2), 1e-9)
	pressure.RecordFull(9 * time.Second)
	assert.InDelta(t, 1, pressure.LateFraction(9*time.Second, 0.2), 1e-9, "it has ended")
}
