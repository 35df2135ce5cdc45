package main

import (
	"context"
	"net/netip"
	"strings"
	"time"
)

// baseRoutes returns the routes of the first configuration.
func baseRoutes(f *fleet) (routes []route) {
	for i := range 8 {
		routes = append(routes, route{netip.AddrPortFrom(f.ip(60, 1), uint16(8000+i)), serviceOrders})
	}
	return routes
}

// startFleet starts balancers, and agents with their upstreams.
func startFleet(ctx context.Context, f *fleet, balancers, agents byte) error {
	for i := range balancers {
		f.add("front-"+string('1'+rune(i)), 10, i+1, "")
	}
	for i := range agents {
		f.add("side-"+string('1'+rune(i)), 20, i+1, serviceOrders)
	}
	f.configure(baseRoutes(f), serviceOrders)
	for _, m := range f.machines {
		if err := f.listenStore(ctx, m); err != nil {
			return err
		}
		if m.isAgent {
			if err := f.startUpstream(ctx, m); err != nil {
				return err
			}
		}
		if err := f.startProcess(m, true); err != nil {
			return err
		}
	}
	go f.beat(ctx)
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	time.Sleep(stable)
	f.record.line("all processes are ready, and have been undisturbed for %v", stable)
	return nil
}

// isAnswerOf reports whether an answer is that of a backend.
func isAnswerOf(answer, backend string) bool { return strings.Contains(answer, "\r\n\r\n"+backend+" ") }
