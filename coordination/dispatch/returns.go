package dispatch

import (
	"maps"
	"time"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/coordination/shedding"
)

// Arrived notes a request of a route whose caller waits for a time left, 0 for one that does
// not say, and tells whether it came back after a refusal.
func (c *Core) Arrived(route string, left time.Duration, now time.Time) shedding.Arrival {
	return shedding.Arrival{Left: left, Elapsed: held(c.usual, route).Arrived(now.Sub(c.started), left)}
}

// Refused notes that a request's caller was refused, and may come back.
func (c *Core) Refused(request *Request, now time.Time) {
	held(c.usual, request.Route).Refused(now.Sub(c.started), request.Arrival.Left)
}

// KeepRoutes drops what was learned of the callers of other routes.
func (c *Core) KeepRoutes(kept map[string]bool) {
	maps.DeleteFunc(c.usual, func(route string, _ *shedding.Usual) bool { return !kept[route] })
}

// refusalLimit is the latest predicted beginning at which a request is admitted; 0 or less
// admits every one.
func (c *Core) refusalLimit(request *Request, now time.Time) time.Duration {
	limit := time.Duration(c.policy.RefusalShare * float64(c.marginOf(request.Service).Limit(request.Target)))
	share := held(c.pressures, request.Service).Share(now.Sub(c.started), c.policy.LateShare)
	return shedding.Limit(limit, request.alone(), request.Arrival, share)
}

// alone is when an idle server would begin the request. A plain server with a free place is
// never overloaded, which grants as much.
func (r *Request) alone() time.Duration {
	if r.Engine == nil {
		return 0
	}
	return r.Figures.FirstEvent(balance.Load{}, r.Prompt)
}

// held returns what is kept of a name, and begins with nothing known.
func held[V any](kept map[string]*V, name string) *V {
	known := kept[name]
	if known == nil {
		known = new(V)
		kept[name] = known
	}
	return known
}
