// Package site emulates the users' platform for tests and the demo: its record store, its model
// servers and plain services, and its weight origin, implemented from their published protocols.
// It accepts injected faults and records what was executed, from which tests verify the
// guarantees.
package site

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"pinevane.example/pinevane/internal/waiting"
)

// record is a record in the store's wire format.
type record struct {
	Key      string `json:"keyFile"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"gone,omitempty"`
}

// Store emulates the platform's record store.
type Store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]record
	history  []record
	// compactedTo is the revision up to which the history was compacted.
	compactedTo uint64
	changed     chan struct{}
	// refused are the IP addresses of machines whose calls are rejected.
	refused map[string]bool
	down    bool
	// watchesBlocked keeps watches from returning events.
	watchesBlocked bool
	delay          time.Duration
	// pageSize is the maximum page size of a listing.
	pageSize int
	calls    int
	// bandwidth is the rate of the store's link in bytes per second, 0 for no limit; linkFreeAt is
	// the time at which the link has sent everything queued.
	bandwidth  float64
	linkFreeAt time.Time
	// epoch is stated in every answer unless hidesEpoch is set; writes are all writes of the
	// present epoch and those that it was restored from.
	epoch      uint64
	hidesEpoch bool
	writes     []timedWrite
	// restoredWrites is how many of the writes are those of the last restore's copy.
	restoredWrites int
	// heartbeats are the last contents of servers' records, for quietHeartbeats.
	heartbeats      map[string]string
	quietHeartbeats bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]record{}, changed: make(chan struct{}), refused: map[string]bool{}, pageSize: 500, epoch: firstEpoch, heartbeats: map[string]string{}}
}

// Put writes a record as JSON and returns its revision.
func (s *Store) Put(key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(record{Key: key, Value: data})
}

// PutRaw writes a record unchanged and returns its revision.
func (s *Store) PutRaw(key string, value []byte) uint64 {
	return s.write(record{Key: key, Value: value})
}

// SetDelay delays every answer.
func (s *Store) SetDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

// Delete removes a record.
func (s *Store) Delete(key string) { s.write(record{Key: key, Removed: true}) }

func (s *Store) write(update record) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	update.Revision = s.revision
	s.history = append(s.history, update)
	s.writes = append(s.writes, timedWrite{record: update, at: time.Now()})
	s.setItem(update)
	s.notifyWatches()
	return s.revision
}

// setItem applies a write to the items. The mutex must be held.
func (s *Store) setItem(update record) {
	if update.Removed {
		delete(s.items, update.Key)
		return
	}
	s.items[update.Key] = update
}

// notifyWatches wakes waiting watches. The mutex must be held.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history and ends waiting watches.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compactedTo = s.revision
	s.history = nil
	s.watchesBlocked = false
	s.notifyWatches()
}

// BlockWatches keeps watches from returning events until Compact.
func (s *Store) BlockWatches() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watchesBlocked = true
}

// SetDown makes every call fail.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.notifyWatches()
}

// SetBandwidth limits the total rate of the store's answers in bytes per second; 0 removes the
// limit.
func (s *Store) SetBandwidth(bytesPerSecond float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.bandwidth = bytesPerSecond
}

// linkBlockBytes is the block size of a rate-limited answer.
const linkBlockBytes = 16 << 10

// waitForLink waits until the link has sent size more bytes, after those of all earlier answers.
func (s *Store) waitForLink(ctx context.Context, size int) {
	s.mutex.Lock()
	if s.bandwidth == 0 {
		s.mutex.Unlock()
		return
	}
	now := time.Now()
	if s.linkFreeAt.Before(now) {
		s.linkFreeAt = now
	}
	s.linkFreeAt = s.linkFreeAt.Add(time.Duration(float64(size) / s.bandwidth * float64(time.Second)))
	wait := s.linkFreeAt.Sub(now)
	s.mutex.Unlock()
	waiting.For(ctx, wait)
}

// writeJSON sends a value as JSON at the link's rate.
func (s *Store) writeJSON(writer http.ResponseWriter, request *http.Request, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	for len(data) > 0 && request.Context().Err() == nil {
		block := data[:min(linkBlockBytes, len(data))]
		data = data[len(block):]
		s.waitForLink(request.Context(), len(block))
		_, _ = writer.Write(block)
	}
}

// machineKey is the context key of the calling machine. Each machine has its own address of the
// store, because on loopback all calls come from the same IP address.
type machineKey struct{}

// HandlerFor serves the store to one machine.
func (s *Store) HandlerFor(machine string) http.Handler {
	next := s.Handler()
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		next.ServeHTTP(writer, request.WithContext(context.WithValue(request.Context(), machineKey{}, machine)))
	})
}

// Refuse rejects the calls of the given machines, and of no others.
func (s *Store) Refuse(addresses ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refused = map[string]bool{}
	for _, address := range addresses {
		s.refused[address] = true
	}
	s.notifyWatches()
}

// Calls returns the number of calls.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// rejects reports whether a call is answered with 503. The mutex must be held.
func (s *Store) rejects(request *http.Request) bool {
	machine, _ := request.Context().Value(machineKey{}).(string)
	return s.down || s.refused[machine]
}

// Handler serves the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	return mux
}

func (s *Store) serveRange(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.URL.Query().Get("pathPrefix"), request.URL.Query().Get("after")
	s.mutex.Lock()
	s.calls++
	s.stateEpoch(writer.Header())
	if s.rejects(request) {
		s.mutex.Unlock()
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var items []record
	for key, stored := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, stored)
		}
	}
	slices.SortFunc(items, func(a, b record) int { return cmp.Compare(a.Key, b.Key) })
	more := len(items) > s.pageSize
	items = items[:min(len(items), s.pageSize)]
	answer := map[string]any{"items": items, "more": more, "at": s.revision}
	delay := s.delay
	s.mutex.Unlock()
	time.Sleep(delay)
	s.writeJSON(writer, request, answer)
}

func (s *Store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for first := true; ; first = false {
		s.mutex.Lock()
		if first {
			s.calls++
		}
		status, events := s.changesAfter(request, query.Get("pathPrefix"), after)
		at, changed, blocked, delay := s.revision, s.changed, s.watchesBlocked, s.delay
		s.stateEpoch(writer.Header())
		s.mutex.Unlock()
		if status != http.StatusOK {
			writer.WriteHeader(status)
			return
		}
		if len(events) > 0 && !blocked {
			waiting.For(request.Context(), delay)
			s.writeJSON(writer, request, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if blocked {
				at = after
			}
			waiting.For(request.Context(), delay)
			s.writeJSON(writer, request, map[string]any{"events": []record{}, "at": at})
			return
		case <-request.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes after a revision, or an error status. The mutex must be held.
func (s *Store) changesAfter(request *http.Request, prefix string, after uint64) (int, []record) {
	if s.rejects(request) {
		return http.StatusServiceUnavailable, nil
	}
	if after < s.compactedTo || after > s.revision {
		return http.StatusGone, nil
	}
	var events []record
	for _, update := range s.history {
		if update.Revision > after && strings.HasPrefix(update.Key, prefix) {
			events = append(events, update)
		}
	}
	return http.StatusOK, events
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
