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
	// apart is how far apart two arrivals at other backends are at least to count as two. Copies of
	// one packet for several backends arrive at once.
	apart = 50 * time.Millisecond
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

// astray returns the flows of which, for flowBound, strayCount packets reached other backends and
// none their own. The time after the last packet that reached its own backend is left out, as the
// client may have given up.
func (a *arrivals) astray(report func(id flowID, after, until time.Time, others []time.Time)) (count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, own := range a.own {
		for i := 1; i < len(own); i++ {
			var others []time.Time
			for _, at := range a.others[id] {
				isBetween := at.After(own[i-1]) && at.Before(own[i])
				if isBetween && (len(others) == 0 || at.Sub(others[len(others)-1]) >= apart) {
					others = append(others, at)
				}
			}
			if own[i].Sub(own[i-1]) >= flowBound && isDense(others) {
				report(id, own[i-1], own[i], others)
				count++
				break
			}
		}
	}
	return count
}

// isDense reports whether strayCount of the times lie within flowBound.
func isDense(times []time.Time) bool {
	for i := strayCount - 1; i < len(times); i++ {
		if times[i].Sub(times[i-strayCount+1]) <= flowBound {
			return true
		}
	}
	return false
}
