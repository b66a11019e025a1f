package rollout

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/turnover"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// Entries send nothing to a server with an old version that it might begin after the bound,
// and take back what it has not begun in time. Both reach the server over connections, and a
// request whose cancelling is lost on a silent one would begin whenever the server gets to it.
// So the agent makes sure from the server's side: from an order on, the server begins nothing
// more on what it held before. What waits begins on the new version, or is turned away as not
// run by a server that holds the new version in part.

// boundGuard is how long before the bound the server is ordered, whatever waits at it: entries
// take back what has not begun from 400 ms before the bound on (takeBackMargin in
// internal/forward), and one look of the keeper, the reading back of the pieces and the order
// take up to 200 ms.
const boundGuard = 400 * time.Millisecond

// boundNear reports whether the version that the server serves must not begin requests much
// longer, or may not any more, because one that it lacks comes into force. An age that is only
// assumed, by a process that has just started, may be longer than the true one, by the whole
// bound at the most.
func (a *Agent) boundNear(model string, serving uint64) bool {
	if serving == 0 {
		return false
	}
	notice, superseded := a.daemon.Catalog.View().FirstAfter(model, serving)
	if !superseded {
		return false
	}
	apply := a.daemon.Settings().Bounds.VersionApply
	bound := notice.Since.Add(apply)
	if notice.Assumed {
		bound = bound.Add(apply)
	}
	return time.Until(bound) < boundGuard
}

// endOldVersion takes the version that the server serves out of service though the newest one is
// not here whole: it orders some whole layers of a newer one, which a server turns requests away
// with until it has the others. It costs no service, because entries send nothing to an old
// version from a second before its bound, and what runs goes on to its end. Without a single whole
// layer of a newer version the one that was kept of the version before is ordered; an agent that has
// started since has none, and then only the entries keep requests away.
func (a *Agent) endOldVersion(ctx context.Context, newest *transfer, engine *fleet.Engine, serving uint64) {
	newer, layers := a.endingLayers(newest, engine, serving)
	if layers.Count() == 0 {
		if kept := a.takeEndingLayer(newest, serving); kept == nil || !a.orderEndingLayer(ctx, kept, engine, serving) {
			a.noteUnguarded(newest, serving)
		}
		return
	}
	if !a.layDown(ctx, newer) {
		return
	}
	a.staging.Lock()
	defer a.staging.Unlock()
	if a.transferOf(newer.model, newer.version()) != newer || ctx.Err() != nil {
		return
	}
	began := time.Now()
	if bad := newer.verify(ctx, layers.Pieces(len(newer.held()), engine.Layers)); len(bad) > 0 {
		newer.reportSpoilt(bad)
		return
	}
	part := fleet.StartOrder{Model: newer.model, Version: newer.version(), FromLayer: layers.From, ToLayer: layers.To}
	a.orderPart(ctx, part, engine, serving, began)
}

// orderPart orders some layers of a version, which were laid down and verified since a time, to end the
// one that is served, and reports whether the server could be ordered. The staging lock is held for
// writing.
func (a *Agent) orderPart(ctx context.Context, part fleet.StartOrder, engine *fleet.Engine, serving uint64, began time.Time) bool {
	fresh, err := a.server.Report(ctx)
	if err != nil || fresh.Busy {
		return false
	}
	a.log.Log(logging.VersionExpired, zap.String("model", part.Model), zap.Uint64("serving", serving), zap.Uint64("version", part.Version),
		zap.Int("from_layer", part.FromLayer), zap.Int("to_layer", part.ToLayer), zap.Int("layers", engine.Layers))
	part.Sequence = fresh.Sequence
	a.order(ctx, part, serving, time.Since(began))
	return true
}

// endingLayers picks the layers whose order ends the version that is served: of the newest one, or
// of one between that is here and whose own time is over too soon to be served. Of the latter one
// layer is left out, so that it begins nothing after its own bound. Without it 3 of the requests that
// wait at four servers began up to 3.9 s late (TestNothingBeginsLateWhenOnlyAVersionBetweenIsHere).
func (a *Agent) endingLayers(newest *transfer, engine *fleet.Engine, serving uint64) (*transfer, turnover.Layers) {
	if layers := turnover.WholeLayers(newest.held(), engine.Layers); layers.Count() > 0 {
		return newest, layers
	}
	a.mutex.Lock()
	between := a.fallback
	a.mutex.Unlock()
	if between == nil || between.version() <= serving {
		return newest, turnover.Layers{}
	}
	layers := turnover.WholeLayers(between.held(), engine.Layers)
	layers.To = min(layers.To, layers.From+engine.Layers-1)
	return between, layers
}

// noteUnguarded logs, once for a version, that nothing takes it out of service at its bound.
func (a *Agent) noteUnguarded(newer *transfer, serving uint64) {
	a.mutex.Lock()
	noted := a.unguarded == serving
	a.unguarded = serving
	a.mutex.Unlock()
	if noted {
		return
	}
	_, missing := newer.state()
	a.log.Log(logging.VersionNotReplaced, zap.String("model", newer.model), zap.Uint64("serving", serving), zap.Uint64("version", newer.version()),
		zap.Int("missing", missing))
}

// held marks the pieces that are here; nil before the manifest is known.
func (t *transfer) held() []bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.fetcher == nil {
		return nil
	}
	return t.heldMask()
}
