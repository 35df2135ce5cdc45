// Package jmgate is the admission control of one upstream. It bounds the
// requests that run at once by slots, queues a bounded number of further
// requests for a bounded time, and bounds the open streams, feeds included.
package jmgate

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/load/jmreturn"
)

// The errors of Enter other than that of its context. A stream that gets one
// has not run.
var (
	ErrQueueFull      = errors.New("no slot and no room in the queue")
	ErrQueueTimeout   = errors.New("no slot came free in time")
	ErrTooManyStreams = errors.New("too many open streams")
)

// Limits bounds the open streams.
type Limits struct {
	Slots     int           // running requests
	Streams   int           // running and queued requests, and feeds
	Queue     int           // queued requests
	QueueWait time.Duration // time of one request in the queue
}

// Gate admits streams within its limits. The zero value admits none until
// SetLimits is called. It is safe for concurrent use.
type Gate struct {
	mu           sync.Mutex
	limits       Limits
	running      int
	feeds        int
	waiting      list.List     // of *waiter, in order of arrival
	meanHoldTime time.Duration // EWMA of the time that a request holds its slot
	returns      jmreturn.Schedule
}

// waiter is a request in the queue.
type waiter struct {
	admitted chan struct{} // closed when the request gets a slot
	element  *list.Element // of the queue
	timeout  time.Duration
}

// Usage counts the streams that are open at one time.
type Usage struct {
	Running int // requests that hold a slot
	Waiting int // requests in the queue
	Feeds   int
}

// SetLimits changes the limits. Streams that were admitted under larger limits
// continue.
func (g *Gate) SetLimits(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	g.admitWaiting()
}

// Usage returns the number of open streams.
func (g *Gate) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{Running: g.running, Waiting: g.waiting.Len(), Feeds: g.feeds}
}

// HasRoom reports whether a stream of the given kind fits within the limits
// without waiting in the queue.
func (g *Gate) HasRoom(kind jasminemoor.Kind) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hasFreeStream() && (kind == jasminemoor.KindFeed || g.hasFreeSlot())
}

// RetryAfter returns how long a refused request should wait before it comes back. Each
// call gives a place of its own in the drain of the queue, so that those that were refused
// don't come back together. A request whose ctx ends before its place takes none.
func (g *Gate) RetryAfter(ctx context.Context) time.Duration {
	now, patience := time.Now(), time.Duration(0)
	if deadline, found := ctx.Deadline(); found {
		patience = max(deadline.Sub(now), 1)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	holdTime := g.meanHoldTime
	if holdTime == 0 {
		holdTime = assumedHoldTime
	}
	return g.returns.Next(now, g.waiting.Len(), float64(g.limits.Slots)/holdTime.Seconds(), patience)
}

const (
	// assumedHoldTime is the mean hold time before the first request has ended.
	assumedHoldTime = 50 * time.Millisecond
	// holdTimeDivisor gives the newest sample a weight of 1/8 in the mean hold time.
	holdTimeDivisor = 8
)

// Enter admits a stream. A request that finds no free slot waits in the queue
// until ctx ends or QueueWait has passed. The caller must call release when the
// stream ends; further calls of it do nothing.
func (g *Gate) Enter(ctx context.Context, kind jasminemoor.Kind) (release func(), err error) {
	release, w, err := g.tryEnter(kind)
	if w == nil {
		return release, err
	}
	return g.wait(ctx, w)
}

// tryEnter admits a stream, refuses it, or queues it and returns its place in the queue.
func (g *Gate) tryEnter(kind jasminemoor.Kind) (release func(), w *waiter, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.returns.Arrive(time.Now())
	switch {
	case !g.hasFreeStream():
		return nil, nil, ErrTooManyStreams
	case kind == jasminemoor.KindFeed:
		g.feeds++
		return sync.OnceFunc(g.releaseFeed), nil, nil
	case g.waiting.Len() == 0 && g.hasFreeSlot():
		g.running++
		return g.newSlotRelease(), nil, nil
	case g.waiting.Len() >= g.limits.Queue:
		return nil, nil, ErrQueueFull
	}
	w = &waiter{admitted: make(chan struct{}), timeout: g.limits.QueueWait}
	w.element = g.waiting.PushBack(w)
	return nil, w, nil
}

// wait waits until a queued request gets a slot, and removes it from the queue
// if ctx or the timeout ends first.
func (g *Gate) wait(ctx context.Context, w *waiter) (release func(), err error) {
	timer := time.NewTimer(w.timeout)
	defer timer.Stop()
	select {
	case <-w.admitted:
		return g.newSlotRelease(), nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = ErrQueueTimeout
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.admitted:
		// The request got its slot just as it gave up. The slot goes to the next
		// in the queue.
		g.running--
		g.admitWaiting()
	default:
		g.waiting.Remove(w.element)
	}
	return nil, err
}

// newSlotRelease returns the function that frees the slot of a request admitted
// now, and measures how long the request held it.
func (g *Gate) newSlotRelease() func() {
	start := time.Now()
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.running--
		if g.meanHoldTime == 0 {
			g.meanHoldTime = time.Since(start)
		}
		g.meanHoldTime += (time.Since(start) - g.meanHoldTime) / holdTimeDivisor
		g.admitWaiting()
	})
}

func (g *Gate) releaseFeed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.feeds--
	g.admitWaiting()
}

func (g *Gate) hasFreeSlot() bool { return g.running < g.limits.Slots }

// hasFreeStream reports whether one more stream may be open.
func (g *Gate) hasFreeStream() bool {
	return g.running+g.waiting.Len()+g.feeds < g.limits.Streams
}

// admitWaiting gives the free slots to the queued requests, the oldest first.
func (g *Gate) admitWaiting() {
	for g.waiting.Len() > 0 && g.hasFreeSlot() {
		w := g.waiting.Remove(g.waiting.Front()).(*waiter)
		g.running++
		close(w.admitted)
	}
}
