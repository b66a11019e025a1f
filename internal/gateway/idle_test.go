package gateway

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func connectionPair(t *testing.T) (caller net.Conn, connection *callerConnection) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	caller, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	connection = &callerConnection{Conn: accepted}
	t.Cleanup(func() { _ = caller.Close(); _ = accepted.Close() })
	return caller, connection
}

func TestCloseIdleEndsTheWait(t *testing.T) {
	_, connection := connectionPair(t)
	connection.setIdle()
	time.AfterFunc(20*time.Millisecond, connection.closeIdle)
	_, err := connection.Read(make([]byte, 8))
	assert.ErrorIs(t, err, io.EOF)
}

// A request whose bytes were already read is served, also when the idle connection is
// closed at the same time; otherwise the caller would lose its request.
func TestRequestReadBeforeCloseIsServed(t *testing.T) {
	caller, connection := connectionPair(t)
	connection.setIdle()
	_, err := caller.Write([]byte("GET"))
	require.NoError(t, err)
	buffer := make([]byte, 8)
	count, err := connection.Conn.Read(buffer[:1])
	require.NoError(t, err)
	require.Equal(t, 1, count)
	connection.closeIdle()
	// At first the remaining bytes are read under the deadline set by closeIdle.
	_ = connection.Conn.SetReadDeadline(time.Time{})
	count, err = connection.Read(buffer)
	require.NoError(t, err)
	assert.Equal(t, "ET", string(buffer[:count]))
	assert.Equal(t, stateActive, connection.state)
	_, err = caller.Write([]byte(" /"))
	require.NoError(t, err)
	count, err = connection.Read(buffer)
	require.NoError(t, err, "no read deadline remains set")
	assert.Equal(t, " /", string(buffer[:count]))
}

// closeIdle does not affect a connection that carries a request.
func TestActiveConnectionIsNotClosed(t *testing.T) {
	caller, connection := connectionPair(t)
	connection.closeIdle()
	_, err := caller.Write([]byte("x"))
	require.NoError(t, err)
	count, err := connection.Read(make([]byte, 8))
	require.NoError(t, err)
	assert.Equal(t, 1, count)
}
