package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The margin must settle where the wanted ratio of requests starts in time, and return once
// predictions are right again.
func TestMarginKeepsWantedRatioInTime(t *testing.T) {
	const target = 400 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	margin := &Margin{}
	assert.Equal(t, 440*time.Millisecond, margin.Limit(target), "no observations yet")
	late, total := 0, 0
	for number := range 2000 {
		excess := time.Duration(random.Int64N(int64(200 * time.Millisecond)))
		expected := margin.Limit(target)
		margin.Observe(excess, target, 0.7)
		if number > 200 {
			total++
			if expected+excess > target {
				late++
			}
		}
	}
	assert.InDelta(t, 0.3, float64(late)/float64(total), 0.05)
	for range 400 {
		margin.Observe(-100*time.Millisecond, target, 0.7)
	}
	assert.Equal(t, 440*time.Millisecond, margin.Limit(target))
}

func TestMarginIsBounded(t *testing.T) {
	margin := &Margin{}
	for range 1000 {
		margin.Observe(10*time.Second, time.Second, 0.7)
	}
	assert.Equal(t, 400*time.Millisecond, margin.Limit(time.Second))
	margin.Observe(time.Second, 0, 0.7)
}
