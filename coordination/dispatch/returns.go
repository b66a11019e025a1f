package dispatch

import (
	"maps"
	"time"

	"pinevane.example/pinevane/coordination/shedding"
)

// RecordArrival records a request whose caller has the given remaining time, 0 if not specified, and
// returns its Arrival, whose Elapsed shows whether it is a retry after a refusal.
func (c *Core) RecordArrival(request *Request, remaining time.Duration, now time.Time) shedding.Arrival {
	getOrCreate(c.targets, request.Service).Record(request.Target)
	return shedding.Arrival{Remaining: remaining, Elapsed: getOrCreate(c.retryDetectors, request.Route).RecordArrival(now.Sub(c.started), remaining)}
}

// RecordRefusal records that a request was refused, so that its caller may come back.
func (c *Core) RecordRefusal(request *Request, now time.Time) { c.pauseLearning(request, now) }

// fullRatio is the fraction of the maximum wait above which an expected wait shows that servers are full:
// other entries then refuse callers, who may come back to this one.
const fullRatio = 0.8

// recordFull pauses the learning of a route's callers while servers are full, and keeps an overload in force.
// Each of many entries refuses only a few callers per second. Without this, an entry took the retries of
// callers refused by other entries for first attempts between its own refusals; it then no longer recognized
// retries, or admitted them as if the overload had ended.
func (c *Core) recordFull(request *Request, wait, firstAttemptWait time.Duration, now time.Time) {
	if request.Engine == nil || float64(wait) <= fullRatio*float64(firstAttemptWait) {
		return
	}
	c.pauseLearning(request, now)
	if request.Arrival.Elapsed == 0 {
		getOrCreate(c.overloadDetectors, request.Service).RecordFull(now.Sub(c.started))
	}
}

// pauseLearning pauses the learning of a route's callers for as long as those refused now may take to come
// back.
func (c *Core) pauseLearning(request *Request, now time.Time) {
	getOrCreate(c.retryDetectors, request.Route).RecordRefusal(now.Sub(c.started), request.Arrival.Remaining)
}

// RetainRoutes drops what was learned of the callers of other routes.
func (c *Core) RetainRoutes(retained map[string]bool) {
	maps.DeleteFunc(c.retryDetectors, func(route string, _ *shedding.RetryDetector) bool { return !retained[route] })
}

// startLimit returns the latest predicted start of a request of typical size; at 0 or less, no request is
// refused for load.
func (c *Core) startLimit(request *Request) time.Duration {
	target := getOrCreate(c.targets, request.Service).Bound(request.Target)
	return time.Duration(c.policy.RefusalShare * float64(c.marginOf(request.Service).Limit(target)))
}

// firstAttemptWait returns how long a first attempt may queue at a server.
func (c *Core) firstAttemptWait(k *Candidate, request *Request) time.Duration {
	return k.model(request).MaxWait(c.startLimit(request))
}

// maxWait returns how long a request may queue at a server.
func (c *Core) maxWait(k *Candidate, request *Request, now time.Time) time.Duration {
	fraction := getOrCreate(c.overloadDetectors, request.Service).LateFraction(now.Sub(c.started), c.policy.LateShare)
	return shedding.MaxWait(c.firstAttemptWait(k, request), request.Arrival, fraction)
}

// admits reports whether the request would queue at a server no longer than it may. Only the wait counts, not
// the request's own processing time: a limit on both would leave large requests unserved in overload.
func (c *Core) admits(k *Candidate, request *Request, now time.Time) bool {
	return c.startLimit(request) <= 0 || k.hasFreeSlot(request) || c.wait(k, request, now) <= c.maxWait(k, request, now)
}

// getOrCreate returns the value of a key, adding an empty one if there is none.
func getOrCreate[K comparable, V any](values map[K]*V, key K) *V {
	value := values[key]
	if value == nil {
		value = new(V)
		values[key] = value
	}
	return value
}
