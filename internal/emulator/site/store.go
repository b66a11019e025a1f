// Package site is a stand-in of the users' platform for tests and the demo: its
// store of records, its model servers and plain services, and its origin of
// weights, written from their published protocol. It keeps records of what ran,
// from which the promises are checked, and takes injected faults.
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

// record is a record as the store tells it.
type record struct {
	Key      string `json:"keyFile"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Removed     bool   `json:"gone,omitempty"`
}

// Store is the stand-in of the platform's store.
type Store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]record
	history  []record
	// compactedTo is the revision up to which the history is gone.
	compactedTo uint64
	changed   chan struct{}
	// refused are the IP addresses that are turned away.
	refused map[string]bool
	down    bool
	// watchesBlocked makes watches hear nothing.
	watchesBlocked  bool
	delay time.Duration
	// pageSize bounds one page of a listing.
	pageSize int
	calls    int
	// bandwidth is that of the store's link in bytes a second, 0 for no bound; linkFree
	// is when the link has sent what it was given.
	bandwidth float64
	linkFreeAt  time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]record{}, changed: make(chan struct{}), refused: map[string]bool{}, pageSize: 500}
}

// Put writes a record as JSON and returns its revision.
func (s *Store) Put(key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(record{Key: key, Value: data})
}

// PutRaw writes a record byte for byte and returns its revision.
func (s *Store) PutRaw(key string, value []byte) uint64 {
	return s.write(record{Key: key, Value: value})
}

// SetDelay holds every answer back for a time.
func (s *Store) SetDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

// Delete removes a record.
func (s *Store) Delete(key string) { s.write(record{Key: key, Removed: true}) }

func (s *Store) write(one record) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	one.Revision = s.revision
	s.history = append(s.history, one)
	if one.Removed {
		delete(s.items, one.Key)
	} else {
		s.items[one.Key] = one
	}
	s.notifyWatches()
	return s.revision
}

// notifyWatches lets waiting watches look again; the mutex is held.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact forgets the history and cuts the waiting watches.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compactedTo = s.revision
	s.history = nil
	s.watchesBlocked = false
	s.notifyWatches()
}

// BlockWatches makes watches hear nothing until Compact.
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

// SetBandwidth bounds what the store sends to all callers together, in bytes a second;
// 0 lifts the bound.
func (s *Store) SetBandwidth(bytesPerSecond float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.bandwidth = bytesPerSecond
}

// linkBlockBytes is how many bytes of an answer the store's link carries at a time.
const linkBlockBytes = 16 << 10

// waitForLink waits until the link has carried some bytes, behind those of all other callers.
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

// writeJSON answers with a value, over the store's link.
func (s *Store) writeJSON(writer http.ResponseWriter, request *http.Request, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	for len(data) > 0 && request.Context().Err() == nil {
		part := data[:min(linkBlockBytes, len(data))]
		data = data[len(part):]
		s.waitForLink(request.Context(), len(part))
		_, _ = writer.Write(part)
	}
}

// machineKey is the context's key for the machine that calls: each is given an
// address of the store of its own, because on loopback all come from one.
type machineKey struct{}

// HandlerFor serves the store to one machine.
func (s *Store) HandlerFor(machine string) http.Handler {
	next := s.Handler()
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		next.ServeHTTP(writer, request.WithContext(context.WithValue(request.Context(), machineKey{}, machine)))
	})
}

// Refuse turns the calls of some machines away.
func (s *Store) Refuse(addresses ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refused = map[string]bool{}
	for _, address := range addresses {
		s.refused[address] = true
	}
	s.notifyWatches()
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// rejects reports whether a caller gets 503; the mutex is held.
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
	if s.rejects(request) {
		s.mutex.Unlock()
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var items []record
	for key, one := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, one)
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
		at, changed, deaf, delay := s.revision, s.changed, s.watchesBlocked, s.delay
		s.mutex.Unlock()
		if status != http.StatusOK {
			writer.WriteHeader(status)
			return
		}
		if len(events) > 0 && !deaf {
			waiting.For(request.Context(), delay)
			s.writeJSON(writer, request, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if deaf {
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

// changesAfter finds the changes after a revision; the mutex is held.
func (s *Store) changesAfter(request *http.Request, prefix string, after uint64) (int, []record) {
	if s.rejects(request) {
		return http.StatusServiceUnavailable, nil
	}
	if after < s.compactedTo {
		return http.StatusGone, nil
	}
	var events []record
	for _, one := range s.history {
		if one.Revision > after && strings.HasPrefix(one.Key, prefix) {
			events = append(events, one)
		}
	}
	return http.StatusOK, events
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
