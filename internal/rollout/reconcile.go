package rollout

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/turnover"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/waiting"
)

// Timing of switches and orders.
const (
	reconcileInterval = 100 * time.Millisecond
	// copyTimeFactor is multiplied by the time of one copy over the link to give the time after
	// which switches begin.
	copyTimeFactor = 1.4
	// lastSwitchMargin is how long before the version's deadline the last server switches. From its
	// order on, a server is away for 2 s on average and 2.7 s at most, until its longest stream is
	// done; the deadline itself only requires the order. At full traffic the last server serves the
	// new version 0.6 s after the deadline with a margin of 1.1 s, and 0.3 s after it with 1.7 s,
	// at the same total credit. A margin of 2.2 s gains nothing more and has more servers away at a
	// time.
	lastSwitchMargin = 1700 * time.Millisecond
	// fallbackWindow is the time before the last switch in which servers switch to a version that
	// has already been superseded.
	fallbackWindow = 2 * time.Second
	// orderRetryDelay is the pause after an order that the server refused as conflicting.
	orderRetryDelay = 300 * time.Millisecond
	// orderSettleTime is how long after a silent server's first answer an order that it has not taken is
	// taken to be lost.
	orderSettleTime = 200 * time.Millisecond
	// orderOutcomeTimeout bounds how long a stopping agent waits for the outcome of an order.
	orderOutcomeTimeout = 2 * time.Second
)

// reconcileLoop repeatedly brings the server toward the newest announced version.
func (a *Agent) reconcileLoop(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		a.reconcile(ctx)
		select {
		case <-ticker.C:
		case <-a.wakeup:
		case <-ctx.Done():
			return
		}
	}
}

// reconcile makes one decision from the present state.
func (a *Agent) reconcile(ctx context.Context) {
	engine, model := a.engine()
	if engine == nil {
		return
	}
	wanted := uint64(0)
	if newest, named := a.daemon.Catalog.View().Newest(model); named {
		wanted = newest.Version
	}
	a.mutex.Lock()
	report, reachable := a.report, a.reachable
	a.mutex.Unlock()
	if a.dropSuspectWeights(ctx, engine, report, reachable) {
		return
	}
	serving := servedVersion(report, model, engine.Layers)
	current := a.ensureCurrent(ctx, engine, model, wanted, serving)
	wanted = max(wanted, current.version())
	a.reviewOlder(ctx, current, engine, serving)
	next, complete := a.switchTarget(current, serving, engine.Warm)
	if reachable && !complete && !report.Busy && a.deadlineNear(model, serving) {
		a.retireOldVersion(ctx, current, engine, serving)
		return
	}
	if !complete && reachable {
		a.startFallback(ctx, current, engine, serving)
	}
	switchAt := a.planSwitch(model, engine, serving, wanted, next != current)
	due := !time.Now().Before(switchAt.Add(-turnover.MinNotice))
	if !reachable || report.Busy || !complete || serving >= wanted || !due {
		a.withdrawAnnouncement()
		return
	}
	if !a.stageBuffered(ctx, next) {
		return
	}
	if serving != 0 && !a.deadlineNear(model, serving) && !a.announceSwitch(report.Waiting) {
		return
	}
	a.switchTo(ctx, next, serving)
}

// announceSwitch announces to the entries that the server is about to switch, and reports whether
// the order may be sent.
func (a *Agent) announceSwitch(waiting int) bool {
	a.mutex.Lock()
	first := !a.switchAnnouncement.Active()
	ready := a.switchAnnouncement.Ready(time.Now(), waiting)
	a.mutex.Unlock()
	if first {
		a.pushStatus()
	}
	return ready
}

// withdrawAnnouncement clears the announcement of a switch, which is off or done.
func (a *Agent) withdrawAnnouncement() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.switchAnnouncement.Withdraw()
}

// ensureCurrent returns the transfer of the wanted version and starts it if necessary. A complete
// version that it replaces stays staged as the fallback, and an incomplete one continues in memory
// while that is worthwhile. Any other transfer is canceled; pieces that both versions share stay at
// the server.
func (a *Agent) ensureCurrent(ctx context.Context, engine *fleet.Engine, model string, wanted, serving uint64) *transfer {
	if replaced := a.completeSuperseded(model, wanted); replaced != nil {
		a.stageBuffered(ctx, replaced)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.current != nil && a.current.model == model && (a.current.version() == wanted || wanted == 0) {
		return a.current
	}
	a.replaceCurrent(engine, model, wanted, serving)
	transferContext, cancel := context.WithCancel(ctx)
	a.current = newTransfer(a, model, wanted, false, cancel)
	a.current.earlyOffers = a.early.take(model, wanted)
	if a.fallback != nil {
		a.current.buffer.open()
	}
	a.current.originManifestOnly = wanted != 0 && wanted == a.rejectedVersion
	a.log.Log(logging.RolloutDetected, zap.String("model", model), zap.Uint64("version", wanted))
	go a.current.run(transferContext)
	return a.current
}

// completeSuperseded returns the current transfer if it is complete and another version is wanted.
func (a *Agent) completeSuperseded(model string, wanted uint64) *transfer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.current == nil || a.current.model != model || wanted == 0 || a.current.version() == wanted {
		return nil
	}
	if complete, _ := a.current.state(); !complete {
		return nil
	}
	return a.current
}

// replaceCurrent makes the current version the fallback if it is complete and staged, keeps its
// transfer running if that is worthwhile, and cancels it otherwise. The caller holds the mutex.
func (a *Agent) replaceCurrent(engine *fleet.Engine, model string, wanted, serving uint64) {
	replaced := a.current
	if replaced == nil {
		return
	}
	complete, missing := replaced.state()
	if complete && replaced.model == model && !replaced.buffer.isOpen() && a.fitsBuffer(engine, 1) {
		a.dropFallback()
		a.fallback = replaced
		replaced.peersOnly.Store(true)
		return
	}
	if replaced.model == model && a.shouldComplete(replaced, engine, serving) {
		a.dropOlder()
		a.older = replaced
		a.log.Log(logging.OlderTransferKept, zap.String("model", model), zap.Uint64("version", replaced.version()), zap.Int("missing", missing),
			zap.Uint64("wanted", wanted))
		return
	}
	a.log.Log(logging.RolloutReplaced, zap.String("model", model), zap.Uint64("version", replaced.version()), zap.Int("missing", missing),
		zap.Uint64("wanted", wanted))
	replaced.cancel()
}

// servedVersion returns the version that a server holds completely, or 0.
func servedVersion(report fleet.Report, model string, layers int) uint64 {
	for _, held := range report.Models {
		if held.Name == model && held.Complete(layers) {
			return held.Version
		}
	}
	return 0
}

// planSwitch computes when the server switches: at once if it serves nothing, otherwise at its
// offset from the announcement of the first version that it lacks. A switch to a fallback is
// planned late, because the newest version may complete first.
func (a *Agent) planSwitch(model string, engine *fleet.Engine, serving, wanted uint64, toFallback bool) time.Time {
	var switchAt time.Time
	announcement, lacking := a.daemon.Catalog.View().FirstAfter(model, serving)
	if lacking && serving != 0 && serving < wanted {
		settings := a.daemon.Settings()
		window := a.switchWindow(engine, settings)
		if toFallback {
			window.Start = max(window.Start, window.End-fallbackWindow)
		}
		self := turnover.Member{ID: settings.IP, Zone: settings.Zone}
		offset := turnover.SwitchOffsetWithEvacuation(model+"/"+itoa(int(wanted)), a.members(), self, a.daemon.Catalog.View().Evacuated, window)
		switchAt = announcement.Since.Add(offset)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.switchAt = switchAt
	return switchAt
}

// switchWindow returns the window in which the servers switch: from when one copy has surely
// arrived until shortly before the version's deadline.
func (a *Agent) switchWindow(engine *fleet.Engine, settings fleet.Settings) turnover.Window {
	copyTime := engine.CopyTime(settings.LinkBytesPerSecond)
	end := settings.Bounds.VersionApply - lastSwitchMargin
	return turnover.Window{Start: min(time.Duration(copyTimeFactor*float64(copyTime)), end), End: end}
}

// switchTo verifies the staged pieces and orders the version into service. The staging lock keeps
// other pieces from being staged meanwhile.
func (a *Agent) switchTo(ctx context.Context, current *transfer, serving uint64) {
	a.staging.Lock()
	defer a.staging.Unlock()
	if a.findTransfer(current.model, current.version()) != current || ctx.Err() != nil {
		return
	}
	verified, usable := a.verifyForOrder(ctx, current, current.allPieces())
	if !usable {
		return
	}
	a.orderUnlessBusy(ctx, fleet.StartOrder{Model: current.model, Version: current.version()}, serving, verified)
}

// orderUnlessBusy sends an order with the number of orders that the server has taken, and reports whether it could be
// sent: the server answers and executes none. The caller holds the staging lock for writing.
func (a *Agent) orderUnlessBusy(ctx context.Context, order fleet.StartOrder, serving uint64, verified verification) bool {
	fresh, err := a.server.Report(ctx)
	if err != nil || fresh.Busy {
		return false
	}
	order.Sequence = fresh.Sequence
	a.sendOrder(ctx, order, serving, verified)
	return true
}

// sendOrder sends the server an order whose pieces were just verified, and determines its outcome. If the agent has
// stood still since they were read, it sends nothing, and they are verified again with the next reconciliation.
// The caller holds the staging lock for writing.
func (a *Agent) sendOrder(ctx context.Context, order fleet.StartOrder, serving uint64, verified verification) {
	a.setOrdering(true)
	defer a.setOrdering(false)
	outcome, err := a.server.Start(ctx, order, func() error { return a.releaseOrder(order, serving, verified) })
	switch {
	case errors.Is(err, errVerificationTooOld):
		a.metrics.orders.WithLabelValues(outcomeWithheld).Inc()
		a.log.Log(logging.OrderWithheld, zap.String("model", order.Model), zap.Uint64("version", order.Version), zap.Duration("verified_in", a.age(verified)))
		return
	case err != nil:
		a.metrics.orders.WithLabelValues(outcomeUnanswered).Inc()
		a.log.Log(logging.OrderUnanswered, zap.Uint64("version", order.Version), zap.Error(err))
		if a.awaitOrderOutcome(ctx, order) {
			a.reviewOrder(ctx, order, serving, verified)
		}
	case outcome == fleet.OrderConflict:
		a.metrics.orders.WithLabelValues(outcomeRefused).Inc()
		a.log.Log(logging.OrderRefused, zap.Uint64("version", order.Version), zap.Uint64("sequence", order.Sequence))
		waiting.For(ctx, orderRetryDelay)
	default:
		a.metrics.orders.WithLabelValues(outcomeTaken).Inc()
		a.log.Log(logging.OrderAccepted, zap.Uint64("version", order.Version), zap.Bool("holds_already", outcome == fleet.OrderAlreadyHeld))
		a.reviewOrder(ctx, order, serving, verified)
	}
	a.readReport(ctx)
}

// releaseOrder is asked when the server is connected, right before the order is written: it logs the order and returns
// errVerificationTooOld if the agent has stood still since the pieces were read. Nothing follows its last look at the clock.
func (a *Agent) releaseOrder(order fleet.StartOrder, serving uint64, verified verification) error {
	if err := a.checkFresh(verified); err != nil {
		return err
	}
	a.log.Log(logging.OrderSent, zap.String("model", order.Model), zap.Uint64("version", order.Version), zap.Uint64("serving", serving),
		zap.Uint64("sequence", order.Sequence), zap.Int("from_layer", order.FromLayer), zap.Int("to_layer", order.ToLayer), zap.Duration("verified_in", a.age(verified)))
	return a.checkFresh(verified)
}

// awaitOrderOutcome waits until the server answers again after an unanswered order, so that the
// outcome is known before anything else is staged: a server that was silent may still execute the
// order, also shortly after it has answered something else. One whose machine refuses connections has ended and won't.
// It reports whether the order was taken.
func (a *Agent) awaitOrderOutcome(ctx context.Context, order fleet.StartOrder) bool {
	var answeredAt time.Time
	for ctx.Err() == nil {
		report, err := a.server.Report(ctx)
		taken := err == nil && report.Sequence > order.Sequence
		if taken || (err == nil && !answeredAt.IsZero() && time.Since(answeredAt) >= orderSettleTime) {
			a.log.Log(logging.OrderResolved, zap.Uint64("version", order.Version), zap.Bool("taken", taken))
			return taken
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return false
		}
		if err == nil && answeredAt.IsZero() {
			answeredAt = time.Now()
		}
		waiting.For(ctx, reconcileInterval)
	}
	return false
}

// finishOrder cancels the agent's work when no order is in flight, or its outcome was awaited for
// orderOutcomeTimeout.
func (a *Agent) finishOrder(cancel context.CancelFunc) {
	timer := time.AfterFunc(orderOutcomeTimeout, cancel)
	defer timer.Stop()
	a.staging.Lock()
	defer a.staging.Unlock()
	cancel()
}

func (a *Agent) setOrdering(ordering bool) {
	a.mutex.Lock()
	a.ordering = ordering
	a.mutex.Unlock()
	if ordering {
		a.pushStatus()
	}
}
