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

// Bytes and probes that a silent peer does not acknowledge are distinguished from bytes that a
// slow peer has acknowledged.
func TestTCPStateReportsUnacknowledgedBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connect := func() net.Conn {
		connection, err := Dialer(time.Second).DialContext(context.Background(), "tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
		remote, err := listener.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = remote.Close() })
		return connection
	}
	writing, reading := connect(), connect()
	_, err = silencer.Silence(silencer.Any)
	require.NoError(t, err)
	slow := connect()
	for _, connection := range []net.Conn{writing, slow} {
		_, err = connection.Write([]byte("x"))
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

// A connection without a socket has no TCP state.
func TestTCPStateIsUnknownWithoutASocket(t *testing.T) {
	local, remote := net.Pipe()
	t.Cleanup(func() { _, _ = local.Close(), remote.Close() })
	_, known := ReadTCPState(local)
	assert.False(t, known)
}
