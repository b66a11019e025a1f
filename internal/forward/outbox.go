package forward

import (
	"sync"
	"sync/atomic"
)

// outbox keeps what is found out about servers, under their mutex, until whoever passes it on is told without
// that: it has a mutex of its own, which is held while it works through what thousands of agents tell. Only one request
// waits for it at a time: it tells what others find out meanwhile too, in the order in which that was found out, and looks
// again after it has let go of telling, because what was found out just before has been left to it.
type outbox[T any] struct {
	// found is guarded by the servers' mutex; untold is whether there is any.
	found  []T
	untold atomic.Bool
	// telling is taken before the servers' mutex.
	telling sync.Mutex
}

// add keeps one thing; the servers' mutex is held.
func (o *outbox[T]) add(one T) {
	o.found = append(o.found, one)
	o.untold.Store(true)
}

// deliver tells everything that was kept; the servers' mutex is not held.
func (o *outbox[T]) deliver(servers sync.Locker, tell func(T)) {
	for o.untold.Load() && o.telling.TryLock() {
		for _, one := range o.take(servers) {
			tell(one)
		}
		o.telling.Unlock()
	}
}

func (o *outbox[T]) take(servers sync.Locker) []T {
	servers.Lock()
	defer servers.Unlock()
	found := o.found
	o.found = nil
	o.untold.Store(false)
	return found
}
