package dissemination

import "time"

// Answer says which of the chunks that a peer asked for can be had here.
type Answer struct {
	// Held chunks are here, Pending ones are expected, Lacked ones neither.
	Held    []int `cbor:"1,keyasint,omitempty"`
	Pending []int `cbor:"2,keyasint,omitempty"`
	Lacked  []int `cbor:"3,keyasint,omitempty"`
	// Ages tells, for each pending chunk, how long ago that was known at first hand, in
	// milliseconds.
	Ages []int64 `cbor:"4,keyasint,omitempty"`
}

// AskedFor answers a peer's question for some chunks.
func (f *Fetcher) AskedFor(from MachineID, chunks []int, backlog int, now time.Duration) Answer {
	var answer Answer
	for _, chunk := range chunks {
		held := f.Asked(from, chunk, backlog, now)
		age, expected := f.Expects(chunk, now)
		switch {
		case held:
			answer.Held = append(answer.Held, chunk)
		case expected:
			answer.Pending = append(answer.Pending, chunk)
			answer.Ages = append(answer.Ages, age.Milliseconds())
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
	for at, chunk := range answer.Pending {
		age := time.Duration(0)
		if at < len(answer.Ages) {
			age = time.Duration(max(0, answer.Ages[at])) * time.Millisecond
		}
		f.AskPending(peer, chunk, age, now)
	}
	for _, chunk := range answer.Lacked {
		f.AskDenied(peer, chunk)
	}
}
