package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// agents is the number of agents of one service, callers that of clients at once.
	agents  = 7
	callers = 150
	// rollTime is how long the rolls and the requests go on.
	rollTime = 75 * time.Second
	// agentGap and balancerGap are the times between two machines of a roll, overlapGap that between
	// the two rolls of the agents, and rollPause that between two rolls.
	agentGap    = time.Second
	balancerGap = 2700 * time.Millisecond
	overlapGap  = 1200 * time.Millisecond
	rollPause   = 3 * time.Second
)

// overlap rolls the balancers, and the agents once or, with hasTrouble, twice at a time.
func overlap(ctx context.Context, f *fleet, hasTrouble bool) (isBroken bool, err error) {
	addFleet(f, balancers, agents)
	if err = startAll(ctx, f, stable); err != nil {
		return false, err
	}
	_, c, err := startClients(ctx, f)
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	ctx, cancel := context.WithTimeout(ctx, rollTime)
	defer cancel()
	wg := sync.WaitGroup{}
	wg.Go(func() { f.roll(ctx, f.machines[:balancers], balancerGap, 0) })
	wg.Go(func() { f.roll(ctx, f.machines[balancers:], agentGap, rollPause) })
	if hasTrouble {
		wg.Go(func() {
			time.Sleep(overlapGap)
			f.roll(ctx, f.machines[balancers:], agentGap, rollPause)
		})
	}
	var answered, failed atomic.Int64
	for i := range callers {
		wg.Go(func() { keepAsking(ctx, c, baseRoutes(f)[i%len(baseRoutes(f))], &answered, &failed) })
	}
	wg.Wait()
	f.restarts.Wait()
	count := f.arrivals.astray(func(id flowID, until time.Time, others []time.Time) {
		f.record.line("flow %s: packets reached other backends at %s, and its own got the next one at %.3f", id.caller, f.record.list(others), f.record.at(until))
	})
	f.record.line("%d requests answered, %d not; %d open flows went astray for %v", answered.Load(), failed.Load(), count, flowBound)
	return count > 0, nil
}

// roll restarts machines one after the other, again and again after a pause, until ctx ends. A
// machine that is down is passed over.
func (f *fleet) roll(ctx context.Context, machines []*machine, gap, pause time.Duration) {
	for ctx.Err() == nil {
		for _, m := range machines {
			if ctx.Err() == nil {
				f.stopFor(m, func() {})
				time.Sleep(gap)
			}
		}
		time.Sleep(pause)
	}
}

// keepAsking opens flows of a route, one after the other, and sends some requests on each, with
// pauses.
func keepAsking(ctx context.Context, c *caller, r route, answered, failed *atomic.Int64) {
	for ctx.Err() == nil {
		flow, err := c.open(ctx, r.addr)
		if err != nil {
			time.Sleep(shortWork)
			continue
		}
		for i := range 12 {
			_, err = flow.do(ctx, fmt.Sprintf("%d-%d", flow.local.Port(), i), rand.N(shortWork), 3*time.Second)
			if err != nil {
				break
			}
			answered.Add(1)
			time.Sleep(rand.N(700 * time.Millisecond))
		}
		if err != nil && ctx.Err() == nil {
			failed.Add(1)
			c.record.line("client: flow %s: %v", flow.local, err)
		}
		flow.close()
	}
}
