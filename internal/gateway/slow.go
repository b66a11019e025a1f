package gateway

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pinevane.example/pinevane/internal/bytequota"
	"pinevane.example/pinevane/internal/network"
)

// Limits on the resources held for slow callers.
const (
	// memoryFraction is the largest fraction of the process's memory that is held for callers. Bodies and
	// responses are copied once while they grow, and their garbage stays until it is collected, so that
	// the actual use is about three times as much.
	memoryFraction = 0.125
	// minMemory is the lower bound, also used where the settings set no memory limit.
	minMemory = 8 << 20
	// writeChunkBytes is how much of a response a caller must read within writeTimeout: a caller that
	// reads half a kilobyte a second gets its complete response, one that has stopped reading is cut off.
	writeChunkBytes = 4 << 10
	writeTimeout    = 8 * time.Second
)

// newMemory returns the quota for an entry's callers, given the memory limit of the process.
func newMemory(memoryBytes int64) *bytequota.Quota {
	return bytequota.New(max(minMemory, int64(memoryFraction*float64(memoryBytes))))
}

// callerWriter writes a response to a caller that may read slowly. Without a timeout, a caller that
// has stopped reading would hold the request and the connection to its server until it disconnects.
type callerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	// chunkTimeout is the time that the caller has for each writeChunkBytes.
	chunkTimeout time.Duration
	// lastResponse reports whether the connection is to be closed after the response; nil means that
	// it is not.
	lastResponse func() bool
	headSent     bool
}

// newCallerWriter returns a writer without a deadline until the first write, as a response may begin late.
func newCallerWriter(writer http.ResponseWriter, chunkTimeout time.Duration) *callerWriter {
	control := http.NewResponseController(writer)
	_ = control.SetWriteDeadline(time.Time{})
	return &callerWriter{ResponseWriter: writer, control: control, chunkTimeout: chunkTimeout}
}

// Unwrap lets http.ResponseController reach the methods that callerWriter does not implement.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *callerWriter) WriteHeader(status int) {
	w.headSent = true
	if w.lastResponse != nil && w.lastResponse() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *callerWriter) Write(data []byte) (int, error) {
	if !w.headSent {
		w.WriteHeader(http.StatusOK)
	}
	written := 0
	for {
		chunk := data[written:min(len(data), written+writeChunkBytes)]
		w.extendDeadline()
		count, err := w.ResponseWriter.Write(chunk)
		written += count
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// Flush implements http.Flusher.
func (w *callerWriter) Flush() {
	w.extendDeadline()
	_ = w.control.Flush()
}

// extendDeadline renews the write deadline for the next chunk, or for the end of the response, which
// the HTTP library writes.
func (w *callerWriter) extendDeadline() {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.chunkTimeout))
}

// SetWriteDeadline implements net.Conn.
func (c *callerConnection) SetWriteDeadline(deadline time.Time) error {
	c.mutex.Lock()
	c.writeAllowance = 0
	if !deadline.IsZero() {
		c.writeAllowance = time.Until(deadline)
	}
	c.mutex.Unlock()
	return c.Conn.SetWriteDeadline(deadline)
}

// writeWhileRead writes data and renews the write deadline as long as the caller keeps reading. That a
// write waits does not show that it has stopped: the kernel buffers megabytes for a connection, and
// admits more only when a third of that is free, which takes a slow reader minutes.
func (c *callerConnection) writeWhileRead(data []byte) (int, error) {
	written := 0
	acknowledged := uint64(0)
	if len(data) >= writeChunkBytes {
		// Shorter writes seldom wait. For them the question would cost more than one needless renewal.
		acknowledged = c.acknowledged()
	}
	for {
		count, err := c.Conn.Write(data[written:])
		written += count
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		before := acknowledged
		acknowledged = c.acknowledged()
		if acknowledged < before+writeChunkBytes {
			return written, err
		}
		c.renewWriteDeadline()
	}
}

func (c *callerConnection) renewWriteDeadline() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(c.writeAllowance))
}

// acknowledged returns how many bytes the caller's machine has acknowledged, which it does only while
// there is room in its buffer; 0 if that is unknown.
func (c *callerConnection) acknowledged() uint64 {
	state, known := network.ReadTCPState(c.Conn)
	if !known {
		return 0
	}
	return state.BytesAcknowledged
}

// registerMemory registers metrics of the memory held for callers.
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
