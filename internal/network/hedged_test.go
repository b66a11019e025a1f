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

// A lost SYN packet delays the connection by dialHedgeDelay, not by the kernel's resend time of a
// second.
func TestHedgedDialRecoversFromLostSYN(t *testing.T) {
	var attempts atomic.Int32
	local, remote := net.Pipe()
	t.Cleanup(func() { _ = remote.Close() })
	dial := hedgedDial(func(ctx context.Context, _, _ string) (net.Conn, error) {
		if attempts.Add(1) == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return local, nil
	})
	began := time.Now()
	connection, err := dial(context.Background(), "tcp", "x")
	require.NoError(t, err)
	assert.Equal(t, local, connection)
	assert.GreaterOrEqual(t, time.Since(began), dialHedgeDelay)
	assert.Less(t, time.Since(began), 20*dialHedgeDelay)
}

// An attempt that ends soon is not hedged, even if it fails.
func TestHedgedDialDoesNotRepeatFastAttempts(t *testing.T) {
	var attempts atomic.Int32
	dial := hedgedDial(func(context.Context, string, string) (net.Conn, error) {
		attempts.Add(1)
		return nil, errRefused
	})
	_, err := dial(context.Background(), "tcp", "x")
	assert.ErrorIs(t, err, errRefused)
	assert.Equal(t, int32(1), attempts.Load())
}

// A connection that is made after another one was returned is closed.
func TestHedgedDialClosesLateConnections(t *testing.T) {
	var attempts atomic.Int32
	first, _ := net.Pipe()
	second, other := net.Pipe()
	dial := hedgedDial(func(context.Context, string, string) (net.Conn, error) {
		if attempts.Add(1) == 1 {
			time.Sleep(dialHedgeDelay + 100*time.Millisecond)
			return second, nil
		}
		return first, nil
	})
	connection, err := dial(context.Background(), "tcp", "x")
	require.NoError(t, err)
	assert.Equal(t, first, connection)
	require.NoError(t, other.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = other.Read(make([]byte, 1))
	assert.Error(t, err, "the late connection is closed")
}
