package dispatch

import (
	"maps"
	"time"

	"pinevane.example/pinevane/coordination/shedding"
)

// RecordArrival notes a request whose caller waits for a time left, 0 for one that does not say, and tells whether
// it came back after a refusal.
func (c *Core) RecordArrival(request *Request, left time.Duration, now time.Time) shedding.Arrival {
	getOrCreate(c.targets, request.Service).Arrived(request.Target)
	return shedding.Arrival{Left: left, Elapsed: getOrCreate(c.retryDetectors, request.Route).Arrived(now.Sub(c.started), left)}
}

// RecordRefusal notes that a request's caller was refused, and may come back.
func (c *Core) RecordRefusal(request *Request, now time.Time) { c.pauseLearning(request, now) }

// fullRatio is the part of the longest wait beyond which an expected one shows that servers are full:
// other entries refuse callers then, who may come back to this one.
const fullRatio = 0.8

// recordFull has nothing learned of a route's callers while servers are full, by how long a request is to wait
// and first attempts may, and lets an overload go on. Each of many entries refuses a few callers a second only; between its own refusals it
// took the returns of the others' callers for first attempts, which hid them, or let them in as if
// the overload were over.
func (c *Core) recordFull(request *Request, wait, firstAttempts time.Duration, now time.Time) {
	if request.Engine == nil || float64(wait) <= fullRatio*float64(firstAttempts) {
		return
	}
	c.pauseLearning(request, now)
	if request.Arrival.Elapsed == 0 {
		getOrCreate(c.overloadDetectors, request.Service).Full(now.Sub(c.started))
	}
}

// pauseLearning has nothing learned of a route's callers for as long as those refused now may
// take to come back.
func (c *Core) pauseLearning(request *Request, now time.Time) {
	getOrCreate(c.retryDetectors, request.Route).Refused(now.Sub(c.started), request.Arrival.Left)
}

// RetainRoutes drops what was learned of the callers of other routes.
func (c *Core) RetainRoutes(kept map[string]bool) {
	maps.DeleteFunc(c.retryDetectors, func(route string, _ *shedding.Usual) bool { return !kept[route] })
}

// startLimit is the latest predicted beginning of a request of usual size; 0 or less where none is refused for load.
func (c *Core) startLimit(request *Request) time.Duration {
	target := getOrCreate(c.targets, request.Service).Common(request.Target)
	return time.Duration(c.policy.RefusalShare * float64(c.marginOf(request.Service).Limit(target)))
}

// firstAttemptWait is how long a first attempt may wait for others at a server.
func (c *Core) firstAttemptWait(k *Candidate, request *Request) time.Duration {
	return k.model(request).MostWait(c.startLimit(request))
}

// maxWait is how long a request may wait for others at a server.
func (c *Core) maxWait(k *Candidate, request *Request, now time.Time) time.Duration {
	share := getOrCreate(c.overloadDetectors, request.Service).Share(now.Sub(c.started), c.policy.LateShare)
	return shedding.Wait(c.firstAttemptWait(k, request), request.Arrival, share)
}

// admits reports whether a server would have the request wait for others no longer than it may. It goes by the wait
// alone: see shedding.Wait.
func (c *Core) admits(k *Candidate, request *Request, now time.Time) bool {
	return c.startLimit(request) <= 0 || k.hasFreeSlot(request) || c.wait(k, request, now) <= c.maxWait(k, request, now)
}

// getOrCreate returns what is kept of a name, and begins with nothing known.
func getOrCreate[K comparable, V any](kept map[K]*V, name K) *V {
	known := kept[name]
	if known == nil {
		known = new(V)
		kept[name] = known
	}
	return known
}
