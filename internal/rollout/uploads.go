package rollout

import (
	"context"
	"sync"
	"time"

	"pinevane.example/pinevane/coordination/dissemination"
)

// ticket is a waiting upload.
type ticket struct {
	height int
	piece  int
	turn   chan struct{}
}

// uploadQueue paces the pieces sent to peers: one at a time, first the one with the most machines
// waiting for it behind the peer that asks.
type uploadQueue struct {
	bytesPerSecond float64

	mutex   sync.Mutex
	waiting []*ticket
	// freeAt is when the uplink will have sent the pieces granted so far.
	freeAt  time.Time
	running bool
}

func newUploadQueue(bytesPerSecond float64) *uploadQueue {
	return &uploadQueue{bytesPerSecond: bytesPerSecond}
}

// backlog returns the number of waiting uploads.
func (u *uploadQueue) backlog() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return len(u.waiting)
}

// wait returns when a piece of a size may be sent.
func (u *uploadQueue) wait(ctx context.Context, height, piece, size int) error {
	if u.bytesPerSecond <= 0 {
		return ctx.Err()
	}
	own := &ticket{height: height, piece: piece, turn: make(chan struct{})}
	u.mutex.Lock()
	u.waiting = append(u.waiting, own)
	if !u.running {
		u.running = true
		go u.serve(size)
	}
	u.mutex.Unlock()
	select {
	case <-own.turn:
		return nil
	case <-ctx.Done():
		u.remove(own)
		return ctx.Err()
	}
}

func (u *uploadQueue) remove(canceled *ticket) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for index, queued := range u.waiting {
		if queued == canceled {
			u.waiting = append(u.waiting[:index], u.waiting[index+1:]...)
			return
		}
	}
}

// serve grants turns until no upload waits.
func (u *uploadQueue) serve(size int) {
	each := time.Duration(float64(size) / u.bytesPerSecond * float64(time.Second))
	for {
		u.mutex.Lock()
		delay := time.Until(u.freeAt)
		u.mutex.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		u.mutex.Lock()
		next := u.popMostUrgent()
		if next == nil {
			u.running = false
			u.mutex.Unlock()
			return
		}
		// If timers fire late, the next turn comes earlier to make up for it.
		u.freeAt = latest(u.freeAt, time.Now().Add(-each)).Add(each)
		u.mutex.Unlock()
		close(next.turn)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// popMostUrgent removes and returns the most urgent ticket. The caller holds the mutex.
func (u *uploadQueue) popMostUrgent() *ticket {
	if len(u.waiting) == 0 {
		return nil
	}
	best := 0
	for index, queued := range u.waiting {
		if dissemination.MoreUrgent(queued.height, queued.piece, u.waiting[best].height, u.waiting[best].piece) {
			best = index
		}
	}
	next := u.waiting[best]
	u.waiting = append(u.waiting[:best], u.waiting[best+1:]...)
	return next
}
