package shedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

func TestLimit(t *testing.T) {
	for name, one := range map[string]struct {
		limit, alone, elapsed time.Duration
		share                 float64
		want                  time.Duration
	}{
		"a first attempt":                         {limit: 440 * ms, alone: 90 * ms, share: 0.2, want: 440 * ms},
		"one that is back in time":                {limit: 440 * ms, alone: 90 * ms, elapsed: 100 * ms, share: 0.2, want: 340 * ms},
		"a late one waits for a share":            {limit: 440 * ms, alone: 90 * ms, elapsed: time.Second, share: 0.2, want: 160 * ms},
		"only idle servers":                       {limit: 440 * ms, alone: 90 * ms, elapsed: time.Second, want: 90 * ms},
		"like a first attempt":                    {limit: 440 * ms, alone: 90 * ms, elapsed: time.Second, share: 1, want: 440 * ms},
		"a long prompt is not refused for itself": {limit: 440 * ms, alone: 300 * ms, elapsed: time.Second, share: 0, want: 300 * ms},
		"a late one is never granted more":        {limit: 440 * ms, alone: 600 * ms, elapsed: time.Second, share: 0.2, want: 440 * ms},
		"without a limit everybody is admitted":   {elapsed: time.Second, alone: 90 * ms, share: 0.2, want: 0},
		"nor does a late one get one of its own":  {limit: -ms, elapsed: time.Second, alone: 90 * ms, share: 0.2, want: -ms},
	} {
		assert.InDelta(t, float64(one.want), float64(Limit(one.limit, one.alone, Arrival{Elapsed: one.elapsed}, one.share)), 10, name)
	}
}

func TestLateCountsFromTheFirstAttempt(t *testing.T) {
	assert.False(t, Arrival{}.Late(600*ms, 400*ms), "a first attempt that begins late is no late caller")
	assert.False(t, Arrival{Elapsed: 100 * ms}.Late(200*ms, 400*ms))
	assert.True(t, Arrival{Elapsed: 300 * ms}.Late(200*ms, 400*ms))
}

// Refused callers come back when the queue has come down, in the second half of the time that
// they heed.
func TestReturn(t *testing.T) {
	assert.Equal(t, time.Second, Return(500*ms, 400*ms, 100*ms, 1500*ms, Arrival{Left: 6 * time.Second}))
	assert.Equal(t, 1500*ms, Return(3*time.Second, 400*ms, 100*ms, 1500*ms, Arrival{Left: 6 * time.Second}))
	assert.Equal(t, 100*ms, Return(200*ms, 400*ms, 100*ms, 1500*ms, Arrival{Left: 300 * ms}))
	assert.Equal(t, 300*ms, Return(500*ms, 400*ms, 100*ms, 1500*ms, Arrival{}), "a caller that does not say how long it waits")
}

// While first attempts are refused late requests are held to the least share; once none has
// been refused for a second they are treated like any other.
func TestPressureEases(t *testing.T) {
	var pressure Pressure
	assert.InDelta(t, 1, pressure.Share(0, 0.2), 1e-9)
	pressure.Refused(5*time.Second, Arrival{Elapsed: time.Second})
	assert.InDelta(t, 1, pressure.Share(5*time.Second, 0.2), 1e-9, "a late one's refusal shows no overload of first attempts")
	pressure.Refused(5*time.Second, Arrival{})
	assert.InDelta(t, 0.2, pressure.Share(5*time.Second, 0.2), 1e-9)
	assert.InDelta(t, 0.6, pressure.Share(5500*ms, 0.2), 1e-9)
	assert.InDelta(t, 1, pressure.Share(7*time.Second, 0.2), 1e-9)
}
