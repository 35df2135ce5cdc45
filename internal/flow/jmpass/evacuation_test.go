package jmpass

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// evacuated marks upstreams as those of a data centre that is being evacuated.
func evacuated(numbers ...int) func(v *jmdirectory.View) {
	return func(v *jmdirectory.View) {
		for _, i := range numbers {
			u := v.Upstreams[upstreamAddr(i)]
			u.DataCentre, u.IsEvacuated = "b", true
		}
		v.Evacuated = []string{"b"}
	}
}

// TestNoNewFlowsIntoEvacuatedDataCentre places many flows while upstreams are evacuated. A
// balancer in the evacuated data centre decides alike.
func TestNoNewFlowsIntoEvacuatedDataCentre(t *testing.T) {
	for _, dataCentre := range []string{"a", "b"} {
		allButTwo := func(v *jmdirectory.View) {
			for _, u := range v.Services["shop"].Upstreams[2:] {
				u.IsEvacuated = true
			}
		}
		for n, s := range map[int]Snapshot{4: snapshot(4, evacuated(1, 2)), 100: manyUpstreams(100, allButTwo)} {
			b := &Balancer{Self: balancerAddr, DataCentre: dataCentre}
			b.SetSnapshot(s)
			for port := 1; port <= 500; port++ {
				for range 2 { // the second one is retransmitted
					m, _ := b.Handle(startTime, openingFrom(port))
					require.Equal(t, ToPeer, m.Kind)
					require.False(t, s.Agents[m.To].IsEvacuated, "%d upstreams, %s", n, m.To)
					a := &Agent{Self: m.To, Upstream: netip.AddrPortFrom(m.To, s.Agents[m.To].Address.Port()), Service: "shop"}
					a.SetSnapshot(s)
					require.Equal(t, ReasonNone, a.refusalReason(openingFrom(port)), "the agent takes what a balancer places")
				}
			}
		}
	}
}

// TestEvacuatedAgentHandsOn has an agent get a new flow from a balancer that does not know
// of the evacuation yet.
func TestEvacuatedAgentHandsOn(t *testing.T) {
	a := newAgent(true, snapshot(4, evacuated(1, 2)))
	for port := 1; port <= 100; port++ {
		out, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingFrom(port), nil)
		require.Equal(t, ReasonEvacuated, reason)
		require.NotContains(t, kinds(out), ToUpstream)
		require.Contains(t, []netip.Addr{agentAddr(3), agentAddr(4)}, find(out[len(out)-1:], ToPeer).To)
	}
	a.SetSnapshot(snapshot(4))
	_, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingFrom(101), nil)
	require.Equal(t, ReasonHeld, reason, "after the end")
}

// TestOpenFlowsOutliveEvacuation sends requests on a flow whose upstream is evacuated.
func TestOpenFlowsOutliveEvacuation(t *testing.T) {
	a, b := newAgent(true, snapshot(2)), &Balancer{Self: balancerAddr, DataCentre: "a"}
	openFlow(t, a)
	b.SetSnapshot(snapshot(1))
	b.Handle(startTime, openingPacket(shop))
	b.HandleHolder(startTime, agentAddr(1), openingPacket(shop).Key())
	a.SetSnapshot(snapshot(2, evacuated(1)))
	b.SetSnapshot(snapshot(2, evacuated(1)))
	m, reason := b.Handle(startTime.Add(2*time.Second), dataPacket(callerSequence+1, 10))
	require.Equal(t, ReasonKnown, reason)
	require.Equal(t, agentAddr(1), m.To)
	out, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), []byte("packet"))
	require.Equal(t, ReasonHeld, reason)
	require.Contains(t, kinds(out), ToUpstream)

	unaware := &Balancer{Self: balancerAddr, DataCentre: "a"}
	unaware.SetSnapshot(snapshot(1, evacuated(1)))
	m, reason = unaware.Handle(startTime, dataPacket(callerSequence+1, 10))
	require.Equal(t, ReasonUnknown, reason)
	require.Equal(t, agentAddr(1), m.To, "another balancer asks the agents of the data centre as well")
}

// TestAllEvacuated refuses new flows at once if all upstreams of a service are evacuated,
// or all but those that can't take flows.
func TestAllEvacuated(t *testing.T) {
	cases := map[string]struct {
		snapshot Snapshot
		now      time.Time
		kind     Kind
	}{
		"all":                 {snapshot(2, evacuated(1, 2)), startTime, Reset},
		"all ready ones":      {snapshot(3, evacuated(1, 2), leaving(3)), startTime, Reset},
		"all, lapsed":         {snapshot(1, evacuated(1), removedAt(1, startTime)), startTime, Reset},
		"all, by an old view": {snapshot(2, evacuated(1, 2)), startTime.Add(maxViewAge), Dropped},
		"all but one":         {snapshot(3, evacuated(1, 2)), startTime, ToPeer},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{Self: balancerAddr, DataCentre: "a"}
			b.SetSnapshot(tc.snapshot)
			b.firstDecision = startTime.Add(-lapseGrace)
			m, _ := b.Handle(tc.now, openingPacket(shop))
			require.Equal(t, tc.kind, m.Kind)
		})
	}
}

func removedAt(i int, at time.Time) func(v *jmdirectory.View) {
	return func(v *jmdirectory.View) {
		v.Upstreams[upstreamAddr(i)].IsRemoved, v.Upstreams[upstreamAddr(i)].RemovedAt = true, at
	}
}

// TestUpstreamsReturnGradually places flows after the end of an evacuation while the
// other upstreams have some load. The returned ones are empty, and get flows at once only
// if the others are a whole request per slot behind.
func TestUpstreamsReturnGradually(t *testing.T) {
	cases := []struct {
		since   time.Duration
		waiting int // requests at each of the other upstreams, which have 2 slots
		returns bool
	}{
		{0, 0, false},
		{0, 1, false},
		{0, 4, true},
		{1500 * time.Millisecond, 0, false},
		{1500 * time.Millisecond, 3, true},
		{3 * time.Second, 1, true},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("after %s, %d waiting", tc.since, tc.waiting), func(t *testing.T) {
			b := &Balancer{Self: balancerAddr, DataCentre: "a"}
			b.SetSnapshot(snapshot(2, func(v *jmdirectory.View) { v.Upstreams[upstreamAddr(1)].ReturnedAt = startTime }))
			now := startTime.Add(tc.since)
			b.HandleReport(now, agentAddr(1), &jmhop.Report{})
			b.HandleReport(now, agentAddr(2), &jmhop.Report{Waiting: uint16(tc.waiting)})
			m, _ := b.Handle(now, openingPacket(shop))
			require.Equal(t, tc.returns, m.To == agentAddr(1))
		})
	}
}
