package turnover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A change is announced first, waits for the requests sent before, and not for ever.
func TestAnnouncement(t *testing.T) {
	start := time.Unix(1000, 0)
	var announcement Announcement
	assert.False(t, announcement.Given())
	for _, step := range []struct {
		after   time.Duration
		waiting int
		ready   bool
	}{
		{0, 0, false},
		{NoticeTime - time.Millisecond, 0, false},
		{NoticeTime, 2, false},
		{NoticeTime + 50*time.Millisecond, 0, true},
		{NoticeLimit - time.Millisecond, 1, false},
		{NoticeLimit, 1, true},
	} {
		assert.Equal(t, step.ready, announcement.Ready(start.Add(step.after), step.waiting), "after %s", step.after)
		assert.True(t, announcement.Given())
	}
	announcement.Withdraw()
	assert.False(t, announcement.Given())
	assert.False(t, announcement.Ready(start.Add(time.Minute), 0), "announced anew")
}
