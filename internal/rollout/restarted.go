package rollout

import (
	"context"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/waiting"
)

// handleServerRestart discards the state of the server's previous incarnation: its load, whether it
// is cold, and the requests announced to it. Its staged pieces may be lost and are verified again.
// The caller holds the mutex.
func (a *Agent) handleServerRestart(ctx context.Context, report fleet.Report) {
	a.log.Log(logging.ServerRestarted, zap.Int64("born", int64(report.StartTime)), zap.Int64("former", int64(a.report.StartTime)))
	a.announcedRequests = balance.Announcements{}
	a.cold = newColdState()
	a.switchAnnouncement.Withdraw()
	a.unretiredLogged = 0
	a.suspect = nil
	for _, t := range []*transfer{a.current, a.fallback, a.older} {
		if t != nil {
			go t.reverify(ctx)
		}
	}
}

// reverify verifies the pieces that are believed to be staged, and fetches missing ones again. It waits
// while the server does not answer, as long as the transfer is in use.
func (t *transfer) reverify(ctx context.Context) {
	for ctx.Err() == nil && t.agent.findTransfer(t.model, t.version()) == t {
		corrupt, err := t.verify(ctx, t.heldPieces())
		if err != nil {
			waiting.For(ctx, serverRetryInterval)
			continue
		}
		if len(corrupt) > 0 {
			t.refetchCorrupt(corrupt)
		}
		return
	}
}
