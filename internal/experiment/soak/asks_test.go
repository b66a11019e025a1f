package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Guards against a violation where two times in which a server announces a limit are taken for one, though its responses
// name none in between; and against a judge that no longer sees a violation within one of them.
func TestLimitIsJudgedWithinEachTimeOfItsAnnouncement(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	named := func(seconds, rate float64) site.ServerNotice {
		return site.ServerNotice{RequestID: "r", Server: "i-1", At: at(seconds), Limited: true, PerSecond: rate}
	}
	received := func(from float64, count int) []site.Delivery {
		deliveries := make([]site.Delivery, count)
		for index := range deliveries {
			deliveries[index] = site.Delivery{RequestID: "r", Server: "i-1", At: at(from + float64(index)/100)}
		}
		return deliveries
	}
	record := Record{
		Notices:    []site.ServerNotice{named(10, 4), named(18, 4), named(33, 1), named(40, 1)},
		LimitTimes: []Interval{{From: at(9), To: at(18.6), Name: "i-1"}, {From: at(33), To: at(41), Name: "i-1"}},
	}
	senders := map[string]string{"r": "entry-0-0"}
	allowedAtFour, allowedAtOne := int(site.MaxUnderLimit(4)), int(site.MaxUnderLimit(1))
	for name, test := range map[string]struct {
		from  float64
		count int
		found int
	}{
		"in between":               {20, 10 * allowedAtFour, 0},
		"as many as the first has": {14, allowedAtFour, 0},
		"more than the first has":  {14, allowedAtFour + 1, 1},
		"more than the second has": {37, allowedAtOne + 1, 1},
	} {
		record.Deliveries = received(test.from, test.count)
		found := record.checkNotices(senders)
		require.Len(t, found, test.found, name)
		if test.found > 0 {
			assert.Equal(t, RateLimitKept, found[0].Guarantee, name)
		}
	}
}
