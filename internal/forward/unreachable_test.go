package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
)

// errStillAccepting means that a blocked address takes connections.
var errStillAccepting = errors.New("the address still takes connections")

// blockAddress listens on a local address until the test ends and accepts nothing, so that the kernel drops the SYN
// packets of further connections, as on the way to a machine that is cut off.
func blockAddress(t *testing.T, address *net.TCPAddr) error {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	t.Cleanup(func() { _ = unix.Close(socket) })
	bound := &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}
	if err := errors.Join(unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1), unix.Bind(socket, bound), unix.Listen(socket, 0)); err != nil {
		return err
	}
	const backlog = 4
	for range backlog {
		filler, err := net.DialTimeout("tcp", address.String(), 100*time.Millisecond)
		if err != nil {
			return nil
		}
		t.Cleanup(func() { _ = filler.Close() })
	}
	return errStillAccepting
}

// Guards against half of a body that is passed on as a whole answer because its server's machine can't be reached after the end,
// and nobody can say that the server has crashed.
func TestUnmarkedEndIsNotCompleteIfItsServerCannotBeReached(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().(*net.TCPAddr)
	f := startScriptedFleet(t, 0, nil)
	f.Update(&catalog.View{
		Configuration: &fleet.Configuration{Services: map[string]fleet.Service{"s": {HealthPath: "/healthz"}}},
		Servers:       map[string][]fleet.Server{"s": {{ID: "i-0", Service: "s", Address: address.String(), Zone: "z", Slots: 8}}},
	})
	blocked := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			blocked <- err
			return
		}
		defer func() { _ = connection.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			blocked <- err
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nRequest-Id: "+request.Header.Get("Request-Id")+"\r\nResponse-Seal: s\r\n\r\nhalf")
		_ = listener.Close()
		blocked <- blockAddress(t, address)
	}()
	recorded, refusal := f.serve(fleet.AtMostOnce, 2)
	require.NoError(t, <-blocked)
	require.NotNil(t, refusal)
	assert.Empty(t, recorded.Body.String())
}
