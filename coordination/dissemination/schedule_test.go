package dissemination

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A machine that is the root of many chunks asks the origin for each when its turn
// comes, a few chunks ahead, not for all at the start.
func TestOriginIsReadInTurns(t *testing.T) {
	const (
		chunks   = 60
		interval = 30 * time.Millisecond
	)
	fetcher := NewFetcher(Options{
		Self: "a", Plan: NewPlan(StrategyRotated, NewRoster([]Machine{{ID: "a", Zone: "z", Region: "r"}})), Chunks: chunks,
		MaximumFetches: chunks, OriginWindow: chunks, OriginInterval: interval, Patience: time.Second,
	})
	begin := 5 * time.Second
	fetcher.Start(begin)
	asked := 0
	for step := time.Duration(0); step <= chunks*interval; step += interval {
		fetcher.Tick(begin + step)
		for _, action := range fetcher.Take() {
			assert.Equal(t, FetchOrigin, action.Kind)
			fetcher.Fetched("", action.Chunk, begin+step)
			asked++
		}
		due := int(step/interval) + originAhead + 1
		assert.Equal(t, min(due, chunks), asked, "after %s", step)
	}
}
