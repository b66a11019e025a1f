package rollout

import (
	"context"
	"sync"
	"time"
)

// Bounds of the pace of fetches.
const (
	// slowPieceTime is the time of a piece's bytes from which fewer are fetched at once, and
	// quickPiece the time under which more are.
	slowPieceTime = 400 * time.Millisecond
	fastPieceTime = 250 * time.Millisecond
	// fastPieceRun in a row allow one more fetch.
	fastPieceRun = 4
)

// fetchLimiter bounds the pieces under way to this machine, so that on a link that
// has become narrow they do not hold up the server's own requests: the bound is
// halved by each slow piece, and grows with quick ones.
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

// release notes the end of a fetch and the time that its bytes took.
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
