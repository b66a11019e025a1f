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
		figures = engine.Figures()
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	load := a.announced.Load(balance.Load{Running: status.Running, Waiting: status.Waiting}, a.reportAt.Sub(a.started), now.Sub(a.started), figures.UsualPrompt)
	unread := max(load.Unread, a.announced.Reading(now.Sub(a.started), figures, status.Running))
	status.Waiting, status.UnreadTokens = load.Waiting, int(unread)
	return status
}

// Announce implements loadquery.Server.
func (a *Agent) Announce(promptTokens int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	since := time.Since(a.started)
	a.announced.Add(since, promptTokens)
	a.cold.received.Add(since)
}
