package network

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var errRefused = errors.New("refused")

// An opening packet that is lost costs a quarter of a second, not one of the kernel's.
func TestLostOpeningPacketIsMadeUpForSoon(t *testing.T) {
	var attempts atomic.Int32
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	dial := hedged(func(ctx context.Context, _, _ string) (net.Conn, error) {
		if attempts.Add(1) == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return near, nil
	})
	began := time.Now()
	connection, err := dial(context.Background(), "tcp", "x")
	require.NoError(t, err)
	assert.Equal(t, near, connection)
	assert.GreaterOrEqual(t, time.Since(began), hedgeAfter)
	assert.Less(t, time.Since(began), 20*hedgeAfter)
}

// A quick answer needs no second attempt, also when it is a refusal.
func TestQuickAnswersAreNotRepeated(t *testing.T) {
	var attempts atomic.Int32
	dial := hedged(func(context.Context, string, string) (net.Conn, error) {
		attempts.Add(1)
		return nil, errRefused
	})
	_, err := dial(context.Background(), "tcp", "x")
	assert.ErrorIs(t, err, errRefused)
	assert.Equal(t, int32(1), attempts.Load())
}

// A connection that comes after another was taken is closed.
func TestSecondConnectionIsClosed(t *testing.T) {
	var attempts atomic.Int32
	first, _ := net.Pipe()
	second, other := net.Pipe()
	dial := hedged(func(context.Context, string, string) (net.Conn, error) {
		if attempts.Add(1) == 1 {
			time.Sleep(hedgeAfter + 100*time.Millisecond)
			return second, nil
		}
		return first, nil
	})
	connection, err := dial(context.Background(), "tcp", "x")
	require.NoError(t, err)
	assert.Equal(t, first, connection)
	require.NoError(t, other.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = other.Read(make([]byte, 1))
	assert.Error(t, err, "the other end is closed")
}
