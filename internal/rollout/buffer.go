package rollout

import (
	"context"
	"maps"
	"sync"
)

// A server's machine has room for one staged copy. As long as that is a version which may
// still begin requests, the pieces of the next one wait in the agent's memory until its turn
// comes: a server that crashes meanwhile serves again at once, and an empty one can have the
// older version from its peers when the newest does not come.

// bufferFraction is the part of a process's memory that a buffered version may take; a larger one
// is staged as it comes.
const bufferFraction = 0.125

// pieceBuffer holds verified pieces in memory. While it is closed, which it is at first,
// pieces go to the server.
type pieceBuffer struct {
	mutex sync.Mutex
	// pieces is nil while the buffer is closed.
	pieces map[int][]byte
}

// open makes the buffer take the pieces from now on.
func (b *pieceBuffer) open() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.pieces == nil {
		b.pieces = map[int][]byte{}
	}
}

// put takes a piece, if the buffer is open.
func (b *pieceBuffer) put(index int, content []byte) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.pieces == nil {
		return false
	}
	b.pieces[index] = content
	return true
}

func (b *pieceBuffer) get(index int) ([]byte, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	content, held := b.pieces[index]
	return content, held
}

// held returns a copy of what the buffer holds.
func (b *pieceBuffer) held() map[int][]byte {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return maps.Clone(b.pieces)
}

// close empties the buffer, whose pieces lie at the server now.
func (b *pieceBuffer) close() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.pieces = nil
}

// isOpen reports whether pieces are kept in memory.
func (b *pieceBuffer) isOpen() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.pieces != nil
}

// store puts a verified piece where the transfer keeps them, unless it was replaced.
func (t *transfer) store(ctx context.Context, index int, content []byte) error {
	t.agent.staging.RLock()
	defer t.agent.staging.RUnlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	if t.buffer.put(index, content) {
		return nil
	}
	return t.agent.server.Stage(ctx, t.model, index, content)
}

// flushBuffer stages the buffered pieces; the staging lock is held for writing.
func (t *transfer) flushBuffer(ctx context.Context) error {
	for index, content := range t.buffer.held() {
		if err := t.agent.server.Stage(ctx, t.model, index, content); err != nil {
			return err
		}
	}
	t.buffer.close()
	return nil
}

// bufferStaged reads the staged pieces into the buffer, which takes the further ones too, so that
// another version can be staged; the staging lock is held for writing.
func (t *transfer) bufferStaged(ctx context.Context) {
	t.buffer.open()
	var spoilt []int
	for _, index := range t.heldPieces() {
		content, sound := t.readPiece(ctx, index)
		if !sound {
			spoilt = append(spoilt, index)
			continue
		}
		t.buffer.put(index, content)
	}
	if len(spoilt) > 0 {
		t.restartFetch(spoilt)
	}
}
