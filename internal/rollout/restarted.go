package rollout

import (
	"context"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// handleServerRestart drops what was known of the server's former incarnation: its load, whether it is cold, and what
// was announced to it. What lies at it may be gone, and is read anew. The mutex is held.
func (a *Agent) handleServerRestart(ctx context.Context, report fleet.Report) {
	a.log.Log(logging.ServerRestarted, zap.Int64("born", int64(report.StartTime)), zap.Int64("former", int64(a.report.StartTime)))
	a.announcedRequests = balance.Announcements{}
	a.cold = newColdState()
	a.switchAnnouncement.Withdraw()
	a.unretiredLogged = 0
	for _, one := range []*transfer{a.current, a.fallback, a.older} {
		if one != nil {
			go one.reverify(ctx)
		}
	}
}

// reverify reads back what is thought to lie at the server, and fetches again what does not.
func (t *transfer) reverify(ctx context.Context) {
	if bad := t.verify(ctx, t.heldPieces()); len(bad) > 0 && ctx.Err() == nil {
		t.refetchCorrupt(bad)
	}
}
