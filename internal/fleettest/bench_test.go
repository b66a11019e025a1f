package fleettest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/node"
)

// BenchmarkTokens measures the processor time per token. The emulated engine, the agent, the entry
// and the caller all run in this process.
func BenchmarkTokens(b *testing.B) {
	f := newFleet(b, 1, 0, 1)
	const streams, tokens = 32, 500
	before := node.ReadResources().ProcessorSeconds
	total := 0
	for i := 0; b.Loop(); i++ {
		var group sync.WaitGroup
		for stream := range streams {
			group.Go(func() {
				result := f.Do(f.Entries[0], Stream(fmt.Sprint(i, stream), tokens))
				assert.True(b, result.Answered, "%+v", result)
			})
		}
		group.Wait()
		total += streams * tokens
	}
	spent := node.ReadResources().ProcessorSeconds - before
	b.ReportMetric(spent/float64(total)*float64(time.Second/time.Microsecond), "cpu-us/token")
}
