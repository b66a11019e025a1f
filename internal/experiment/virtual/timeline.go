// Package virtual runs simulations in virtual time: things happen in order of
// their time, and of their scheduling when the times are equal.
package virtual

import (
	"container/heap"
	"time"
)

// Timeline is a virtual clock with what is to happen on it. The zero value is at
// time zero with nothing to happen.
type Timeline struct {
	now    time.Duration
	order  int
	events eventQueue
}

// Now returns the virtual time.
func (t *Timeline) Now() time.Duration { return t.now }

// After schedules a function.
func (t *Timeline) After(delay time.Duration, do func()) {
	t.order++
	heap.Push(&t.events, event{at: t.now + delay, order: t.order, do: do})
}

// Pending reports whether anything is still to happen.
func (t *Timeline) Pending() bool { return len(t.events) > 0 }

// Step moves to the next function and calls it; something must be pending.
func (t *Timeline) Step() {
	next := heap.Pop(&t.events).(event)
	t.now = next.at
	next.do()
}

// event is something that happens at a virtual time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
