package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	// warmUp is longer than flows live (flow_max_s), as in a deployment that has run for a while.
	warmUp = 64 * time.Second
	// others is the number of agents of the other service, one of which reads the store for all.
	others = 10
	// present is the number of backends of the service at first, and joins how many join. The former
	// ones begin to drain one after the other, and serve until the end.
	present = 2
	joins   = 5
)

// joining replaces the backends of a service one after the other, the new one first, while
// balancers and an agent of another service are restarted in turn.
func joining(ctx context.Context, f *fleet, hasTrouble bool) (isBroken bool, err error) {
	addFleet(f, balancers, 0)
	numbers := byReaderRank(f, others+present+joins)
	for i, n := range numbers {
		switch {
		case i == 0:
			f.add("side-reader", kindAgent, n, serviceSheets)
		case i < others:
			f.add(fmt.Sprintf("side-other-%d", i), kindAgent, n, serviceSheets)
		default:
			f.add(fmt.Sprintf("side-%d", i-others+1), kindAgent, n, serviceOrders)
		}
	}
	first := balancers + others
	backends, later := f.machines[first:first+present], f.machines[first+present:]
	f.machines = slices.Clone(f.machines[:first+present])
	if err = startAll(ctx, f, warmUp); err != nil {
		return false, err
	}
	r, c, err := startClients(ctx, f)
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	for i, backend := range later {
		backends = append(slices.Clone(backends), backend)
		isReset, err := joinOnce(ctx, f, r, c, backends, hasTrouble)
		if err != nil {
			return isBroken, err
		}
		isBroken = isBroken || isReset
		if old := backends[i]; old != backend {
			f.setState(old, stateDraining)
			f.record.line("backend b-%s is draining", old.name)
			old.upstream.isLeaving.Store(true)
		}
		f.restarts.Wait()
	}
	return isBroken, nil
}

// joinOnce has the last of the backends join while the store's reader is restarted. A client opens a
// flow that the balancer that has just started places there, and goes on by another one.
func joinOnce(ctx context.Context, f *fleet, r *router, c *caller, backends []*machine, hasTrouble bool) (isReset bool, err error) {
	backend, service := backends[len(backends)-1], baseRoutes(f)[0].addr
	check, err := roll(f, r, f.machines[balancers], hasTrouble, func() error {
		f.record.line("backend b-%s starts and registers", backend.name)
		return f.start(ctx, backend, false)
	})
	if err != nil {
		return false, err
	}
	f.machines = append(f.machines, backend)
	port := portFor(c, service, backends, func(m *machine) bool { return m == backend })
	return moveFlow(ctx, f, r, c, port, service, check)
}
