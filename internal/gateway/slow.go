package gateway

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pinevane.example/pinevane/internal/bytequota"
)

// Bounds on what is kept for callers that are slow.
const (
	// memoryShare of what the process may use is held for callers at most. Bodies and answers are copied
	// once while they grow, and garbage of them stands until it is collected: about three times as much.
	memoryShare = 0.125
	// leastMemory is held in any case, and where the settings name no memory.
	leastMemory = 8 << 20
	// writePiece is how much of an answer a caller must take within writeTime: a reader of half a
	// kilobyte a second gets its answer whole, one that has stopped reading is given up.
	writePiece = 4 << 10
	writeTime  = 8 * time.Second
)

// newMemory is what an entry of a memory may hold for its callers.
func newMemory(memoryBytes int64) *bytequota.Quota {
	return bytequota.New(max(leastMemory, int64(memoryShare*float64(memoryBytes))))
}

// callerWriter writes an answer to a caller that may be slow to read. Without a bound a caller that
// reads nothing any more holds the request, and the connection to its server, until it leaves.
type callerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	// pieceTime is what the caller has for each writePiece.
	pieceTime time.Duration
}

// newCallerWriter returns the writer of an answer that may take its time to begin.
func newCallerWriter(writer http.ResponseWriter, pieceTime time.Duration) *callerWriter {
	control := http.NewResponseController(writer)
	_ = control.SetWriteDeadline(time.Time{})
	return &callerWriter{ResponseWriter: writer, control: control, pieceTime: pieceTime}
}

// Unwrap lets http.ResponseController find what this writer does not do itself.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer.
func (w *callerWriter) Write(data []byte) (int, error) {
	written := 0
	for {
		piece := data[written:min(len(data), written+writePiece)]
		w.extend()
		count, err := w.ResponseWriter.Write(piece)
		written += count
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// Flush implements http.Flusher.
func (w *callerWriter) Flush() {
	w.extend()
	_ = w.control.Flush()
}

// extend gives the caller time for the next piece, or for the end of the answer, which the library
// writes.
func (w *callerWriter) extend() { _ = w.control.SetWriteDeadline(time.Now().Add(w.pieceTime)) }

// registerMemory tells what is held for callers as metrics.
func registerMemory(registry prometheus.Registerer, memory *bytequota.Quota) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "pinevane_caller_held_bytes", Help: "Bodies and answers that are held for callers."},
			func() float64 { return float64(memory.Status().Held) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "pinevane_caller_held_bound_bytes", Help: "The most that may be held for callers."},
			func() float64 { return float64(memory.Status().Bound) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "pinevane_caller_memory_refusals_total", Help: "Times that a body or an answer could not be held."},
			func() float64 { return float64(memory.Status().Refused) }),
	)
}
