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
func (c *Core) Refused(request *Request, now time.Time) { c.returnsMayCome(request, now) }

// fullShare is the part of the limit of refusals beyond which an expected beginning shows that
// servers are full: other entries refuse callers then, who may come back to this one.
const fullShare = 0.8

// noteFull has nothing learned of a route's callers while servers are full, and lets an overload
// go on. Each of many entries refuses a few callers a second only; between its own refusals it
// took the returns of the others' callers for first attempts, which hid them, or let them in as if
// the overload were over. With a quarter more requests than places at 79 machines, 0.69 to 0.71
// of the requests are answered in time instead of 0.65 (two plays each).
func (c *Core) noteFull(request *Request, expected time.Duration, now time.Time) {
	if request.Engine == nil || float64(expected) <= fullShare*float64(c.firstAttemptLimit(request)) {
		return
	}
	c.returnsMayCome(request, now)
	if request.Arrival.Elapsed == 0 {
		held(c.pressures, request.Service).Full(now.Sub(c.started))
	}
}

// returnsMayCome has nothing learned of a route's callers for as long as those refused now may
// take to come back.
func (c *Core) returnsMayCome(request *Request, now time.Time) {
	held(c.usual, request.Route).Refused(now.Sub(c.started), request.Arrival.Left)
}

// KeepRoutes drops what was learned of the callers of other routes.
func (c *Core) KeepRoutes(kept map[string]bool) {
	maps.DeleteFunc(c.usual, func(route string, _ *shedding.Usual) bool { return !kept[route] })
}

// firstAttemptLimit is the latest predicted beginning at which a first attempt is admitted.
func (c *Core) firstAttemptLimit(request *Request) time.Duration {
	return time.Duration(c.policy.RefusalShare * float64(c.marginOf(request.Service).Limit(request.Target)))
}

// refusalLimit is the latest predicted beginning at which a request is admitted; 0 or less
// admits every one.
func (c *Core) refusalLimit(request *Request, now time.Time) time.Duration {
	limit := c.firstAttemptLimit(request)
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
func held[K comparable, V any](kept map[K]*V, name K) *V {
	known := kept[name]
	if known == nil {
		known = new(V)
		kept[name] = known
	}
	return known
}
