// Package loadquery lets an entry query agents for the current load of their servers before it
// sends a request to one of them, and announce the request to the agent of the chosen server.
// Periodic status reports are a few hundred milliseconds old, in which as many requests reach a
// busy server as it begins; an answer is only as old as its one-way trip.
//
// Queries, answers and announcements are single datagrams in CBOR. A lost one costs a short wait or
// leaves one request uncounted. No process keeps state of another, and the cost of a request does
// not grow with the fleet.
package loadquery

import (
	"errors"
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// maxDatagramBytes bounds a message; an answer takes about 100 bytes.
const maxDatagramBytes = 1200

// query asks an agent for the load of its server, or announces a request to it if the number is 0.
type query struct {
	// Number identifies the query that an answer belongs to.
	Number uint64 `cbor:"1,keyasint,omitempty"`
	// Prompt is the size of an announced request's prompt in tokens.
	Prompt int `cbor:"2,keyasint,omitempty"`
}

// answer returns the load of the agent's server.
type answer struct {
	Number uint64              `cbor:"1,keyasint"`
	Status fleet.MachineStatus `cbor:"2,keyasint"`
}

// receive passes each datagram to a function until the socket is closed.
func receive(socket *net.UDPConn, log *logging.Logger, take func(data []byte, from netip.AddrPort)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, from, err := socket.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			log.Log(logging.FrameRejected, zap.Error(err))
		default:
			take(buffer[:count], from)
		}
	}
}

func encode(message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return nil, &fault.InvalidFrame{Field: "load query", Reason: err.Error()}
	}
	return data, nil
}

func decode(data []byte, message any) error {
	if err := cbor.Unmarshal(data, message); err != nil {
		return &fault.InvalidFrame{Field: "load query", Reason: err.Error()}
	}
	return nil
}
