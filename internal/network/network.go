// Package network makes TCP connections that detect an unresponsive peer.
package network

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent bytes or keep-alive probes may stay unacknowledged.
	userTimeout = 3 * time.Second
	// probeIdle is the idle time before the first keep-alive probe and the interval between
	// probes. It is the minimum that the kernel accepts.
	probeIdle = time.Second
	// probeCount applies on kernels that ignore userTimeout.
	probeCount = 3
)

// Dialer returns a dialer with a timeout. Its connections fail when the peer acknowledges nothing
// for a few seconds. This includes connections that only read, such as a stream: an unreachable
// server is detected after four seconds instead of at the request's deadline.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeIdle, Count: probeCount},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		// Without the option the callers' own timeouts still apply.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

var errUnexpectedBytes = errors.New("bytes arrived on an idle connection")

// CheckIdle returns an error if an idle connection can't be reused: its peer has closed it, or
// has sent bytes that belong to no request.
func CheckIdle(connection net.Conn) error {
	withDescriptor, ok := connection.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		count, readErr := syscall.Read(int(descriptor), buffer[:])
		switch {
		case readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK:
		case readErr != nil:
			failure = readErr
		case count == 0:
			failure = io.EOF
		default:
			failure = errUnexpectedBytes
		}
		return true
	})
	if err != nil {
		return err
	}
	return failure
}
