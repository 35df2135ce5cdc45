package main

import (
	"context"
	"net/netip"
)

// changes is how often the configuration is changed.
const changes = 8

// newRoute has the operator add a route while balancers and an agent are restarted in turn.
func newRoute(ctx context.Context, f *fleet, hasTrouble bool) (isBroken bool, err error) {
	addFleet(f, balancers, 0)
	numbers := byReaderRank(f, 4)
	for i, name := range []string{"side-reader", "side-1", "side-2", "side-3"} {
		f.add(name, kindAgent, numbers[i], serviceOrders)
	}
	if err = startAll(ctx, f, stable); err != nil {
		return false, err
	}
	r, c, err := startClients(ctx, f)
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	routes, reader := baseRoutes(f), f.machines[balancers]
	for i := range changes {
		added := route{netip.AddrPortFrom(f.ip(kindRoute, 1), uint16(9000+i)), serviceOrders}
		routes = append(routes, added)
		check, err := roll(f, r, reader, hasTrouble, func() error {
			version := f.configure(routes, serviceOrders)
			f.record.line("version %d is confirmed: it adds the route %s", version, added.addr)
			return nil
		})
		if err != nil {
			return isBroken, err
		}
		port := portFor(c, added.addr, f.machines[balancers:], func(m *machine) bool { return m != reader })
		isReset, err := moveFlow(ctx, f, r, c, port, added.addr, check)
		if err != nil {
			f.record.line("%v", err)
		}
		isBroken = isBroken || isReset
		f.restarts.Wait()
	}
	return isBroken, nil
}
