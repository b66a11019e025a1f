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

// bufferable reports whether some versions fit into the part of the memory that is for them.
func (a *Agent) bufferable(engine *fleet.Engine, versions int64) bool {
	size := versions * int64(engine.Pieces) * int64(engine.PieceBytes)
	return size > 0 && float64(size) <= bufferShare*float64(a.daemon.Settings().MemoryBytes)
}

// inForceFor is how long a version may still begin requests; false without an end in sight.
func (a *Agent) inForceFor(model string, version uint64) (time.Duration, bool) {
	notice, superseded := a.daemon.Catalog.View().FirstAfter(model, version)
	if !superseded {
		return 0, false
	}
	return time.Until(notice.Since.Add(a.daemon.Settings().Bounds.VersionApply)), true
}

// olderInForce is the newest version before one that listed servers serve.
func (a *Agent) olderInForce(model string, before uint64) (uint64, bool) {
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

// holdersOf picks a few machines whose servers are listed with a version, near ones first,
// others at each time of asking.
func (a *Agent) holdersOf(version uint64, count int) []dissemination.MachineID {
	near, far := a.nearAndFar(a.otherMembers(func(server fleet.Server) bool {
		return slices.ContainsFunc(server.Models, func(held fleet.HeldModel) bool { return held.Version == version })
	}))
	key := "holders/" + string(a.self) + "/" + itoa(int(time.Since(a.started)/holdersPeriod))
	picked := placement.Top(key, near, count)
	picked = append(picked, placement.Top(key, far, count-len(picked))...)
	return machineIDs(picked)
}

// holdersPeriod is how often a fallback asks machines what they hold, as long as it does not
// have everything.
const holdersPeriod = 500 * time.Millisecond

// lookForHolders asks machines what they hold of a fallback that gets nothing any more.
func (t *transfer) lookForHolders(ctx context.Context, manifest fleet.Manifest) {
	held, lacks := t.lackingHolders()
	if !lacks {
		return
	}
	holders := t.askInventories(ctx, manifest, held, t.agent.holdersOf(t.version(), inventoriesPerZone))
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.takeHolders(holders)
}

// lackingHolders reports whether a fallback is to ask for holders now, and what it has.
func (t *transfer) lackingHolders() (held []bool, lacks bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.peersOnly.Load() || t.now()-t.askedAt < holdersPeriod || t.fetcher.Unsourced() == 0 {
		return nil, false
	}
	t.askedAt = t.now()
	return t.heldMask(), true
}

// progress tells how far the transfer is.
func (t *transfer) progress(engine *fleet.Engine) turnover.Transfer {
	linkRate := t.agent.daemon.Settings().LinkBytesPerSecond
	originRate := t.agent.daemon.Catalog.View().Configuration.OriginRate()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	progress := turnover.Transfer{
		Pieces: engine.Pieces, Missing: engine.Pieces, Unsourced: engine.Pieces, Quiet: t.now(),
		CopyTime: engine.CopyTime(linkRate), OriginTime: engine.CopyTime(originRate),
	}
	if t.fetcher != nil {
		progress.Missing, progress.Unsourced = t.fetcher.Missing(), t.fetcher.Unsourced()
		progress.Quiet = t.now() - t.fetcher.LastProgress()
	}
	return progress
}

// planFallback begins to fetch an older version for a server that serves nothing, when it is
// worth while: see turnover.TakesOlder.
func (a *Agent) planFallback(ctx context.Context, current *transfer, engine *fleet.Engine, serving uint64) {
	a.mutex.Lock()
	exists := a.fallback != nil
	a.mutex.Unlock()
	if exists || serving != 0 || !a.bufferable(engine, 1) {
		return
	}
	version, listed := a.olderInForce(current.model, current.version())
	if !listed {
		return
	}
	inForce, bounded := a.inForceFor(current.model, version)
	progress := current.progress(engine)
	if !bounded || !turnover.TakesOlder(progress, inForce, engine.Warm) {
		return
	}
	a.log.Log(logging.FallbackStarted, zap.String("model", current.model), zap.Uint64("version", version), zap.Uint64("newest", current.version()),
		zap.Int("missing", progress.Missing), zap.Duration("quiet", progress.Quiet), zap.Duration("in_force", inForce))
	a.staging.Lock()
	current.takeUp(ctx)
	a.staging.Unlock()
	transferContext, cancel := context.WithCancel(ctx)
	fallback := newTransfer(a, current.model, version, true, cancel)
	a.mutex.Lock()
	a.fallback = fallback
	a.mutex.Unlock()
	go fallback.run(transferContext)
}

// worthCompleting decides whether a transfer goes on for which a newer version has just been named.
// What lies at the server stays there: it may be in force, and a server that crashes needs it.
func (a *Agent) worthCompleting(older *transfer, engine *fleet.Engine, serving uint64) bool {
	if !older.buffer.opened() || !a.bufferable(engine, 2) {
		return false
	}
	nothing := turnover.Transfer{Pieces: engine.Pieces, Missing: engine.Pieces, Unsourced: engine.Pieces}
	return a.keepsOlder(nothing, older, engine, serving)
}

// reviewOlder makes a version that was on its way when a newer one was named the fallback once it
// is here whole, and ends its transfer when that is not worth while any more.
func (a *Agent) reviewOlder(ctx context.Context, current *transfer, engine *fleet.Engine, serving uint64) {
	a.mutex.Lock()
	older := a.older
	a.mutex.Unlock()
	if older == nil {
		return
	}
	complete, missing := older.state()
	// The newest lies at the server once a part of it has ended the version that was served.
	displaced := older.model != current.model || !current.buffer.opened()
	if complete && !displaced && a.layDown(ctx, older) {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		older.peersOnly.Store(true)
		a.older, a.fallback = nil, older
		return
	}
	if !displaced && a.keepsOlder(current.progress(engine), older, engine, serving) {
		return
	}
	a.log.Log(logging.RolloutReplaced, zap.String("model", older.model), zap.Uint64("version", older.version()), zap.Int("missing", missing),
		zap.Uint64("wanted", current.version()))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.dropOlder()
}

// keepsOlder asks turnover.KeepsOlder about an older version that is not here whole.
func (a *Agent) keepsOlder(newest turnover.Transfer, older *transfer, engine *fleet.Engine, serving uint64) bool {
	inForce, bounded := a.inForceFor(older.model, older.version())
	if !bounded || !older.hasBegun() || older.version() <= serving {
		return false
	}
	lastTurn := time.Duration(0)
	if serving != 0 {
		left, _ := a.inForceFor(older.model, serving)
		lastTurn = left - dueMargin
	}
	return turnover.KeepsOlder(newest, older.progress(engine), inForce, engine.Warm, lastTurn)
}

// dropOlder ends the transfer that a newer version has replaced; the mutex is held.
func (a *Agent) dropOlder() {
	if a.older != nil {
		a.older.cancel()
		a.older = nil
	}
}

// dropFallback ends the transfer of the older version; the mutex is held.
func (a *Agent) dropFallback() {
	if a.fallback != nil {
		a.fallback.cancel()
		a.fallback = nil
	}
}

// layDown stages a version that was kept in memory in the place of the older one, and reports
// whether it lies at the server whole.
func (a *Agent) layDown(ctx context.Context, t *transfer) bool {
	if !t.buffer.opened() {
		return true
	}
	a.mutex.Lock()
	overwritten := a.fallback
	a.dropFallback()
	a.mutex.Unlock()
	a.staging.Lock()
	defer a.staging.Unlock()
	a.keepEndingLayer(ctx, overwritten)
	if err := t.layDown(ctx); err != nil {
		a.log.Log(logging.StagingFailed, zap.Uint64("version", t.version()), zap.Error(err))
		return false
	}
	return true
}

// nextInService picks what the server is to change over to: the newest version once it is
// here whole, else the older one as long as that is in force.
func (a *Agent) nextInService(current *transfer, serving uint64, warm time.Duration) (*transfer, bool) {
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
	inForce, bounded := a.inForceFor(fallback.model, fallback.version())
	return fallback, complete && (!bounded || inForce > warm+dueMargin)
}
