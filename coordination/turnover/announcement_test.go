package turnover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A switch is announced first, then waits for requests sent earlier, for a bounded time.
func TestAnnouncement(t *testing.T) {
	start := time.Unix(1000, 0)
	var announcement Announcement
	assert.False(t, announcement.Active())
	for _, step := range []struct {
		after   time.Duration
		waiting int
		ready   bool
	}{
		{0, 0, false},
		{MinNotice - time.Millisecond, 0, false},
		{MinNotice, 2, false},
		{MinNotice + 50*time.Millisecond, 0, true},
		{MaxNotice - time.Millisecond, 1, false},
		{MaxNotice, 1, true},
	} {
		assert.Equal(t, step.ready, announcement.Ready(start.Add(step.after), step.waiting), "after %s", step.after)
		assert.True(t, announcement.Active())
	}
	announcement.Withdraw()
	assert.False(t, announcement.Active())
	assert.False(t, announcement.Ready(start.Add(time.Minute), 0), "announced anew")
}
