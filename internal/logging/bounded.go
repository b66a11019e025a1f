package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the log buffer.
const (
	// maxBufferedBytes bounds the bytes that wait to be written.
	maxBufferedBytes = 256 << 10
	// flushInterval is the longest time that a line is held back to be written together with others.
	flushInterval = 100 * time.Millisecond
)

// boundedWriter accepts lines without blocking and writes them in the background.
type boundedWriter struct {
	output io.Writer
	// onDropped is called with the number of dropped lines once there is room again.
	onDropped func(lines int64)

	mutex   sync.Mutex
	pending []byte
	spare   []byte
	dropped atomic.Int64
	wake    chan struct{}
	writing sync.Mutex
}

func newBoundedWriter(output io.Writer) *boundedWriter {
	w := &boundedWriter{output: output, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write implements io.Writer; it never blocks on the output.
func (w *boundedWriter) Write(line []byte) (int, error) {
	w.mutex.Lock()
	if len(w.pending)+len(line) > maxBufferedBytes {
		w.mutex.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	first := len(w.pending) == 0
	w.pending = append(w.pending, line...)
	w.mutex.Unlock()
	if first {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *boundedWriter) Sync() error { return nil }

func (w *boundedWriter) run() {
	for range w.wake {
		time.Sleep(flushInterval)
		w.flush()
		if dropped := w.dropped.Swap(0); dropped > 0 && w.onDropped != nil {
			w.onDropped(dropped)
		}
	}
}

// flush writes the pending lines.
func (w *boundedWriter) flush() {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mutex.Lock()
	lines := w.pending
	w.pending = w.spare[:0]
	w.mutex.Unlock()
	if len(lines) > 0 {
		// A failed write of the log can't be reported anywhere.
		_, _ = w.output.Write(lines)
	}
	w.spare = lines
}
