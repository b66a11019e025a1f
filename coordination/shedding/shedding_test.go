package shedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

func TestMaxWait(t *testing.T) {
	for name, tc := range map[string]struct {
		limit, elapsed time.Duration
		fraction       float64
		want           time.Duration
	}{
		"a first attempt":                 {limit: 300 * ms, fraction: 0.2, want: 300 * ms},
		"a retry that is still in time":   {limit: 300 * ms, elapsed: 100 * ms, fraction: 0.2, want: 200 * ms},
		"a late one waits for a fraction": {limit: 300 * ms, elapsed: time.Second, fraction: 0.2, want: 60 * ms},
		"only idle servers":               {limit: 300 * ms, elapsed: time.Second, want: 0},
		"like a first attempt":            {limit: 300 * ms, elapsed: time.Second, fraction: 1, want: 300 * ms},
		"no wait allowed":                 {elapsed: time.Second, fraction: 0.2, want: 0},
	} {
		assert.InDelta(t, float64(tc.want), float64(MaxWait(tc.limit, Arrival{Elapsed: tc.elapsed}, tc.fraction)), 10, name)
	}
}

// Short targets must also limit the wait of requests with longer targets: the more of the requests
// have a short target, the more.
func TestTargetBound(t *testing.T) {
	var targets TargetEstimator
	assert.Equal(t, 500*ms, targets.Bound(500*ms), "no targets recorded")
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
	assert.InDelta(t, float64(500*ms), float64(targets.Bound(500*ms)), float64(ms), "the shorter target no longer occurs")
}

func TestLateCountsFromTheFirstAttempt(t *testing.T) {
	assert.False(t, Arrival{}.Late(600*ms, 400*ms), "a first attempt is never a late caller")
	assert.False(t, Arrival{Elapsed: 100 * ms}.Late(200*ms, 400*ms))
	assert.True(t, Arrival{Elapsed: 300 * ms}.Late(200*ms, 400*ms))
}

// Refused callers must retry once the queue has shrunk, and not in the first half of the time that
// they honor.
func TestMinRetryDelay(t *testing.T) {
	assert.Equal(t, time.Second, MinRetryDelay(500*ms, 400*ms, 100*ms, 1500*ms, Arrival{Remaining: 6 * time.Second}))
	assert.Equal(t, 1500*ms, MinRetryDelay(3*time.Second, 400*ms, 100*ms, 1500*ms, Arrival{Remaining: 6 * time.Second}))
	assert.Equal(t, 100*ms, MinRetryDelay(200*ms, 400*ms, 100*ms, 1500*ms, Arrival{Remaining: 300 * ms}))
	assert.Equal(t, 300*ms, MinRetryDelay(500*ms, 400*ms, 100*ms, 1500*ms, Arrival{}), "a caller without a deadline")
}

// While first attempts are refused, late requests are limited to the minimum fraction; a second
// after the last refusal they are treated like first attempts.
func TestLateFractionRecovers(t *testing.T) {
	var detector OverloadDetector
	assert.InDelta(t, 1, detector.LateFraction(0, 0.2), 1e-9)
	detector.RecordRefusal(5*time.Second, Arrival{Elapsed: time.Second})
	assert.InDelta(t, 1, detector.LateFraction(5*time.Second, 0.2), 1e-9, "refused retries do not indicate overload")
	detector.RecordRefusal(5*time.Second, Arrival{})
	assert.InDelta(t, 0.2, detector.LateFraction(5*time.Second, 0.2), 1e-9)
	assert.InDelta(t, 0.6, detector.LateFraction(5500*ms, 0.2), 1e-9)
	assert.InDelta(t, 1, detector.LateFraction(7*time.Second, 0.2), 1e-9)
}

// An overload must last while first attempts are admitted to full servers; full servers alone are
// no overload.
func TestOverloadLastsWhileServersAreFull(t *testing.T) {
	var detector OverloadDetector
	detector.RecordFull(4 * time.Second)
	assert.InDelta(t, 1, detector.LateFraction(4*time.Second, 0.2), 1e-9)
	detector.RecordRefusal(5*time.Second, Arrival{})
	for at := 5 * time.Second; at < 8*time.Second; at += 300 * ms {
		detector.RecordFull(at)
	}
	assert.InDelta(t, 0.2, detector.LateFraction(7700*ms, 0.2), 1e-9)
	assert.InDelta(t, 1, detector.LateFraction(9*time.Second, 0.2), 1e-9)
	detector.RecordFull(9 * time.Second)
	assert.InDelta(t, 1, detector.LateFraction(9*time.Second, 0.2), 1e-9, "the overload has ended")
}
