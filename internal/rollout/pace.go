package rollout

import (
	"context"
	"sync"
	"time"
)

// Bounds of the pace of fetches.
const (
	// slowPiece is the time of a piece's bytes from which fewer are fetched at once, and
	// quickPiece the time under which more are.
	slowPiece  = 400 * time.Millisecond
	quickPiece = 250 * time.Millisecond
	// quickPieces in a row allow one more fetch.
	quickPieces = 4
)

// fetchPace bounds the pieces under way to this machine, so that on a link that
// has become narrow they do not hold up the server's own requests: the bound is
// halved by each slow piece, and grows with quick ones.
type fetchPace struct {
	mutex  sync.Mutex
	limit  int
	active int
	quick  int
	freed  chan struct{}
}

func newFetchPace() *fetchPace {
	return &fetchPace{limit: maximumFetches, freed: make(chan struct{}, 1)}
}

// acquire waits until one more piece may be fetched.
func (p *fetchPace) acquire(ctx context.Context) error {
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
		case <-p.freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// release notes the end of a fetch and the time that its bytes took.
func (p *fetchPace) release(took time.Duration) {
	p.mutex.Lock()
	p.active--
	switch {
	case took > slowPiece:
		p.limit, p.quick = max(1, p.limit/2), 0
	case took < quickPiece:
		p.quick++
		if p.quick >= quickPieces && p.limit < maximumFetches {
			p.limit, p.quick = p.limit+1, 0
		}
	}
	p.mutex.Unlock()
	p.signal()
}

func (p *fetchPace) signal() {
	select {
	case p.freed <- struct{}{}:
	default:
	}
}
