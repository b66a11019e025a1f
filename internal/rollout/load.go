package rollout

import (
	"time"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/internal/fleet"
)

// LoadNow implements loadquery.Server: the machine's status, with the requests that were
// announced since the server's last report.
func (a *Agent) LoadNow() fleet.MachineStatus {
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

// addAnnounced is a status of a server with the requests that were announced to it: those that
// its report of a time can't show yet, and the prompts that are still to be read, whether their
// requests wait or run.
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

// recordAnnounced notes a request with a prompt of a size that an entry has told: one that the
// server can't hold has an unknown size. The mutex is held.
func (a *Agent) recordAnnounced(engine *fleet.Engine, promptTokens int, since time.Duration) {
	a.announcedRequests.Add(since, fleet.ValidTokens(promptTokens, engine.MaxPrompt()))
	a.cold.received.Add(since)
}
