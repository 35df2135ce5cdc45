package main

import (
	"net/netip"
	"sync"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
)

// flowBound is flow_ms, and strayCount is how many packets of an open flow that reach other backends
// within it, while its own gets none, break the rule.
const (
	flowBound  = 2 * time.Second
	strayCount = 3
)

// flowID identifies a flow by its ends.
type flowID struct{ caller, service netip.AddrPort }

// arrivals has when packets of each flow reached its own backend, and others.
type arrivals struct {
	mu          sync.Mutex
	own, others map[flowID][]time.Time
}

// add records a packet that has reached a backend, which holds the flow if isOwn is set. Packets
// before the flow is open don't count.
func (a *arrivals) add(p *jmpackets.Packet, isOwn bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.own == nil {
		a.own, a.others = make(map[flowID][]time.Time), make(map[flowID][]time.Time)
	}
	id, now := flowID{p.Source, p.Destination}, time.Now()
	if isOwn {
		a.own[id] = append(a.own[id], now)
	} else if len(a.own[id]) > 0 {
		a.others[id] = append(a.others[id], now)
	}
}

// astray returns the number of flows of which strayCount packets reached other backends within
// flowBound, from the first of them on, and none their own. The time after the last packet that
// reached its own backend is left out, as the client may have given up.
func (a *arrivals) astray(report func(id flowID, until time.Time, others []time.Time)) (count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, own := range a.own {
		for i := 1; i < len(own); i++ {
			var others []time.Time
			for _, at := range a.others[id] {
				if at.After(own[i-1]) && at.Before(own[i]) && (len(others) == 0 || at.Sub(others[0]) <= flowBound) {
					others = append(others, at)
				}
			}
			if len(others) >= strayCount && own[i].Sub(others[0]) >= flowBound {
				report(id, own[i], others)
				count++
				break
			}
		}
	}
	return count
}
