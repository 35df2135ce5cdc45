// Package jmclock runs events in virtual time, in the order of their times.
package jmclock

import (
	"container/heap"
	"time"
)

// Clock runs events. The zero value is at time zero, without events. It is for
// one goroutine.
type Clock struct {
	now    time.Duration
	queue  queue
	pushed int
}

// Now returns the virtual time since the start.
func (c *Clock) Now() time.Duration { return c.now }

// After runs do once the time d has passed.
func (c *Clock) After(d time.Duration, do func()) {
	c.pushed++
	heap.Push(&c.queue, event{at: c.now + d, order: c.pushed, do: do})
}

// Every runs do again and again.
func (c *Clock) Every(interval time.Duration, do func()) {
	c.After(interval, func() {
		do()
		c.Every(interval, do)
	})
}

// RunUntil runs the events up to the time end.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int // breaks ties, so that a seed gives one run
	do    func()
}

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
