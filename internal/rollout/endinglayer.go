package rollout

import (
	"context"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/turnover"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// previousLayer is one layer, kept in memory, of the version that was staged before the present
// one. A server ordered to hold only that layer begins no requests, which retires the served
// version when no layer of a newer one is complete. It costs the memory of one layer.
type previousLayer struct {
	model   string
	version uint64
	layers  turnover.Layers
	pieces  map[int][]byte
}

// savePreviousLayer reads the first layer of a version that is about to be overwritten at the
// server. The caller holds the staging lock for writing.
func (a *Agent) savePreviousLayer(ctx context.Context, overwritten *transfer) {
	engine, _ := a.engine()
	if engine == nil || engine.Layers < 2 || overwritten == nil {
		return
	}
	if complete, _ := overwritten.state(); !complete {
		return
	}
	saved := &previousLayer{
		model: overwritten.model, version: overwritten.version(), layers: turnover.Layers{From: 0, To: 1}, pieces: map[int][]byte{},
	}
	for _, index := range saved.layers.Pieces(len(overwritten.held()), engine.Layers) {
		content, err := overwritten.readPiece(ctx, index)
		if err != nil {
			return
		}
		saved.pieces[index] = content
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.previous = saved
}

// takePreviousLayer returns the saved layer if an order for it retires the served version, and nil
// otherwise. It removes the layer that it returns, so that the layer is ordered only once. The
// newest version must still be buffered, since staging the layer would overwrite its staged pieces.
func (a *Agent) takePreviousLayer(newest *transfer, serving uint64) *previousLayer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	saved := a.previous
	if saved == nil || saved.model != newest.model || saved.version >= serving || !newest.buffer.isOpen() {
		return nil
	}
	a.previous = nil
	return saved
}

// orderPreviousLayer orders the server to hold only a layer of an older version, and reports
// whether it could be ordered. The staged version is dropped: no request may begin on it any more.
func (a *Agent) orderPreviousLayer(ctx context.Context, saved *previousLayer, engine *fleet.Engine, serving uint64) bool {
	a.mutex.Lock()
	a.dropFallback()
	a.mutex.Unlock()
	a.staging.Lock()
	defer a.staging.Unlock()
	verified := a.beginVerification(nil, nil)
	for index, content := range saved.pieces {
		if err := a.server.Stage(ctx, saved.model, index, content); err != nil {
			a.log.Log(logging.StagingFailed, zap.Uint64("version", saved.version), zap.Error(err))
			return false
		}
	}
	order := fleet.StartOrder{Model: saved.model, Version: saved.version, FromLayer: saved.layers.From, ToLayer: saved.layers.To}
	return a.orderPart(ctx, order, engine, serving, verified)
}
