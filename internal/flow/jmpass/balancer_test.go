package jmpass

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// TestBalancerRefusesAtOnce resets a flow without a route or a ready upstream, if the
// view of the directory is recent.
func TestBalancerRefusesAtOnce(t *testing.T) {
	unknown := netip.MustParseAddrPort("198.18.0.7:1")
	cases := map[string]struct {
		snapshot Snapshot
		to       netip.AddrPort
		now      time.Time
		kind     Kind
		reason   Reason
	}{
		"no view":                     {Snapshot{}, shop, startTime, 0, ReasonNoView},
		"no route":                    {snapshot(2), unknown, startTime, Reset, ReasonNoRoute},
		"no route, by an old view":    {snapshot(2), unknown, startTime.Add(maxViewAge), 0, ReasonNoRoute},
		"no upstream":                 {snapshot(0), shop, startTime, Reset, ReasonNoUpstream},
		"no upstream, by an old view": {snapshot(0), shop, startTime.Add(maxViewAge), 0, ReasonNoUpstream},
		"all upstreams leave":         {snapshot(1, leaving(1)), shop, startTime, Reset, ReasonNoUpstream},
		"all upstreams were removed":  {snapshot(1, removed(1)), shop, startTime, Reset, ReasonNoUpstream},
		"one upstream":                {snapshot(1), shop, startTime, ToPeer, ReasonPlaced},
		"another upstream is leaving": {snapshot(2, leaving(1)), shop, startTime, ToPeer, ReasonPlaced},
		"an upstream, by an old view": {snapshot(1), shop, startTime.Add(time.Minute), ToPeer, ReasonPlaced},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{Self: balancerAddr, DataCentre: "a"}
			b.SetSnapshot(tc.snapshot)
			b.firstDecision = startTime.Add(-lapseGrace)
			m, reason := b.Handle(tc.now, openingPacket(tc.to))
			require.Equal(t, tc.kind, m.Kind)
			require.Equal(t, tc.reason, reason)
		})
	}
}

// TestLapsedEntries covers a service whose entries are all missing, because they
// lapsed during an outage of the store.
func TestLapsedEntries(t *testing.T) {
	lapsed := func(v *jmdirectory.View) {
		v.Upstreams[upstreamAddr(1)].IsRemoved, v.Upstreams[upstreamAddr(1)].RemovedAt = true, startTime
	}
	t.Run("recently lapsed entries are used", func(t *testing.T) {
		b := &Balancer{Self: balancerAddr, DataCentre: "a"}
		b.SetSnapshot(snapshot(1, lapsed))
		m, reason := b.Handle(startTime, openingPacket(shop))
		require.Equal(t, ReasonPlaced, reason)
		require.Equal(t, agentAddr(1), m.To)
	})
	t.Run("except those of upstreams that left", func(t *testing.T) {
		b := &Balancer{Self: balancerAddr, DataCentre: "a"}
		b.SetSnapshot(snapshot(1, leaving(1), lapsed))
		_, reason := b.Handle(startTime, openingPacket(shop))
		require.Equal(t, ReasonNoUpstream, reason)
	})
	t.Run("a process that has just started refuses no flow", func(t *testing.T) {
		b := &Balancer{Self: balancerAddr, DataCentre: "a"}
		b.SetSnapshot(snapshot(0))
		m, reason := b.Handle(startTime, openingPacket(shop))
		require.Equal(t, ReasonNoUpstream, reason)
		require.Zero(t, m.Kind)
		m, _ = b.Handle(startTime.Add(lapseGrace), openingPacket(shop))
		require.Equal(t, Reset, m.Kind)
	})
}

// TestBalancerKeepsFlows checks that an open flow keeps its holder when the upstream
// leaves, when others join, and when its entry lapses and its agent is silent.
func TestBalancerKeepsFlows(t *testing.T) {
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(1))
	m, _ := b.Handle(startTime, openingPacket(shop))
	require.Equal(t, agentAddr(1), m.To)
	for name, s := range map[string]Snapshot{"others join": snapshot(7), "upstream leaves": snapshot(7, leaving(1)), "entry lapsed": snapshot(7, removed(1))} {
		b.SetSnapshot(s)
		m, reason := b.Handle(startTime.Add(2*time.Second), dataPacket(callerSequence+1, 10))
		require.Equal(t, ReasonKnown, reason, name)
		require.Equal(t, agentAddr(1), m.To, name)
		require.Equal(t, jmhop.FlagKnown, m.Header.Flags, name)
	}
}

// TestFlowOfUpstreamThatLeft resets a flow once its upstream has left the directory
// and its agent is silent, and not before.
func TestFlowOfUpstreamThatLeft(t *testing.T) {
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(1))
	b.Handle(startTime, openingPacket(shop))
	b.HandleReport(startTime, agentAddr(1), &jmhop.Report{Incarnation: 1})
	b.HandleHolder(startTime, agentAddr(1), dataPacket(callerSequence+1, 10).Key())
	s := snapshot(2, leaving(1), removed(1))
	b.SetSnapshot(s)
	_, reason := b.Handle(startTime.Add(silenceTimeout/2), dataPacket(callerSequence+1, 10))
	require.Equal(t, ReasonKnown, reason)
	m, reason := b.Handle(startTime.Add(silenceTimeout+time.Millisecond), dataPacket(callerSequence+1, 10))
	require.Equal(t, ReasonUpstreamGone, reason)
	require.Equal(t, Reset, m.Kind)
	require.Equal(t, uint32(upstreamSequence+1), m.Sequence)
}

// TestRetransmittedOpening sends a retransmitted opening packet to another upstream.
func TestRetransmittedOpening(t *testing.T) {
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(3))
	first, _ := b.Handle(startTime, openingPacket(shop))
	second, reason := b.Handle(startTime.Add(200*time.Millisecond), openingPacket(shop))
	require.Equal(t, ReasonRepeated, reason)
	require.NotEqual(t, first.To, second.To)
}

// TestSilentAgentGetsNoNewFlows places no new flows at a suspect agent until it
// reports again.
func TestSilentAgentGetsNoNewFlows(t *testing.T) {
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(2))
	place := func(now time.Time, port uint16) netip.Addr {
		p := openingPacket(shop)
		p.Source = netip.AddrPortFrom(callerAddr.Addr(), port)
		m, _ := b.Handle(now, p)
		return m.To
	}
	silent := place(startTime, 1)
	other := agentAddr(1)
	if silent == other {
		other = agentAddr(2)
	}
	now := startTime.Add(reportTimeout + time.Millisecond)
	for port := range uint16(20) {
		b.HandleReport(now, other, &jmhop.Report{Incarnation: 1})
		require.Equal(t, other, place(now, port+10))
	}
	require.Equal(t, []netip.Addr{silent}, b.Tick(now))
	require.Empty(t, b.Tick(now), "polled only once per interval")
	b.HandleReport(now, silent, &jmhop.Report{Incarnation: 1})
	b.HandleReport(now, other, &jmhop.Report{Incarnation: 1, Waiting: 9})
	require.Equal(t, silent, place(now, 99))
}

// TestUnknownSendersAreDropped drops messages from addresses that are no agent's.
func TestUnknownSendersAreDropped(t *testing.T) {
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(1))
	m, _ := b.Handle(startTime, openingPacket(shop))
	unknown := netip.MustParseAddr("100.64.0.99")
	b.HandleHolder(startTime, unknown, openingPacket(shop).Key())
	b.HandleReport(startTime, unknown, &jmhop.Report{})
	again, _ := b.Handle(startTime, dataPacket(callerSequence+1, 10))
	require.Equal(t, m.To, again.To)
	require.Equal(t, uint64(2), b.Counts[ReasonUnknownSender])
}

// TestPlacementByLoad places new flows at the upstream with the least load.
func TestPlacementByLoad(t *testing.T) {
	cases := map[string]struct{ one, two jmhop.Report }{
		"requests":      {jmhop.Report{Waiting: 8}, jmhop.Report{Waiting: 1}},
		"flows":         {jmhop.Report{Flows: 90}, jmhop.Report{Flows: 10}},
		"upstream down": {jmhop.Report{State: jmhop.ReportUpstreamDown}, jmhop.Report{Waiting: 40}},
		"is leaving":    {jmhop.Report{State: jmhop.ReportLeaving}, jmhop.Report{Waiting: 40}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{Self: balancerAddr, DataCentre: "a"}
			b.SetSnapshot(snapshot(2))
			b.HandleReport(startTime, agentAddr(1), &tc.one)
			b.HandleReport(startTime, agentAddr(2), &tc.two)
			m, _ := b.Handle(startTime, openingPacket(shop))
			require.Equal(t, agentAddr(2), m.To)
		})
	}
}

// TestDecisionsDoNotAllocate covers a packet of an open flow at the balancer and the
// agent, and its answer.
func TestDecisionsDoNotAllocate(t *testing.T) {
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(7))
	b.Handle(startTime, openingPacket(shop))
	p := dataPacket(callerSequence+1, 10)
	require.Zero(t, testing.AllocsPerRun(100, func() { b.Handle(startTime, p) }))

	a := newAgent(true, snapshot(7))
	openFlow(t, a)
	h, answer := forwardHeader(jmhop.FlagKnown), upstreamPacket(jasminemoor.FlagAck, 100)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		_, _ = a.HandlePeer(startTime, balancerAddr, h, p, nil)
		_, _ = a.HandleUpstream(startTime, answer, nil, false)
	}))
}

func BenchmarkOpenFlow(b *testing.B) {
	balancer := &Balancer{Self: balancerAddr, DataCentre: "a"}
	balancer.SetSnapshot(snapshot(7))
	balancer.Handle(startTime, openingPacket(shop))
	p := dataPacket(callerSequence+1, 10)
	b.ReportAllocs()
	for b.Loop() {
		balancer.Handle(startTime, p)
	}
}

func BenchmarkPlace(b *testing.B) {
	balancer := &Balancer{Self: balancerAddr, DataCentre: "a"}
	balancer.SetSnapshot(snapshot(50))
	p := openingPacket(shop)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.Source = netip.AddrPortFrom(callerAddr.Addr(), uint16(i))
		balancer.Handle(startTime, p)
	}
}

// TestReportAfterClockStep restarts an agent after its clock was set back, so that its
// incarnation is below that of the earlier run. A report with a lower incarnation is
// ignored only if it may be a delayed one of the earlier run.
func TestReportAfterClockStep(t *testing.T) {
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(2))
	report := func(after time.Duration, incarnation jasminemoor.Incarnation, waiting uint16) {
		b.HandleReport(startTime.Add(after), agentAddr(1), &jmhop.Report{Incarnation: incarnation, Waiting: waiting})
	}
	waiting := func() uint16 { return b.agents[b.indexOf(agentAddr(1))].report.Waiting }
	report(0, 5, 1)
	report(time.Millisecond, 9, 2)
	report(2*time.Millisecond, 5, 3)
	require.Equal(t, uint16(2), waiting(), "delayed report of the earlier run")
	report(reorderTime+time.Millisecond, 4, 4)
	require.Equal(t, uint16(4), waiting())
	report(reorderTime+2*time.Millisecond, 4, 5)
	require.Equal(t, uint16(5), waiting())
}

// TestUnknownFlowAvoidsLeavingAgent sends a packet of an unknown flow while the first agent
// in rank is being restarted.
func TestUnknownFlowAvoidsLeavingAgent(t *testing.T) {
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(3))
	p := dataPacket(callerSequence, 10)
	to := func(now time.Time) netip.Addr {
		m, reason := b.Handle(now, p)
		require.Equal(t, ReasonUnknown, reason)
		return m.To
	}
	first := to(startTime)
	b.HandleReport(startTime, first, &jmhop.Report{Incarnation: 1, State: jmhop.ReportLeaving})
	require.NotEqual(t, first, to(startTime))
	require.Equal(t, first, to(startTime.Add(leavingTTL)))
	b.HandleReport(startTime, first, &jmhop.Report{Incarnation: 2})
	require.Equal(t, first, to(startTime), "the next agent runs")
}

// TestLaggingCopyResetsNoOpenFlow sends a packet of an open flow to a balancer whose copy lacks the
// route by which another one has placed it. A flow whose route is dropped is still reset.
func TestLaggingCopyResetsNoOpenFlow(t *testing.T) {
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(2))
	p := dataPacket(callerSequence+1, 10)
	p.Destination = netip.MustParseAddrPort("198.18.0.7:1")
	m, reason := b.Handle(startTime, p)
	require.Equal(t, Dropped, m.Kind)
	require.Equal(t, ReasonNoRoute, reason)

	_, reason = b.Handle(startTime, openingPacket(shop))
	require.Equal(t, ReasonPlaced, reason)
	b.SetSnapshot(snapshot(2, func(v *jmdirectory.View) { delete(v.Routes, shop) }))
	m, reason = b.Handle(startTime, dataPacket(callerSequence+1, 10))
	require.Equal(t, Reset, m.Kind)
	require.Equal(t, ReasonNoRoute, reason)
}
