package forward

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"

	"pinevane.example/pinevane/internal/bytequota"
)

// event is one complete event of a stream, including the blank line that ends it.
type event struct {
	bytes []byte
	id    string
}

// Sizes of events.
const (
	eventBufferBytes = 1 << 10
	maxEventBytes    = 1 << 20
	// unchargedEventBytes is the size up to which pending events are not charged to the caller.
	unchargedEventBytes = 16 << 10
)

var (
	errTruncatedEvent = errors.New("stream ended in the middle of an event")
	errEventTooLong   = errors.New("event is too long")
)

// eventSplitter splits a stream into complete events.
type eventSplitter struct {
	source  io.Reader
	pending []byte
	err     error
	// memory is charged with the pending bytes beyond unchargedEventBytes; charged is the amount.
	memory  *bytequota.Account
	charged int
}

// next returns the next complete event. The error io.EOF means that the stream is complete; any
// other error means that it was interrupted.
func (s *eventSplitter) next() (event, error) {
	for {
		if end := eventEnd(s.pending); end > 0 {
			complete := s.pending[:end]
			s.pending = s.pending[end:]
			return event{bytes: complete, id: eventID(complete)}, nil
		}
		if s.err != nil {
			return s.finish()
		}
		if len(s.pending) > maxEventBytes {
			s.err = errEventTooLong
			continue
		}
		s.read()
	}
}

// unread puts the event back that next has just returned.
func (s *eventSplitter) unread(last event) {
	s.pending = slices.Concat(last.bytes, s.pending)
}

// finish ends the stream. Remaining data that is no complete event means that the stream was
// truncated.
func (s *eventSplitter) finish() (event, error) {
	if errors.Is(s.err, io.EOF) && len(bytes.TrimSpace(s.pending)) > 0 {
		return event{}, errTruncatedEvent
	}
	if errors.Is(s.err, io.EOF) && len(s.pending) > 0 {
		remainder := s.pending
		s.pending = nil
		return event{bytes: remainder}, io.EOF
	}
	return event{}, s.err
}

func (s *eventSplitter) read() {
	if len(s.pending) >= unchargedEventBytes+s.charged {
		if !s.memory.Reserve(unchargedEventBytes) {
			s.err = bytequota.ErrExhausted
			return
		}
		s.charged += unchargedEventBytes
	}
	buffer := make([]byte, eventBufferBytes)
	count, err := s.source.Read(buffer)
	s.pending = append(s.pending[:len(s.pending):len(s.pending)], buffer[:count]...)
	s.err = err
}

var (
	blankLine       = []byte("\n\n")
	blankLineReturn = []byte("\r\n\r\n")
)

// eventEnd returns the length of the first complete event, or 0.
func eventEnd(data []byte) int {
	end := 0
	if at := bytes.Index(data, blankLine); at >= 0 {
		end = at + len(blankLine)
	}
	if at := bytes.Index(data, blankLineReturn); at >= 0 && (end == 0 || at+len(blankLineReturn) < end) {
		end = at + len(blankLineReturn)
	}
	return end
}

// eventID returns the value of an event's id line, or "".
func eventID(data []byte) string {
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// laterEvent reports whether an event's id comes after another's. Ids that are not numbers count as
// later.
func laterEvent(id, than string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(than, 10, 64)
	return errA != nil || errB != nil || a > b
}
