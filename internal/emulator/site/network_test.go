package site

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A network that FreeNetwork has found is not free for another process: not before the emulation starts
// there, and not until it is closed.
func TestFreeNetworkIsReservedUntilTheSiteIsClosed(t *testing.T) {
	const first, count = 61, 79
	options := Options{
		Network: FreeNetwork(first, count, os.Getpid()), Zones: 1, Entries: 1, ModelServers: 1, PlainServers: 1,
		Weights: Weights{Model: "m", Pieces: 4, PieceBytes: 64, Layers: 4}, EventTime: time.Millisecond, Slots: 1,
	}
	free := func() bool {
		listener, err := net.Listen("tcp", options.OriginAddress())
		if err != nil {
			return false
		}
		require.NoError(t, listener.Close())
		return true
	}
	assert.False(t, free(), "found and not started")
	running, err := Start(options)
	require.NoError(t, err)
	assert.False(t, free(), "started")
	running.Close()
	assert.Eventually(t, free, time.Second, time.Millisecond, "closed")
}
