package jmpass

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// agentWith returns the agent of upstream i, whose answers take a time. Every request is
// answered at once.
func agentWith(i int, answerTime time.Duration) *Agent {
	a := &Agent{Self: agentAddr(i), Upstream: upstreamAddr(i), Service: "shop", IsFirstStart: true}
	a.SetSnapshot(snapshot(2))
	for range 100 {
		a.table.capacity.estimate.Record(startTime, shop, answerTime)
	}
	return a
}

// TestBusyAgentComparesWithAnother places a new flow at an agent by an old report. Of the
// two agents that it then reaches, the one that is expected to answer first keeps it, and
// its later packets follow it.
func TestBusyAgentComparesWithAnother(t *testing.T) {
	const target = 200 * time.Millisecond // of the route
	cases := []struct {
		first, second time.Duration // answer times
		firstFails    bool
		keeps         int // 1 or 2
		hops          int
	}{
		{20 * time.Millisecond, 20 * time.Millisecond, false, 1, 0},
		{target, 20 * time.Millisecond, false, 2, 1},
		{target, 2 * target, false, 1, 2},
		{target, target, false, 2, 1},
		{20 * time.Millisecond, 20 * time.Millisecond, true, 2, 1},
		{20 * time.Millisecond, 2 * target, true, 2, 1},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%s, %s, first fails %t", tc.first, tc.second, tc.firstFails), func(t *testing.T) {
			agents := []*Agent{nil, agentWith(1, tc.first), agentWith(2, tc.second)}
			if tc.firstFails {
				for range 20 {
					agents[1].failureRate.add(startTime, true)
				}
			}
			at, from, h, hops := 1, balancerAddr, forwardHeader(0), 0
			for {
				out, reason := agents[at].HandlePeer(startTime, from, h, openingPacket(shop), nil)
				if reason == ReasonHeld {
					break
				}
				require.Equal(t, ReasonBusy, reason)
				require.NotContains(t, kinds(out), ToUpstream)
				m := &out[len(out)-1]
				require.Equal(t, agentAddr(3-at), m.To)
				from, at, hops = agents[at].Self, 3-at, hops+1
				copied := m.Header
				h = &copied
				require.LessOrEqual(t, int(h.Hops), maxHops)
			}
			require.Equal(t, tc.keeps, at)
			require.Equal(t, tc.hops, hops)
			if tc.keeps == 2 {
				out, reason := agents[1].HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), nil)
				require.Equal(t, ReasonHandedOn, reason, "no search")
				require.Equal(t, agentAddr(2), out[len(out)-1].To)
			}
		})
	}
}

// TestFlowsOpenWhileAllAreBusy hands a flow on at most twice, however slow the upstreams
// are.
func TestFlowsOpenWhileAllAreBusy(t *testing.T) {
	for _, h := range []*jmhop.Header{
		{Kind: jmhop.KindForward, Hops: 2, Origin: balancerAddr},
		{Kind: jmhop.KindForward, Hops: 1, Origin: balancerAddr, Wait: jmhop.MaxWait},
		{Kind: jmhop.KindForward, Hops: 1, Origin: balancerAddr},
	} {
		a := agentWith(1, time.Second)
		_, reason := a.HandlePeer(startTime, agentAddr(2), h, openingPacket(shop), nil)
		require.Equal(t, ReasonHeld, reason)
	}
}
