package rollout

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/turnover"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// An entry sends a server no request that the server might begin on an old version after that
// version's deadline, and revokes requests that have not begun in time. Both depend on the
// connections between them: if a cancellation is lost on a silent connection, the server would
// still begin the request. So the agent also enforces the deadline at the server: once ordered, the
// server begins nothing more on the version it held before. Waiting requests begin on the new
// version, or are rejected as not run by a server that holds only part of the new version.

// deadlineMargin is how long before the version's deadline the server is ordered, even if requests
// wait at it. Entries revoke requests that have not begun from 400 ms before the deadline on (see
// internal/forward); one reconcile interval, the verification of the pieces and the order take up
// to 200 ms.
const deadlineMargin = 400 * time.Millisecond

// deadlineNear reports whether the deadline of the served version is near or past, because a newer
// version, which the server lacks, comes into force. An announcement age that a freshly started
// process only assumes may exceed the true age by up to the whole version bound.
func (a *Agent) deadlineNear(model string, serving uint64) bool {
	if serving == 0 {
		return false
	}
	announcement, superseded := a.daemon.Catalog.View().FirstAfter(model, serving)
	if !superseded {
		return false
	}
	versionApply := a.daemon.Settings().Bounds.VersionApply
	deadline := announcement.Since.Add(versionApply)
	if announcement.Assumed {
		deadline = deadline.Add(versionApply)
	}
	return time.Until(deadline) < deadlineMargin
}

// retireOldVersion takes the served version out of service although the newest version is not
// complete. It orders some complete layers of a newer version, and the server rejects requests
// until it has the rest. This costs no availability: entries send nothing to an old version in the
// last second before its deadline, and running requests finish. If no layer of a newer version is
// complete, the saved layer of the previous version is ordered. An agent that has restarted since
// has no saved layer; then only the entries keep requests away.
func (a *Agent) retireOldVersion(ctx context.Context, newest *transfer, engine *fleet.Engine, serving uint64) {
	newer, layers := a.retirementLayers(newest, engine, serving)
	if layers.Count() == 0 {
		if saved := a.takePreviousLayer(newest, serving); saved == nil || !a.orderPreviousLayer(ctx, saved, engine, serving) {
			a.logUnretired(newest, serving)
		}
		return
	}
	if !a.stageBuffered(ctx, newer) {
		return
	}
	a.staging.Lock()
	defer a.staging.Unlock()
	if a.findTransfer(newer.model, newer.version()) != newer || ctx.Err() != nil {
		return
	}
	verified, usable := a.verifyForOrder(ctx, newer, layers.Pieces(len(newer.held()), engine.Layers))
	if !usable {
		return
	}
	order := fleet.StartOrder{Model: newer.model, Version: newer.version(), FromLayer: layers.From, ToLayer: layers.To}
	a.orderPart(ctx, order, engine, serving, verified)
}

// orderPart orders some layers of a version to retire the served one, and reports whether the server
// could be ordered. The layers have been verified. The caller holds the
// staging lock for writing.
func (a *Agent) orderPart(ctx context.Context, order fleet.StartOrder, engine *fleet.Engine, serving uint64, verified verification) bool {
	if !a.orderUnlessBusy(ctx, order, serving, verified) {
		return false
	}
	a.log.Log(logging.VersionExpired, zap.String("model", order.Model), zap.Uint64("serving", serving), zap.Uint64("version", order.Version),
		zap.Int("from_layer", order.FromLayer), zap.Int("to_layer", order.ToLayer), zap.Int("layers", engine.Layers))
	return true
}

// retirementLayers picks the layers to order so that the served version is retired: of the newest
// version, or of an intermediate version that is staged but expires too soon to be served. Of an
// intermediate version one layer is left out, so that the server begins nothing on it after its own
// deadline.
func (a *Agent) retirementLayers(newest *transfer, engine *fleet.Engine, serving uint64) (*transfer, turnover.Layers) {
	if layers := turnover.CompleteLayers(newest.held(), engine.Layers); layers.Count() > 0 {
		return newest, layers
	}
	a.mutex.Lock()
	intermediate := a.fallback
	a.mutex.Unlock()
	if intermediate == nil || intermediate.version() <= serving {
		return newest, turnover.Layers{}
	}
	layers := turnover.CompleteLayers(intermediate.held(), engine.Layers)
	layers.To = min(layers.To, layers.From+engine.Layers-1)
	return intermediate, layers
}

// logUnretired logs, once per served version, that nothing retires it at its deadline.
func (a *Agent) logUnretired(newer *transfer, serving uint64) {
	a.mutex.Lock()
	logged := a.unretiredLogged == serving
	a.unretiredLogged = serving
	a.mutex.Unlock()
	if logged {
		return
	}
	_, missing := newer.state()
	a.log.Log(logging.VersionNotReplaced, zap.String("model", newer.model), zap.Uint64("serving", serving), zap.Uint64("version", newer.version()),
		zap.Int("missing", missing))
}

// held marks the pieces held; it is nil before the manifest is known.
func (t *transfer) held() []bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.fetcher == nil {
		return nil
	}
	return t.heldMask()
}
