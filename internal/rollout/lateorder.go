package rollout

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// A server may take an order long after the agent has sent it, because either of them stood still in between. By then the
// staged pieces may have been corrupt for longer than is tolerated. The agent reads them once more after such an
// order. If some are corrupt, no request may be answered from what the server has loaded: entries are told that the server
// is switching until it has loaded the layers again. It drops layers only for another version, so it is ordered to
// hold a single layer of an older one, on which no request begins, and then the whole version.

// dropRetryInterval is the time between two orders to drop weights, which a server may refuse.
const dropRetryInterval = 2 * time.Second

// suspectWeights are loaded weights that may be corrupt.
type suspectWeights struct {
	model   string
	version uint64
	// older is the version that a layer is ordered of to have the weights dropped; 0 if there is none.
	older uint64
	// sequence is that of the first report after the order that loaded them.
	sequence uint64
	// orderedAt is when they were last ordered to be dropped; zero before.
	orderedAt time.Time
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
	a.suspect = &suspectWeights{model: order.Model, version: order.Version, older: older, sequence: order.Sequence + 1}
	a.mutex.Unlock()
	a.pushStatus()
	if len(corrupt) > 0 {
		verified.transfer.refetchCorrupt(corrupt)
	}
}

// dropSuspectWeights orders the server to drop weights that may be corrupt, and reports whether it has sent an order. Where
// there is no older version, or only one layer, they stay until a newer version replaces them.
func (a *Agent) dropSuspectWeights(ctx context.Context, engine *fleet.Engine, report fleet.Report, reachable bool) bool {
	suspect := a.dueSuspect(report, reachable)
	if suspect == nil || suspect.older == 0 || engine.Layers < 2 {
		return false
	}
	a.staging.Lock()
	defer a.staging.Unlock()
	order := fleet.StartOrder{Model: suspect.model, Version: suspect.older, FromLayer: 0, ToLayer: 1}
	return a.orderUnlessBusy(ctx, order, suspect.version, a.beginVerification(nil, nil))
}

// dueSuspect returns the weights that are to be dropped now, or nil. It forgets those that the server no longer holds.
func (a *Agent) dueSuspect(report fleet.Report, reachable bool) *suspectWeights {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.suspect == nil || !reachable || report.Busy {
		return nil
	}
	if !holds(report, a.suspect) {
		// A report from before the order does not show them yet. A restarted server holds nothing.
		if report.Sequence >= a.suspect.sequence || len(report.Models) == 0 {
			a.suspect = nil
		}
		return nil
	}
	if time.Since(a.suspect.orderedAt) < dropRetryInterval {
		return nil
	}
	a.suspect.orderedAt = time.Now()
	due := *a.suspect
	return &due
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
