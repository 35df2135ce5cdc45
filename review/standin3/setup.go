package main

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Services of the configurations.
const (
	serviceOrders = "orders"
	serviceSheets = "sheets"
)

// baseRoutes returns the routes of the first configuration.
func baseRoutes(f *fleet) (routes []route) {
	for i := range 8 {
		routes = append(routes, route{netip.AddrPortFrom(f.ip(kindRoute, 1), uint16(8000+i)), serviceOrders})
	}
	return routes
}

// addFleet adds balancers, and agents of one service. The first agent is the one that reads the
// store for all others: the highest hash of the address comes first.
func addFleet(f *fleet, balancers, agents byte) {
	for i := range balancers {
		f.add("front-"+string('1'+rune(i)), kindBalancer, i+1, "")
	}
	numbers := make([]byte, 0, agents)
	for i := range agents {
		numbers = append(numbers, i+1)
	}
	hash := func(n byte) uint64 { return xxhash.Sum64String(f.ip(kindAgent, n).String()) }
	slices.SortFunc(numbers, func(x, y byte) int { return cmp.Compare(hash(y), hash(x)) })
	for i, n := range numbers {
		f.add("side-"+strconv.Itoa(i+1), kindAgent, n, serviceOrders)
	}
}

// startAll starts all machines, and waits until their processes are ready and for a time after that.
func startAll(ctx context.Context, f *fleet, wait time.Duration) error {
	f.configure(baseRoutes(f), serviceOrders, serviceSheets)
	for _, m := range f.machines {
		if err := f.start(ctx, m, true); err != nil {
			return err
		}
	}
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	time.Sleep(wait)
	f.record.line("all processes have been ready for %v", wait)
	return nil
}

// isAnswerOf reports whether an answer is that of a backend.
func isAnswerOf(answer, backend string) bool { return strings.Contains(answer, "\r\n\r\n"+backend+" ") }
