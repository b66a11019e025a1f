package fleettest

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/node"
)

// BenchmarkTokens measures what a token costs on its way through engine stand-in,
// agent, entry and caller, all of which share this process.
func BenchmarkTokens(b *testing.B) {
	f := newFleet(b, 1, 0, 1)
	const tokens = 2000
	b.ResetTimer()
	before := node.ReadResources().ProcessorSeconds
	total := 0
	for i := 0; b.Loop(); i++ {
		result := f.Do(f.Entries[0], Stream(fmt.Sprint(i), tokens))
		require.True(b, result.Answered, "%+v", result)
		total += tokens
	}
	spent := node.ReadResources().ProcessorSeconds - before
	b.ReportMetric(spent/float64(total)*float64(time.Second/time.Microsecond), "cpu-us/token")
}

// BenchmarkCalls measures what an app call costs on its way through agent and
// entry, the stand-in service and the caller included.
func BenchmarkCalls(b *testing.B) {
	f := newFleet(b, 1, 1, 1)
	before := node.ReadResources().ProcessorSeconds
	count := 0
	for i := 0; b.Loop(); i++ {
		result := f.Do(f.Entries[0], Call(fmt.Sprint(i)))
		require.True(b, result.Answered, "%+v", result)
		count++
	}
	spent := node.ReadResources().ProcessorSeconds - before
	b.ReportMetric(spent/float64(count)*float64(time.Second/time.Microsecond), "cpu-us/call")
}
