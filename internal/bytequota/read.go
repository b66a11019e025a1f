package bytequota

import (
	"errors"
	"io"
)

// chunkBytes is the smallest charge: a caller that announces a large body and sends little of it
// is charged for one chunk only.
const chunkBytes = 16 << 10

// ErrExhausted means that the quota has no room for the bytes to be read.
var ErrExhausted = errors.New("byte quota of the tenant is exhausted")

// ReadAll reads a source to its end and charges an account as bytes arrive. The bytes read are returned
// with every error; ErrExhausted leaves the rest unread. The size is negative if unknown; otherwise at
// most one byte more than it is allocated.
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

// grownSize returns the size to which a full buffer grows: twice as much, but at most one byte more than
// the source's size. That byte is room for the read that detects the end.
func grownSize(full, size int64) int64 {
	grown := max(2*full, chunkBytes)
	if size >= full {
		return min(grown, size+1)
	}
	return grown
}
