// Package jmclock has a virtual clock for simulations. It runs scheduled events in
// the order of their times, without waiting between them.
package jmclock

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with a queue of events. The zero value is at time zero,
// without events. A Clock isn't safe for concurrent use.
type Clock struct {
	now       time.Duration
	queue     queue
	scheduled int // number of events scheduled so far
}

// Now returns the virtual time since the start.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules do to run when the time d has passed.
func (c *Clock) After(d time.Duration, do func()) {
	c.scheduled++
	heap.Push(&c.queue, event{at: c.now + d, order: c.scheduled, do: do})
}

// Every schedules do to run repeatedly, for the first time after one interval.
func (c *Clock) Every(interval time.Duration, do func()) {
	c.After(interval, func() {
		do()
		c.Every(interval, do)
	})
}

// RunUntil runs the events up to and including the time end, and sets the clock to
// it.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// event is a function to run at a virtual time.
type event struct {
	at    time.Duration
	order int // order of scheduling, which breaks ties so that a run is repeatable
	do    func()
}

// queue is a heap of events, the earliest first.
type queue []event

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
