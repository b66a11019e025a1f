package sitetest

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An overload of requests whose prompt sizes have a heavy tail: over twice what the servers can read.
const (
	sizesPerSecond = 50
	sizesDuration  = 8 * time.Second
	sizesRead      = 5000
	sizesTypical   = 1000
	sizesMax       = 4000
	sizesEvents    = 10
)

// Guards against starvation of large requests: under overload the largest tenth of the prompts is
// served at least half as often as all prompts.
func TestLargePromptsAreServedUnderOverload(t *testing.T) {
	options := DefaultOptions()
	options.ReadPerSecond, options.TypicalPrompt = sizesRead, sizesTypical
	f := Start(t, options)
	random := rand.New(rand.NewPCG(1, 1))
	type result struct {
		prompt int
		served bool
	}
	var mutex sync.Mutex
	var results []result
	var callers sync.WaitGroup
	for number := range int(sizesPerSecond * sizesDuration.Seconds()) {
		prompt := min(sizesMax, 1+int(sizesTypical*math.Exp(0.8*random.NormFloat64()-0.32)))
		callers.Go(func() {
			answer, err := f.StreamWithPrompt(context.Background(), number%options.Zones, number/options.Zones%options.Entries,
				fmt.Sprintf("sizes-%d", number), prompt, sizesEvents)
			mutex.Lock()
			defer mutex.Unlock()
			results = append(results, result{prompt: prompt, served: err == nil && answer.Status == http.StatusOK})
		})
		time.Sleep(time.Second / sizesPerSecond)
	}
	callers.Wait()
	slices.SortFunc(results, func(a, b result) int { return a.prompt - b.prompt })
	share := func(some []result) float64 {
		served := 0
		for _, one := range some {
			if one.served {
				served++
			}
		}
		return float64(served) / float64(len(some))
	}
	tenth := len(results) / 10
	all, largest, smallest := share(results), share(results[len(results)-tenth:]), share(results[:tenth])
	t.Logf("served: all %.2f, the largest tenth %.2f, the fifth below %.2f, the smallest tenth %.2f", all, largest, share(results[len(results)-3*tenth:len(results)-tenth]), smallest)
	assert.Less(t, all, 0.8, "the fleet is not overloaded")
	assert.GreaterOrEqual(t, largest, all/2)
	assert.GreaterOrEqual(t, smallest, all/2)
}
