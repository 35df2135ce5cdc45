// Package jmreturnpath chooses the balancer that an agent answers a caller through: the
// latest live one that the caller's datagrams came through. If none of these is live,
// or the caller sends nothing for a while, answers go through all live balancers in
// turn.
package jmreturnpath

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// SilenceLimit is how long a caller may send nothing after a packet was sent to
	// it, before answers go through all live balancers in turn.
	SilenceLimit = 400 * time.Millisecond
	// evictAfter is longer than any flow lasts without a datagram of its caller.
	evictAfter    = 2 * time.Minute
	sweepInterval = 10 * time.Second
	recentSize    = 3 // balancers remembered for each caller
)

// Table has, for each caller, the balancers that its latest datagrams came through.
// The zero value is an empty table. A Table is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	paths     map[netip.AddrPort]*returnPath
	lastSweep time.Time
}

// returnPath is the state of one caller.
type returnPath struct {
	local           netip.AddrPort
	recent          [recentSize]netip.AddrPort // the most recent first
	lastReceived    time.Time
	unansweredSince time.Time // when the first packet since lastReceived was sent, zero if none was
	next            int       // index of the round robin over live balancers
}

// Record records the balancer that a datagram of a caller came through. Local is the
// service's address that the caller sent it to.
func (t *Table) Record(caller, local, balancer netip.AddrPort, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paths == nil {
		t.paths = make(map[netip.AddrPort]*returnPath)
	}
	t.sweep(now)
	p := t.paths[caller]
	if p == nil {
		p = &returnPath{}
		t.paths[caller] = p
	}
	p.local = local
	p.lastReceived = now
	p.unansweredSince = time.Time{}
	p.moveToFront(balancer)
}

// moveToFront puts a balancer first in recent. One that is new evicts the last.
func (p *returnPath) moveToFront(balancer netip.AddrPort) {
	for i, known := range p.recent {
		if known == balancer || i == recentSize-1 {
			copy(p.recent[1:i+1], p.recent[:i])
			p.recent[0] = balancer
			return
		}
	}
}

// Choose returns the balancer to answer a caller through, and the service's address
// that the caller sent its latest datagram to. Live lists the balancers that may be
// used, in any fixed order; if it is empty, the balancer of the latest datagram is
// returned. Choose reports false for a caller that is not in the table.
func (t *Table) Choose(caller netip.AddrPort, live []netip.AddrPort, now time.Time) (balancer, local netip.AddrPort, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[caller]
	if p == nil {
		return balancer, local, false
	}
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
	isSilent := now.Sub(p.unansweredSince) >= SilenceLimit
	if !isSilent {
		for _, known := range p.recent {
			if isLive(live, known) {
				return known, p.local, true
			}
		}
	}
	if len(live) == 0 {
		return p.recent[0], p.local, true
	}
	p.next++
	return live[p.next%len(live)], p.local, true
}

// isLive reports whether a balancer is in live. It compares addresses only, as a
// balancer may forward datagrams from a port other than its listed one.
func isLive(live []netip.AddrPort, known netip.AddrPort) bool {
	return slices.ContainsFunc(live, func(a netip.AddrPort) bool { return a.Addr() == known.Addr() })
}

// Len returns the number of callers in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.paths)
}

// sweep evicts the callers without a datagram for evictAfter.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for caller, p := range t.paths {
		if now.Sub(p.lastReceived) > evictAfter {
			delete(t.paths, caller)
		}
	}
}
