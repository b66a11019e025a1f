package rollout

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/waiting"
)

// serverRetryInterval is the delay after a call that the machine's own server did not answer, before the
// same is tried again.
const serverRetryInterval = 100 * time.Millisecond

// verifyHeld reads back the pieces staged at the server and marks those that match the manifest. It waits
// while the server does not answer.
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
			var content []byte
			err := retryWhileSilent(ctx, func() (err error) {
				content, err = t.agent.server.Piece(ctx, t.model, index)
				return err
			})
			held[index] = err == nil && sha256.Sum256(content) == manifest.Digests[index]
		}
		return held
	}
	return held
}

// retryWhileSilent calls the server until it answers or the context ends, and returns the last error.
func retryWhileSilent(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil || ctx.Err() != nil || refused(err) {
			return err
		}
		waiting.For(ctx, serverRetryInterval)
	}
}

// refused reports whether an error is the server's answer to the call itself. Otherwise the call may
// succeed when it is made again.
func refused(err error) bool {
	var unavailable *fault.Unavailable
	return errors.As(err, &unavailable) && unavailable.Status != 0 && unavailable.Status < http.StatusInternalServerError
}

// readPiece returns a piece from the buffer, or reads it back from the server and verifies it. The error
// is a *fault.Corrupt if the piece is certainly missing or corrupt. Any other error only says that the
// server gave no answer.
func (t *transfer) readPiece(ctx context.Context, index int) ([]byte, error) {
	manifest, known := t.knownManifest()
	if !known || index < 0 || index >= len(manifest.Digests) {
		return nil, &fault.Corrupt{Source: serverSource}
	}
	if content, buffered := t.buffer.get(index); buffered {
		return content, nil
	}
	content, err := t.agent.server.Piece(ctx, t.model, index)
	switch {
	case err != nil && !refused(err):
		return nil, err
	case err != nil || sha256.Sum256(content) != manifest.Digests[index]:
		return nil, &fault.Corrupt{Source: serverSource}
	}
	return content, nil
}

// serverSource names the machine's own server in errors.
const serverSource = "model server"

func isCorrupt(err error) bool {
	var corrupt *fault.Corrupt
	return errors.As(err, &corrupt)
}

// allPieces returns the indexes of the version's pieces; none before its manifest is known.
func (t *transfer) allPieces() []int {
	manifest, _ := t.knownManifest()
	all := make([]int, len(manifest.Digests))
	for index := range all {
		all[index] = index
	}
	return all
}

// verify reads back some pieces and returns those that do not match. An error means that the server did
// not answer, so that nothing is known of some pieces.
func (t *transfer) verify(ctx context.Context, pieces []int) ([]int, error) {
	var corrupt []int
	for _, index := range pieces {
		_, err := t.readPiece(ctx, index)
		switch {
		case isCorrupt(err):
			corrupt = append(corrupt, index)
		case err != nil:
			return nil, err
		}
	}
	return corrupt, nil
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
