package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// On a link that has become narrow, pieces must not queue up before the requests
// to the machine's server.
func TestSlowPiecesLeaveOneAtATime(t *testing.T) {
	pace := newFetchPace()
	for range maximumFetches {
		require.NoError(t, pace.acquire(context.Background()))
	}
	for range maximumFetches {
		pace.release(2 * slowPiece)
	}
	assert.Equal(t, 1, pace.limit)
	require.NoError(t, pace.acquire(context.Background()))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	assert.Error(t, pace.acquire(ctx), "a second piece must wait")
}

func TestQuickPiecesBringThePaceBack(t *testing.T) {
	pace := newFetchPace()
	pace.limit = 1
	for range quickPieces * maximumFetches {
		require.NoError(t, pace.acquire(context.Background()))
		pace.release(quickPiece / 2)
	}
	assert.Equal(t, maximumFetches, pace.limit)
}
