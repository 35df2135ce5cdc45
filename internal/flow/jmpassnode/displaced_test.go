package jmpassnode_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
)

// openMany opens n flows of the shop.
func (s *site) openMany(n int) (flows []*jmpackets.Flow) {
	for range n {
		f, err := s.open(shop)
		require.NoError(s.t, err)
		flows = append(flows, f)
	}
	return flows
}

// restartBalancers restarts the balancers in turn, so that packets of open flows come to one that
// doesn't know them.
func (s *site) restartBalancers() {
	for i := 1; i <= 2; i++ {
		s.balancers[i].kill()
		s.startBalancer(i, false)
		require.Eventually(s.t, func() bool { return len(s.rotation()) == 2 }, 2*time.Second, 10*time.Millisecond)
	}
}

// TestNewerEntryResetsNoFlow lists a newer entry at the address of an upstream that runs. Its open
// flows must not be reset when they are searched for.
func TestNewerEntryResetsNoFlow(t *testing.T) {
	const maxFlowAge = 3 * time.Second
	for _, service := range []string{"desk", "exporter"} {
		t.Run(service, func(t *testing.T) {
			s := newSiteWithFlowAge(t, maxFlowAge)
			time.Sleep(2 * maxFlowAge) // until the past of the routes is known
			flows := s.openMany(20)
			s.store.Put("servers/x-1", map[string]any{
				"service": service, "address": addr(2, 1, upstreamPort).String(), "zone": "here", "version": "v1", "max_concurrency": 1, "state": "ready",
				"cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
			})
			s.restartBalancers()
			for i, f := range flows {
				_, err := s.do(f, fmt.Sprint("open-", i))
				require.NoError(t, err, "flow %d", i)
			}
		})
	}
}

// TestUnnamedServiceResetsNoFlow has a route leave a service, which the configuration does not name
// any more, and kills all processes. Open flows at its upstreams must not be reset.
func TestUnnamedServiceResetsNoFlow(t *testing.T) {
	s := newSite(t)
	flows := s.openMany(20)
	s.publishServices(2, map[netip.AddrPort]string{shop: "desk", desk: "desk"}, map[string]any{"name": "desk"})
	s.awaitVersion(2)
	for _, p := range s.agents {
		p.kill()
	}
	for _, p := range s.balancers {
		p.kill()
	}
	for i, service := range s.services {
		s.startAgent(i, service, false)
	}
	for i := 1; i <= 2; i++ {
		s.startBalancer(i, false)
	}
	require.Eventually(t, func() bool { return len(s.rotation()) == 2 }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(2500 * time.Millisecond) // until a first list counts as whole
	for i, f := range flows {
		_, err := s.do(f, fmt.Sprint("open-", i))
		require.NoError(t, err, "flow %d", i)
	}
}
