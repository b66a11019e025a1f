package rollout

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/internal/fleet"
)

// A transfer that restarts after all its pieces turned corrupt must still read the origin at the
// rate of the origin's link. That rate was once set only where a transfer starts, not where it
// restarts.
func TestRestartedTransferKeepsOriginInterval(t *testing.T) {
	const pieces = 60
	agent := &Agent{self: "a", metrics: newMetrics(prometheus.NewRegistry())}
	one := &transfer{
		agent: agent, model: "m", startedAt: time.Now(), wakeup: make(chan struct{}, 1), manifest: &fleet.Manifest{Digests: make([][32]byte, pieces)},
		plan:           dissemination.NewPlan(dissemination.StrategyRotated, dissemination.NewRoster([]dissemination.Machine{{ID: "a", Zone: "z", Region: "r"}})),
		originInterval: 10 * time.Second,
	}
	held := make([]bool, pieces)
	all := make([]int, pieces)
	for index := range pieces {
		held[index], all[index] = true, index
	}
	one.fetcher = dissemination.NewFetcher(one.fetcherOptions(held))
	one.restartFetch(all)
	requested := 0
	for range pieces {
		one.fetcher.Tick(one.now())
		for _, action := range one.fetcher.TakeActions() {
			assert.Equal(t, dissemination.FetchOrigin, action.Kind)
			one.fetcher.RecordFetched("", action.Chunk, one.now())
			requested++
		}
	}
	assert.Positive(t, requested)
	assert.LessOrEqual(t, requested, pieces/4, "pieces requested from the origin in the time of one")
}
