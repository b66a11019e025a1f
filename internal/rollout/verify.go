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

// verifyHeld reads back what lies at the server and marks the pieces that match.
func (t *transfer) verifyHeld(ctx context.Context, manifest fleet.Manifest) []bool {
	held := make([]bool, len(manifest.Digests))
	for ctx.Err() == nil {
		indexes, err := t.agent.server.HeldPieces(ctx, t.model)
		if err != nil {
			waiting.For(ctx, manifestRetry)
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

// readPiece reads a piece back and verifies it once more.
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

// verifyAll reads every piece back and returns those that do not match.
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

// verify reads some pieces back and returns those that do not match.
func (t *transfer) verify(ctx context.Context, pieces []int) []int {
	var bad []int
	for _, index := range pieces {
		if _, sound := t.readPiece(ctx, index); !sound {
			bad = append(bad, index)
		}
	}
	return bad
}

// reportSpoilt fetches pieces again that have turned bad at the server.
func (t *transfer) reportSpoilt(bad []int) {
	t.agent.log.Log(logging.PiecesCorrupt, zap.String("model", t.model), zap.Uint64("version", t.version()), zap.Ints("pieces", bad))
	t.restart(bad)
}

// noteSpoilt fetches a piece again that was thought to be here and is not sound, so
// that peers are not sent to it in vain.
func (t *transfer) noteSpoilt(ctx context.Context, index int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if ctx.Err() != nil || t.fetcher == nil || index < 0 || index >= len(t.manifest.Digests) || !t.fetcher.Holds(index) {
		return
	}
	t.agent.log.Log(logging.PiecesCorrupt, zap.String("model", t.model), zap.Uint64("version", t.version()), zap.Ints("pieces", []int{index}))
	t.restartLocked([]int{index})
}

// restart begins anew with what is sound, after pieces have turned bad.
func (t *transfer) restart(bad []int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.restartLocked(bad)
}

func (t *transfer) restartLocked(bad []int) {
	t.agent.metrics.spoilt.Add(float64(len(bad)))
	held := t.heldMask()
	for _, index := range bad {
		held[index] = false
	}
	t.fetcher = dissemination.NewFetcher(t.fetcherOptions(held))
	t.complete = false
	t.fetcher.Start(t.now())
	t.poke()
}
