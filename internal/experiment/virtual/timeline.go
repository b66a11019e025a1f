// Package virtual runs simulations in virtual time: functions run in the order of
// their times, and in the order in which they were scheduled if the times are equal.
package virtual

import (
	"container/heap"
	"time"
)

// Timeline is a virtual clock with a queue of scheduled functions. The zero value is at
// time zero with an empty queue.
type Timeline struct {
	now      time.Duration
	sequence int
	events   eventQueue
}

// Now returns the current virtual time.
func (t *Timeline) Now() time.Duration { return t.now }

// After schedules a function to run after a delay.
func (t *Timeline) After(delay time.Duration, action func()) {
	t.sequence++
	heap.Push(&t.events, event{at: t.now + delay, sequence: t.sequence, action: action})
}

// Pending reports whether any function is scheduled.
func (t *Timeline) Pending() bool { return len(t.events) > 0 }

// Step advances the clock to the next scheduled function and calls it. It panics if none
// is scheduled.
func (t *Timeline) Step() {
	next := heap.Pop(&t.events).(event)
	t.now = next.at
	next.action()
}

// event is a function scheduled for a virtual time.
type event struct {
	at       time.Duration
	sequence int
	action   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
