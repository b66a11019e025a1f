package rollout

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/turnover"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// previousLayer is one layer of the version that lay at the server before the present one, kept in
// memory. A server that is ordered to hold only that layer begins nothing, so that it ends the
// present version where no layer of a newer one is here. Without it 2 to 3 of the requests that
// waited at four servers began up to 3.5 s after the bound of their version
// (TestNothingBeginsLateOnAVersionBetween). It costs one layer's bytes of memory.
type previousLayer struct {
	model   string
	version uint64
	layers  turnover.Layers
	pieces  map[int][]byte
}

// savePreviousLayer reads the first layer of a version that is about to be overwritten at the server.
// The staging lock is held for writing.
func (a *Agent) savePreviousLayer(ctx context.Context, overwritten *transfer) {
	engine, _ := a.engine()
	if engine == nil || engine.Layers < 2 || overwritten == nil {
		return
	}
	if complete, _ := overwritten.state(); !complete {
		return
	}
	kept := &previousLayer{
		model: overwritten.model, version: overwritten.version(), layers: turnover.Layers{From: 0, To: 1}, pieces: map[int][]byte{},
	}
	for _, index := range kept.layers.Pieces(len(overwritten.held()), engine.Layers) {
		content, sound := overwritten.readPiece(ctx, index)
		if !sound {
			return
		}
		kept.pieces[index] = content
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.previous = kept
}

// takePreviousLayer returns the kept layer if an order of it ends the version that is served; it is
// tried once. The newest version's pieces must not lie at the server, where the layer goes.
func (a *Agent) takePreviousLayer(newest *transfer, serving uint64) *previousLayer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	kept := a.previous
	if kept == nil || kept.model != newest.model || kept.version >= serving || !newest.buffer.isOpen() {
		return nil
	}
	a.previous = nil
	return kept
}

// orderPreviousLayer has the server hold nothing but a layer of an older version, and reports whether
// it was ordered to. What lay at the server is given up: its version may begin nothing more.
func (a *Agent) orderPreviousLayer(ctx context.Context, kept *previousLayer, engine *fleet.Engine, serving uint64) bool {
	a.mutex.Lock()
	a.dropFallback()
	a.mutex.Unlock()
	a.staging.Lock()
	defer a.staging.Unlock()
	began := time.Now()
	for index, content := range kept.pieces {
		if err := a.server.Stage(ctx, kept.model, index, content); err != nil {
			a.log.Log(logging.StagingFailed, zap.Uint64("version", kept.version), zap.Error(err))
			return false
		}
	}
	part := fleet.StartOrder{Model: kept.model, Version: kept.version, FromLayer: kept.layers.From, ToLayer: kept.layers.To}
	return a.orderPart(ctx, part, engine, serving, began)
}
