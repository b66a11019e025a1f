package dissemination

import "time"

// Answer says which of the chunks that a peer asked for can be had here.
type Answer struct {
	// Held chunks are here, Pending ones are expected, Lacked ones neither.
	Held    []int `cbor:"1,keyasint,omitempty"`
	Pending []int `cbor:"2,keyasint,omitempty"`
	Lacked  []int `cbor:"3,keyasint,omitempty"`
}

// AskedFor answers a peer's question for some chunks.
func (f *Fetcher) AskedFor(from MachineID, chunks []int, backlog int, now time.Duration) Answer {
	var answer Answer
	for _, chunk := range chunks {
		switch {
		case f.Asked(from, chunk, backlog, now):
			answer.Held = append(answer.Held, chunk)
		case f.Expects(chunk):
			answer.Pending = append(answer.Pending, chunk)
		default:
			answer.Lacked = append(answer.Lacked, chunk)
		}
	}
	return answer
}

// Delivered records a peer's answer to an offer of some chunks, or to a question
// for them. A delivery that failed says that the peer can't be reached.
func (f *Fetcher) Delivered(peer MachineID, chunks []int, question, failed bool, answer Answer, now time.Duration) {
	for _, chunk := range chunks {
		switch {
		case failed && question:
			f.AskFailed(peer, chunk, now)
		case failed:
			f.OfferFailed(peer, chunk, now)
		}
	}
	for _, chunk := range answer.Held {
		f.Offered(peer, chunk, now)
	}
	for _, chunk := range answer.Pending {
		f.AskPending(peer, chunk)
	}
	for _, chunk := range answer.Lacked {
		f.AskDenied(peer, chunk)
	}
}
