package sitetest

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Servers restart under the same IDs with no version loaded or staged, one after the other and one of
// them twice between two of its records, while the version that they had is current. Each loads it
// again, no request runs on missing weights, and callers are served meanwhile.
func TestRestartedServersServeNewestVersionAgain(t *testing.T) {
	options := DefaultOptions()
	f := Start(t, options)
	f.Site.AnnounceVersion(2)
	f.Eventually("every server serves version 2", 6*time.Second, func() bool { return f.allServe(2) })
	stop := startTraffic(20*time.Millisecond, func(ctx context.Context, number int) outcome {
		result := outcome{id: fmt.Sprintf("stream-%d", number), startedAt: time.Now()}
		result.answer, result.err = f.streamWithBody(ctx, number, "a", result.id, "prompt", 10)
		result.duration = time.Since(result.startedAt)
		return result
	})
	startedAt := time.Now()
	for zone := range options.Zones {
		for index := range options.ModelServers {
			require.NoError(t, f.Site.RestartModelWithSameID(zone, index, time.Now()))
			if index == 0 {
				time.Sleep(30 * time.Millisecond)
				require.NoError(t, f.Site.RestartModelWithSameID(zone, index, time.Now()))
			}
			f.Eventually("every server serves version 2 again", 4*time.Second, func() bool { return f.allServe(2) })
		}
	}
	endedAt := time.Now()
	outcomes := stop()
	assert.GreaterOrEqual(t, servedRatio(outcomes, startedAt, endedAt, time.Second), 0.9, "three of four servers are available at any time")
	for _, run := range f.Site.Requests.Runs() {
		assert.False(t, run.Corrupt)
	}
	f.Eventually("agents have read again what their servers hold", time.Second, func() bool {
		return countEvents(f, "PV3116", "") >= options.Zones*options.ModelServers
	})
}

// A server restarts with a start time in the future, and then with a clock that is set back.
func TestRestartedServerWithWrongClockIsUsed(t *testing.T) {
	f := Start(t, DefaultOptions())
	require.NoError(t, f.Site.RestartModelWithSameID(0, 0, time.Now().Add(time.Hour)))
	f.Eventually("the server serves", 4*time.Second, func() bool { return f.allServe(1) })
	require.NoError(t, f.Site.RestartModelWithSameID(0, 0, time.Now().Add(-time.Hour)))
	f.Eventually("the server serves again", 4*time.Second, func() bool { return f.allServe(1) })
	restarted := f.Site.Models[f.Site.Options.ModelIP(0, 0)]
	number := 0
	f.Eventually("the server receives requests", 4*time.Second, func() bool {
		number++
		answer, err := f.Stream(context.Background(), 0, 0, fmt.Sprintf("after-%d", number), 3)
		if err != nil || answer.Status != http.StatusOK {
			return false
		}
		return f.Site.Requests.RanAt(restarted.ID(), fmt.Sprintf("after-%d", number))
	})
}

// Server records that were written by another program and are invalid are ignored, and the other
// servers are used.
func TestInvalidServerRecordsAreIgnored(t *testing.T) {
	f := Start(t, DefaultOptions())
	for number, value := range []any{"text", []int{1}, map[string]any{"service": 7}, map[string]any{"service": site.ModelService, "address": "nowhere"}} {
		f.Site.Store.Put(fmt.Sprintf("servers/other-%d", number), value)
	}
	time.Sleep(500 * time.Millisecond)
	for number := range 20 {
		answer, err := f.Stream(context.Background(), number%2, number/2%2, fmt.Sprintf("s-%d", number), 3)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, answer.Status)
	}
}
