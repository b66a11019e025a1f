package rollout

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/coordination/placement"
	"pinevane.example/pinevane/coordination/turnover"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// fitsBuffer reports whether a number of versions fits into the memory reserved for buffering.
func (a *Agent) fitsBuffer(engine *fleet.Engine, versions int64) bool {
	size := versions * int64(engine.Pieces) * int64(engine.PieceBytes)
	return size > 0 && float64(size) <= bufferFraction*float64(a.daemon.Settings().MemoryBytes)
}

// inForceRemaining returns how long a version may still begin requests, or false if no newer
// version is announced.
func (a *Agent) inForceRemaining(model string, version uint64) (time.Duration, bool) {
	announcement, superseded := a.daemon.Catalog.View().FirstAfter(model, version)
	if !superseded {
		return 0, false
	}
	return time.Until(announcement.Since.Add(a.daemon.Settings().Bounds.VersionApply)), true
}

// newestServedBefore returns the newest version below before that listed servers serve.
func (a *Agent) newestServedBefore(model string, before uint64) (uint64, bool) {
	older := uint64(0)
	for _, server := range a.daemon.Catalog.View().Servers[a.daemon.Settings().Service] {
		for _, held := range server.Models {
			if held.Name == model && held.Version < before {
				older = max(older, held.Version)
			}
		}
	}
	return older, older != 0
}

// listedHolders picks a few machines whose servers are listed with a version, machines of the own
// zone first. The choice changes every holderQueryInterval.
func (a *Agent) listedHolders(version uint64, count int) []dissemination.MachineID {
	near, far := a.splitByZone(a.otherMembers(func(server fleet.Server) bool {
		return slices.ContainsFunc(server.Models, func(held fleet.HeldModel) bool { return held.Version == version })
	}))
	key := "holders/" + string(a.self) + "/" + itoa(int(time.Since(a.started)/holderQueryInterval))
	picked := placement.Top(key, near, count)
	picked = append(picked, placement.Top(key, far, count-len(picked))...)
	return machineIDs(picked)
}

// holderQueryInterval is how often an incomplete fallback queries machines for their pieces.
const holderQueryInterval = 500 * time.Millisecond

// queryHolders queries machines for their pieces when a fallback lacks sources.
func (t *transfer) queryHolders(ctx context.Context, manifest fleet.Manifest) {
	held, due := t.holderQueryDue()
	if !due {
		return
	}
	holders := t.queryInventories(ctx, manifest, held, t.agent.listedHolders(t.version(), inventoriesPerZone))
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.addHolders(holders)
}

// holderQueryDue reports whether a fallback should query for holders now, and which pieces it
// holds.
func (t *transfer) holderQueryDue() (held []bool, due bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.peersOnly.Load() || t.now()-t.holdersQueriedAt < holderQueryInterval || t.fetcher.Unsourced() == 0 {
		return nil, false
	}
	t.holdersQueriedAt = t.now()
	return t.heldMask(), true
}

// progress returns the state of the transfer as turnover evaluates it.
func (t *transfer) progress(engine *fleet.Engine) turnover.Transfer {
	linkRate := t.agent.daemon.Settings().LinkBytesPerSecond
	originRate := t.agent.daemon.Catalog.View().Configuration.OriginRate()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	progress := turnover.Transfer{
		Pieces: engine.Pieces, Missing: engine.Pieces, Unsourced: engine.Pieces, SinceProgress: t.now(),
		CopyTime: engine.CopyTime(linkRate), OriginTime: engine.CopyTime(originRate),
	}
	if t.fetcher != nil {
		progress.Missing, progress.Unsourced = t.fetcher.Missing(), t.fetcher.Unsourced()
		progress.SinceProgress = t.now() - t.fetcher.LastProgress()
	}
	return progress
}

// startFallback starts to fetch an older version for a server that serves nothing, if package
// turnover finds that worthwhile.
func (a *Agent) startFallback(ctx context.Context, current *transfer, engine *fleet.Engine, serving uint64) {
	a.mutex.Lock()
	exists := a.fallback != nil
	a.mutex.Unlock()
	if exists || serving != 0 || !a.fitsBuffer(engine, 1) {
		return
	}
	version, listed := a.newestServedBefore(current.model, current.version())
	if !listed {
		return
	}
	inForce, bounded := a.inForceRemaining(current.model, version)
	progress := current.progress(engine)
	if !bounded || !turnover.ShouldFetchOlder(progress, inForce, engine.Warm) {
		return
	}
	a.log.Log(logging.FallbackStarted, zap.String("model", current.model), zap.Uint64("version", version), zap.Uint64("newest", current.version()),
		zap.Int("missing", progress.Missing), zap.Duration("quiet", progress.SinceProgress), zap.Duration("in_force", inForce))
	a.staging.Lock()
	current.bufferStaged(ctx)
	a.staging.Unlock()
	transferContext, cancel := context.WithCancel(ctx)
	fallback := newTransfer(a, current.model, version, true, cancel)
	a.mutex.Lock()
	a.fallback = fallback
	a.mutex.Unlock()
	go fallback.run(transferContext)
}

// shouldComplete reports whether an incomplete transfer continues although a newer version was
// announced. The staged version stays at the server: it may be in force, and a server that crashes
// needs it.
func (a *Agent) shouldComplete(older *transfer, engine *fleet.Engine, serving uint64) bool {
	if !older.buffer.isOpen() || !a.fitsBuffer(engine, 2) {
		return false
	}
	nothing := turnover.Transfer{Pieces: engine.Pieces, Missing: engine.Pieces, Unsourced: engine.Pieces}
	return a.shouldKeepOlder(nothing, older, engine, serving)
}

// reviewOlder promotes an older version, whose transfer continued past the announcement of a newer
// one, to the fallback once it is complete, or cancels its transfer when it is no longer
// worthwhile.
func (a *Agent) reviewOlder(ctx context.Context, current *transfer, engine *fleet.Engine, serving uint64) {
	a.mutex.Lock()
	older := a.older
	a.mutex.Unlock()
	if older == nil {
		return
	}
	complete, missing := older.state()
	// The newest version is staged if part of it was ordered to retire the served version.
	displaced := older.model != current.model || !current.buffer.isOpen()
	if complete && !displaced && a.stageBuffered(ctx, older) {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		older.peersOnly.Store(true)
		a.older, a.fallback = nil, older
		return
	}
	if !displaced && a.shouldKeepOlder(current.progress(engine), older, engine, serving) {
		return
	}
	a.log.Log(logging.RolloutReplaced, zap.String("model", older.model), zap.Uint64("version", older.version()), zap.Int("missing", missing),
		zap.Uint64("wanted", current.version()))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.dropOlder()
}

// shouldKeepOlder reports whether the transfer of an incomplete older version is still worthwhile.
func (a *Agent) shouldKeepOlder(newest turnover.Transfer, older *transfer, engine *fleet.Engine, serving uint64) bool {
	inForce, bounded := a.inForceRemaining(older.model, older.version())
	if !bounded || !older.hasStarted() || older.version() <= serving {
		return false
	}
	lastSwitch := time.Duration(0)
	if serving != 0 {
		remaining, _ := a.inForceRemaining(older.model, serving)
		lastSwitch = remaining - lastSwitchMargin
	}
	return turnover.ShouldKeepOlder(newest, older.progress(engine), inForce, engine.Warm, lastSwitch)
}

// dropOlder cancels the transfer of a superseded incomplete version. The caller holds the mutex.
func (a *Agent) dropOlder() {
	if a.older != nil {
		a.older.cancel()
		a.older = nil
	}
}

// dropFallback cancels the transfer of the fallback version. The caller holds the mutex.
func (a *Agent) dropFallback() {
	if a.fallback != nil {
		a.fallback.cancel()
		a.fallback = nil
	}
}

// stageBuffered stages a buffered version in place of the fallback, and reports whether all its
// pieces held are staged.
func (a *Agent) stageBuffered(ctx context.Context, t *transfer) bool {
	if !t.buffer.isOpen() {
		return true
	}
	a.mutex.Lock()
	overwritten := a.fallback
	a.dropFallback()
	a.mutex.Unlock()
	a.staging.Lock()
	defer a.staging.Unlock()
	a.savePreviousLayer(ctx, overwritten)
	if err := t.flushBuffer(ctx); err != nil {
		a.log.Log(logging.StagingFailed, zap.Uint64("version", t.version()), zap.Error(err))
		return false
	}
	return true
}

// switchTarget picks the version to switch to: the newest once it is complete, otherwise the
// fallback while it is in force. It also reports whether that version can be switched to.
func (a *Agent) switchTarget(current *transfer, serving uint64, warm time.Duration) (*transfer, bool) {
	if complete, _ := current.state(); complete {
		return current, true
	}
	a.mutex.Lock()
	fallback := a.fallback
	a.mutex.Unlock()
	if fallback == nil || fallback.version() <= serving {
		return current, false
	}
	complete, _ := fallback.state()
	inForce, bounded := a.inForceRemaining(fallback.model, fallback.version())
	return fallback, complete && (!bounded || inForce > warm+lastSwitchMargin)
}
