package jmpass

import (
	"net/netip"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/load/jmcapacity"
)

// capacity measures the upstream's work. The upstream works on as many requests at a time
// as it has slots, in the order in which it gets them, and any other request waits.
type capacity struct {
	estimate jmcapacity.Estimate[netip.AddrPort] // by service address
	// feeds is the demand of the flows that are long-lived.
	feeds jmcapacity.Demand
	// running has the flows with a request in flight, in the order in which these were
	// sent.
	running []*flow
	slots   int
	now     time.Time // of the input at hand
}

// begin sets the time of an input and the number of the upstream's slots.
func (c *capacity) begin(now time.Time, slots int) { c.now, c.slots = now, slots }

// startRequest records that a request was sent to the upstream.
func (c *capacity) startRequest(f *flow) {
	if c.now.Sub(f.opened) >= minLongLivedAge {
		c.feeds.Add(c.now)
	}
	f.workStarted = time.Time{}
	if len(c.running) < c.slots {
		f.workStarted = c.now
	}
	c.running = append(c.running, f)
}

// endRequest records that a request in flight has ended. The upstream begins to work on
// the first one that has waited there.
func (c *capacity) endRequest(f *flow) {
	at := slices.Index(c.running, f)
	if at < 0 {
		return
	}
	c.running = slices.Delete(c.running, at, at+1)
	for _, next := range c.running[:min(c.slots, len(c.running))] {
		if next.workStarted.IsZero() {
			next.workStarted = c.now
		}
	}
}

// answered records the answer to a flow's request in flight.
func (c *capacity) answered(f *flow, service netip.AddrPort) {
	if !f.workStarted.IsZero() {
		c.estimate.Record(c.now, service, c.now.Sub(f.workStarted))
	}
}

// load returns the upstream's load, where queued requests wait for it at the agent.
func (c *capacity) load(now time.Time, queued int) jmcapacity.Load {
	l := jmcapacity.Load{InFlight: len(c.running), Queued: queued, Slots: c.slots, FeedRate: c.feeds.PerSecond(now)}
	limit := jmcapacity.TailFactor * c.estimate.Usual(now)
	for _, f := range c.running[:min(c.slots, len(c.running))] {
		if limit > 0 && !f.workStarted.IsZero() && now.Sub(f.workStarted) > limit {
			l.Overdue++
		}
	}
	return l
}

// Capacity is what an agent knows of its upstream's capacity and load.
type Capacity struct {
	// Usual is the usual time of the work of a request, Mean its mean with the tail, and
	// Wait the time that a request would take that arrives now. They are 0 if they are not
	// known.
	Usual, Mean, Wait time.Duration
	// TailShare is the share of the requests whose work takes much longer than usual.
	TailShare float64
	// Rate is how many requests a second the upstream can answer, 0 if that is not known.
	Rate float64
	// FeedRate is how many requests a second the long-lived flows ask.
	FeedRate float64
}

// Capacity returns what is known of the upstream's capacity and load.
func (a *Agent) Capacity(now time.Time) Capacity {
	e, l := &a.table.capacity.estimate, a.table.capacity.load(now, len(a.queue.requests))
	return Capacity{
		Usual: e.Usual(now), Mean: e.Mean(now), Wait: a.wait(now), TailShare: e.TailShare(), Rate: e.Rate(now, l), FeedRate: l.FeedRate,
	}
}

// wait returns how long a request of any route that arrives now would take until its
// answer begins, 0 if that is not known.
func (a *Agent) wait(now time.Time) time.Duration {
	c := &a.table.capacity
	return c.estimate.Wait(now, c.estimate.Usual(now), c.load(now, len(a.queue.requests)))
}

// waitOf is wait for a request of a flow.
func (a *Agent) waitOf(now time.Time, key jasminemoor.FlowKey) time.Duration {
	c := &a.table.capacity
	return c.estimate.Wait(now, c.estimate.UsualOf(now, key.Service()), c.load(now, len(a.queue.requests)))
}

// admissionTime returns how long a request that is sent to the upstream now takes until
// its answer begins, if it has to wait there for the first of the slots to become free.
func (a *Agent) admissionTime(now time.Time) time.Duration {
	usual := a.table.capacity.estimate.Usual(now)
	return usual + usual/time.Duration(a.slots())
}

// failureTime returns what failures cost a caller: a request that fails with the rate
// counts as one that is not answered until its caller gives up. The rate is squared, since
// a few failures say little.
func failureTime(rate float64, timeout time.Duration) time.Duration {
	return time.Duration(rate * rate * float64(timeout))
}

// timeout returns how long callers wait for the answer to a flow's request.
func (s *Snapshot) timeout(key jasminemoor.FlowKey) time.Duration {
	if s.View != nil {
		if route := s.Routes[key.Service()]; route != nil && route.Timeout > 0 {
			return route.Timeout
		}
	}
	return defaultTimeout
}
