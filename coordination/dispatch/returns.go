package dispatch

import (
	"maps"
	"time"

	"pinevane.example/pinevane/coordination/shedding"
)

// Arrived notes a request whose caller waits for a time left, 0 for one that does not say, and tells whether
// it came back after a refusal.
func (c *Core) Arrived(request *Request, left time.Duration, now time.Time) shedding.Arrival {
	held(c.targets, request.Service).Record(request.Target)
	return shedding.Arrival{Remaining: left, Elapsed: held(c.usual, request.Route).RecordArrival(now.Sub(c.started), left)}
}

// Refused notes that a request's caller was refused, and may come back.
func (c *Core) Refused(request *Request, now time.Time) { c.returnsMayCome(request, now) }

// fullShare is the part of the longest wait beyond which an expected one shows that servers are full:
// other entries refuse callers then, who may come back to this one.
const fullShare = 0.8

// noteFull has nothing learned of a route's callers while servers are full, by how long a request is to wait
// and first attempts may, and lets an overload go on. Each of many entries refuses a few callers a second only; between its own refusals it
// took the returns of the others' callers for first attempts, which hid them, or let them in as if
// the overload were over.
func (c *Core) noteFull(request *Request, wait, firstAttempts time.Duration, now time.Time) {
	if request.Engine == nil || float64(wait) <= fullShare*float64(firstAttempts) {
		return
	}
	c.returnsMayCome(request, now)
	if request.Arrival.Elapsed == 0 {
		held(c.pressures, request.Service).RecordFull(now.Sub(c.started))
	}
}

// returnsMayCome has nothing learned of a route's callers for as long as those refused now may
// take to come back.
func (c *Core) returnsMayCome(request *Request, now time.Time) {
	held(c.usual, request.Route).RecordRefusal(now.Sub(c.started), request.Arrival.Remaining)
}

// KeepRoutes drops what was learned of the callers of other routes.
func (c *Core) KeepRoutes(kept map[string]bool) {
	maps.DeleteFunc(c.usual, func(route string, _ *shedding.RetryDetector) bool { return !kept[route] })
}

// limit is the latest predicted beginning of a request of usual size; 0 or less where none is refused for load.
func (c *Core) limit(request *Request) time.Duration {
	target := held(c.targets, request.Service).Bound(request.Target)
	return time.Duration(c.policy.RefusalShare * float64(c.marginOf(request.Service).Limit(target)))
}

// firstAttemptWait is how long a first attempt may wait for others at a server.
func (c *Core) firstAttemptWait(k *Candidate, request *Request) time.Duration {
	return k.model(request).MaxWait(c.limit(request))
}

// mostWait is how long a request may wait for others at a server.
func (c *Core) mostWait(k *Candidate, request *Request, now time.Time) time.Duration {
	share := held(c.pressures, request.Service).LateFraction(now.Sub(c.started), c.policy.LateShare)
	return shedding.MaxWait(c.firstAttemptWait(k, request), request.Arrival, share)
}

// admits reports whether a server would have the request wait for others no longer than it may. It goes by the wait
// alone: see shedding.Wait.
func (c *Core) admits(k *Candidate, request *Request, now time.Time) bool {
	return c.limit(request) <= 0 || k.hasFreePlace(request) || c.wait(k, request, now) <= c.mostWait(k, request, now)
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
