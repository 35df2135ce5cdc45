// Package jmgate admits requests and feeds to one upstream: a bounded number
// of slots for requests, a bounded number of open streams, and a short bounded
// queue that honours deadlines.
package jmgate

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// Errors of Enter. After each of them, nothing has run.
var (
	ErrFull    = errors.New("no slot and no room in the queue")
	ErrWaited  = errors.New("no slot came free in time")
	ErrStreams = errors.New("too many open streams")
)

// Limits bounds the work in hand.
type Limits struct {
	Slots     int
	Streams   int
	Queue     int
	QueueWait time.Duration
}

// Gate counts the work in hand. The zero value admits nothing until
// SetLimits; it is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	limits   Limits
	running  int
	feeds    int
	waiting  list.List // of *waiter, in order of arrival
	holdTime time.Duration
}

type waiter struct {
	admitted chan struct{}
}

// Usage is the work in hand at one time.
type Usage struct {
	Running int // requests that hold a slot
	Waiting int // requests in the queue
	Feeds   int
}

// SetLimits changes the limits. Work that was admitted under larger ones goes on.
func (g *Gate) SetLimits(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	g.admitWaiting()
}

// Usage returns the work in hand.
func (g *Gate) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{Running: g.running, Waiting: g.waiting.Len(), Feeds: g.feeds}
}

// HasRoom reports whether a stream of the kind would be admitted without waiting.
func (g *Gate) HasRoom(kind jasminemoor.Kind) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hasStream() && (kind == jasminemoor.KindFeed || g.hasSlot())
}

// RetryAfter estimates when a refused request may find a slot: the time in
// which the queue drains, at the mean time that a slot is held.
func (g *Gate) RetryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.Slots == 0 {
		return minRetryAfter
	}
	drain := g.holdTime * time.Duration(g.waiting.Len()+1) / time.Duration(g.limits.Slots)
	return min(max(drain, minRetryAfter), maxRetryAfter)
}

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// holdTimeShare is the share of the newest sample in the mean hold time, as 1/n.
	holdTimeShare = 8
)

// Enter admits a stream, or waits for a slot until ctx ends or the queue's
// limit passes. The release function must be called once the stream ends.
func (g *Gate) Enter(ctx context.Context, kind jasminemoor.Kind) (release func(), err error) {
	g.mu.Lock()
	if !g.hasStream() {
		g.mu.Unlock()
		return nil, ErrStreams
	}
	if kind == jasminemoor.KindFeed {
		g.feeds++
		g.mu.Unlock()
		return sync.OnceFunc(g.leaveFeed), nil
	}
	if g.waiting.Len() == 0 && g.hasSlot() {
		g.running++
		g.mu.Unlock()
		return g.slotRelease(), nil
	}
	if g.waiting.Len() >= g.limits.Queue {
		g.mu.Unlock()
		return nil, ErrFull
	}
	w := &waiter{admitted: make(chan struct{})}
	place := g.waiting.PushBack(w)
	limit := g.limits.QueueWait
	g.mu.Unlock()
	return g.wait(ctx, w, place, limit)
}

func (g *Gate) wait(ctx context.Context, w *waiter, place *list.Element, limit time.Duration) (release func(), err error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.admitted:
		return g.slotRelease(), nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = ErrWaited
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.admitted:
		// The slot came at the same moment; give it to the next in line.
		g.running--
		g.admitWaiting()
	default:
		g.waiting.Remove(place)
	}
	return nil, err
}

func (g *Gate) slotRelease() func() {
	start := time.Now()
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.running--
		g.holdTime += (time.Since(start) - g.holdTime) / holdTimeShare
		g.admitWaiting()
	})
}

func (g *Gate) leaveFeed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.feeds--
	g.admitWaiting()
}

func (g *Gate) hasSlot() bool { return g.running < g.limits.Slots }

func (g *Gate) hasStream() bool {
	return g.running+g.waiting.Len()+g.feeds < g.limits.Streams
}

func (g *Gate) admitWaiting() {
	for g.waiting.Len() > 0 && g.hasSlot() {
		w := g.waiting.Remove(g.waiting.Front()).(*waiter)
		g.running++
		close(w.admitted)
	}
}
