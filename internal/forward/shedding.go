package forward

import (
	"maps"
	"time"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/coordination/shedding"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
)

// Attempts of callers, as labels.
const (
	attemptFirst    = "first"
	attemptReturned = "returned"
)

// attemptOf is the label of an arrival.
func attemptOf(arrival shedding.Arrival) string {
	if arrival.Elapsed > 0 {
		return attemptReturned
	}
	return attemptFirst
}

// noteArrival learns what a request's caller shows of its route's usual time left, and tells
// whether it came back.
func (f *Forwarder) noteArrival(request *Request) shedding.Arrival {
	left := request.Call.Deadline
	f.targets.mutex.Lock()
	elapsed := f.targets.usualOf(request.Route.Name).Arrived(time.Since(f.targets.started), left)
	f.targets.mutex.Unlock()
	arrival := shedding.Arrival{Left: left, Elapsed: elapsed}
	f.metrics.arrivals.WithLabelValues(attemptOf(arrival)).Inc()
	return arrival
}

// noteRefusal spreads the time after which a refused caller is asked to come back, and notes
// what the refusal shows.
func (w *work) noteRefusal(refusal *fault.Refusal) {
	if refusal == nil || refusal.RetryAfter <= 0 {
		return
	}
	refusal.RetryAfter = ReturnAfter(refusal.RetryAfter, time.Until(w.request.Deadline))
	w.metrics.told.WithLabelValues(attemptOf(w.wanted.arrival), string(refusal.Reason)).Observe(refusal.RetryAfter.Seconds())
	w.targets.mutex.Lock()
	defer w.targets.mutex.Unlock()
	now := time.Since(w.targets.started)
	w.targets.usualOf(w.request.Route.Name).Refused(now, w.wanted.arrival.Left)
	if refusal.Reason == fault.ReasonOverloaded {
		w.targets.pressureOf(w.wanted.service).Refused(now, w.wanted.arrival)
	}
}

// pressureOf tells whether a service is overloaded; the mutex is held.
func (t *targets) pressureOf(service string) *shedding.Pressure {
	return held(t.pressures, service)
}

// usualOf returns what is learned of a route's callers; the mutex is held.
func (t *targets) usualOf(route string) *shedding.Usual {
	return held(t.usual, route)
}

// refusalLimit is the latest predicted beginning at which a request is admitted; 0 or less
// admits every one. The mutex is held.
func (t *targets) refusalLimit(wanted need) time.Duration {
	limit := time.Duration(wanted.rules().RefusalShare * float64(t.marginOf(wanted.service).Limit(wanted.route.Target)))
	share := t.pressureOf(wanted.service).Share(time.Since(t.started), wanted.rules().LateShare)
	return shedding.Limit(limit, wanted.alone(), wanted.arrival, share)
}

// alone is when an idle server would begin the request. A plain server with a free place is
// never overloaded, which grants as much.
func (n need) alone() time.Duration {
	if n.engine == nil {
		return 0
	}
	return n.figures.FirstEvent(balance.Load{}, n.prompt)
}

// rank is the rank told to the server: at full servers, a request that is late in any case
// waits behind those that can be in time.
func (w *work) rank(expected time.Duration) int {
	if w.options.Policy.LateShare < 1 && w.wanted.engine != nil && w.wanted.arrival.Late(expected, w.request.Route.Target) {
		return min(w.request.Priority+1, lastRank)
	}
	return w.request.Priority
}

// lastRank is the least urgent rank that servers know.
const lastRank = 9

// forgetRoutes drops what was learned of routes that a configuration no longer has; the mutex
// is held.
func (t *targets) forgetRoutes(configuration *fleet.Configuration) {
	if configuration == nil || len(t.usual) == 0 {
		return
	}
	present := make(map[string]bool, len(t.usual))
	for i := range configuration.Routes {
		if name := configuration.Routes[i].Name; t.usual[name] != nil {
			present[name] = true
		}
	}
	maps.DeleteFunc(t.usual, func(name string, _ *shedding.Usual) bool { return !present[name] })
}
