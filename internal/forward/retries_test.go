package forward

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/sharing"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/platform"
)

// longAgo is a start of the retry budgets for tests of entries that have run for longer than the retry window.
func longAgo() time.Time { return time.Now().Add(-time.Hour) }

// Guards against an entry that spends the whole retry budget right after its start, when a former process of
// it may have spent the same.
func TestStartedEntryRetriesLessThanARunningOne(t *testing.T) {
	spendable := func(since time.Time) (count int) {
		f := New(Options{Zone: "z", Dialect: platform.Dialect{}, Log: logging.Nop(), Registry: prometheus.NewRegistry(),
			Bounds: fleet.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 100}, Policy: DefaultPolicy(), Peers: func() int { return 1 }, RetriesSince: since,
			Entries: func() []sharing.Member { return []sharing.Member{{ID: "10.0.0.9", Zone: "z"}} }})
		for range 100 {
			f.retryBudgets.recordRequest("s")
		}
		for f.retryBudgets.spend("s") {
			count++
		}
		return count
	}
	assert.Equal(t, 16+26, spendable(longAgo()), "0.8 of the ratio and of a third of the slack")
	assert.Equal(t, 4, spendable(time.Time{}), "0.2 of the ratio")
}
