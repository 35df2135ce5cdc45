package jmpassnode_test

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmstore"
)

// reuse crashes the upstream of an instance with its agent, and gives the address to an upstream
// of another service, which listens before its agent has started. The entry of the former one
// stays, as its heartbeat has just come.
func (s *site) reuse(i int, service string) (next *jmpackets.Upstream) {
	s.upstreams[i].Crash()
	s.agents[i].kill()
	next = &jmpackets.Upstream{Address: addr(2, i, upstreamPort), Outbound: addr(2, i, outboundPort), Name: fmt.Sprint(service, i)}
	require.NoError(s.t, next.Start(s.t.Context()))
	s.t.Cleanup(next.Crash)
	s.startAgent(i, service, false)
	return next
}

// TestReusedAddressBeforeFirstCopy opens flows while the address of an upstream that has crashed
// goes to another service, whose agent has no copy of the directory at first. None of them may
// run there.
func TestReusedAddressBeforeFirstCopy(t *testing.T) {
	cases := map[string]func(s *site, i int){
		"store answers":              func(*site, int) {},
		"store is slow":              func(s *site, _ int) { s.store.SetDelay(300 * time.Millisecond) },
		"store is away":              func(s *site, _ int) { s.store.SetFault(netip.Addr{}, jmstore.FaultReset) },
		"store refuses the instance": func(s *site, i int) { s.store.SetFault(addr(2, i, 0).Addr(), jmstore.FaultSilent) },
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			const reused = 3
			inject(s, reused)
			var wg sync.WaitGroup
			deadline := time.Now().Add(1500 * time.Millisecond)
			for caller := range 8 {
				wg.Go(func() {
					for i := 0; time.Now().Before(deadline); i++ {
						_, _ = s.serve(shop, fmt.Sprintf("shop-%d-%d", caller, i))
					}
				})
			}
			next := s.reuse(reused, "desk")
			wg.Wait()
			for id := range next.Runs() {
				require.False(t, strings.HasPrefix(id, "shop-"), "%s ran at an upstream of the desk", id)
			}
		})
	}
}

// TestReleasedOpeningIsLogged opens flows while an agent waits for its first copy, and expects a
// line of what became of one that had to wait.
func TestReleasedOpeningIsLogged(t *testing.T) {
	s := newSite(t)
	s.store.SetDelay(100 * time.Millisecond)
	s.agents[9].kill()
	s.startAgent(9, "desk", false)
	_, err := s.serve(desk, "waits")
	require.NoError(t, err)
	var reasons []string
	for _, e := range s.hook.AllEntries() {
		if e.Data["IsOpening"] == true && e.Data["Service"] == "desk" {
			reasons = append(reasons, fmt.Sprint(e.Data["Reason"], " ", e.Data["HasCopy"], " ", e.Data["Outcome"]))
		}
	}
	require.Contains(t, reasons, "no_view false passed on")
	require.Contains(t, reasons, "held true given to the upstream")
}

// TestAgentRestartsWithoutStore restarts the agents of a service in turn while the store is away.
// Their open flows go on, and they take new flows by what their peers know.
func TestAgentRestartsWithoutStore(t *testing.T) {
	s := newSite(t)
	var flows []*jmpackets.Flow
	for range 8 {
		f, err := s.open(shop)
		require.NoError(t, err)
		flows = append(flows, f)
	}
	s.store.SetFault(netip.Addr{}, jmstore.FaultReset)
	for i := 1; i <= 3; i++ {
		s.agents[i].kill()
		s.startAgent(i, "shop", false)
		for n, f := range flows {
			_, err := s.do(f, fmt.Sprintf("open-%d-%d", i, n))
			require.NoError(t, err)
		}
	}
	require.Eventually(t, s.agentsReady, time.Second, 10*time.Millisecond)
	for i := range 20 {
		_, err := s.serve(shop, fmt.Sprint("new-", i))
		require.NoError(t, err)
	}
	for id, n := range s.runs() {
		require.Equal(t, 1, n, id)
	}
}

// TestBalancerRestartsWithoutStore restarts a balancer while the store is away. It gets the copy
// of a seed.
func TestBalancerRestartsWithoutStore(t *testing.T) {
	s := newSite(t)
	s.seeds = []netip.AddrPort{addr(1, 2, peerPort)}
	s.store.SetFault(netip.Addr{}, jmstore.FaultSilent)
	time.Sleep(2 * time.Second) // the last beacon is older than its copy may be
	s.balancers[1].kill()
	s.startBalancer(1, false)
	require.Eventually(t, func() bool { return len(s.rotation()) == 2 }, time.Second, 10*time.Millisecond)
	for i := range 20 {
		_, err := s.serve(shop, fmt.Sprint("new-", i))
		require.NoError(t, err)
	}
}

// TestBalancerRestartsWithoutStoreAndSeeds restarts a balancer while the store is away and its
// only seed is down. Agents that knew it tell it of their copies.
func TestBalancerRestartsWithoutStoreAndSeeds(t *testing.T) {
	s := newSite(t)
	s.seeds = []netip.AddrPort{addr(1, 9, peerPort)}
	s.store.SetFault(netip.Addr{}, jmstore.FaultSilent)
	time.Sleep(2 * time.Second) // the last beacon is older than its copy may be
	s.balancers[1].kill()
	s.startBalancer(1, false)
	require.Eventually(t, func() bool { return len(s.rotation()) == 2 }, 3*time.Second, 10*time.Millisecond)
	for i := range 20 {
		_, err := s.serve(shop, fmt.Sprint("new-", i))
		require.NoError(t, err)
	}
}
