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

// shapedReader reads no faster than a limiter allows.
type shapedReader struct {
	ctx     context.Context
	reader  io.Reader
	limiter *rate.Limiter
}

// Read implements io.Reader.
func (r *shapedReader) Read(buffer []byte) (int, error) {
	count, err := r.reader.Read(buffer[:min(len(buffer), transferBlock)])
	if count > 0 {
		if waitErr := r.limiter.WaitN(r.ctx, count); waitErr != nil {
			return count, waitErr
		}
	}
	return count, err
}

// stallGuard cancels a transfer that makes too little progress in a window,
// whatever the state of its connection.
type stallGuard struct {
	reader   io.Reader
	received atomic.Int64
	done     atomic.Bool

	// mutex has a look at the progress wait until its timer is known here: of a short window it comes
	// before time.AfterFunc has returned.
	mutex sync.Mutex
	timer *time.Timer
}

// busyWindows is how many windows a source may take to begin: it sends few
// chunks at once and lets others wait.
const busyWindows = 5

func newStallGuard(source string, window time.Duration, cancel context.CancelCauseFunc) *stallGuard {
	guard := &stallGuard{}
	var before int64
	windows := 0
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.timer = time.AfterFunc(window, func() {
		guard.mutex.Lock()
		defer guard.mutex.Unlock()
		received := guard.received.Load()
		if guard.done.Load() {
			return
		}
		windows++
		if received == 0 && windows < busyWindows {
			guard.timer.Reset(window)
			return
		}
		if received-before < minimumBytesPerWindow {
			cancel(&fault.Stalled{Source: source, Received: received, Window: window})
			return
		}
		before = received
		guard.timer.Reset(window)
	})
	return guard
}

// Read implements io.Reader.
func (g *stallGuard) Read(buffer []byte) (int, error) {
	count, err := g.reader.Read(buffer)
	g.received.Add(int64(count))
	return count, err
}

func (g *stallGuard) stop() {
	g.done.Store(true)
	g.timer.Stop()
}
