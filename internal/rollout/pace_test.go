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
	pace := newFetchLimiter()
	for range maxFetches {
		require.NoError(t, pace.acquire(context.Background()))
	}
	for range maxFetches {
		pace.release(2 * slowPieceTime)
	}
	assert.Equal(t, 1, pace.limit)
	require.NoError(t, pace.acquire(context.Background()))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	assert.Error(t, pace.acquire(ctx), "a second piece must wait")
}

func TestQuickPiecesBringThePaceBack(t *testing.T) {
	pace := newFetchLimiter()
	pace.limit = 1
	for range fastPieceRun * maxFetches {
		require.NoError(t, pace.acquire(context.Background()))
		pace.release(fastPieceTime / 2)
	}
	assert.Equal(t, maxFetches, pace.limit)
}
