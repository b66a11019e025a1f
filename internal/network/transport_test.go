package network

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/silencer"
)

// The kernel tells bytes that a silent peer does not acknowledge, and a probe, from those that
// a slow one has.
func TestTransportTellsUnacknowledgedBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connect := func() net.Conn {
		connection, err := Dialer(time.Second).DialContext(context.Background(), "tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
		far, err := listener.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = far.Close() })
		return connection
	}
	writing, reading := connect(), connect()
	_, err = silencer.Silence(silencer.Any)
	require.NoError(t, err)
	slow := connect()
	for _, one := range []net.Conn{writing, slow} {
		_, err = one.Write([]byte("x"))
		require.NoError(t, err)
	}
	time.Sleep(300 * time.Millisecond)
	state, known := ReadTCPState(writing)
	require.True(t, known)
	assert.GreaterOrEqual(t, state.Unacknowledged(300*time.Millisecond), 290*time.Millisecond)
	state, known = ReadTCPState(slow)
	require.True(t, known)
	assert.Zero(t, state.Unacknowledged(300*time.Millisecond))
	time.Sleep(probeIdle)
	state, known = ReadTCPState(reading)
	require.True(t, known)
	assert.True(t, state.Probing)
	assert.GreaterOrEqual(t, state.Unacknowledged(0), 250*time.Millisecond)
	state, known = ReadTCPState(slow)
	require.True(t, known)
	assert.False(t, state.AwaitingAck)
}

// Where the kernel tells nothing, nothing is known.
func TestTransportIsUnknownWithoutASocket(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	_, known := ReadTCPState(near)
	assert.False(t, known)
}
