// Package jmreturn chooses the balancers that an agent answers through: those
// that the caller was recently heard through, and others once they leave, die
// or stay silent.
package jmreturn

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// SilenceLimit is how long a caller may stay silent after something was
	// sent to it before other balancers are tried as well.
	SilenceLimit = 400 * time.Millisecond
	// forgetAfter is longer than any flow lives without a sign of its caller.
	forgetAfter   = 2 * time.Minute
	sweepInterval = 10 * time.Second
	recentSize    = 3
)

// Table remembers, for each caller, which balancers it was heard through. The
// zero value is empty; it is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	paths     map[netip.AddrPort]*path
	lastSweep time.Time
}

type path struct {
	local        netip.AddrPort
	recent       [recentSize]netip.AddrPort // the last heard first
	lastHeard    time.Time
	waitingSince time.Time // when the first packet since lastHeard was sent
	turn         int
}

// Heard records a datagram of a caller. Local is the service's address that
// the caller sent to.
func (t *Table) Heard(caller, local, balancer netip.AddrPort, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paths == nil {
		t.paths = make(map[netip.AddrPort]*path)
	}
	t.sweep(now)
	p := t.paths[caller]
	if p == nil {
		p = &path{}
		t.paths[caller] = p
	}
	p.local = local
	p.lastHeard = now
	p.waitingSince = time.Time{}
	p.remember(balancer)
}

func (p *path) remember(balancer netip.AddrPort) {
	for i, known := range p.recent {
		if known == balancer || i == recentSize-1 {
			copy(p.recent[1:i+1], p.recent[:i])
			p.recent[0] = balancer
			return
		}
	}
}

// Route returns the balancer to answer a caller through, and the service's
// address that the answer comes from. Live lists the balancers that may be
// used, in any fixed order. It returns false for an unknown caller.
func (t *Table) Route(caller netip.AddrPort, live []netip.AddrPort, now time.Time) (balancer, local netip.AddrPort, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[caller]
	if p == nil {
		return balancer, local, false
	}
	if p.waitingSince.IsZero() {
		p.waitingSince = now
	}
	isSilent := now.Sub(p.waitingSince) >= SilenceLimit
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
	p.turn++
	return live[p.turn%len(live)], p.local, true
}

// isLive reports whether a balancer may be used. One that the caller was heard
// through may have sent from another port than its own.
func isLive(live []netip.AddrPort, known netip.AddrPort) bool {
	return slices.ContainsFunc(live, func(a netip.AddrPort) bool { return a.Addr() == known.Addr() })
}

// Len returns the number of callers that are remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.paths)
}

func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for caller, p := range t.paths {
		if now.Sub(p.lastHeard) > forgetAfter {
			delete(t.paths, caller)
		}
	}
}
