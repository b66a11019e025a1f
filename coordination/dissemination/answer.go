package dissemination

import "time"

// QueryReply says which of the chunks that a peer asked for can be had here.
type QueryReply struct {
	// Held chunks are here, Pending ones are expected, Lacked ones neither.
	Held    []int `cbor:"1,keyasint,omitempty"`
	Pending []int `cbor:"2,keyasint,omitempty"`
	Missing []int `cbor:"3,keyasint,omitempty"`
	// PendingAges tells, for each pending chunk, how long ago that was known at first hand, in
	// milliseconds.
	PendingAges []int64 `cbor:"4,keyasint,omitempty"`
}

// HandleQuery answers a peer's question for some chunks.
func (f *Fetcher) HandleQuery(from MachineID, chunks []int, backlog int, now time.Duration) QueryReply {
	var answer QueryReply
	for _, chunk := range chunks {
		held := f.HandleChunkQuery(from, chunk, backlog, now)
		age, expected := f.Expects(chunk, now)
		switch {
		case held:
			answer.Held = append(answer.Held, chunk)
		case expected:
			answer.Pending = append(answer.Pending, chunk)
			answer.PendingAges = append(answer.PendingAges, age.Milliseconds())
		default:
			answer.Missing = append(answer.Missing, chunk)
		}
	}
	return answer
}

// RecordDelivery records a peer's answer to an offer of some chunks, or to a question
// for them. A delivery that failed says that the peer can't be reached.
func (f *Fetcher) RecordDelivery(peer MachineID, chunks []int, question, failed bool, answer QueryReply, now time.Duration) {
	for _, chunk := range chunks {
		switch {
		case failed && question:
			f.RecordQueryFailure(peer, chunk, now)
		case failed:
			f.RecordOfferFailure(peer, chunk, now)
		}
	}
	for _, chunk := range answer.Held {
		f.RecordOffer(peer, chunk, now)
	}
	for at, chunk := range answer.Pending {
		age := time.Duration(0)
		if at < len(answer.PendingAges) {
			age = time.Duration(max(0, answer.PendingAges[at])) * time.Millisecond
		}
		f.RecordPending(peer, chunk, age, now)
	}
	for _, chunk := range answer.Missing {
		f.RecordDenial(peer, chunk)
	}
}
