package forward

import (
	"sync"
	"sync/atomic"
)

// outbox queues messages, under the mutex of targets, until they are sent without holding it: the
// receiving catalog has a mutex of its own, which is held while it processes the reports of
// thousands of agents. Only one request at a time waits for the catalog. It also sends what others
// queue meanwhile, in the order queued, and checks the queue again after releasing the delivering
// mutex, because others leave to it what they queued just before.
type outbox[T any] struct {
	// queued is guarded by the mutex of targets; pending is set while it is not empty.
	queued  []T
	pending atomic.Bool
	// delivering is locked before the mutex of targets.
	delivering sync.Mutex
}

// add queues a message. The mutex of targets must be held.
func (o *outbox[T]) add(message T) {
	o.queued = append(o.queued, message)
	o.pending.Store(true)
}

// deliver sends all queued messages. The mutex of targets must not be held.
func (o *outbox[T]) deliver(servers sync.Locker, send func(T)) {
	for o.pending.Load() && o.delivering.TryLock() {
		for _, message := range o.take(servers) {
			send(message)
		}
		o.delivering.Unlock()
	}
}

func (o *outbox[T]) take(servers sync.Locker) []T {
	servers.Lock()
	defer servers.Unlock()
	messages := o.queued
	o.queued = nil
	o.pending.Store(false)
	return messages
}
