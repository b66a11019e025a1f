package rollout

import (
	"context"
	"sync"
	"time"

	"pinevane.example/pinevane/coordination/dissemination"
)

// ticket is one waiting upload.
type ticket struct {
	height int
	piece  int
	turn   chan struct{}
}

// uploadQueue paces what is sent to peers: one piece after the other, first the one
// that most machines wait for behind the peer that asks.
type uploadQueue struct {
	bytesPerSecond float64

	mutex   sync.Mutex
	waiting []*ticket
	// freeAt is when the uplink has sent what it was given.
	freeAt  time.Time
	running bool
}

func newUploadQueue(bytesPerSecond float64) *uploadQueue {
	return &uploadQueue{bytesPerSecond: bytesPerSecond}
}

// backlog returns how many uploads wait.
func (u *uploadQueue) backlog() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return len(u.waiting)
}

// wait returns when it is the turn of a piece of a size.
func (u *uploadQueue) wait(ctx context.Context, height, piece, size int) error {
	if u.bytesPerSecond <= 0 {
		return ctx.Err()
	}
	mine := &ticket{height: height, piece: piece, turn: make(chan struct{})}
	u.mutex.Lock()
	u.waiting = append(u.waiting, mine)
	if !u.running {
		u.running = true
		go u.serve(size)
	}
	u.mutex.Unlock()
	select {
	case <-mine.turn:
		return nil
	case <-ctx.Done():
		u.remove(mine)
		return ctx.Err()
	}
}

func (u *uploadQueue) remove(gone *ticket) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for index, one := range u.waiting {
		if one == gone {
			u.waiting = append(u.waiting[:index], u.waiting[index+1:]...)
			return
		}
	}
}

// serve gives turns until nothing waits.
func (u *uploadQueue) serve(size int) {
	each := time.Duration(float64(size) / u.bytesPerSecond * float64(time.Second))
	for {
		u.mutex.Lock()
		pauseTime := time.Until(u.freeAt)
		u.mutex.Unlock()
		if pauseTime > 0 {
			time.Sleep(pauseTime)
		}
		u.mutex.Lock()
		next := u.popMostUrgent()
		if next == nil {
			u.running = false
			u.mutex.Unlock()
			return
		}
		// A turn that comes late, because timers do, is made up for by the next.
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

// popMostUrgent takes the most urgent ticket; the mutex is held.
func (u *uploadQueue) popMostUrgent() *ticket {
	if len(u.waiting) == 0 {
		return nil
	}
	best := 0
	for index, one := range u.waiting {
		if dissemination.MoreUrgent(one.height, one.piece, u.waiting[best].height, u.waiting[best].piece) {
			best = index
		}
	}
	next := u.waiting[best]
	u.waiting = append(u.waiting[:best], u.waiting[best+1:]...)
	return next
}
