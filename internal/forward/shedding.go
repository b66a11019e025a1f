package forward

import (
	"time"

	"pinevane.example/pinevane/coordination/dispatch"
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

// noteArrival tells the decisions of a request that has arrived, and whether its caller came
// back after a refusal.
func (f *Forwarder) noteArrival(wanted *dispatch.Request, left time.Duration) shedding.Arrival {
	f.targets.mutex.Lock()
	defer f.targets.mutex.Unlock()
	arrival := f.targets.core.Arrived(wanted, left, time.Now())
	f.metrics.arrivals.WithLabelValues(attemptOf(arrival)).Inc()
	return arrival
}

// noteRefusal spreads the time after which a refused caller is asked to come back, and tells
// the decisions of the refusal.
func (w *work) noteRefusal(refusal *fault.Refusal) {
	if refusal == nil || refusal.RetryAfter <= 0 || isWithheld(refusal) {
		return
	}
	refusal.RetryAfter = SpreadRetryAfter(refusal.RetryAfter, time.Until(w.request.Deadline))
	w.metrics.told.WithLabelValues(attemptOf(w.wanted.Arrival), string(refusal.Reason)).Observe(refusal.RetryAfter.Seconds())
	w.targets.mutex.Lock()
	defer w.targets.mutex.Unlock()
	w.targets.core.Refused(&w.wanted, time.Now())
}

// rank is the rank told to the server: at full servers, a request that is late in any case
// waits behind those that can be in time.
func (w *work) rank(expected time.Duration) int {
	if w.options.Policy.LateShare < 1 && w.wanted.Engine != nil && w.wanted.Arrival.Late(expected, w.wanted.Target) {
		return min(w.request.Priority+1, lastRank)
	}
	return w.request.Priority
}

// lastRank is the least urgent rank that servers know.
const lastRank = 9

// routeNames are the names of a configuration's routes; nil where that is in force already. They
// are collected without the mutex, which every request takes: of 10,000 routes that takes 1 ms.
func (t *targets) routeNames(configuration *fleet.Configuration) map[string]bool {
	if configuration == nil || configuration == t.currentView().Configuration {
		return nil
	}
	names := make(map[string]bool, len(configuration.Routes))
	for i := range configuration.Routes {
		names[configuration.Routes[i].Name] = true
	}
	return names
}
