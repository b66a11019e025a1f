package loadquery

import (
	"net"
	"net/netip"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// Server is the model server whose load an agent reports.
type Server interface {
	// CurrentLoad returns the server's load, including announced requests.
	CurrentLoad() fleet.MachineStatus
	// Announce records that a request with a prompt of the given number of tokens is on its way.
	Announce(promptTokens int)
}

// Responder answers the load queries that reach an agent.
type Responder struct {
	socket *net.UDPConn
	server Server
	log    *logging.Logger
}

// NewResponder listens at an address; Close closes the socket.
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

// Address is the address of the socket.
func (r *Responder) Address() string { return r.socket.LocalAddr().String() }

// Close ends Run.
func (r *Responder) Close() { _ = r.socket.Close() }

// Run answers queries until Close.
func (r *Responder) Run() { receive(r.socket, r.log, r.handleQuery) }

func (r *Responder) handleQuery(data []byte, from netip.AddrPort) {
	var received query
	if err := decode(data, &received); err != nil {
		r.log.Log(logging.FrameRejected, zap.Stringer("peer", from), zap.Error(err))
		return
	}
	if received.Number == 0 {
		r.server.Announce(fleet.ValidTokens(received.Prompt, fleet.MaxTokens))
		return
	}
	data, err := encode(answer{Number: received.Number, Status: r.server.CurrentLoad()})
	if err != nil {
		r.log.Log(logging.FrameRejected, zap.Error(err))
		return
	}
	// An answer that can't be sent is a lost datagram, for which the entry does not wait long.
	_, _ = r.socket.WriteToUDPAddrPort(data, from)
}
