package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The retries of refused callers are spread over the time that callers observe, and do not come
// before they may be served.
func TestRetryAfterIsSpread(t *testing.T) {
	early, late := 0, 0
	for range 1000 {
		after := SpreadRetryAfter(500*time.Millisecond, 6*time.Second)
		assert.GreaterOrEqual(t, after, 500*time.Millisecond)
		assert.Less(t, after, 2*time.Second)
		if after < 1250*time.Millisecond {
			early++
		} else {
			late++
		}
	}
	assert.Greater(t, early, 400)
	assert.Greater(t, late, 400)
	assert.Equal(t, 3*time.Second, SpreadRetryAfter(3*time.Second, 6*time.Second), "never less than the earliest time")
	assert.Equal(t, 200*time.Millisecond, SpreadRetryAfter(200*time.Millisecond, -time.Second))
}
