package gateway

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func connectionPair(t *testing.T) (caller net.Conn, ours *callerConnection) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	caller, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	ours = &callerConnection{Conn: accepted}
	t.Cleanup(func() { _ = caller.Close(); _ = accepted.Close() })
	return caller, ours
}

func TestRestEndsWithoutARequest(t *testing.T) {
	_, ours := connectionPair(t)
	ours.rest()
	time.AfterFunc(20*time.Millisecond, ours.endRest)
	_, err := ours.Read(make([]byte, 8))
	assert.ErrorIs(t, err, io.EOF)
}

// LOST: a request whose bytes were read is served, also when the rest was ended at
// the same moment.
func TestBytesThatWereReadWin(t *testing.T) {
	caller, ours := connectionPair(t)
	ours.rest()
	_, err := caller.Write([]byte("GET"))
	require.NoError(t, err)
	buffer := make([]byte, 8)
	count, err := ours.Conn.Read(buffer[:1])
	require.NoError(t, err)
	require.Equal(t, 1, count)
	ours.endRest()
	// The rest of what came is read under the ended wait's deadline at first.
	_ = ours.Conn.SetReadDeadline(time.Time{})
	count, err = ours.Read(buffer)
	require.NoError(t, err)
	assert.Equal(t, "ET", string(buffer[:count]))
	assert.Equal(t, stateActive, ours.state)
	_, err = caller.Write([]byte(" /"))
	require.NoError(t, err)
	count, err = ours.Read(buffer)
	require.NoError(t, err, "no deadline is left")
	assert.Equal(t, " /", string(buffer[:count]))
}

// A connection that carries a request is left alone.
func TestActiveConnectionIsNotClosed(t *testing.T) {
	caller, ours := connectionPair(t)
	ours.endRest()
	_, err := caller.Write([]byte("x"))
	require.NoError(t, err)
	count, err := ours.Read(make([]byte, 8))
	require.NoError(t, err)
	assert.Equal(t, 1, count)
}
