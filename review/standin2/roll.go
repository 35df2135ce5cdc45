package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
)

const (
	// balancers is the number of balancers in the cases with routers.
	balancers = 3
	// beforeCheck is how long before a check of the routers the change comes, and afterCheck how
	// long after one the client sends.
	beforeCheck = 300 * time.Millisecond
	afterCheck  = 50 * time.Millisecond
	// stopTime is what the second balancer takes to end, with the delay until it is started again.
	stopTime = 2700 * time.Millisecond
)

// byReaderRank returns the numbers of agents' addresses, by their rank for reading the store for
// all others: the highest hash of the address comes first.
func byReaderRank(f *fleet, count int) (numbers []byte) {
	for i := range count {
		numbers = append(numbers, byte(i+1))
	}
	hash := func(n byte) uint64 { return xxhash.Sum64String(f.ip(kindAgent, n).String()) }
	slices.SortFunc(numbers, func(x, y byte) int { return cmp.Compare(hash(y), hash(x)) })
	return numbers
}

// startClients starts the routers and a client.
func startClients(ctx context.Context, f *fleet) (r *router, c *caller, err error) {
	r = &router{fleet: f}
	r.start(ctx)
	c = &caller{address: netip.AddrPortFrom(f.ip(kindClient, 1), portPackets), balancers: r.balancers, record: f.record}
	if err = c.start(); err != nil {
		return nil, nil, err
	}
	time.Sleep(time.Second)
	return r, c, nil
}

// roll restarts the second balancer, then the third one, and, with hasTrouble, the agent that
// reads the store. The change is made before the second balancer is back. roll returns the check
// of the routers that finds it ready again; the next one takes the third out of rotation.
func roll(f *fleet, r *router, reader *machine, hasTrouble bool, change func() error) (check time.Time, err error) {
	second, third, changed := f.machines[1], f.machines[2], make(chan error, 1)
	check = r.nextCheck()
	for time.Until(check) < beforeCheck+stopTime {
		check = check.Add(checkInterval)
	}
	time.Sleep(time.Until(check.Add(-beforeCheck - stopTime)))
	f.stopFor(second, func() {
		time.Sleep(time.Until(check.Add(-beforeCheck)))
		f.stopFor(third, func() {})
		if hasTrouble {
			f.stopFor(reader, func() {})
			time.Sleep(beforeCheck / 3)
		}
		changed <- change()
	})
	return check, <-changed
}

// portFor returns a port from which a flow of the service is placed at a wanted backend by a
// balancer without reports of load, which routers send to the second of three balancers and to the
// first of two.
func portFor(c *caller, service netip.AddrPort, backends []*machine, isWanted func(m *machine) bool) uint16 {
	for port := c.port + 1; ; port++ {
		hash := jasminemoor.NewFlowKey(netip.AddrPortFrom(c.address.Addr(), port), service).Hash()
		cheapest := slices.MinFunc(backends, func(x, y *machine) int {
			return cmp.Compare(jmplacer.Score(hash, x.addr), jmplacer.Score(hash, y.addr))
		})
		if isWanted(cheapest) && port%3 == 1 && port%2 == 0 {
			return port
		}
	}
}

// moveFlow opens a flow after a check of the routers, and sends a request on it after the next one.
// It reports whether the open flow was reset.
func moveFlow(ctx context.Context, f *fleet, r *router, c *caller, port uint16, service netip.AddrPort, check time.Time) (isReset bool, err error) {
	time.Sleep(time.Until(check.Add(afterCheck)))
	if n := len(r.rotation()); n != balancers {
		return false, fmt.Errorf("%d balancers are in rotation", n)
	}
	flow, err := c.openFrom(ctx, port, service)
	if err != nil {
		return false, fmt.Errorf("the flow could not be opened: %w", err)
	}
	for i, at := range []time.Time{check, check.Add(checkInterval + afterCheck)} {
		time.Sleep(time.Until(at))
		in := r.rotation()
		f.record.line("client sends a request on flow %s, which routers send to %s", flow.local, in[int(port)%len(in)].name)
		answer, err := flow.do(ctx, fmt.Sprintf("%d-%d", port, i), shortWork, deadline)
		f.record.line("client: answer %q, error %v", answer, err)
		if errors.Is(err, errReset) {
			return true, nil
		}
	}
	return false, nil
}
