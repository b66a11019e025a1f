package rollout

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/turnover"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/waiting"
)

// Times of changing over.
const (
	keepPeriod = 100 * time.Millisecond
	// copySlack multiplies the time of one copy over the link to the time after
	// which turns begin.
	copySlack = 1.4
	// dueMargin is how long before the bound the last turn is. A server is away for 2 s in the
	// mean from its order on, 2.7 s at the most, until its longest stream is done; the bound
	// itself only needs the order. With 1.1 s the last server serves the new version 0.6 s
	// after the bound at full traffic, with 1.7 s 0.3 s after it, at the same worth; 2.2 s win
	// nothing more and have more servers away at a time.
	dueMargin = 1700 * time.Millisecond
	// fallbackWindow is the time before the bound in which servers change over to a version
	// that another has replaced already.
	fallbackWindow = 2 * time.Second
	// orderPause is the time after an order that did not fit.
	orderPause = 300 * time.Millisecond
	// orderSettle bounds the wait for the fate of an order without an answer.
	orderSettle = 2 * time.Second
)

// keep brings the server to the newest named version again and again.
func (a *Agent) keep(ctx context.Context) {
	ticker := time.NewTicker(keepPeriod)
	defer ticker.Stop()
	for {
		a.step(ctx)
		select {
		case <-ticker.C:
		case <-a.woken:
		case <-ctx.Done():
			return
		}
	}
}

// step makes one decision from all that is known now.
func (a *Agent) step(ctx context.Context) {
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
	serving := servedVersion(report, model, engine.Layers)
	current := a.follow(ctx, engine, model, wanted, serving)
	wanted = max(wanted, current.version())
	a.reviewOlder(ctx, current, engine, serving)
	next, complete := a.nextInService(current, serving, engine.Warm)
	if reachable && !complete && !report.Busy && a.boundNear(model, serving) {
		a.endOldVersion(ctx, current, engine, serving)
		return
	}
	if !complete && reachable {
		a.planFallback(ctx, current, engine, serving)
	}
	switchAt := a.planSwitch(model, engine, serving, wanted, next != current)
	due := !time.Now().Before(switchAt.Add(-turnover.NoticeTime))
	if !reachable || report.Busy || !complete || serving >= wanted || !due {
		a.withdraw()
		return
	}
	if !a.layDown(ctx, next) {
		return
	}
	if serving != 0 && !a.boundNear(model, serving) && !a.announce(report.Waiting) {
		return
	}
	a.changeOver(ctx, next, serving)
}

// announce tells entries that the server is about to change over, and reports
// whether the order may be given.
func (a *Agent) announce(waiting int) bool {
	a.mutex.Lock()
	first := !a.announcement.Given()
	ready := a.announcement.Ready(time.Now(), waiting)
	a.mutex.Unlock()
	if first {
		a.pushStatus()
	}
	return ready
}

// withdraw takes the announcement of a change-over back, or notes that it is done.
func (a *Agent) withdraw() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.announcement.Withdraw()
}

// follow makes the transfer of the wanted version the present one. One that is here whole
// stays staged as the fallback, and one that is not goes on in memory while that is worth while.
// Another is dropped, and what both share stays at the server.
func (a *Agent) follow(ctx context.Context, engine *fleet.Engine, model string, wanted, serving uint64) *transfer {
	if replaced := a.replacedBy(model, wanted); replaced != nil {
		a.layDown(ctx, replaced)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.current != nil && a.current.model == model && (a.current.version() == wanted || wanted == 0) {
		return a.current
	}
	a.replaceCurrent(engine, model, wanted, serving)
	transferContext, cancel := context.WithCancel(ctx)
	a.current = newTransfer(a, model, wanted, false, cancel)
	if a.fallback != nil {
		a.current.buffer.open()
	}
	a.current.distrustful = wanted != 0 && wanted == a.doubted
	a.log.Log(logging.RolloutDetected, zap.String("model", model), zap.Uint64("version", wanted))
	go a.current.run(transferContext)
	return a.current
}

// replacedBy returns the present transfer if it is whole and another version is wanted.
func (a *Agent) replacedBy(model string, wanted uint64) *transfer {
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

// replaceCurrent makes a whole version that lies at the server the fallback, lets one go on that is
// worth completing, and ends any other; the mutex is held.
func (a *Agent) replaceCurrent(engine *fleet.Engine, model string, wanted, serving uint64) {
	replaced := a.current
	if replaced == nil {
		return
	}
	complete, missing := replaced.state()
	if complete && replaced.model == model && !replaced.buffer.opened() && a.bufferable(engine, 1) {
		a.dropFallback()
		a.fallback = replaced
		replaced.peersOnly.Store(true)
		return
	}
	if replaced.model == model && a.worthCompleting(replaced, engine, serving) {
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

// servedVersion is the version that a server holds whole, or 0.
func servedVersion(report fleet.Report, model string, layers int) uint64 {
	for _, held := range report.Models {
		if held.Name == model && held.Holds(layers) {
			return held.Version
		}
	}
	return 0
}

// planSwitch computes when the server changes over: at once when it serves
// nothing, else in its turn, counted from the first version that it lacks. To a fallback it
// changes over late, because the newest version may come before.
func (a *Agent) planSwitch(model string, engine *fleet.Engine, serving, wanted uint64, toFallback bool) time.Time {
	var planned time.Time
	notice, lacking := a.daemon.Catalog.View().FirstAfter(model, serving)
	if lacking && serving != 0 && serving < wanted {
		settings := a.daemon.Settings()
		window := a.window(engine, settings)
		if toFallback {
			window.Start = max(window.Start, window.End-fallbackWindow)
		}
		self := turnover.Member{ID: settings.IP, Zone: settings.Zone}
		turn := turnover.TurnBesideEmptied(model+"/"+itoa(int(wanted)), a.members(), self, a.daemon.Catalog.View().Evacuated, window)
		planned = notice.Since.Add(turn)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.switchAt = planned
	return planned
}

// window is the time in which the servers change over: from when one copy has
// surely arrived until shortly before the bound.
func (a *Agent) window(engine *fleet.Engine, settings fleet.Settings) turnover.Window {
	copyTime := engine.CopyTime(settings.LinkBytesPerSecond)
	end := settings.Bounds.VersionApply - dueMargin
	return turnover.Window{Start: min(time.Duration(copySlack*float64(copyTime)), end), End: end}
}

// changeOver verifies what lies at the server and orders it into service. Nothing
// is laid down meanwhile.
func (a *Agent) changeOver(ctx context.Context, current *transfer, serving uint64) {
	a.staging.Lock()
	defer a.staging.Unlock()
	if a.transferOf(current.model, current.version()) != current || ctx.Err() != nil {
		return
	}
	began := time.Now()
	if bad := current.verifyAll(ctx); len(bad) > 0 {
		current.reportSpoilt(bad)
		return
	}
	fresh, err := a.server.Report(ctx)
	if err != nil || fresh.Busy {
		return
	}
	a.order(ctx, fleet.StartOrder{Model: current.model, Version: current.version(), Sequence: fresh.Sequence}, serving, time.Since(began))
}

// order gives the server an order whose pieces were just verified, and settles its fate. The
// staging lock is held for writing.
func (a *Agent) order(ctx context.Context, order fleet.StartOrder, serving uint64, verifiedIn time.Duration) {
	a.setOrdering(true)
	defer a.setOrdering(false)
	a.log.Log(logging.OrderSent, zap.String("model", order.Model), zap.Uint64("version", order.Version), zap.Uint64("serving", serving),
		zap.Uint64("sequence", order.Sequence), zap.Int("from_layer", order.FromLayer), zap.Int("to_layer", order.ToLayer), zap.Duration("verified_in", verifiedIn))
	outcome, err := a.server.Start(ctx, order)
	switch {
	case err != nil:
		a.metrics.orders.WithLabelValues(outcomeUnanswered).Inc()
		a.log.Log(logging.OrderUnanswered, zap.Uint64("version", order.Version), zap.Error(err))
		a.settle(ctx, order)
	case outcome == fleet.OrderConflict:
		a.metrics.orders.WithLabelValues(outcomeRefused).Inc()
		a.log.Log(logging.OrderRefused, zap.Uint64("version", order.Version), zap.Uint64("sequence", order.Sequence))
		waiting.For(ctx, orderPause)
	default:
		a.metrics.orders.WithLabelValues(outcomeTaken).Inc()
		a.log.Log(logging.OrderAccepted, zap.Uint64("version", order.Version), zap.Bool("holds_already", outcome == fleet.OrderHolds))
	}
	a.readReport(ctx)
}

// settle waits until the server answers again after an order without an answer,
// so that the order's fate shows before anything else is laid down.
func (a *Agent) settle(ctx context.Context, order fleet.StartOrder) {
	deadline := time.Now().Add(orderSettle)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		report, err := a.server.Report(ctx)
		if err == nil {
			a.log.Log(logging.OrderResolved, zap.Uint64("version", order.Version), zap.Bool("taken", report.Sequence > order.Sequence))
			return
		}
		waiting.For(ctx, keepPeriod)
	}
}

func (a *Agent) setOrdering(ordering bool) {
	a.mutex.Lock()
	a.ordering = ordering
	a.mutex.Unlock()
	if ordering {
		a.pushStatus()
	}
}
