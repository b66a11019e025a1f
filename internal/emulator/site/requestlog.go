package site

import (
	"slices"
	"sync"
	"time"
)

// Run is a request that a server began to execute.
type Run struct {
	RequestID string
	Server    string
	Service   string
	// Version is the version of the weights, 0 for a plain service.
	Version uint64
	// Corrupt is set when a piece of the loaded layers was missing or corrupt.
	Corrupt bool
	Tenant  string
	// KeyReceived is set when the caller's key was forwarded to the server.
	KeyReceived bool
	At          time.Time
}

// Delivery is a request that reached the server it was meant for. Requests answered 421 for
// another instance are excluded.
type Delivery struct {
	RequestID string
	Server    string
	Zone      string
	// Cold is set when the server was in its cold start.
	Cold bool
	At   time.Time
}

// RequestLog records arrivals, deliveries, executions and notices of all servers.
type RequestLog struct {
	runs       syncList[Run]
	deliveries syncList[Delivery]
	arrivals   syncList[Arrival]
	notices    syncList[ServerNotice]
}

// syncList is a list of records in order of time. It is safe for concurrent use.
type syncList[T any] struct {
	mutex sync.Mutex
	items []T
}

func (e *syncList[T]) add(record T) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.items = append(e.items, record)
}

func (e *syncList[T]) all() []T {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.items)
}

func (e *syncList[T]) contain(match func(T) bool) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.ContainsFunc(e.items, match)
}

// ServerNotice is a notice that a server sent in its response headers.
type ServerNotice struct {
	RequestID string
	Server    string
	At        time.Time
	// Leaving is set when the server announced that it leaves, Limited when it announced the rate
	// limit PerSecond.
	Leaving   bool
	Limited   bool
	PerSecond float64
	// Backoff is the announced Retry-After, 0 for none.
	Backoff time.Duration
}

// Notices returns all server notices, in order of time.
func (l *RequestLog) Notices() []ServerNotice { return l.notices.all() }

// Deliveries returns all deliveries, in order of time.
func (l *RequestLog) Deliveries() []Delivery { return l.deliveries.all() }

// Arrivals returns all arrivals, in order of time.
func (l *RequestLog) Arrivals() []Arrival { return l.arrivals.all() }

// MaxWhileCold returns the highest number of requests that any server received within a second of
// its cold start.
func (l *RequestLog) MaxWhileCold() int {
	peakRequests := 0
	for _, peak := range ColdPeaks(l.Deliveries()) {
		peakRequests = max(peakRequests, peak.Requests)
	}
	return peakRequests
}

// ColdPeak is the highest number of requests that a server received within a second of its cold
// start, and the last of these requests.
type ColdPeak struct {
	Requests int
	Last     Delivery
}

// ColdPeaks returns each server's peak; deliveries must be in order of time.
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

// Runs returns all executions, in order of time.
func (l *RequestLog) Runs() []Run { return l.runs.all() }

// RanAt reports whether a server began to execute a request.
func (l *RequestLog) RanAt(server, requestID string) bool {
	return l.runs.contain(func(run Run) bool { return run.Server == server && run.RequestID == requestID })
}
