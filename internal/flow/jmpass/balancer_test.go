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

func TestBalancerRefusesAtOnce(t *testing.T) {
	unknown := netip.MustParseAddrPort("198.18.0.7:1")
	cases := map[string]struct {
		snapshot Snapshot
		to       netip.AddrPort
		now      time.Time
		kind     Kind
		reason   Reason
	}{
		"no view":                      {Snapshot{}, shop, begun, 0, ReasonNoView},
		"no route":                     {snapshot(2), unknown, begun, Reset, ReasonNoRoute},
		"no route, by an old view":     {snapshot(2), unknown, begun.Add(freshness), 0, ReasonNoRoute},
		"no upstream":                  {snapshot(0), shop, begun, Reset, ReasonNoUpstream},
		"no upstream, by an old view":  {snapshot(0), shop, begun.Add(freshness), 0, ReasonNoUpstream},
		"all upstreams leave":          {snapshot(1, leaving(1)), shop, begun, Reset, ReasonNoUpstream},
		"all upstreams are gone":       {snapshot(1, removed(1)), shop, begun, Reset, ReasonNoUpstream},
		"an upstream is there":         {snapshot(1), shop, begun, ToPeer, ReasonPlaced},
		"another upstream is leaving":  {snapshot(2, leaving(1)), shop, begun, ToPeer, ReasonPlaced},
		"by an old view, nothing else": {snapshot(1), shop, begun.Add(time.Minute), ToPeer, ReasonPlaced},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{Self: front, DataCentre: "a"}
			b.SetSnapshot(tc.snapshot)
			b.viewed = begun.Add(-lapseTime)
			m, reason := b.Handle(tc.now, opening(tc.to))
			require.Equal(t, tc.kind, m.Kind)
			require.Equal(t, tc.reason, reason)
		})
	}
}

// TestListMayNotBeWhole covers a service all of whose entries are missing, as
// after an outage of the store in which they lapsed.
func TestListMayNotBeWhole(t *testing.T) {
	lapsed := func(v *jmdirectory.View) {
		v.Upstreams[upstreamAddr(1)].IsGone, v.Upstreams[upstreamAddr(1)].GoneAt = true, begun
	}
	t.Run("entries that lapsed a moment ago", func(t *testing.T) {
		b := &Balancer{Self: front, DataCentre: "a"}
		b.SetSnapshot(snapshot(1, lapsed))
		m, reason := b.Handle(begun, opening(shop))
		require.Equal(t, ReasonPlaced, reason)
		require.Equal(t, agentAddr(1), m.To)
	})
	t.Run("not those of upstreams that left", func(t *testing.T) {
		b := &Balancer{Self: front, DataCentre: "a"}
		b.SetSnapshot(snapshot(1, leaving(1), lapsed))
		_, reason := b.Handle(begun, opening(shop))
		require.Equal(t, ReasonNoUpstream, reason)
	})
	t.Run("a process that has just started refuses nobody", func(t *testing.T) {
		b := &Balancer{Self: front, DataCentre: "a"}
		b.SetSnapshot(snapshot(0))
		m, reason := b.Handle(begun, opening(shop))
		require.Equal(t, ReasonNoUpstream, reason)
		require.Zero(t, m.Kind)
		m, _ = b.Handle(begun.Add(lapseTime), opening(shop))
		require.Equal(t, Reset, m.Kind)
	})
}

// TestBalancerKeepsFlows checks that an open flow stays where it is when its
// upstream leaves, when others join, and when its agent falls silent.
func TestBalancerKeepsFlows(t *testing.T) {
	b := &Balancer{Self: front, DataCentre: "a"}
	b.SetSnapshot(snapshot(1))
	m, _ := b.Handle(begun, opening(shop))
	require.Equal(t, agentAddr(1), m.To)
	for name, s := range map[string]Snapshot{"others join": snapshot(7), "upstream leaves": snapshot(7, leaving(1)), "entry lapsed": snapshot(7, removed(1))} {
		b.SetSnapshot(s)
		m, reason := b.Handle(begun.Add(2*time.Second), data(callerSequence+1, 10))
		require.Equal(t, ReasonKnown, reason, name)
		require.Equal(t, agentAddr(1), m.To, name)
		require.Equal(t, jmhop.FlagKnown, m.Header.Flags, name)
	}
}

// TestFlowOfUpstreamThatLeft resets a flow once its upstream has left in an
// orderly way and its agent is silent, and not before.
func TestFlowOfUpstreamThatLeft(t *testing.T) {
	b := &Balancer{Self: front, DataCentre: "a"}
	b.SetSnapshot(snapshot(1))
	b.Handle(begun, opening(shop))
	b.HandleReport(begun, agentAddr(1), &jmhop.Report{Incarnation: 1})
	s := snapshot(2, leaving(1), removed(1))
	b.SetSnapshot(s)
	_, reason := b.Handle(begun.Add(silentAfter/2), data(callerSequence+1, 10))
	require.Equal(t, ReasonKnown, reason)
	m, reason := b.Handle(begun.Add(silentAfter+time.Millisecond), data(callerSequence+1, 10))
	require.Equal(t, ReasonUpstreamGone, reason)
	require.Equal(t, Reset, m.Kind)
	require.Equal(t, uint32(upstreamSequence+1), m.Sequence)
}

// TestRepeatedOpening sends the copy of an opening packet to another upstream.
func TestRepeatedOpening(t *testing.T) {
	b := &Balancer{Self: front, DataCentre: "a"}
	b.SetSnapshot(snapshot(3))
	first, _ := b.Handle(begun, opening(shop))
	second, reason := b.Handle(begun.Add(200*time.Millisecond), opening(shop))
	require.Equal(t, ReasonRepeated, reason)
	require.NotEqual(t, first.To, second.To)
}

// TestSilentAgentGetsNoNewFlows avoids an agent that does not answer, until it does.
func TestSilentAgentGetsNoNewFlows(t *testing.T) {
	b := &Balancer{Self: front, DataCentre: "a"}
	b.SetSnapshot(snapshot(2))
	place := func(now time.Time, port uint16) netip.Addr {
		p := opening(shop)
		p.Source = netip.AddrPortFrom(callers.Addr(), port)
		m, _ := b.Handle(now, p)
		return m.To
	}
	silent := place(begun, 1)
	other := agentAddr(1)
	if silent == other {
		other = agentAddr(2)
	}
	now := begun.Add(answerTimeout + time.Millisecond)
	for port := range uint16(20) {
		b.HandleReport(now, other, &jmhop.Report{Incarnation: 1})
		require.Equal(t, other, place(now, port+10))
	}
	require.Equal(t, []netip.Addr{silent}, b.Tick(now))
	require.Empty(t, b.Tick(now), "not again at once")
	b.HandleReport(now, silent, &jmhop.Report{Incarnation: 1})
	b.HandleReport(now, other, &jmhop.Report{Incarnation: 1, Waiting: 9})
	require.Equal(t, silent, place(now, 99))
}

// TestStrangersAreNotHeard drops what comes from no agent's address.
func TestStrangersAreNotHeard(t *testing.T) {
	b := &Balancer{Self: front, DataCentre: "a"}
	b.SetSnapshot(snapshot(1))
	m, _ := b.Handle(begun, opening(shop))
	stranger := netip.MustParseAddr("100.64.0.99")
	b.HandleHolder(begun, stranger, opening(shop).Key())
	b.HandleReport(begun, stranger, &jmhop.Report{})
	again, _ := b.Handle(begun, data(callerSequence+1, 10))
	require.Equal(t, m.To, again.To)
	require.Equal(t, uint64(2), b.Counts[ReasonStranger])
}

// TestLoadDecides puts new flows where they wait least.
func TestLoadDecides(t *testing.T) {
	cases := map[string]struct{ one, two jmhop.Report }{
		"requests":   {jmhop.Report{Waiting: 8}, jmhop.Report{Waiting: 1}},
		"flows":      {jmhop.Report{Flows: 90}, jmhop.Report{Flows: 10}},
		"stopped":    {jmhop.Report{State: jmhop.ReportStopped}, jmhop.Report{Waiting: 40}},
		"is leaving": {jmhop.Report{State: jmhop.ReportLeaving}, jmhop.Report{Waiting: 40}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{Self: front, DataCentre: "a"}
			b.SetSnapshot(snapshot(2))
			b.HandleReport(begun, agentAddr(1), &tc.one)
			b.HandleReport(begun, agentAddr(2), &tc.two)
			m, _ := b.Handle(begun, opening(shop))
			require.Equal(t, agentAddr(2), m.To)
		})
	}
}

// TestDecisionsDoNotAllocate covers a packet of an open flow on its whole way.
func TestDecisionsDoNotAllocate(t *testing.T) {
	b := &Balancer{Self: front, DataCentre: "a"}
	b.SetSnapshot(snapshot(7))
	b.Handle(begun, opening(shop))
	p := data(callerSequence+1, 10)
	require.Zero(t, testing.AllocsPerRun(100, func() { b.Handle(begun, p) }))

	a := newAgent(true, snapshot(7))
	openFlow(t, a)
	h, answer := forwardHeader(jmhop.FlagKnown), fromUpstream(jasminemoor.FlagAck, 100)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		_, _ = a.HandlePeer(begun, front, h, p, nil)
		_, _ = a.HandleUpstream(begun, answer, nil, false)
	}))
}

func BenchmarkOpenFlow(b *testing.B) {
	balancer := &Balancer{Self: front, DataCentre: "a"}
	balancer.SetSnapshot(snapshot(7))
	balancer.Handle(begun, opening(shop))
	p := data(callerSequence+1, 10)
	b.ReportAllocs()
	for b.Loop() {
		balancer.Handle(begun, p)
	}
}

func BenchmarkPlace(b *testing.B) {
	balancer := &Balancer{Self: front, DataCentre: "a"}
	balancer.SetSnapshot(snapshot(50))
	p := opening(shop)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.Source = netip.AddrPortFrom(callers.Addr(), uint16(i))
		balancer.Handle(begun, p)
	}
}

// TestReportAfterClockStep has an agent start again after its clock was set back:
// its incarnation is below that of its earlier run. Only a report that was under
// way meanwhile is left out.
func TestReportAfterClockStep(t *testing.T) {
	b := &Balancer{Self: front, DataCentre: "a"}
	b.SetSnapshot(snapshot(2))
	report := func(after time.Duration, incarnation jasminemoor.Incarnation, waiting uint16) {
		b.HandleReport(begun.Add(after), agentAddr(1), &jmhop.Report{Incarnation: incarnation, Waiting: waiting})
	}
	waiting := func() uint16 { return b.agents[b.indexOf(agentAddr(1))].report.Waiting }
	report(0, 5, 1)
	report(time.Millisecond, 9, 2)
	report(2*time.Millisecond, 5, 3)
	require.Equal(t, uint16(2), waiting(), "of the run before, overtaken")
	report(reorderTime+time.Millisecond, 4, 4)
	require.Equal(t, uint16(4), waiting())
	report(reorderTime+2*time.Millisecond, 4, 5)
	require.Equal(t, uint16(5), waiting())
}
