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

// Servers start again under their names, with nothing in service and nothing staged, one after the
// other and one of them twice between two of its lines, while a version is in force that they had: each
// gets it again, nothing runs on what is not there, and callers are served meanwhile.
func TestRestartedServersServeNewestVersionAgain(t *testing.T) {
	options := DefaultOptions()
	f := Start(t, options)
	f.Site.NameVersion(2)
	f.Eventually("every server serves version 2", 6*time.Second, func() bool { return f.allServe(2) })
	stop := startTraffic(20*time.Millisecond, func(ctx context.Context, number int) outcome {
		one := outcome{id: fmt.Sprintf("stream-%d", number), startedAt: time.Now()}
		one.answer, one.err = f.streamWithBody(ctx, number, "a", one.id, "prompt", 10)
		one.duration = time.Since(one.startedAt)
		return one
	})
	began := time.Now()
	for zone := range options.Zones {
		for index := range options.ModelServers {
			require.NoError(t, f.Site.RestartModelUnderItsID(zone, index, time.Now()))
			if index == 0 {
				time.Sleep(30 * time.Millisecond)
				require.NoError(t, f.Site.RestartModelUnderItsID(zone, index, time.Now()))
			}
			f.Eventually("every server serves version 2 again", 4*time.Second, func() bool { return f.allServe(2) })
		}
	}
	ended := time.Now()
	outcomes := stop()
	assert.GreaterOrEqual(t, servedRatio(outcomes, began, ended, time.Second), 0.9, "three of four servers are there all the time")
	for _, run := range f.Site.Ledger.Runs() {
		assert.False(t, run.Spoilt)
	}
	f.Eventually("agents have read anew what lies at their servers", time.Second, func() bool {
		return countEvents(f, "PV3116", "") >= options.Zones*options.ModelServers
	})
}

// A server starts again with a clock that is set back, and one whose birth is in the future before.
func TestRestartedServerWithWrongClockIsUsed(t *testing.T) {
	f := Start(t, DefaultOptions())
	require.NoError(t, f.Site.RestartModelUnderItsID(0, 0, time.Now().Add(time.Hour)))
	f.Eventually("the server serves", 4*time.Second, func() bool { return f.allServe(1) })
	require.NoError(t, f.Site.RestartModelUnderItsID(0, 0, time.Now().Add(-time.Hour)))
	f.Eventually("the server serves again", 4*time.Second, func() bool { return f.allServe(1) })
	reborn := f.Site.Models[f.Site.Options.ModelIP(0, 0)]
	number := 0
	f.Eventually("it gets requests", 4*time.Second, func() bool {
		number++
		answer, err := f.Stream(context.Background(), 0, 0, fmt.Sprintf("after-%d", number), 3)
		if err != nil || answer.Status != http.StatusOK {
			return false
		}
		return f.Site.Ledger.RanAt(reborn.ID(), fmt.Sprintf("after-%d", number))
	})
}

// A line of another writer names no server to use, and the others are used.
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
