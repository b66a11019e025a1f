package rollout

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The uplink is shared with the server's answers: pieces must not leave faster than
// their share of it.
func TestUploadsKeepTheirPace(t *testing.T) {
	const (
		size  = 10 << 10
		count = 6
	)
	paced := newUploadQueue(size * 50)
	began := time.Now()
	var all sync.WaitGroup
	for piece := range count {
		all.Go(func() { assert.NoError(t, paced.wait(context.Background(), 0, piece, size)) })
	}
	all.Wait()
	assert.GreaterOrEqual(t, time.Since(began), (count-2)*20*time.Millisecond)
	assert.Zero(t, paced.backlog())
}

// A peer that others wait behind is served before one that nobody waits for.
func TestInnerMachinesGoFirst(t *testing.T) {
	paced := newUploadQueue(1)
	paced.waiting = []*ticket{{height: 0, piece: 3}, {height: 2, piece: 9}, {height: 1, piece: 1}}
	assert.Equal(t, 9, paced.popMostUrgent().piece)
	assert.Equal(t, 1, paced.popMostUrgent().piece)
	assert.Equal(t, 3, paced.popMostUrgent().piece)
	assert.Nil(t, paced.popMostUrgent())
}

func TestUploadThatNobodyWaitsForIsDropped(t *testing.T) {
	paced := newUploadQueue(1)
	require.NoError(t, paced.wait(context.Background(), 0, 0, 10))
	require.NoError(t, paced.wait(context.Background(), 0, 0, 10))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	assert.Error(t, paced.wait(ctx, 0, 1, 10))
	assert.Zero(t, paced.backlog())
}
