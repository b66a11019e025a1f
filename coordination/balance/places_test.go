package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Where all places were taken at one moment none comes free for a while; where they were
// taken one after the other, one comes free every hold/places.
func TestPlacesTakenTogetherComeFreeLate(t *testing.T) {
	const hold = 1600 * time.Millisecond
	start := time.Now()
	together, steady := &Places{}, &Places{}
	together.Observe(16, start)
	for step := range 16 {
		steady.Observe(step+1, start.Add(time.Duration(step-16)*100*time.Millisecond))
	}
	now := start.Add(100 * time.Millisecond)
	assert.Greater(t, together.Wait(1, now, hold), 400*time.Millisecond)
	assert.InDelta(t, 100, float64(steady.Wait(1, now, hold)/time.Millisecond), 20)
	assert.Greater(t, together.Wait(3, now, hold), together.Wait(1, now, hold))
}

func TestPlacesOfEndedRequestsAreForgotten(t *testing.T) {
	places := &Places{}
	start := time.Now()
	places.Observe(2, start)
	places.Observe(4, start.Add(2*time.Second))
	places.Observe(2, start.Add(3*time.Second))
	assert.Equal(t, []time.Time{start.Add(2 * time.Second), start.Add(2 * time.Second)}, places.taken)
	assert.Zero(t, (&Places{}).Wait(1, start, time.Second))
}
