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

// Intervals and limits of watching the server.
const (
	// reportInterval is how often the machine's own server is asked for a report.
	reportInterval = 75 * time.Millisecond
	// maxFailedReports is how many report requests in a row must fail before the server counts as
	// unreachable.
	maxFailedReports = 2
	reportTimeout    = 250 * time.Millisecond
	// statusInterval is the longest time between two status reports to entries. Entries reconnect a
	// link that stays silent for a little longer. Subtracting a quarter of reportInterval makes a
	// slightly early tick count as due.
	statusInterval = 300*time.Millisecond - reportInterval/4
	// probeInterval is how often the round trip to an entry is measured.
	probeInterval = 150 * time.Millisecond
	// linkRTTStep is the change of the round-trip time, in milliseconds, that is worth a report.
	linkRTTStep = 100
)

// watchServer polls the machine's own server and sends its status to the entries.
func (a *Agent) watchServer(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var last fleet.MachineStatus
	var lastAt, lastToAllAt time.Time
	for {
		a.readReport(ctx)
		now := time.Now()
		status := a.status(now)
		switch {
		case now.Sub(lastToAllAt) >= statusInterval || !sameAvailability(status, last):
			a.sendStatus(status, allEntries)
			last, lastAt, lastToAllAt = status, now, now
		case !equivalentStatus(status, last) || now.Sub(lastAt) >= statusInterval:
			a.sendStatus(status, primaryEntries)
			last, lastAt = status, now
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// equivalentStatus reports whether two statuses are alike in all that an entry acts on.
func equivalentStatus(a, b fleet.MachineStatus) bool {
	a.SwitchMilliseconds, b.SwitchMilliseconds = min(a.SwitchMilliseconds, 1), min(b.SwitchMilliseconds, 1)
	a.MissingPieces, b.MissingPieces = 0, 0
	a.CacheUsed, b.CacheUsed = 0, 0
	a.ColdMilliseconds, b.ColdMilliseconds = min(a.ColdMilliseconds, 1), min(b.ColdMilliseconds, 1)
	a.Received, b.Received = 0, 0
	a.LinkRTTMilliseconds, b.LinkRTTMilliseconds = a.LinkRTTMilliseconds/linkRTTStep, b.LinkRTTMilliseconds/linkRTTStep
	return a == b
}

// sameAvailability reports whether two statuses are alike in what decides if the server may be
// chosen at all.
func sameAvailability(a, b fleet.MachineStatus) bool {
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
		a.failedReports++
		if a.failedReports >= maxFailedReports && a.reachable {
			a.reachable = false
			a.log.Log(logging.EngineUnreachable, zap.Error(err))
		}
		return
	}
	if a.report.StartTime.Differs(report.StartTime) {
		a.handleServerRestart(ctx, report)
	}
	if !a.reachable {
		a.log.Log(logging.EngineReachable, zap.Int("models", len(report.Models)), zap.Uint64("sequence", report.Sequence))
		a.wake()
	}
	a.logVersion(report)
	a.failedReports, a.reachable = 0, true
	a.report, a.reportAt = report, time.Now()
}

// logVersion logs a version that has come into service. The caller holds the mutex.
func (a *Agent) logVersion(report fleet.Report) {
	if len(report.Models) == 0 || report.Busy {
		// A server that is executing an order does not report its layers.
		return
	}
	if len(a.report.Models) == 0 || a.report.Models[0] != report.Models[0] {
		held := report.Models[0]
		a.log.Log(logging.VersionLive, zap.String("model", held.Name), zap.Uint64("version", held.Version),
			zap.Int("from_layer", held.FromLayer), zap.Int("to_layer", held.ToLayer))
	}
}

// status returns the machine's status as it is sent to entries.
func (a *Agent) status(now time.Time) fleet.MachineStatus {
	engine, model := a.engine()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	status := fleet.MachineStatus{
		Address: a.daemon.Settings().ServerAddress, Reachable: a.reachable, Model: model,
		Running: a.report.Running, Waiting: a.report.Waiting, CacheUsed: a.report.CacheUsed, CacheTotal: a.report.CacheTotal,
		Pace: a.report.Pace, SwitchMilliseconds: fleet.NoSwitch,
		LinkRTTMilliseconds: a.roundTrips.Min(now.Sub(a.started)).Milliseconds(),
		ColdMilliseconds:    a.cold.remaining(now).Milliseconds(), Received: a.cold.received.Count(now.Sub(a.started)), StartTime: a.report.StartTime,
	}
	if engine != nil {
		status.Version = servedVersion(a.report, model, engine.Layers)
	}
	if a.suspect != nil {
		status.Version = 0
	}
	if a.current != nil {
		status.FetchingVersion = a.current.version()
		_, status.MissingPieces = a.current.state()
		if engine != nil && !a.current.hasStarted() {
			// No piece is known to be held. Entries derive from this when the server may be ready.
			status.MissingPieces = engine.Pieces
		}
	}
	switch {
	case a.ordering || a.suspect != nil || a.report.Busy || a.switchAnnouncement.Active():
		status.SwitchMilliseconds = 0
	case !a.switchAt.IsZero() && status.Version != 0 && status.Version < status.FetchingVersion:
		// The switch cannot happen before the missing pieces have arrived.
		status.SwitchMilliseconds = max(0, a.switchAt.Sub(now).Milliseconds())
		if status.MissingPieces > 0 {
			status.SwitchMilliseconds = max(status.SwitchMilliseconds, minIncompleteSwitchDelay.Milliseconds())
		}
	}
	return status
}

// minIncompleteSwitchDelay is the minimum time reported until a switch whose pieces are incomplete.
const minIncompleteSwitchDelay = 500 * time.Millisecond

// pushStatus sends the status to all entries at once.
func (a *Agent) pushStatus() { a.sendStatus(a.status(time.Now()), allEntries) }

// recipients selects the entries that a status is sent to.
type recipients int

// The recipients: every entry linked to this agent, or only those for which no other entry forwards
// its statuses. A change of load need not be sent to a backup.
const (
	allEntries recipients = iota + 1
	primaryEntries
)

// sendInitialStatus sends the status to an entry that has just connected, which may have received
// none for a while. An agent that does not know its server's model yet sends nothing.
func (a *Agent) sendInitialStatus(link *peering.Link) {
	if engine, _ := a.engine(); engine == nil || link.Remote().Role != catalog.RoleEntry {
		return
	}
	status := a.status(time.Now())
	status.Probe = a.nextProbe(link.Remote().ID)
	go func() { _ = peering.Send(link, fleet.TopicMachineStatus, "", status) }()
}

// sendStatus sends a status and a probe to the linked entries.
func (a *Agent) sendStatus(status fleet.MachineStatus, to recipients) {
	linked := map[string]bool{}
	for _, link := range a.daemon.Hub.Accepted() {
		entry := link.Remote()
		if entry.Role != catalog.RoleEntry {
			continue
		}
		linked[entry.ID] = true
		if to == primaryEntries && a.daemon.Catalog.IsBackup(entry.ID) {
			continue
		}
		probed := status
		probed.Probe = a.nextProbe(entry.ID)
		probed.Stamp = a.daemon.Catalog.Stamp()
		go func() { _ = peering.Send(link, fleet.TopicMachineStatus, "", probed) }()
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.roundTrips.RetainOnly(linked)
}

func (a *Agent) nextProbe(entry string) uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.roundTrips.NextProbe(entry, time.Since(a.started))
}

// handleEcho records a returned probe.
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
