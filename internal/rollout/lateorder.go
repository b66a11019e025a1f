package rollout

import (
	"context"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/turnover"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// A server may take an order long after the agent has sent it, because either of them stood still in between. By then the
// staged pieces may have been corrupt for longer than is tolerated. The agent reads them once more after such an
// order. If some are corrupt, no request may be answered from what the server has loaded: entries are told that the server
// is switching until it has loaded the layers again. It drops layers only for another version, so it is ordered to
// hold a single layer of an older one, on which no request begins, and then the whole version.

// suspectWeights are loaded weights that may be corrupt.
type suspectWeights struct {
	model   string
	version uint64
	// older is the version that a layer is ordered of to have the weights dropped; 0 if there is none.
	older uint64
}

// reviewOrder checks a taken order whose verification had become too old before its outcome was known. The caller
// holds the staging lock for writing.
func (a *Agent) reviewOrder(ctx context.Context, order fleet.StartOrder, serving uint64, verified verification) {
	age := a.age(verified)
	if verified.transfer == nil || age <= toleratedCorruption {
		return
	}
	var corrupt []int
	err := retryWhileSilent(ctx, func() (err error) {
		corrupt, err = verified.transfer.verify(ctx, verified.pieces)
		return err
	})
	a.log.Log(logging.OrderReviewed, zap.String("model", order.Model), zap.Uint64("version", order.Version), zap.Duration("verified_in", age),
		zap.Ints("corrupt", corrupt), zap.Error(err))
	if err == nil && len(corrupt) == 0 {
		return
	}
	a.metrics.orders.WithLabelValues(outcomeCorrupt).Inc()
	older := serving
	if older == 0 && order.Version > 1 {
		older = order.Version - 1
	}
	a.mutex.Lock()
	a.suspect = &suspectWeights{model: order.Model, version: order.Version, older: older}
	a.mutex.Unlock()
	a.pushStatus()
	if len(corrupt) > 0 {
		verified.transfer.refetchCorrupt(corrupt)
	}
}

// dropSuspectWeights has the server drop weights that may be corrupt, and reports whether it still holds them. The caller
// is the reconcile loop.
func (a *Agent) dropSuspectWeights(ctx context.Context, engine *fleet.Engine, report fleet.Report, reachable bool) bool {
	a.mutex.Lock()
	suspect := a.suspect
	a.mutex.Unlock()
	if suspect == nil {
		return false
	}
	if !reachable || report.Busy {
		return true
	}
	if !holds(report, suspect) {
		a.mutex.Lock()
		a.suspect = nil
		a.mutex.Unlock()
		return false
	}
	if suspect.older == 0 || engine.Layers < 2 {
		return true
	}
	a.staging.Lock()
	defer a.staging.Unlock()
	layers := turnover.Layers{From: 0, To: 1}
	order := fleet.StartOrder{Model: suspect.model, Version: suspect.older, FromLayer: layers.From, ToLayer: layers.To}
	a.orderPart(ctx, order, engine, suspect.version, a.beginVerification(nil, nil))
	return true
}

// holds reports whether a server holds layers of weights.
func holds(report fleet.Report, weights *suspectWeights) bool {
	for _, held := range report.Models {
		if held.Name == weights.model && held.Version == weights.version {
			return true
		}
	}
	return false
}
