package bytequota

import (
	"errors"
	"io"
)

// pieceBytes is how many bytes are charged at a time: a caller that announces much and sends little
// holds no more than one piece of it for nothing.
const pieceBytes = 16 << 10

// ErrExhausted means that what was read could not be held.
var ErrExhausted = errors.New("no more bytes may be held for this tenant")

// ReadAll reads to the end of a source, charging an account as bytes come. The bytes read are returned
// with every error; ErrExhausted leaves the rest unread. Of a source of known size (negative for
// unknown) no more than that is allocated.
func ReadAll(source io.Reader, size int64, account *Account) ([]byte, error) {
	var read []byte
	for {
		if len(read) == cap(read) {
			grown := grownSize(int64(len(read)), size)
			if !account.Reserve(grown - int64(len(read))) {
				return read, ErrExhausted
			}
			read = append(make([]byte, 0, grown), read...)
		}
		count, err := source.Read(read[len(read):cap(read)])
		read = read[:len(read)+count]
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return read, err
		}
	}
}

// grownSize is what a full buffer grows to: twice as much, up to one byte more than the source's size,
// in which its end shows.
func grownSize(full, size int64) int64 {
	grown := max(2*full, pieceBytes)
	if size >= full {
		return min(grown, size+1)
	}
	return grown
}
