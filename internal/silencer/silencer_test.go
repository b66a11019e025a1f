package silencer

import (
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// pair opens a connection to a listener and returns both of its ends.
func pair(t *testing.T, listener net.Listener) (near, far net.Conn) {
	t.Helper()
	near, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = near.Close() })
	far, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = far.Close() })
	return near, far
}

func receives(t *testing.T, near, far net.Conn) bool {
	t.Helper()
	_, err := near.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, far.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	_, err = far.Read(make([]byte, 1))
	if err != nil {
		require.ErrorIs(t, err, os.ErrDeadlineExceeded, "silent, not reset")
	}
	return err == nil
}

// Open connections go silent in both directions without a reset; later ones work, and so do
// those that were not selected.
func TestOpenConnectionsGoSilent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	oldNear, oldFar := pair(t, listener)
	otherNear, otherFar := pair(t, listener)
	old := oldNear.LocalAddr().(*net.TCPAddr).AddrPort()
	isOld := func(address netip.AddrPort) bool { return address == old }
	anywhere := func(netip.AddrPort) bool { return true }
	count, err := Silence(Between(isOld, anywhere))
	require.NoError(t, err)
	assert.Equal(t, 2, count, "both ends")
	assert.False(t, receives(t, oldNear, oldFar))
	assert.False(t, receives(t, oldFar, oldNear))
	assert.True(t, receives(t, otherNear, otherFar))
	newNear, newFar := pair(t, listener)
	assert.True(t, receives(t, newNear, newFar))
}

// retransmitted returns how many segments the kernel has sent again on a connection.
func retransmitted(t *testing.T, connection net.Conn) int {
	t.Helper()
	raw, err := connection.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	count := 0
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		require.NoError(t, err)
		count = int(info.Total_retrans)
	}))
	return count
}

// Packets that are dropped at a ratio are retransmitted and arrive; at ratio 1 the connection is silent. The kernel draws which
// packets are dropped. Its retransmissions of one packet wait twice as long each time, so that at high ratios some arrive after minutes.
func TestDroppedPacketsAreRetransmitted(t *testing.T) {
	const connections, packets, ratio = 20, 20, 0.05
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var nears, fars []net.Conn
	selected := map[netip.AddrPort]bool{}
	for range connections {
		near, far := pair(t, listener)
		nears, fars = append(nears, near), append(fars, far)
		selected[near.LocalAddr().(*net.TCPAddr).AddrPort()] = true
	}
	lossy := Between(func(address netip.AddrPort) bool { return selected[address] }, func(netip.AddrPort) bool { return true })
	count, err := DropPackets(lossy, ratio)
	require.NoError(t, err)
	assert.Equal(t, 2*connections, count, "both ends")
	for _, near := range nears {
		for range packets {
			_, err := near.Write([]byte("x"))
			require.NoError(t, err)
		}
	}
	deadline, again := time.Now().Add(20*time.Second), 0
	for index, far := range fars {
		require.NoError(t, far.SetReadDeadline(deadline))
		_, err = io.ReadFull(far, make([]byte, packets))
		assert.NoError(t, err)
		again += retransmitted(t, nears[index])
	}
	assert.Positive(t, again, "packets were dropped")
	_, err = DropPackets(lossy, 1)
	require.NoError(t, err)
	assert.False(t, receives(t, nears[0], fars[0]))
}

// A connection that was closed since it was listed is skipped. Connections open and close while those
// of the process are listed: with packet loss, about one run in thirty failed with "bad file descriptor".
func TestConnectionClosedSinceItWasListedIsSkipped(t *testing.T) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	require.NoError(t, unix.Close(socket))
	passAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 16}}
	attached, err := attachTo(socket, passAll)
	require.NoError(t, err)
	assert.False(t, attached)
}
