package network

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPState is what the kernel knows of a TCP connection's packets.
type TCPState struct {
	// AwaitingAck is set while sent bytes or a keep-alive probe are not acknowledged.
	AwaitingAck bool
	// Probing is set when it is a probe, which is sent after probeIdle without packets.
	Probing bool
	// SinceReceived is how long ago the last acknowledgement or data came in.
	SinceReceived time.Duration
}

// ReadTCPState asks the kernel for a connection's state; false where it tells none.
func ReadTCPState(connection net.Conn) (TCPState, bool) {
	withDescriptor, ok := connection.(syscall.Conn)
	if !ok {
		return TCPState{}, false
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return TCPState{}, false
	}
	var info *unix.TCPInfo
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || failure != nil || info.State != unix.BPF_TCP_ESTABLISHED {
		return TCPState{}, false
	}
	sinceHeard := time.Duration(min(info.Last_ack_recv, info.Last_data_recv)) * time.Millisecond
	return TCPState{
		AwaitingAck: info.Unacked > 0 || info.Probes > 0, Probing: info.Unacked == 0 && info.Probes > 0, SinceReceived: sinceHeard,
	}, true
}

// Unacknowledged is how long bytes sent some time ago at the earliest, or a probe, have been
// waiting to be acknowledged; 0 when none are.
func (t TCPState) Unacknowledged(sent time.Duration) time.Duration {
	switch {
	case !t.AwaitingAck:
		return 0
	case t.Probing:
		return max(0, t.SinceReceived-probeIdle)
	}
	return min(sent, t.SinceReceived)
}
