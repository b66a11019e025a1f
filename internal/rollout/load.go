package rollout

import (
	"time"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/internal/fleet"
)

// CurrentLoad implements loadquery.Server. It returns the machine's status including the requests that
// were announced since the server's last report.
func (a *Agent) CurrentLoad() fleet.MachineStatus {
	now := time.Now()
	status := a.status(now)
	var figures balance.Server
	if engine, _ := a.engine(); engine != nil {
		figures = engine.Parameters()
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return addAnnounced(status, &a.announcedRequests, a.reportAt.Sub(a.started), now.Sub(a.started), figures)
}

// addAnnounced adds announced requests to a server's status. The requests that the report made at
// reportedAt cannot include yet count as waiting. The unread tokens are the prompt tokens of waiting
// and running requests that the server has yet to read.
func addAnnounced(status fleet.MachineStatus, announced *balance.Announcements, reportedAt, now time.Duration, figures balance.Server) fleet.MachineStatus {
	load := announced.Load(balance.Load{Running: status.Running, Waiting: status.Waiting}, reportedAt, now, figures.TypicalPrompt)
	unread := max(load.Unread, announced.UnreadTokens(now, figures, status.Running))
	status.Waiting, status.UnreadTokens = load.Waiting, int(unread)
	return status
}

// Announce implements loadquery.Server.
func (a *Agent) Announce(promptTokens int) {
	engine, _ := a.engine()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.recordAnnounced(engine, promptTokens, time.Since(a.started))
}

// recordAnnounced records an announced request. A prompt too large for the server counts as one of
// unknown size. The caller holds the mutex.
func (a *Agent) recordAnnounced(engine *fleet.Engine, promptTokens int, since time.Duration) {
	a.announcedRequests.Add(since, fleet.ValidTokens(promptTokens, engine.MaxPrompt()))
	a.cold.received.Add(since)
}
