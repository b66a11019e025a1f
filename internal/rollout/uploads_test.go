package rollout

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Pieces share the uplink with the server's answers and must not be sent faster than their fraction
// of it allows.
func TestUploadsAreRateLimited(t *testing.T) {
	const (
		size  = 10 << 10
		count = 6
	)
	queue := newUploadQueue(size * 50)
	began := time.Now()
	var all sync.WaitGroup
	for piece := range count {
		all.Go(func() { assert.NoError(t, queue.wait(context.Background(), 0, piece, size)) })
	}
	all.Wait()
	assert.GreaterOrEqual(t, time.Since(began), (count-2)*20*time.Millisecond)
	assert.Zero(t, queue.backlog())
}

// A peer that other machines wait for is served before one that none waits for.
func TestUploadsServeInnerMachinesFirst(t *testing.T) {
	queue := newUploadQueue(1)
	queue.waiting = []*ticket{{height: 0, piece: 3}, {height: 2, piece: 9}, {height: 1, piece: 1}}
	assert.Equal(t, 9, queue.popMostUrgent().piece)
	assert.Equal(t, 1, queue.popMostUrgent().piece)
	assert.Equal(t, 3, queue.popMostUrgent().piece)
	assert.Nil(t, queue.popMostUrgent())
}

func TestCanceledUploadIsRemoved(t *testing.T) {
	queue := newUploadQueue(1)
	require.NoError(t, queue.wait(context.Background(), 0, 0, 10))
	require.NoError(t, queue.wait(context.Background(), 0, 0, 10))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	assert.Error(t, queue.wait(ctx, 0, 1, 10))
	assert.Zero(t, queue.backlog())
}
