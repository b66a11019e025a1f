package site

import (
	"slices"
	"sync"
	"time"
)

// Run is one request that a server has begun.
type Run struct {
	RequestID string
	Server    string
	Service   string
	// Version is that of the weights, 0 at a plain service.
	Version uint64
	// Corrupt is set when a piece of the layers taken was missing or wrong.
	Corrupt bool
	Tenant  string
	// KeyReceived is set when the caller's key reached the server.
	KeyReceived bool
	At          time.Time
}

// Delivery is one request that has reached a server and was meant for it: answers that it is
// not, 421, are left out.
type Delivery struct {
	RequestID string
	Server    string
	Zone      string
	// Cold is set when the server was cold.
	Cold bool
	At   time.Time
}

// RequestLog records what came to servers, what was delivered to the one that it was meant for,
// and what ran, over all of them.
type RequestLog struct {
	runs       list[Run]
	deliveries list[Delivery]
	arrivals   list[Arrival]
	notices       list[ServerNotice]
}

// list are one kind of the ledger's, in order of time.
type list[T any] struct {
	mutex sync.Mutex
	items  []T
}

func (e *list[T]) add(one T) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.items = append(e.items, one)
}

func (e *list[T]) all() []T {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.items)
}

func (e *list[T]) contain(match func(T) bool) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.ContainsFunc(e.items, match)
}

// ServerNotice is what a server has asked of the one that sent a request, in its answer to that.
type ServerNotice struct {
	RequestID string
	Server    string
	At        time.Time
	// Leaving is set when the server said that it leaves, Limited when it named a rate, PerSecond.
	Leaving   bool
	Limited   bool
	PerSecond float64
	// Backoff is for how long it wanted nothing more.
	Backoff time.Duration
}

// Notices returns everything that servers have asked for, in order of time.
func (l *RequestLog) Notices() []ServerNotice { return l.notices.all() }

// Deliveries returns everything that has reached a server, in order of time.
func (l *RequestLog) Deliveries() []Delivery { return l.deliveries.all() }

// Arrivals returns everything that has come to a server.
func (l *RequestLog) Arrivals() []Arrival { return l.arrivals.all() }

// MaxWhileCold is the most requests that any one server has received in a second in which
// it was cold.
func (l *RequestLog) MaxWhileCold() int {
	most := 0
	for _, peak := range ColdPeaks(l.Deliveries()) {
		most = max(most, peak.Requests)
	}
	return most
}

// ColdPeak is the most requests that a server has received in a second in which it was cold,
// and the last of them.
type ColdPeak struct {
	Requests int
	Last     Delivery
}

// ColdPeaks finds each server's peak in deliveries that are in order of time.
func ColdPeaks(deliveries []Delivery) map[string]ColdPeak {
	recent, peaks := map[string][]time.Time{}, map[string]ColdPeak{}
	for _, delivery := range deliveries {
		if !delivery.Cold {
			continue
		}
		times := append(recent[delivery.Server], delivery.At)
		for delivery.At.Sub(times[0]) >= time.Second {
			times = times[1:]
		}
		recent[delivery.Server] = times
		if len(times) > peaks[delivery.Server].Requests {
			peaks[delivery.Server] = ColdPeak{Requests: len(times), Last: delivery}
		}
	}
	return peaks
}

// Runs returns everything that ran.
func (l *RequestLog) Runs() []Run { return l.runs.all() }

// RanAt reports whether a server has begun a request.
func (l *RequestLog) RanAt(server, requestID string) bool {
	return l.runs.contain(func(one Run) bool { return one.Server == server && one.RequestID == requestID })
}
