package rollout

import (
	"context"
	"sync"
	"time"
)

// Bounds of the pace of fetches.
const (
	// slowShare times the time that the machine's link takes for a piece is the time of a
	// piece's bytes from which fewer are fetched at once, and quickShare times it the one
	// under which more are: the pieces that stand in the link hold up the requests to the
	// machine's server, each by its time.
	slowShare  = 6.0
	quickShare = 3.5
	// slowPiece and quickPiece are these times where the link is not known.
	slowPiece  = 400 * time.Millisecond
	quickPiece = 250 * time.Millisecond
	// quickPieces in a row allow one more fetch.
	quickPieces = 4
)

// fetchPace bounds the pieces under way to this machine, so that on a link that
// has become narrow they do not hold up the server's own requests: the bound is
// halved by each slow piece, and grows with quick ones.
type fetchPace struct {
	// slow and quick are the times of a piece from which the bound falls, and under which
	// it grows.
	slow  time.Duration
	quick time.Duration

	mutex  sync.Mutex
	limit  int
	active int
	// quicks counts the quick pieces in a row.
	quicks int
	freed  chan struct{}
}

// newFetchPace returns the pace for a link that takes a time for a piece; 0 when that is
// not known.
func newFetchPace(pieceTime time.Duration) *fetchPace {
	pace := &fetchPace{slow: slowPiece, quick: quickPiece, limit: maximumFetches, freed: make(chan struct{}, 1)}
	if pieceTime > 0 {
		pace.slow = min(slowPiece, time.Duration(slowShare*float64(pieceTime)))
		pace.quick = min(quickPiece, time.Duration(quickShare*float64(pieceTime)))
	}
	return pace
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
	case took > p.slow:
		p.limit, p.quicks = max(1, p.limit/2), 0
	case took < p.quick:
		p.quicks++
		if p.quicks >= quickPieces && p.limit < maximumFetches {
			p.limit, p.quicks = p.limit+1, 0
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
