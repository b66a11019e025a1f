package loadquery

import (
	"net"
	"net/netip"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// Server is the model server that an agent answers for.
type Server interface {
	// LoadNow tells how the server does, announced requests included.
	LoadNow() fleet.MachineStatus
	// Announce notes that a request with a prompt of a number of tokens is on its way.
	Announce(promptTokens int)
}

// Responder answers the questions that reach an agent.
type Responder struct {
	socket *net.UDPConn
	server Server
	log    *logging.Logger
}

// NewResponder listens at an address; Close ends it.
func NewResponder(address string, server Server, log *logging.Logger) (*Responder, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, &fault.Unavailable{Target: address, Operation: "listen for load queries", Cause: err}
	}
	socket, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, &fault.Unavailable{Target: address, Operation: "listen for load queries", Cause: err}
	}
	return &Responder{socket: socket, server: server, log: log}, nil
}

// Address is where questions are taken.
func (r *Responder) Address() string { return r.socket.LocalAddr().String() }

// Close ends Run.
func (r *Responder) Close() { _ = r.socket.Close() }

// Run answers until Close.
func (r *Responder) Run() { receive(r.socket, r.log, r.take) }

func (r *Responder) take(data []byte, from netip.AddrPort) {
	var received question
	if err := decode(data, &received); err != nil {
		r.log.Log(logging.FrameRejected, zap.Stringer("peer", from), zap.Error(err))
		return
	}
	if received.Number == 0 {
		r.server.Announce(fleet.ValidTokens(received.Prompt, fleet.MaxTokens))
		return
	}
	data, err := encode(answer{Number: received.Number, Status: r.server.LoadNow()})
	if err != nil {
		r.log.Log(logging.FrameRejected, zap.Error(err))
		return
	}
	// An answer that can't be sent is a lost datagram: the entry does not wait for long.
	_, _ = r.socket.WriteToUDPAddrPort(data, from)
}
