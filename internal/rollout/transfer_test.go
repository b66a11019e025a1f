package rollout

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/internal/fleet"
)

// Seen: read in the code. Cause: the pace of the origin was set where a transfer begins and not
// where it begins anew.
//
// A transfer that begins anew after all of its pieces have turned bad reads the origin at the
// pace of its link, as at first.
func TestTransferAfterSpoiltPiecesKeepsTheOriginsPace(t *testing.T) {
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
	asked := 0
	for range pieces {
		one.fetcher.Tick(one.now())
		for _, action := range one.fetcher.Take() {
			assert.Equal(t, dissemination.FetchOrigin, action.Kind)
			one.fetcher.Fetched("", action.Chunk, one.now())
			asked++
		}
	}
	assert.Positive(t, asked)
	assert.LessOrEqual(t, asked, pieces/4, "pieces asked of the origin in the time of one")
}
