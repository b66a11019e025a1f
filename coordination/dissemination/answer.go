package dissemination

import "time"

// QueryReply says which of the chunks that a peer queried are available here.
type QueryReply struct {
	// Held lists the chunks that are here, Pending those that are expected, and Missing those
	// that are neither.
	Held    []int `cbor:"1,keyasint,omitempty"`
	Pending []int `cbor:"2,keyasint,omitempty"`
	Missing []int `cbor:"3,keyasint,omitempty"`
	// PendingAges holds, for each pending chunk, the milliseconds since this was last confirmed
	// by a machine that has a source for the chunk or reads it from the origin.
	PendingAges []int64 `cbor:"4,keyasint,omitempty"`
}

// HandleQuery replies to a peer's query for chunks.
func (f *Fetcher) HandleQuery(from MachineID, chunks []int, backlog int, now time.Duration) QueryReply {
	var reply QueryReply
	for _, chunk := range chunks {
		held := f.HandleChunkQuery(from, chunk, backlog, now)
		age, expected := f.Expects(chunk, now)
		switch {
		case held:
			reply.Held = append(reply.Held, chunk)
		case expected:
			reply.Pending = append(reply.Pending, chunk)
			reply.PendingAges = append(reply.PendingAges, age.Milliseconds())
		default:
			reply.Missing = append(reply.Missing, chunk)
		}
	}
	return reply
}

// RecordDelivery records a peer's reply to an offer of chunks or a query for them. A
// failed delivery means that the peer is unreachable.
func (f *Fetcher) RecordDelivery(peer MachineID, chunks []int, query, failed bool, reply QueryReply, now time.Duration) {
	for _, chunk := range chunks {
		switch {
		case failed && query:
			f.RecordQueryFailure(peer, chunk, now)
		case failed:
			f.RecordOfferFailure(peer, chunk, now)
		}
	}
	for _, chunk := range reply.Held {
		f.RecordOffer(peer, chunk, now)
	}
	for index, chunk := range reply.Pending {
		age := time.Duration(0)
		if index < len(reply.PendingAges) {
			age = time.Duration(max(0, reply.PendingAges[index])) * time.Millisecond
		}
		f.RecordPending(peer, chunk, age, now)
	}
	for _, chunk := range reply.Missing {
		f.RecordDenial(peer, chunk)
	}
}
