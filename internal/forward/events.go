package forward

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"pinevane.example/pinevane/internal/bytequota"
)

// event is one whole event of a stream, with the blank line that ends it.
type event struct {
	bytes []byte
	id    string
}

// Sizes of events.
const (
	eventBufferBytes  = 1 << 10
	maximumEventBytes = 1 << 20
	// usualEventBytes is the part of an event, or of several that came together, that is not charged to
	// the caller.
	usualEventBytes = 16 << 10
)

var (
	errTornEvent = errors.New("the stream ended in the middle of an event")
	errLongEvent = errors.New("an event is too long")
)

// eventSplitter cuts a stream into whole events.
type eventSplitter struct {
	source  io.Reader
	pending []byte
	failure error
	// memory is charged with what is pending beyond usualEventBytes, charged is how much was.
	memory  *bytequota.Account
	charged int
}

// next returns the next whole event. The error io.EOF means that the stream is
// complete; any other means that it broke off.
func (s *eventSplitter) next() (event, error) {
	for {
		if end := eventEnd(s.pending); end > 0 {
			whole := s.pending[:end]
			s.pending = s.pending[end:]
			return event{bytes: whole, id: eventID(whole)}, nil
		}
		if s.failure != nil {
			return s.last()
		}
		if len(s.pending) > maximumEventBytes {
			s.failure = errLongEvent
			continue
		}
		s.read()
	}
}

// last ends the stream; a rest that is no whole event means that it was torn.
func (s *eventSplitter) last() (event, error) {
	if errors.Is(s.failure, io.EOF) && len(bytes.TrimSpace(s.pending)) > 0 {
		return event{}, errTornEvent
	}
	if errors.Is(s.failure, io.EOF) && len(s.pending) > 0 {
		rest := s.pending
		s.pending = nil
		return event{bytes: rest}, io.EOF
	}
	return event{}, s.failure
}

func (s *eventSplitter) read() {
	if len(s.pending) >= usualEventBytes+s.charged {
		if !s.memory.Reserve(usualEventBytes) {
			s.failure = bytequota.ErrExhausted
			return
		}
		s.charged += usualEventBytes
	}
	buffer := make([]byte, eventBufferBytes)
	count, err := s.source.Read(buffer)
	s.pending = append(s.pending[:len(s.pending):len(s.pending)], buffer[:count]...)
	s.failure = err
}

var (
	blankLine       = []byte("\n\n")
	blankLineReturn = []byte("\r\n\r\n")
)

// eventEnd returns the length of the first whole event, or 0.
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

// laterEvent reports whether an event's id comes after another's. Ids that are no
// numbers are taken for later.
func laterEvent(id, than string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(than, 10, 64)
	return errA != nil || errB != nil || a > b
}
