package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const (
	drainTime = 3 * time.Second // drain_ms
	// longWork is the work of a request at the end of the drain, and shortWork that of others. The
	// site's order bookings take 52 ms in the mean and 310 ms at most.
	longWork  = 300 * time.Millisecond
	shortWork = 50 * time.Millisecond
	deadline  = 4 * time.Second
	drains    = 3
)

// closingPort takes backends away in an orderly way. The last request of each still runs when it
// closes its health port, as part of its exit.
func closingPort(ctx context.Context, f *fleet, hasTrouble bool) (isBroken bool, err error) {
	addFleet(f, 2, drains+4)
	if err = startAll(ctx, f, stable); err != nil {
		return false, err
	}
	c := &caller{address: netip.AddrPortFrom(f.ip(kindClient, 1), portPackets), balancers: f.balancers, record: f.record}
	if err = c.start(); err != nil {
		return false, err
	}
	defer c.conn.Close()
	service := baseRoutes(f)[0].addr
	for _, m := range f.machines[2 : 2+drains] {
		flow, err := openAt(ctx, c, service, m)
		if err != nil {
			return isBroken, err
		}
		if hasTrouble {
			f.setState(m, stateDraining)
			f.record.line("backend %s is draining; the store has confirmed that", m.upstream.name)
			m.upstream.isLeaving.Store(true)
		}
		time.Sleep(drainTime + 200*time.Millisecond)
		wg := sync.WaitGroup{}
		wg.Go(func() {
			id := "long-" + m.name
			f.record.line("client sends request %s on its open flow %s", id, flow.local)
			answer, err := flow.do(ctx, id, longWork, deadline)
			f.record.line("client: request %s: %q %v", id, answer, err)
			if errors.Is(err, errReset) {
				isBroken = true
			}
		})
		time.Sleep(50 * time.Millisecond)
		if hasTrouble {
			m.upstream.shutDown()
			f.setState(m, stateGone)
		}
		wg.Wait()
	}
	return isBroken, nil
}

// openAt opens flows until one is held by the backend of a machine, with a request that tells.
func openAt(ctx context.Context, c *caller, service netip.AddrPort, m *machine) (*callerFlow, error) {
	for i := range 200 {
		flow, err := c.open(ctx, service)
		if err != nil {
			return nil, err
		}
		answer, err := flow.do(ctx, fmt.Sprintf("short-%s-%d", m.name, i), shortWork, deadline)
		if err != nil {
			return nil, err
		}
		if isAnswerOf(answer, m.upstream.name) {
			return flow, nil
		}
		flow.close()
	}
	return nil, errors.New("no flow was placed at " + m.name)
}
