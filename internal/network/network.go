// Package network makes TCP connections that notice a silent peer.
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
	// userTimeout is how long sent bytes, probes among them, may stay unacknowledged.
	userTimeout = 3 * time.Second
	// probeIdle is the silence after which a connection is probed, and the time between two
	// probes: the least that the kernel takes.
	probeIdle = time.Second
	// probeCount is told to kernels that do not go by userTimeout.
	probeCount = 3
)

// Dialer returns a dialer with a time limit. A peer that acknowledges nothing for a few
// seconds ends its connections: also one that only reads, such as a stream whose server can't
// be reached any more, is noticed after four seconds instead of at the end of its time.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, Control: limitSilence,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeIdle, Count: probeCount},
	}
}

func limitSilence(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		// Where the option is missing the callers' own time limits still hold.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

var errUnexpectedBytes = errors.New("bytes arrived on an idle connection")

// CheckIdle reports why an idle connection can't be used again: its peer has
// closed it, or has sent something that nobody asked for.
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
