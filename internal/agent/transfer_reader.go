package agent

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pinevane.example/pinevane/internal/fault"
)

// rateLimitedReader limits the rate of reads.
type rateLimitedReader struct {
	ctx     context.Context
	reader  io.Reader
	limiter *rate.Limiter
}

// Read implements io.Reader.
func (r *rateLimitedReader) Read(buffer []byte) (int, error) {
	count, err := r.reader.Read(buffer[:min(len(buffer), transferBlock)])
	if count > 0 {
		if waitErr := r.limiter.WaitN(r.ctx, count); waitErr != nil {
			return count, waitErr
		}
	}
	return count, err
}

// stallDetector cancels a transfer that makes too little progress in a window,
// regardless of the state of its connection.
type stallDetector struct {
	reader   io.Reader
	received atomic.Int64
	done     atomic.Bool

	// mutex makes the timer's callback wait until timer is set: with a short window the callback
	// runs before time.AfterFunc has returned.
	mutex sync.Mutex
	timer *time.Timer
}

// startWindows is the number of windows within which the first byte must arrive. It is
// more than one because a source limits its concurrent uploads and queues the others.
const startWindows = 5

func newStallDetector(source string, window time.Duration, cancel context.CancelCauseFunc) *stallDetector {
	detector := &stallDetector{}
	var previous int64
	windows := 0
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.timer = time.AfterFunc(window, func() {
		detector.mutex.Lock()
		defer detector.mutex.Unlock()
		received := detector.received.Load()
		if detector.done.Load() {
			return
		}
		windows++
		if received == 0 && windows < startWindows {
			detector.timer.Reset(window)
			return
		}
		if received-previous < minBytesPerWindow {
			cancel(&fault.Stalled{Source: source, Received: received, Window: window})
			return
		}
		previous = received
		detector.timer.Reset(window)
	})
	return detector
}

// Read implements io.Reader.
func (g *stallDetector) Read(buffer []byte) (int, error) {
	count, err := g.reader.Read(buffer)
	g.received.Add(int64(count))
	return count, err
}

func (g *stallDetector) stop() {
	g.done.Store(true)
	g.timer.Stop()
}
