// Package networktest has servers for tests that answer whatever the test says.
package networktest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// UploadBytes is the size of a body that no pair of sockets holds, so that it is still being written when a server that does
// not read it answers.
const UploadBytes = 24 << 20

// endDelay is the time between an answer and the end of its connection. net/http waits for 50 ms until a request is written
// before it delivers an answer without a body.
const endDelay = 100 * time.Millisecond

// StartScripted starts a server that reads the head of each request, writes an answer and then closes the connection, with a
// reset if that is set. It returns the server's address.
func StartScripted(t *testing.T, answer string, reset bool) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScripted(connection, answer, reset)
		}
	}()
	return listener.Addr().String()
}

func serveScripted(connection net.Conn, answer string, reset bool) {
	defer func() { _ = connection.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
		return
	}
	_, _ = io.WriteString(connection, answer)
	time.Sleep(endDelay)
	if reset {
		_ = connection.(*net.TCPConn).SetLinger(0)
	}
}
