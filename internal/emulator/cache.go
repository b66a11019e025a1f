package emulator

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"pinevane.example/pinevane/internal/external"
)

// CacheEventKind is what happened to a prompt prefix in an engine's cache.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is a change of an engine's prefix cache. Events are published with a delay, and some
// are dropped, which leaves a gap in their sequence numbers.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Prefix   string         `json:"prefix"`
	at       time.Time
}

// Timing and limits of the published cache events.
const (
	cacheEventDelay = 300 * time.Millisecond
	// Every droppedEventInterval-th event is dropped.
	droppedEventInterval = 17
	maxCacheEvents       = 1024
)

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	limit    int
	recent   []string
	sequence uint64
	events   []CacheEvent
}

// cachedPrefixBytes is the length of the prefix under which a prompt is cached.
const cachedPrefixBytes = 64

func newPrefixCache(limit int) prefixCache { return prefixCache{limit: limit} }

// touch records the use of a prompt and reports whether its prefix was cached.
func (c *prefixCache) touch(prompt string) bool {
	prefix := prompt[:min(len(prompt), cachedPrefixBytes)]
	position := slices.Index(c.recent, prefix)
	cached := position >= 0
	if cached {
		c.recent = slices.Delete(c.recent, position, position+1)
	} else {
		c.appendEvent(CacheStored, prefix)
	}
	c.recent = append(c.recent, prefix)
	if len(c.recent) > c.limit {
		c.appendEvent(CacheEvicted, c.recent[0])
		c.recent = slices.Delete(c.recent, 0, 1)
	}
	return cached
}

func (c *prefixCache) appendEvent(kind CacheEventKind, prefix string) {
	c.sequence++
	if c.sequence%droppedEventInterval == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Kind: kind, Prefix: prefix, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, 1)
	}
}

// published returns the events after a sequence number that are older than the publication delay.
func (c *prefixCache) published(since uint64) []CacheEvent {
	events := []CacheEvent{}
	for _, event := range c.events {
		if event.Sequence > since && time.Since(event.at) >= cacheEventDelay {
			events = append(events, event)
		}
	}
	return events
}

// CacheEvents returns the published events after a sequence number.
func (e *Engine) CacheEvents(since uint64) []CacheEvent {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.cache.published(since)
}

// KeyValueState is the exported state of a running sequence, with which another engine of the same
// version continues it without a prefill.
type KeyValueState struct {
	Generation external.GenerationRequest `json:"generation"`
	// Next is the position of the next token.
	Next int `json:"next"`
}

// Export returns the state of a running sequence, or false when it does not exist.
func (e *Engine) Export(id string) (KeyValueState, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, active := range e.running {
		if active.generation.ID == id {
			return KeyValueState{Generation: active.generation, Next: active.next}, true
		}
	}
	return KeyValueState{}, false
}

// Import accepts an exported state: a generation that resumes it finds its prompt in the cache.
func (e *Engine) Import(state KeyValueState) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cache.touch(state.Generation.Prompt)
}

// Cancel ends a sequence and reports whether it existed.
func (e *Engine) Cancel(id string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	found := false
	remove := func(s *sequence) bool {
		if s.generation.ID != id {
			return false
		}
		found = true
		close(s.events)
		return true
	}
	e.running = slices.DeleteFunc(e.running, remove)
	e.waiting = slices.DeleteFunc(e.waiting, remove)
	return found
}

// mountCache adds the routes for cache events, state export and import, and cancellation.
func (e *Engine) mountCache(router chi.Router) {
	router.Get("/v1/cache-events", func(writer http.ResponseWriter, request *http.Request) {
		writeJSON(writer, e.CacheEvents(parseNumber(request.URL.Query().Get("since"))))
	})
	router.Get("/v1/kv/{id}", func(writer http.ResponseWriter, request *http.Request) {
		state, running := e.Export(chi.URLParam(request, "id"))
		if !running {
			http.Error(writer, "no such sequence", http.StatusNotFound)
			return
		}
		writeJSON(writer, state)
	})
	router.Post("/v1/kv", func(writer http.ResponseWriter, request *http.Request) {
		var state KeyValueState
		if readJSON(writer, request, &state) {
			e.Import(state)
			writer.WriteHeader(http.StatusNoContent)
		}
	})
	router.Post("/v1/cancel/{id}", func(writer http.ResponseWriter, request *http.Request) {
		writeJSON(writer, strconv.FormatBool(e.Cancel(chi.URLParam(request, "id"))))
	})
}
