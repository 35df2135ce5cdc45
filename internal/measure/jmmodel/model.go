// Package jmmodel is a model of the systems served: unequal upstreams under a
// seeded load of flows and requests, in virtual time. It drives the real
// placement decisions and naive ones over the same load, for measuring
// imbalance.
package jmmodel

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Site is a system to model.
type Site struct {
	Name        string
	DataCentres int
	// Weights has the relative speed of each upstream of one service. The
	// upstreams are spread over the data centres in turn.
	Weights []uint32
	Slots   int
	// ServiceTime is the mean time of a request at the slowest upstream, and
	// LinkDelay what a relay or a hand-over to another data centre adds one way.
	ServiceTime time.Duration
	LinkDelay   time.Duration
}

// The services of the users that are measured first.
var (
	Rangla = Site{
		Name:        "rangla shop-floor",
		DataCentres: 3,
		Weights:     []uint32{1, 2, 4, 1, 2, 4, 1},
		Slots:       5,
		ServiceTime: 200 * time.Millisecond,
		LinkDelay:   3 * time.Millisecond,
	}
	Halloran = Site{
		Name:        "halloran cart-orders",
		DataCentres: 4,
		Weights:     []uint32{4, 1, 2, 1, 4, 2, 1},
		Slots:       5,
		ServiceTime: 200 * time.Millisecond,
		LinkDelay:   5 * time.Millisecond,
	}
)

// Load is the seeded load of a run.
type Load struct {
	Seed     uint64
	Duration time.Duration
	// Flows is the mean number of open flows.
	Flows int
	// FlowLife is the mean life of a flow.
	FlowLife time.Duration
	// Utilisation is the share of all upstreams' capacity that is asked for.
	Utilisation float64
}

// Result is what a run measured.
type Result struct {
	Policy   string
	Requests int
	// PeakOverMean is the load of the most loaded upstream over that of all,
	// load being the work that came in ten seconds over what can be done in
	// that time, as a mean over the run.
	PeakOverMean float64
	// FlowsPeakOverMean is the same for open flows over capacity.
	FlowsPeakOverMean float64
	WaitP50           time.Duration
	WaitP99           time.Duration
	// Refused is how many requests found no room.
	Refused int
	// Crossing is the share of requests and hand-overs that went to another
	// data centre than the one they first reached.
	Crossing float64
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int // breaks ties, so that a seed gives one run
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

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// clock runs events in the order of their times.
type clock struct {
	now    time.Duration
	queue  eventQueue
	pushed int
}

func (c *clock) after(d time.Duration, do func()) {
	c.pushed++
	heap.Push(&c.queue, event{at: c.now + d, order: c.pushed, do: do})
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// exponential returns a random time with the given mean.
func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}
