package rollout

import (
	"context"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// Times of watching the server.
const (
	// reportPeriod is the pace at which the own server is asked.
	reportPeriod = 75 * time.Millisecond
	// missesUnreachable is how many questions in a row must fail until the server
	// counts as unreachable.
	missesUnreachable = 2
	reportTimeout     = 250 * time.Millisecond
	// statusPeriod is the longest time between two words to entries, which make a link anew on
	// which none comes for a little longer. A question that is a little early counts as due.
	statusPeriod = 300*time.Millisecond - reportPeriod/4
	// probePeriod is how often the way to an entry and back is measured.
	probePeriod = 150 * time.Millisecond
	// linkStep is the change of that time, in milliseconds, which entries are told of.
	linkStep = 100
)

// watchServer asks the own server how it does, and tells the entries.
func (a *Agent) watchServer(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	var last fleet.MachineStatus
	var lastAt, lastToAllAt time.Time
	for {
		a.readReport(ctx)
		now := time.Now()
		status := a.status(now)
		switch {
		case now.Sub(lastToAllAt) >= statusPeriod || !sameState(status, last):
			a.send(status, toAll)
			last, lastAt, lastToAllAt = status, now, now
		case !sameStatus(status, last) || now.Sub(lastAt) >= statusPeriod:
			a.send(status, toMain)
			last, lastAt = status, now
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sameStatus compares all that an entry would act on.
func sameStatus(a, b fleet.MachineStatus) bool {
	a.SwitchMilliseconds, b.SwitchMilliseconds = min(a.SwitchMilliseconds, 1), min(b.SwitchMilliseconds, 1)
	a.Missing, b.Missing = 0, 0
	a.CacheUsed, b.CacheUsed = 0, 0
	a.ColdMilliseconds, b.ColdMilliseconds = min(a.ColdMilliseconds, 1), min(b.ColdMilliseconds, 1)
	a.Received, b.Received = 0, 0
	a.LinkMilliseconds, b.LinkMilliseconds = a.LinkMilliseconds/linkStep, b.LinkMilliseconds/linkStep
	return a == b
}

// sameState compares what decides whether the server may be chosen at all.
func sameState(a, b fleet.MachineStatus) bool {
	return a.Reachable == b.Reachable && a.Version == b.Version && (a.SwitchMilliseconds == 0) == (b.SwitchMilliseconds == 0) &&
		(a.ColdMilliseconds > 0) == (b.ColdMilliseconds > 0)
}

func (a *Agent) readReport(ctx context.Context) {
	timed, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := a.server.Report(timed)
	if ctx.Err() != nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err != nil {
		a.misses++
		if a.misses >= missesUnreachable && a.reachable {
			a.reachable = false
			a.log.Log(logging.EngineUnreachable, zap.Error(err))
		}
		return
	}
	if a.report.Born.Differs(report.Born) {
		a.serverRestarted(ctx, report)
	}
	if !a.reachable {
		a.log.Log(logging.EngineReachable, zap.Int("models", len(report.Models)), zap.Uint64("sequence", report.Sequence))
		a.wake()
	}
	a.logVersion(report)
	a.misses, a.reachable = 0, true
	a.report, a.reportAt = report, time.Now()
}

// logVersion logs a version that has come into service; the mutex is held.
func (a *Agent) logVersion(report fleet.Report) {
	if len(report.Models) == 0 || report.Busy {
		// A server that takes an order does not tell its layers.
		return
	}
	if len(a.report.Models) == 0 || a.report.Models[0] != report.Models[0] {
		held := report.Models[0]
		a.log.Log(logging.VersionLive, zap.String("model", held.Name), zap.Uint64("version", held.Version),
			zap.Int("from_layer", held.FromLayer), zap.Int("to_layer", held.ToLayer))
	}
}

// status describes the machine as entries are told.
func (a *Agent) status(now time.Time) fleet.MachineStatus {
	engine, model := a.engine()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	status := fleet.MachineStatus{
		Address: a.daemon.Settings().ServerAddress, Reachable: a.reachable, Model: model,
		Running: a.report.Running, Waiting: a.report.Waiting, CacheUsed: a.report.CacheUsed, CacheTotal: a.report.CacheTotal,
		Pace: a.report.Pace, SwitchMilliseconds: fleet.NoSwitch,
		LinkMilliseconds: a.roundTrips.Min(now.Sub(a.started)).Milliseconds(),
		ColdMilliseconds: a.cold.left(now).Milliseconds(), Received: a.cold.received.Count(now.Sub(a.started)), Born: a.report.Born,
	}
	if engine != nil {
		status.Version = servedVersion(a.report, model, engine.Layers)
	}
	if a.current != nil {
		status.Wanted = a.current.version()
		_, status.Missing = a.current.state()
		if engine != nil && !a.current.hasBegun() {
			// Nothing is known to be here: entries tell callers when the server may be ready.
			status.Missing = engine.Pieces
		}
	}
	switch {
	case a.ordering || a.report.Busy || a.announcement.Given():
		status.SwitchMilliseconds = 0
	case !a.switchAt.IsZero() && status.Version != 0 && status.Version < status.Wanted:
		// While pieces are missing the turn can't come before they are there.
		status.SwitchMilliseconds = max(0, a.switchAt.Sub(now).Milliseconds())
		if status.Missing > 0 {
			status.SwitchMilliseconds = max(status.SwitchMilliseconds, missingSwitch.Milliseconds())
		}
	}
	return status
}

// missingSwitch is the least time to a switch whose pieces are not all there.
const missingSwitch = 500 * time.Millisecond

// pushStatus tells the entries at once.
func (a *Agent) pushStatus() { a.send(a.status(time.Now()), toAll) }

// recipients is which entries are told.
type recipients int

// The recipients: every entry that has a link to this agent, or only those of which no
// other one passes the words on. A change of load need not be told to a backup.
const (
	toAll recipients = iota + 1
	toMain
)

// greet tells an entry that has just made a link: it may have heard nothing for a while. An agent
// that does not know its server's model yet has nothing to say of it that an entry may act on.
func (a *Agent) greet(link *peering.Link) {
	if engine, _ := a.engine(); engine == nil || link.Remote().Role != catalog.RoleEntry {
		return
	}
	status := a.status(time.Now())
	status.Probe = a.probe(link.Remote().ID)
	go func() { _ = peering.Send(link, fleet.TopicMachineStatus, "", status) }()
}

// send tells entries that speak with this agent, and probes the way to them.
func (a *Agent) send(status fleet.MachineStatus, to recipients) {
	linked := map[string]bool{}
	for _, link := range a.daemon.Hub.Accepted() {
		entry := link.Remote()
		if entry.Role != catalog.RoleEntry {
			continue
		}
		linked[entry.ID] = true
		if to == toMain && a.daemon.Catalog.IsBackup(entry.ID) {
			continue
		}
		probed := status
		probed.Probe = a.probe(entry.ID)
		probed.Stamp = a.daemon.Catalog.Stamp()
		go func() { _ = peering.Send(link, fleet.TopicMachineStatus, "", probed) }()
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.roundTrips.RetainOnly(linked)
}

func (a *Agent) probe(entry string) uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.roundTrips.NextProbe(entry, time.Since(a.started))
}

// handleEcho notes that a probe has come back.
func (a *Agent) handleEcho(link *peering.Link, received *message.Message) {
	echo, err := peering.Decode[fleet.StatusEcho](received)
	if err != nil {
		a.log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.roundTrips.RecordReply(link.Remote().ID, echo.Probe, time.Since(a.started))
}
