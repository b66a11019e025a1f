package network

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func socketOption(t *testing.T, connection net.Conn, level, option int) int {
	t.Helper()
	raw, err := connection.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	value := 0
	require.NoError(t, raw.Control(func(descriptor uintptr) { value, err = unix.GetsockoptInt(int(descriptor), level, option) }))
	require.NoError(t, err)
	return value
}

// Dialed connections have the socket options that end a connection whose peer falls silent without
// a reset, whether it writes or only reads.
func TestDialerSetsTimeoutsForSilentPeers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connection, err := Dialer(time.Second).DialContext(context.Background(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	assert.Equal(t, int(userTimeout.Milliseconds()), socketOption(t, connection, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
	assert.Equal(t, 1, socketOption(t, connection, unix.SOL_SOCKET, unix.SO_KEEPALIVE))
	assert.Equal(t, 1, socketOption(t, connection, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE))
	assert.Equal(t, 1, socketOption(t, connection, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL))
	assert.Equal(t, probeCount, socketOption(t, connection, unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
}
