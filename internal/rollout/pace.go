package rollout

import (
	"context"
	"sync"
	"time"
)

// Thresholds of the fetch limiter.
const (
	// A piece whose body takes longer than slowPieceTime halves the limit; one that takes less than
	// fastPieceTime counts toward raising it.
	slowPieceTime = 400 * time.Millisecond
	fastPieceTime = 250 * time.Millisecond
	// fastPieceRun consecutive fast pieces raise the limit by one.
	fastPieceRun = 4
)

// fetchLimiter bounds the concurrent fetches to this machine, so that pieces on a congested link do
// not delay the server's own requests. Each slow piece halves the limit, and a run of fast ones
// raises it.
type fetchLimiter struct {
	mutex    sync.Mutex
	limit    int
	active   int
	fastRun  int
	released chan struct{}
}

func newFetchLimiter() *fetchLimiter {
	return &fetchLimiter{limit: maxFetches, released: make(chan struct{}, 1)}
}

// acquire waits until one more piece may be fetched.
func (p *fetchLimiter) acquire(ctx context.Context) error {
	for {
		p.mutex.Lock()
		if p.active < p.limit {
			p.active++
			more := p.active < p.limit
			p.mutex.Unlock()
			if more {
				p.signal()
			}
			return nil
		}
		p.mutex.Unlock()
		select {
		case <-p.released:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// release ends a fetch and adjusts the limit to the time that the piece's body took.
func (p *fetchLimiter) release(took time.Duration) {
	p.mutex.Lock()
	p.active--
	switch {
	case took > slowPieceTime:
		p.limit, p.fastRun = max(1, p.limit/2), 0
	case took < fastPieceTime:
		p.fastRun++
		if p.fastRun >= fastPieceRun && p.limit < maxFetches {
			p.limit, p.fastRun = p.limit+1, 0
		}
	}
	p.mutex.Unlock()
	p.signal()
}

func (p *fetchLimiter) signal() {
	select {
	case p.released <- struct{}{}:
	default:
	}
}
