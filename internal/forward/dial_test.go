package forward

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// listenWithFullQueue returns the address of a listener that drops SYN packets, because its queue of
// accepted connections is full, until accept is called.
func listenWithFullQueue(t *testing.T) (address string, accept func()) {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(socket) })
	require.NoError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(socket, 0))
	bound, err := syscall.Getsockname(socket)
	require.NoError(t, err)
	listener := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}
	first, err := net.Dial("tcp", listener.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = first.Close() })
	return listener.String(), func() {
		if accepted, _, err := syscall.Accept(socket); err == nil {
			t.Cleanup(func() { _ = syscall.Close(accepted) })
		}
	}
}

// Guards against a refusal of a request whose only server is sound: its SYN packet was lost, and the
// kernel sends it again after a second, when connecting has been given up.
func TestLostSYNDoesNotFailTheConnection(t *testing.T) {
	address, accept := listenWithFullQueue(t)
	time.AfterFunc(dialTimeout/2, accept)
	connection, err := dial(t.Context(), address, time.Now().Add(2*time.Second))
	require.NoError(t, err)
	connection.close()
}

// Guards against a request that waits for longer than dialTimeout for a server that does not answer.
func TestServerThatIsNotConnectedInTimeIsGivenUp(t *testing.T) {
	address, _ := listenWithFullQueue(t)
	began := time.Now()
	_, err := dial(t.Context(), address, began.Add(2*time.Second))
	require.Error(t, err)
	assert.Less(t, time.Since(began), dialTimeout+200*time.Millisecond)
}
