package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/weights"
)

// EngineOptions configures the timing and capacity of the emulated engine.
type EngineOptions struct {
	// FirstToken is the prefill time of an uncached prompt.
	FirstToken time.Duration
	// BetweenTokens is the duration of a decoding step with a single sequence.
	BetweenTokens time.Duration
	// BatchSlowdown is the fraction by which each further sequence lengthens a step.
	BatchSlowdown float64
	// MaximumBatch is the number of sequences that decode together; others are queued.
	MaximumBatch int
	// LoadTime is the time it takes to load a version.
	LoadTime time.Duration
	// CheckFences rejects orders whose fence is not higher than the last accepted one.
	CheckFences bool
	// ReportLag is the maximum age of the load figures in a status.
	ReportLag time.Duration
	// PrefixCacheEntries is the capacity of the prefix cache.
	PrefixCacheEntries int
}

// DefaultEngineOptions returns the options used by the demo.
func DefaultEngineOptions() EngineOptions {
	return EngineOptions{
		FirstToken:         40 * time.Millisecond,
		BetweenTokens:      8 * time.Millisecond,
		BatchSlowdown:      0.02,
		MaximumBatch:       32,
		LoadTime:           300 * time.Millisecond,
		CheckFences:        true,
		ReportLag:          500 * time.Millisecond,
		PrefixCacheEntries: 256,
	}
}

type loadedWeights struct {
	version  external.LoadedVersion
	identity weights.Digest
}

// sequence is a request queued or running in the engine.
type sequence struct {
	ctx        context.Context
	generation external.GenerationRequest
	weights    loadedWeights
	next       int
	// prefill is the remaining prefill time.
	prefill time.Duration
	events  chan external.GenerationEvent
}

// Engine emulates a model engine with continuous batching.
type Engine struct {
	options EngineOptions
	store   *Store
	faults  faultState

	mutex       sync.Mutex
	incarnation uint64
	fence       external.Fence
	loaded      []loadedWeights
	waiting     []*sequence
	running     []*sequence
	stepping    bool
	cache       prefixCache
	reported    external.EngineStatus
	reportedAt  time.Time
	records     []GenerationRecord
	orders      []OrderRecord
}

// GenerationRecord records a request that the engine started.
type GenerationRecord struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// ResumeFrom is the position of the first token that the engine generated.
	ResumeFrom int       `json:"resume_from"`
	Started    time.Time `json:"started"`
}

// OrderRecord records an order and whether the engine accepted it.
type OrderRecord struct {
	Order    external.Order `json:"order"`
	Accepted bool           `json:"accepted"`
	At       time.Time      `json:"at"`
}

// maxRecords limits the number of records an emulated component keeps.
const maxRecords = 1 << 20

// NewEngine returns an engine that loads weights from store.
func NewEngine(options EngineOptions, store *Store) *Engine {
	return &Engine{
		options:     options,
		store:       store,
		incarnation: uint64(time.Now().UnixNano()),
		cache:       newPrefixCache(options.PrefixCacheEntries),
	}
}

// Restart simulates a crash: loaded versions and all requests are dropped.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.incarnation++
	e.loaded = nil
	e.fence = external.Fence{}
	for _, open := range slices.Concat(e.running, e.waiting) {
		close(open.events)
	}
	e.running, e.waiting = nil, nil
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) { e.faults.set(faults) }

// Pause makes the engine send nothing for a time, after which it goes on where it stopped.
func (e *Engine) Pause(duration time.Duration) { e.faults.pause(duration) }

// Handler serves the engine and its machine's store.
func (e *Engine) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(e.faults.holdWhilePaused, e.faults.rejectWhenDown)
	e.faults.mount(router)
	e.store.mount(router)
	e.mountCache(router)
	router.Get("/v1/status", func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, e.Status()) })
	router.Post("/v1/orders", e.order)
	router.Post("/v1/generate", e.generate)
	router.Post("/restart", func(writer http.ResponseWriter, _ *http.Request) {
		e.Restart()
		writer.WriteHeader(http.StatusNoContent)
	})
	router.Get("/records", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, e.Records())
	})
	router.Get("/orders", func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, e.Orders()) })
	return router
}

// Orders returns a copy of the order records.
func (e *Engine) Orders() []OrderRecord {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.orders)
}

// Records returns a copy of the generation records.
func (e *Engine) Records() []GenerationRecord {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.records)
}

// Status returns the loaded versions, which are current, and the load figures, which lag by up to
// ReportLag.
func (e *Engine) Status() external.EngineStatus {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if now := time.Now(); now.Sub(e.reportedAt) >= e.options.ReportLag {
		e.reported = external.EngineStatus{Running: len(e.running), Waiting: len(e.waiting)}
		e.reportedAt = now
	}
	status := e.reported
	status.Incarnation = e.incarnation
	status.Loaded = make([]external.LoadedVersion, 0, len(e.loaded))
	for _, loaded := range e.loaded {
		status.Loaded = append(status.Loaded, loaded.version)
	}
	return status
}

// Execute applies an order and records the result.
func (e *Engine) Execute(order external.Order) error {
	err := e.apply(order)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.orders) < maxRecords {
		e.orders = append(e.orders, OrderRecord{Order: order, Accepted: err == nil, At: time.Now()})
	}
	return err
}

func (e *Engine) apply(order external.Order) error {
	if reason := e.checkFence(order.Fence); reason != "" {
		return &fault.OrderRejected{Action: string(order.Action), Reason: reason}
	}
	switch order.Action {
	case external.ActionLoad:
		return e.load(order)
	case external.ActionUnload:
		e.unload(order)
		return nil
	}
	return &fault.OrderRejected{Action: string(order.Action), Reason: "unknown action"}
}

func (e *Engine) checkFence(fence external.Fence) string {
	if !e.options.CheckFences {
		return ""
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if fence.Compare(e.fence) <= 0 {
		return "fence is not higher than the last"
	}
	e.fence = fence
	return ""
}

// load reads the chunks from the store without verifying them. Verification is the agent's duty,
// and a corrupt chunk shows in the answers.
func (e *Engine) load(order external.Order) error {
	if refused := e.faults.get().RefusedVersion; refused != "" && refused == order.Version {
		return &fault.OrderRejected{Action: string(order.Action), Reason: "engine can't run version " + order.Version}
	}
	contents := make([]weights.Digest, 0, len(order.Chunks))
	for _, digest := range order.Chunks {
		content, found := e.store.Content(digest)
		if !found {
			return &fault.OrderRejected{Action: string(order.Action), Reason: "store lacks chunk " + string(digest)}
		}
		contents = append(contents, weights.Sum(content))
	}
	time.Sleep(e.options.LoadTime)
	version := external.LoadedVersion{Model: order.Model, Version: order.Version, Adapters: order.Adapters}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.removeLoaded(order.Model, order.Version)
	e.loaded = append(e.loaded, loadedWeights{version: version, identity: weights.Identity(contents)})
	return nil
}

func (e *Engine) unload(order external.Order) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.removeLoaded(order.Model, order.Version)
}

func (e *Engine) removeLoaded(model, version string) {
	e.loaded = slices.DeleteFunc(e.loaded, func(loaded loadedWeights) bool {
		return loaded.version.Model == model && loaded.version.Version == version
	})
}

func (e *Engine) order(writer http.ResponseWriter, request *http.Request) {
	var order external.Order
	if !readJSON(writer, request, &order) {
		return
	}
	if err := e.Execute(order); err != nil {
		http.Error(writer, err.Error(), http.StatusConflict)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

func (e *Engine) generate(writer http.ResponseWriter, request *http.Request) {
	var generation external.GenerationRequest
	if !readJSON(writer, request, &generation) {
		return
	}
	if e.faults.get().Stalled {
		<-request.Context().Done()
		return
	}
	events, ok := e.Submit(request.Context(), generation)
	if !ok {
		http.Error(writer, "version is not loaded", http.StatusConflict)
		return
	}
	writer.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(writer)
	flusher := http.NewResponseController(writer)
	for event := range events {
		if !e.faults.waitWhilePaused(request.Context()) {
			return
		}
		if e.faults.get().Stalled {
			<-request.Context().Done()
			return
		}
		if encoder.Encode(event) != nil || flusher.Flush() != nil {
			return
		}
	}
}

// Submit queues a request. The channel is closed after the last event, or early when the engine
// restarts. Submit returns false when the version is not loaded.
func (e *Engine) Submit(ctx context.Context, generation external.GenerationRequest) (<-chan external.GenerationEvent, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	index := slices.IndexFunc(e.loaded, func(loaded loadedWeights) bool {
		return loaded.version.Model == generation.Model && loaded.version.Version == generation.Version
	})
	if index < 0 {
		return nil, false
	}
	generation.MaximumTokens = min(generation.MaximumTokens, maxAnswerTokens)
	queued := &sequence{
		ctx:        ctx,
		generation: generation,
		weights:    e.loaded[index],
		next:       generation.ResumeFrom,
		events:     make(chan external.GenerationEvent, max(0, generation.MaximumTokens-generation.ResumeFrom)+2),
	}
	if len(e.records) < maxRecords {
		e.records = append(e.records, GenerationRecord{
			ID: generation.ID, Model: generation.Model, Version: generation.Version,
			ResumeFrom: generation.ResumeFrom, Started: time.Now(),
		})
	}
	e.enqueue(queued)
	if !e.stepping {
		e.stepping = true
		go e.decode()
	}
	return queued.events, true
}

// enqueue keeps the queue sorted by priority, and first in, first out within a priority.
func (e *Engine) enqueue(queued *sequence) {
	position := len(e.waiting)
	for position > 0 && e.waiting[position-1].generation.Priority < queued.generation.Priority {
		position--
	}
	e.waiting = slices.Insert(e.waiting, position, queued)
}

// decode runs decoding steps until no sequence is left.
func (e *Engine) decode() {
	for {
		pause, busy := e.beginStep()
		if !busy {
			return
		}
		time.Sleep(pause)
		e.endStep(pause)
	}
}

func (e *Engine) beginStep() (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.options.MaximumBatch {
		admitted := e.waiting[0]
		e.waiting = e.waiting[1:]
		admitted.prefill = e.options.FirstToken
		if e.cache.touch(admitted.generation.Prompt) {
			admitted.prefill /= 4
		}
		e.running = append(e.running, admitted)
	}
	if len(e.running) == 0 {
		e.stepping = false
		return 0, false
	}
	slowdown := 1 + e.options.BatchSlowdown*float64(len(e.running)-1)
	return time.Duration(float64(e.options.BetweenTokens) * slowdown), true
}

func (e *Engine) endStep(elapsed time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	kept := e.running[:0]
	for _, active := range e.running {
		if e.advance(active, elapsed) {
			kept = append(kept, active)
		} else {
			close(active.events)
		}
	}
	e.running = kept
}

// advance generates the next token of a sequence and reports whether the sequence continues.
func (e *Engine) advance(active *sequence, elapsed time.Duration) bool {
	if active.ctx.Err() != nil {
		return false
	}
	if active.prefill > 0 {
		active.prefill -= elapsed
		return true
	}
	event := external.GenerationEvent{Index: active.next, Version: active.weights.version.Version, Incarnation: e.incarnation}
	if active.next >= active.generation.MaximumTokens {
		event.Finish = external.FinishLength
		active.events <- event
		return false
	}
	event.Token = Token(active.weights.identity, active.generation.Adapter, active.generation.Prompt, active.next)
	active.next++
	if active.next >= active.generation.MaximumTokens {
		active.events <- event
		active.events <- external.GenerationEvent{Index: active.next, Finish: external.FinishLength, Version: event.Version, Incarnation: event.Incarnation}
		return false
	}
	active.events <- event
	return true
}
