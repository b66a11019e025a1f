package rollout

import (
	"context"
	"crypto/sha256"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/waiting"
)

// verifyHeld reads back the pieces staged at the server and marks those that match the manifest.
func (t *transfer) verifyHeld(ctx context.Context, manifest fleet.Manifest) []bool {
	held := make([]bool, len(manifest.Digests))
	for ctx.Err() == nil {
		indexes, err := t.agent.server.HeldPieces(ctx, t.model)
		if err != nil {
			waiting.For(ctx, manifestRetryInterval)
			continue
		}
		for _, index := range indexes {
			if index < 0 || index >= len(held) {
				continue
			}
			content, err := t.agent.server.Piece(ctx, t.model, index)
			held[index] = err == nil && sha256.Sum256(content) == manifest.Digests[index]
		}
		return held
	}
	return held
}

// readPiece returns a piece from the buffer, or reads it back from the server and verifies it.
func (t *transfer) readPiece(ctx context.Context, index int) ([]byte, bool) {
	manifest, known := t.knownManifest()
	if !known || index < 0 || index >= len(manifest.Digests) {
		return nil, false
	}
	if content, buffered := t.buffer.get(index); buffered {
		return content, true
	}
	content, err := t.agent.server.Piece(ctx, t.model, index)
	if err != nil || sha256.Sum256(content) != manifest.Digests[index] {
		return nil, false
	}
	return content, true
}

// verifyAll reads back all pieces and returns those that do not match.
func (t *transfer) verifyAll(ctx context.Context) []int {
	manifest, known := t.knownManifest()
	if !known {
		return nil
	}
	all := make([]int, 0, len(manifest.Digests))
	for index := range manifest.Digests {
		all = append(all, index)
	}
	return t.verify(ctx, all)
}

// verify reads back some pieces and returns those that do not match.
func (t *transfer) verify(ctx context.Context, pieces []int) []int {
	var corrupt []int
	for _, index := range pieces {
		if _, valid := t.readPiece(ctx, index); !valid {
			corrupt = append(corrupt, index)
		}
	}
	return corrupt
}

// refetchCorrupt fetches pieces again that have turned corrupt at the server.
func (t *transfer) refetchCorrupt(corrupt []int) {
	t.agent.log.Log(logging.PiecesCorrupt, zap.String("model", t.model), zap.Uint64("version", t.version()), zap.Ints("pieces", corrupt))
	t.restartFetch(corrupt)
}

// refetchPiece fetches a piece again that was believed to be held but is missing or corrupt, so
// that peers are no longer sent here for it in vain.
func (t *transfer) refetchPiece(ctx context.Context, index int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if ctx.Err() != nil || t.fetcher == nil || index < 0 || index >= len(t.manifest.Digests) || !t.fetcher.Holds(index) {
		return
	}
	t.agent.log.Log(logging.PiecesCorrupt, zap.String("model", t.model), zap.Uint64("version", t.version()), zap.Ints("pieces", []int{index}))
	t.restartFetchLocked([]int{index})
}

// restartFetch replaces the fetcher by one that lacks the corrupt pieces.
func (t *transfer) restartFetch(corrupt []int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.restartFetchLocked(corrupt)
}

func (t *transfer) restartFetchLocked(corrupt []int) {
	t.agent.metrics.corrupt.Add(float64(len(corrupt)))
	held := t.heldMask()
	for _, index := range corrupt {
		held[index] = false
	}
	t.fetcher = dissemination.NewFetcher(t.fetcherOptions(held))
	t.complete = false
	t.fetcher.Start(t.now())
	t.wake()
}
