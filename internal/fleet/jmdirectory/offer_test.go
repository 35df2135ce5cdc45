package jmdirectory

import (
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRestartWithoutPlatformAndSeeds restarts processes while the platform is away and all seeds
// are down. The other processes have copies.
func TestRestartWithoutPlatformAndSeeds(t *testing.T) {
	const bound = 3 * time.Second // of the time without a copy
	seeds := []netip.Addr{balancerAddr(1), balancerAddr(2), balancerAddr(3)}
	cases := map[string]struct {
		balancers, agents int
		restarted         []netip.Addr
	}{
		"a balancer":            {5, 4, []netip.Addr{balancerAddr(5)}},
		"all balancers":         {5, 4, []netip.Addr{balancerAddr(4), balancerAddr(5)}},
		"an agent":              {5, 4, []netip.Addr{agentAddr(2)}},
		"agents and a balancer": {5, 4, []netip.Addr{agentAddr(1), agentAddr(3), balancerAddr(4)}},
		"among many":            {60, 200, []netip.Addr{balancerAddr(9), balancerAddr(60), agentAddr(7), agentAddr(170)}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, tc.balancers, tc.agents)
			f.hasHeaders = true
			for _, m := range f.machines {
				m.Seeds = seeds
			}
			f.run(30 * time.Second)
			for self := range f.machines {
				f.isPartitioned[self] = true
			}
			f.run(4 * time.Second)
			for _, seed := range seeds {
				f.isDead[seed] = true
			}
			for _, self := range tc.restarted {
				upstream := f.machines[self].Upstream
				f.add(self, upstream)
				f.machines[self].Seeds = seeds
				delete(f.calling, self)
			}
			for _, self := range tc.restarted {
				start := f.now
				for !f.machines[self].IsLoaded() && f.now.Sub(start) < bound {
					f.step()
				}
				require.True(t, f.machines[self].IsLoaded(), "%s has no copy", self)
			}
		})
	}
}

// TestOffersAreBounded counts the messages that a process sends to others that may lack a copy.
// There are none while its copy is recent.
func TestOffersAreBounded(t *testing.T) {
	const seconds = 10
	for name, isAway := range map[string]bool{"platform answers": false, "platform is away": true} {
		t.Run(name, func(t *testing.T) {
			m := loaded(t, startTime, routingEntry(1, 1, 1), upstreamEntry(1, 2), upstreamEntry(2, 3), upstreamEntry(3, 4))
			subscribe := &Message{IsSubscribe: true, HasCopy: true}
			for i := range 2 * maxFormerSubscribers {
				m.Handle(startTime, agentAddr(1000+i), subscribe)
			}
			offered := make(map[netip.Addr]int)
			for now := startTime; now.Before(startTime.Add(seconds * time.Second)); now = now.Add(100 * time.Millisecond) {
				if !isAway {
					m.advanceAsOf(now)
				}
				for _, s := range m.Tick(now).Sends {
					if !s.Message.IsSubscribe && s.Message.Beacon == nil {
						offered[s.To]++
					}
				}
			}
			require.LessOrEqual(t, len(m.subscribers), maxFormerSubscribers)
			total := 0
			for _, n := range slices.Collect(maps.Values(offered)) {
				total += n
			}
			if !isAway {
				require.Zero(t, total)
				return
			}
			require.Positive(t, total)
			require.LessOrEqual(t, total, 2*seconds)
		})
	}
}
