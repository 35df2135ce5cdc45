package main

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

// Readiness checks of the platform's routers.
const (
	checkInterval = 500 * time.Millisecond
	checkTimeout  = 400 * time.Millisecond
	maxMisses     = 2
)

// router is a stand-in for the platform's routers: it checks each balancer twice a second, takes it
// out of rotation after two misses, and back in with the next answer. The hash is `mod`.
type router struct {
	fleet   *fleet
	started time.Time
	mu      sync.Mutex
	misses  map[*machine]int
}

// start begins to check the balancers.
func (r *router) start(ctx context.Context) {
	r.started, r.misses = time.Now(), make(map[*machine]int)
	for _, m := range r.fleet.machines {
		if m.service == "" {
			go r.check(ctx, m)
		}
	}
}

func (r *router) check(ctx context.Context, m *machine) {
	for ; ctx.Err() == nil; time.Sleep(time.Until(r.nextCheck())) {
		checking, cancel := context.WithTimeout(ctx, checkTimeout)
		ok := isReady(checking, m)
		cancel()
		r.mu.Lock()
		before := r.misses[m]
		if r.misses[m]++; ok {
			r.misses[m] = 0
		}
		isOut, wasOut := r.misses[m] >= maxMisses, before >= maxMisses
		r.mu.Unlock()
		if isOut != wasOut {
			r.fleet.record.line("routers: %s in rotation: %v", m.name, !isOut)
		}
	}
}

// nextCheck returns when all balancers are checked next.
func (r *router) nextCheck() time.Time {
	return r.started.Add((time.Since(r.started)/checkInterval + 1) * checkInterval)
}

// rotation returns the balancers in rotation.
func (r *router) rotation() (in []*machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.fleet.machines {
		if m.service == "" && r.misses[m] < maxMisses {
			in = append(in, m)
		}
	}
	return in
}

// balancers returns the addresses to which flows are routed, by their port.
func (r *router) balancers() (addrs []netip.AddrPort) {
	for _, m := range r.rotation() {
		addrs = append(addrs, netip.AddrPortFrom(m.addr, portPackets))
	}
	return addrs
}
