package site

import (
	"slices"
	"time"
)

// RetryLimit bounds the repeated arrivals that a service may receive from all entries together in any
// window: Ratio times the requests for the service, plus Slack.
type RetryLimit struct {
	Ratio  float64
	Slack  int
	Window time.Duration
}

// Published retry limits of the settings files.
const (
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
)

// RetryLimit returns the limit that the settings files name.
func (o Options) RetryLimit() RetryLimit {
	return RetryLimit{Ratio: retryRatio, Slack: o.BudgetSlack, Window: retryWindow}
}

// SentRequest is a request that a caller sent for a service, whether or not it reached a server.
type SentRequest struct {
	ID      string
	Service string
	At      time.Time
}

// RetryWindow is what a service received in the window from a time on.
type RetryWindow struct {
	From time.Time
	// Retries counts the arrivals beyond the first one of each request. LastRequest is the last of these.
	Retries     int
	LastRequest string
	// Requests counts the requests for the service in this window, in the one before it, or in the one
	// half a window earlier, whichever has the most.
	Requests int
	// Allowed is the limit on Retries.
	Allowed float64
}

// Excess is by how much the retries exceed the limit; it is negative within the limit.
func (w RetryWindow) Excess() float64 { return float64(w.Retries) - w.Allowed }

// WorstRetryWindow returns the window in which a service came closest to its limit, or exceeded it by the
// most. Arrivals that a server rejected count as well. There is none if no request arrived twice.
func WorstRetryWindow(service string, arrivals []Arrival, sent []SentRequest, limit RetryLimit) (RetryWindow, bool) {
	retries := repeatedArrivals(service, arrivals)
	requests := requestTimes(service, sent)
	worst, found := RetryWindow{}, false
	for index, first := range retries {
		end := index + 1
		for end < len(retries) && retries[end].At.Before(first.At.Add(limit.Window)) {
			end++
		}
		window := RetryWindow{From: first.At, Retries: end - index, LastRequest: retries[end-1].RequestID}
		for _, shift := range []time.Duration{0, -limit.Window / 2, -limit.Window} {
			from := first.At.Add(shift)
			window.Requests = max(window.Requests, countBetween(requests, from, from.Add(limit.Window)))
		}
		window.Allowed = limit.Ratio*float64(window.Requests) + float64(limit.Slack)
		if !found || window.Excess() > worst.Excess() {
			worst, found = window, true
		}
	}
	return worst, found
}

// repeatedArrivals returns the arrivals at a service beyond the first one of each request, in order of time.
func repeatedArrivals(service string, arrivals []Arrival) []Arrival {
	ofService := slices.DeleteFunc(slices.Clone(arrivals), func(arrival Arrival) bool { return arrival.Service != service })
	slices.SortStableFunc(ofService, func(a, b Arrival) int { return a.At.Compare(b.At) })
	arrived := map[string]bool{}
	return slices.DeleteFunc(ofService, func(arrival Arrival) bool {
		isFirst := !arrived[arrival.RequestID]
		arrived[arrival.RequestID] = true
		return isFirst
	})
}

func requestTimes(service string, sent []SentRequest) []time.Time {
	var times []time.Time
	for _, request := range sent {
		if request.Service == service {
			times = append(times, request.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// countBetween counts the sorted times from one time on and before another.
func countBetween(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return last - first
}
