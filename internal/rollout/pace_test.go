package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Pieces must not queue up ahead of the server's requests on a congested link.
func TestSlowPiecesReduceFetchLimit(t *testing.T) {
	limiter := newFetchLimiter()
	for range maxFetches {
		require.NoError(t, limiter.acquire(context.Background()))
	}
	for range maxFetches {
		limiter.release(2 * slowPieceTime)
	}
	assert.Equal(t, 1, limiter.limit)
	require.NoError(t, limiter.acquire(context.Background()))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	assert.Error(t, limiter.acquire(ctx), "a second piece must wait")
}

func TestFastPiecesRestoreFetchLimit(t *testing.T) {
	limiter := newFetchLimiter()
	limiter.limit = 1
	for range fastPieceRun * maxFetches {
		require.NoError(t, limiter.acquire(context.Background()))
		limiter.release(fastPieceTime / 2)
	}
	assert.Equal(t, maxFetches, limiter.limit)
}
