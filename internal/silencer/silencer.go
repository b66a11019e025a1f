// Package silencer is for tests: it makes open TCP connections of this process go silent
// permanently, without a reset, while new ones work. Nothing that is sent on a silenced
// connection arrives, and nothing is acknowledged, as behind a middlebox that has dropped
// the connection from its table.
package silencer

import (
	"errors"
	"math"
	"net/netip"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// Connection is one end of an open TCP connection of this process.
type Connection struct {
	Local  netip.AddrPort
	Remote netip.AddrPort
}

// Filter selects connections by their addresses. It is called separately for each end of a
// connection within this process.
type Filter func(Connection) bool

// Any selects every connection.
func Any(Connection) bool { return true }

// Between selects the connections with one end that satisfies the first condition and the
// other end the second, whichever of them dialed.
func Between(one, other func(netip.AddrPort) bool) Filter {
	return func(c Connection) bool {
		return (one(c.Local) && other(c.Remote)) || (one(c.Remote) && other(c.Local))
	}
}

// dropAll is a socket filter that accepts no byte of any packet: the kernel drops every
// segment that reaches the socket before processing it. It needs no privileges.
var dropAll = []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}

// Silence silences the open connections that a filter selects and returns how many ends it
// silenced. Listening sockets are not affected.
func Silence(selected Filter) (int, error) { return attach(selected, dropAll) }

// DropPackets makes each end of the open connections that a filter selects drop the given ratio of its
// incoming packets at random, and returns the number of these ends. The kernels retransmit the dropped
// packets.
func DropPackets(selected Filter, ratio float64) (int, error) {
	// randomOffset is the offset at which the filter reads a random number instead of the packet: the
	// kernel's SKF_AD_OFF, as an unsigned number, plus SKF_AD_RANDOM.
	const randomOffset = 0xfffff000 + 56
	return attach(selected, []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: randomOffset},
		{Code: unix.BPF_JMP | unix.BPF_JGE | unix.BPF_K, K: uint32(ratio * math.MaxUint32), Jt: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32},
	})
}

// attach attaches a packet filter program to the open connections that a filter selects.
func attach(selected Filter, instructions []unix.SockFilter) (int, error) {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0, err
	}
	attached := 0
	for _, entry := range entries {
		descriptor, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue
		}
		connection, open := connectionOf(descriptor)
		if !open || !selected(connection) {
			continue
		}
		filtered, err := attachTo(descriptor, instructions)
		if err != nil {
			return attached, err
		}
		if filtered {
			attached++
		}
	}
	return attached, nil
}

// attachTo attaches a packet filter program to one connection, and reports false if the connection
// was closed since it was listed.
func attachTo(descriptor int, instructions []unix.SockFilter) (bool, error) {
	program := unix.SockFprog{Len: uint16(len(instructions)), Filter: &instructions[0]}
	err := unix.SetsockoptSockFprog(descriptor, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	if errors.Is(err, unix.EBADF) || errors.Is(err, unix.ENOTSOCK) {
		return false, nil
	}
	return err == nil, err
}

// connectionOf returns the addresses of the TCP connection of a descriptor, and false if the
// descriptor is not an open TCP connection.
func connectionOf(descriptor int) (Connection, bool) {
	kind, err := unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_TYPE)
	if err != nil || kind != unix.SOCK_STREAM {
		return Connection{}, false
	}
	local, err := unix.Getsockname(descriptor)
	if err != nil {
		return Connection{}, false
	}
	remote, err := unix.Getpeername(descriptor)
	if err != nil {
		return Connection{}, false
	}
	near, nearOK := addressOf(local)
	far, farOK := addressOf(remote)
	return Connection{Local: near, Remote: far}, nearOK && farOK
}

func addressOf(address unix.Sockaddr) (netip.AddrPort, bool) {
	switch known := address.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(known.Addr), uint16(known.Port)), true
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(known.Addr).Unmap(), uint16(known.Port)), true
	}
	return netip.AddrPort{}, false
}
