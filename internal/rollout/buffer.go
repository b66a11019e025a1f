package rollout

import (
	"context"
	"maps"
	"sync"
)

// A server's machine has room for one staged copy. While the staged version may still begin
// requests, the pieces of the next version are buffered in the agent's memory until its turn. A
// server that crashes meanwhile can serve again at once, and an empty server can fetch the older
// version from its peers when the newest is delayed.

// bufferFraction is the fraction of the process's memory that a buffered version may take. A larger
// version is staged as its pieces arrive.
const bufferFraction = 0.125

// pieceBuffer holds verified pieces in memory. It is closed initially; while it is closed, pieces
// are staged at the server.
type pieceBuffer struct {
	mutex sync.Mutex
	// pieces is nil while the buffer is closed.
	pieces map[int][]byte
}

// open makes the buffer accept pieces.
func (b *pieceBuffer) open() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.pieces == nil {
		b.pieces = map[int][]byte{}
	}
}

// put stores a piece and reports true if the buffer is open.
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

// held returns a copy of the buffered pieces.
func (b *pieceBuffer) held() map[int][]byte {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return maps.Clone(b.pieces)
}

// close discards the pieces, which have been staged at the server.
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

// store buffers or stages a verified piece, unless the transfer was canceled.
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

// flushBuffer stages the buffered pieces and closes the buffer. The caller holds the staging lock
// for writing.
func (t *transfer) flushBuffer(ctx context.Context) error {
	for index, content := range t.buffer.held() {
		if err := t.agent.server.Stage(ctx, t.model, index, content); err != nil {
			return err
		}
	}
	t.buffer.close()
	return nil
}

// bufferStaged reads the staged pieces back into the buffer and opens it for further ones, so that
// another version can be staged. The caller holds the staging lock for writing.
func (t *transfer) bufferStaged(ctx context.Context) {
	t.buffer.open()
	var corrupt []int
	for _, index := range t.heldPieces() {
		content, err := t.readPiece(ctx, index)
		if err != nil {
			// A piece that can't be read now is about to be overwritten.
			corrupt = append(corrupt, index)
			continue
		}
		t.buffer.put(index, content)
	}
	if len(corrupt) > 0 {
		t.restartFetch(corrupt)
	}
}
