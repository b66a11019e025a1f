// Package silencer is for tests: it makes open TCP connections of this process go silent
// for good, without a reset, while new ones work. Nothing that is sent on a silenced
// connection arrives, and nothing is acknowledged, as behind a middlebox that has forgotten
// the connection.
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

// Filter picks connections by their ends. Of a connection within this process each end is
// asked for on its own.
type Filter func(Connection) bool

// Any picks every connection.
func Any(Connection) bool { return true }

// Between picks the connections that have an end fulfilling one condition and another
// fulfilling the other, whichever of them was the one that dialled.
func Between(one, other func(netip.AddrPort) bool) Filter {
	return func(c Connection) bool {
		return (one(c.Local) && other(c.Remote)) || (one(c.Remote) && other(c.Local))
	}
}

// dropAll is a socket filter that accepts no byte of any packet: the kernel drops every
// segment that reaches the socket before it is looked at. It needs no privileges.
var dropAll = []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}

// Silence makes the open connections that a filter picks go silent and returns how many
// ends it has silenced. Listening sockets stay as they are.
func Silence(picked Filter) (int, error) { return attach(picked, dropAll) }

// DropPackets makes the open connections that a filter picks lose a share of the packets that reach each
// end, and returns how many ends do. The kernels send again what is lost.
func DropPackets(picked Filter, share float64) (int, error) {
	// random reads a random number instead of the packet: SKF_AD_OFF, as an unsigned number, and
	// SKF_AD_RANDOM of the kernel.
	const random = 0xfffff000 + 56
	return attach(picked, []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: random},
		{Code: unix.BPF_JMP | unix.BPF_JGE | unix.BPF_K, K: uint32(share * math.MaxUint32), Jt: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32},
	})
}

// attach gives the open connections that a filter picks a program for their packets.
func attach(picked Filter, instructions []unix.SockFilter) (int, error) {
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
		if !open || !picked(connection) {
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

// attachTo gives one connection a filter, and reports false for one that was closed since it was
// listed.
func attachTo(descriptor int, instructions []unix.SockFilter) (bool, error) {
	program := unix.SockFprog{Len: uint16(len(instructions)), Filter: &instructions[0]}
	err := unix.SetsockoptSockFprog(descriptor, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	if errors.Is(err, unix.EBADF) || errors.Is(err, unix.ENOTSOCK) {
		return false, nil
	}
	return err == nil, err
}

// connectionOf reports whether a descriptor is an open TCP connection over IPv4, and its
// ends.
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
