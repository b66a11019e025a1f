package network

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPState is the kernel's acknowledgement state of a TCP connection.
type TCPState struct {
	// AwaitingAck is set while sent bytes or a keep-alive probe are not acknowledged.
	AwaitingAck bool
	// Probing is set if only a keep-alive probe is unacknowledged. It is sent after probeIdle
	// without packets.
	Probing bool
	// SinceReceived is how long ago the last acknowledgement or data arrived.
	SinceReceived time.Duration
	// BytesAcknowledged counts the sent bytes that the peer has acknowledged.
	BytesAcknowledged uint64
}

// ReadTCPState returns the kernel's state of a connection, or false if it is not available.
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
	sinceReceived := time.Duration(min(info.Last_ack_recv, info.Last_data_recv)) * time.Millisecond
	return TCPState{
		AwaitingAck: info.Unacked > 0 || info.Probes > 0, Probing: info.Unacked == 0 && info.Probes > 0, SinceReceived: sinceReceived,
		BytesAcknowledged: info.Bytes_acked,
	}, true
}

// Unacknowledged returns how long sent bytes or a probe have been awaiting an acknowledgement, or
// 0 if none are. The oldest of the bytes were sent at most the given time ago.
func (t TCPState) Unacknowledged(sinceSent time.Duration) time.Duration {
	switch {
	case !t.AwaitingAck:
		return 0
	case t.Probing:
		return max(0, t.SinceReceived-probeIdle)
	}
	return min(sinceSent, t.SinceReceived)
}
