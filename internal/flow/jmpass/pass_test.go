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

var (
	begun   = time.Unix(1_700_000_000, 0)
	shop    = netip.MustParseAddrPort("198.18.0.1:8443")
	desk    = netip.MustParseAddrPort("198.18.0.2:8443")
	front   = netip.MustParseAddr("10.1.0.1")
	callers = netip.MustParseAddrPort("100.64.0.7:1025")
)

func agentAddr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}) }

func upstreamAddr(i int) netip.AddrPort { return netip.AddrPortFrom(agentAddr(i), 8080) }

// snapshot lists upstreams 1 to n of the shop and upstream 9 of the desk.
func snapshot(n int, change ...func(v *jmdirectory.View)) Snapshot {
	v := &jmdirectory.View{
		Revision: 1, Version: 1,
		Routes:    make(map[netip.AddrPort]*jmdirectory.Route),
		Services:  make(map[string]*jmdirectory.Service),
		Upstreams: make(map[netip.AddrPort]*jmdirectory.Upstream),
		Agents:    make(map[netip.Addr]*jmdirectory.Upstream),
	}
	for name, addr := range map[string]netip.AddrPort{"shop": shop, "desk": desk} {
		v.Routes[addr] = &jmdirectory.Route{Route: jasminemoor.Route{
			Address: addr, Shares: []jasminemoor.Share{{Service: name, Weight: 1}},
			Timeout: 3 * time.Second, Target: 200 * time.Millisecond,
		}}
		v.Services[name] = &jmdirectory.Service{Name: name}
	}
	add := func(name string, i int) {
		u := &jmdirectory.Upstream{ListedUpstream: jasminemoor.ListedUpstream{Service: name, Address: upstreamAddr(i), Slots: 2, DataCentre: "a"}}
		v.Upstreams[u.Address] = u
		v.Agents[u.Address.Addr()] = u
		v.Services[name].Upstreams = append(v.Services[name].Upstreams, u)
	}
	for i := range n {
		add("shop", i+1)
	}
	add("desk", 9)
	for _, each := range change {
		each(v)
	}
	return Snapshot{View: v, AsOf: begun}
}

func leaving(i int) func(v *jmdirectory.View) {
	return func(v *jmdirectory.View) { v.Upstreams[upstreamAddr(i)].State = jasminemoor.UpstreamLeaving }
}

func removed(i int) func(v *jmdirectory.View) {
	return func(v *jmdirectory.View) {
		v.Upstreams[upstreamAddr(i)].IsGone, v.Upstreams[upstreamAddr(i)].GoneAt = true, begun.Add(-lapseTime)
	}
}

// newAgent returns the agent of the first upstream.
func newAgent(isFirst bool, s Snapshot) *Agent {
	a := &Agent{Self: agentAddr(1), Upstream: upstreamAddr(1), Service: "shop", IsFirst: isFirst}
	a.SetSnapshot(s)
	return a
}

const (
	callerSequence   = 1000
	upstreamSequence = 5000
)

func opening(to netip.AddrPort) *jasminemoor.Packet {
	return &jasminemoor.Packet{Source: callers, Destination: to, Flags: jasminemoor.FlagOpen, Sequence: callerSequence}
}

func data(sequence uint32, length int) *jasminemoor.Packet {
	return &jasminemoor.Packet{
		Source: callers, Destination: shop, Flags: jasminemoor.FlagAck, Sequence: sequence,
		Acknowledged: upstreamSequence + 1, Length: length,
	}
}

func fromUpstream(flags jasminemoor.PacketFlags, length int) *jasminemoor.Packet {
	return &jasminemoor.Packet{Source: shop, Destination: callers, Flags: flags, Sequence: upstreamSequence, Length: length}
}

func forwardHeader(flags uint8) *jmhop.Header {
	return &jmhop.Header{Kind: jmhop.KindForward, Flags: flags, Origin: front}
}

// openFlow has the agent's upstream accept a flow.
func openFlow(t *testing.T, a *Agent) {
	t.Helper()
	out, reason := a.HandlePeer(begun, front, forwardHeader(0), opening(shop), nil)
	require.Equal(t, ReasonHeld, reason)
	require.Contains(t, kinds(out), ToUpstream)
	out, _ = a.HandleUpstream(begun, fromUpstream(jasminemoor.FlagOpen|jasminemoor.FlagAck, 0), nil, false)
	require.Equal(t, []Kind{ToCaller}, kinds(out))
}

func kinds(out []Message) (kinds []Kind) {
	for i := range out {
		kinds = append(kinds, out[i].Kind)
	}
	return kinds
}

func find(out []Message, kind Kind) *Message {
	for i := range out {
		if out[i].Kind == kind {
			return &out[i]
		}
	}
	return nil
}

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

// TestOtherServiceNeverReached hands a flow on whose route is not for the
// agent's own service: addresses are used again.
func TestOtherServiceNeverReached(t *testing.T) {
	a := newAgent(true, snapshot(2))
	out, reason := a.HandlePeer(begun, front, forwardHeader(0), opening(desk), nil)
	require.Equal(t, ReasonOtherService, reason)
	require.NotContains(t, kinds(out), ToUpstream)
	require.Equal(t, agentAddr(9), find(out[len(out)-1:], ToPeer).To)

	a = newAgent(false, snapshot(2))
	p := data(callerSequence, 10)
	p.Destination = desk
	out, _ = a.HandlePeer(begun, front, forwardHeader(jmhop.FlagKnown), p, []byte("packet"))
	require.NotContains(t, kinds(out), ToUpstream, "not even to see whether the upstream holds it")
}

func TestLeavingUpstreamGetsNoNewFlows(t *testing.T) {
	a := newAgent(true, snapshot(2, leaving(1)))
	out, reason := a.HandlePeer(begun, front, forwardHeader(0), opening(shop), nil)
	require.Equal(t, ReasonLeaving, reason)
	require.Equal(t, agentAddr(2), find(out[len(out)-1:], ToPeer).To)
	require.NotContains(t, kinds(out), ToUpstream)
}

// TestHandOnEnds bounds how often an opening packet is passed on.
func TestHandOnEnds(t *testing.T) {
	a := newAgent(true, snapshot(2, leaving(1)))
	h := forwardHeader(0)
	h.Hops = maxHops
	out, _ := a.HandlePeer(begun, agentAddr(2), h, opening(shop), nil)
	require.Empty(t, out)
}

// TestRefusedOpeningGoesOn takes a flow that the upstream has no room for to another.
func TestRefusedOpeningGoesOn(t *testing.T) {
	a := newAgent(true, snapshot(3))
	_, _ = a.HandlePeer(begun, front, forwardHeader(0), opening(shop), nil)
	p := opening(shop)
	p.Flags |= jasminemoor.FlagReturned
	out, reason := a.HandleUpstream(begun, p, []byte("packet"), false)
	require.Equal(t, ReasonRefusedByUpstream, reason)
	m := find(out, ToPeer)
	require.NotEqual(t, agentAddr(1), m.To)
	require.Equal(t, uint8(1), m.Header.Hops)
	require.Equal(t, front, m.Header.Origin)
	require.Equal(t, []byte("packet"), m.Packet)
}

// TestKnownFlowThatDied resets a flow that the agent saw its upstream take and
// that the upstream no longer holds.
func TestKnownFlowThatDied(t *testing.T) {
	a := newAgent(true, snapshot(3))
	openFlow(t, a)
	p := data(callerSequence+1, 10)
	_, _ = a.HandlePeer(begun, front, forwardHeader(jmhop.FlagKnown), p, nil)
	p.Flags |= jasminemoor.FlagReturned
	out, _ := a.HandleUpstream(begun, p, nil, false)
	require.Equal(t, []Kind{Reset}, kinds(out))
	require.Equal(t, uint32(upstreamSequence+1), out[0].Sequence)
}

// TestOtherHolder passes on the packets of a flow that the caller opened at the
// upstream of another agent, though this agent's upstream answered as well.
func TestOtherHolder(t *testing.T) {
	a := newAgent(true, snapshot(2))
	openFlow(t, a)
	p := data(callerSequence+1, 10)
	p.Acknowledged = 77
	out, reason := a.HandlePeer(begun, front, forwardHeader(jmhop.FlagKnown), p, []byte("packet"))
	require.Equal(t, ReasonSearched, reason)
	require.Equal(t, []Kind{ToPeer}, kinds(out))
	require.Equal(t, jmhop.KindAsk, out[0].Header.Kind)
	out = a.HandleAbsent(begun, agentAddr(2), p.Key())
	require.NotContains(t, kinds(out), ToUpstream)
}

// TestProofThatFlowIsGone walks through what must be known before a flow that
// nobody claims is reset.
func TestProofThatFlowIsGone(t *testing.T) {
	key := data(0, 0).Key()
	begin := func(s Snapshot) *Agent {
		a := newAgent(true, s)
		out, _ := a.HandlePeer(begun, front, forwardHeader(0), data(callerSequence, 10), []byte("packet"))
		require.NotContains(t, kinds(out), Reset)
		return a
	}
	t.Run("all others said so", func(t *testing.T) {
		a := begin(snapshot(3))
		require.Empty(t, a.HandleAbsent(begun, agentAddr(2), key))
		require.Equal(t, []Kind{Reset}, kinds(a.HandleAbsent(begun, agentAddr(3), key)))
		out, reason := a.HandlePeer(begun, front, forwardHeader(0), data(callerSequence, 10), []byte("packet"))
		require.Equal(t, ReasonAbsentEverywhere, reason, "the next packet needs no search")
		require.Equal(t, []Kind{Reset}, kinds(out))
	})
	t.Run("silence is no proof", func(t *testing.T) {
		a := begin(snapshot(3))
		a.HandleAbsent(begun, agentAddr(2), key)
		for now := begun; now.Sub(begun) < 2*searchTime; now = now.Add(20 * time.Millisecond) {
			out, _ := a.Tick(now)
			require.NotContains(t, kinds(out), Reset)
		}
	})
	t.Run("an upstream whose entry lapsed may live", func(t *testing.T) {
		a := begin(snapshot(3, removed(3)))
		require.Empty(t, a.HandleAbsent(begun, agentAddr(2), key))
	})
	t.Run("one that left has no flows", func(t *testing.T) {
		a := begin(snapshot(3, leaving(3), removed(3)))
		require.Equal(t, []Kind{Reset}, kinds(a.HandleAbsent(begun, agentAddr(2), key)))
	})
	t.Run("an old view may lack upstreams", func(t *testing.T) {
		a := begin(snapshot(3))
		later := begun.Add(freshness)
		a.HandleAbsent(later, agentAddr(2), key)
		require.Empty(t, a.HandleAbsent(later, agentAddr(3), key))
	})
	t.Run("an agent that claims it ends the search", func(t *testing.T) {
		a := begin(snapshot(3))
		a.HandleHolder(begun, key)
		a.HandleAbsent(begun, agentAddr(2), key)
		require.Empty(t, a.HandleAbsent(begun, agentAddr(3), key))
	})
}

// TestRestartedAgentAsksItsUpstream checks that an agent that has forgotten its
// flows says nothing about one before its upstream did.
func TestRestartedAgentAsksItsUpstream(t *testing.T) {
	ask := &jmhop.Header{Kind: jmhop.KindAsk, Origin: front}
	p := data(callerSequence, 10)
	a := newAgent(false, snapshot(3))
	out, reason := a.HandlePeer(begun, agentAddr(2), ask, p, []byte("packet"))
	require.Equal(t, ReasonTested, reason)
	require.Equal(t, []Kind{ToUpstream}, kinds(out))

	t.Run("the upstream refuses", func(t *testing.T) {
		a := newAgent(false, snapshot(3))
		_, _ = a.HandlePeer(begun, agentAddr(2), ask, p, []byte("packet"))
		refused := *p
		refused.Flags |= jasminemoor.FlagReturned
		out, _ := a.HandleUpstream(begun, &refused, nil, false)
		require.Equal(t, jmhop.KindAbsent, find(out, ToPeer).Header.Kind)
		require.Equal(t, agentAddr(2), find(out, ToPeer).To)
		out, reason := a.HandlePeer(begun, agentAddr(3), ask, p, []byte("packet"))
		require.Equal(t, ReasonNotHeld, reason, "not a second time to the upstream")
		require.NotContains(t, kinds(out), ToUpstream)
	})
	t.Run("the upstream answers", func(t *testing.T) {
		a := newAgent(false, snapshot(3))
		_, _ = a.HandlePeer(begun, agentAddr(2), ask, p, []byte("packet"))
		out, _ := a.HandleUpstream(begun, fromUpstream(jasminemoor.FlagAck, 100), nil, false)
		var told []netip.Addr
		for i := range out {
			if out[i].Header.Kind == jmhop.KindHolder {
				told = append(told, out[i].To)
			}
		}
		require.ElementsMatch(t, []netip.Addr{front, agentAddr(2)}, told)
		require.Contains(t, kinds(out), ToCaller)
	})
	t.Run("the upstream is silent, then refuses another packet", func(t *testing.T) {
		a := newAgent(false, snapshot(3))
		_, _ = a.HandlePeer(begun, agentAddr(2), ask, p, []byte("packet"))
		_, _ = a.Tick(begun.Add(testTime))
		refused := *p
		refused.Flags |= jasminemoor.FlagReturned
		out, reason := a.HandleUpstream(begun.Add(testTime), &refused, []byte("packet"), false)
		require.Equal(t, ReasonSearched, reason, "it was only taken to hold the flow")
		require.NotContains(t, kinds(out), Reset)
	})
	t.Run("nothing is said before the own upstream was asked", func(t *testing.T) {
		a := newAgent(false, Snapshot{})
		out, _ := a.HandlePeer(begun, front, forwardHeader(0), p, []byte("packet"))
		require.Empty(t, out)
		a.SetSnapshot(snapshot(2))
		require.Empty(t, a.HandleAbsent(begun, agentAddr(2), p.Key()))
		out, _ = a.Tick(begun.Add(askInterval))
		require.NotNil(t, find(out, ToUpstream))
	})
}

// TestCrashedUpstream resets the flows of an upstream whose process has ended,
// and hands new ones on.
func TestCrashedUpstream(t *testing.T) {
	a := newAgent(true, snapshot(2))
	openFlow(t, a)
	_, _ = a.HandlePeer(begun, front, forwardHeader(jmhop.FlagKnown), data(callerSequence+1, 10), nil)
	now := begun.Add(upstreamTimeout + time.Millisecond)
	_, shouldProbe := a.Tick(now)
	require.True(t, shouldProbe)
	out := a.HandleProbe(now, ProbeRefused)
	require.Contains(t, kinds(out), Reset)
	require.Equal(t, jmhop.ReportStopped, find(out, ToPeer).Report.State)
	out, reason := a.HandlePeer(now, front, forwardHeader(0), opening(shop), nil)
	require.Equal(t, ReasonUpstreamDown, reason)
	require.NotContains(t, kinds(out), ToUpstream)
	_ = a.HandleProbe(now, ProbeAccepted)
	_, reason = a.HandlePeer(now, front, forwardHeader(0), opening(shop), nil)
	require.Equal(t, ReasonHeld, reason)
}

// TestSilentUpstream keeps the flows: silence is no proof that they are gone.
func TestSilentUpstream(t *testing.T) {
	a := newAgent(true, snapshot(2))
	openFlow(t, a)
	require.NotContains(t, kinds(a.HandleProbe(begun, ProbeSilent)), Reset)
	_, reason := a.HandlePeer(begun, front, forwardHeader(0), opening(shop), nil)
	require.Equal(t, ReasonUpstreamDown, reason)
	_, reason = a.HandlePeer(begun, front, forwardHeader(jmhop.FlagKnown), data(callerSequence+1, 10), nil)
	require.Equal(t, ReasonHeld, reason)
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

// many is a snapshot of a service with n upstreams.
func many(n int) Snapshot {
	return snapshot(0, func(v *jmdirectory.View) {
		service := v.Services["shop"]
		for i := range n {
			u := &jmdirectory.Upstream{ListedUpstream: jasminemoor.ListedUpstream{
				Service: "shop", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 8080), Slots: 2,
			}}
			v.Upstreams[u.Address] = u
			v.Agents[u.Address.Addr()] = u
			service.Upstreams = append(service.Upstreams, u)
		}
	})
}

// TestSearchAsksFewFirst asks the first in rank, where the flow was placed, and
// all others only once these have said no.
func TestSearchAsksFewFirst(t *testing.T) {
	s := many(200)
	b := &Balancer{Self: front, DataCentre: "a"}
	b.SetSnapshot(s)
	holder, _ := b.Handle(begun, opening(shop))

	a := newAgent(true, s)
	p := data(callerSequence, 10)
	out, _ := a.HandlePeer(begun, front, forwardHeader(0), p, []byte("packet"))
	require.Len(t, out, firstAsked)
	var asked []netip.Addr
	for i := range out {
		asked = append(asked, out[i].To)
	}
	require.Contains(t, asked, holder.To, "whatever the number of upstreams")
	wide := 0
	for _, agent := range asked {
		wide += len(a.HandleAbsent(begun, agent, p.Key()))
	}
	require.Equal(t, 200-firstAsked, wide)
}

// TestSearchesHaveABudget bounds what a power failure makes an agent ask, while
// nobody answers, as on the grown installation where asking took all processors.
func TestSearchesHaveABudget(t *testing.T) {
	a := newAgent(true, many(60))
	sent, seconds := 0, 3
	for now := begun; now.Sub(begun) < time.Duration(seconds)*time.Second; now = now.Add(25 * time.Millisecond) {
		for i := range 10 {
			p := data(callerSequence, 10)
			p.Source = netip.AddrPortFrom(callers.Addr(), uint16(i+10*int(now.Sub(begun)/(25*time.Millisecond))))
			out, _ := a.HandlePeer(now, front, forwardHeader(0), p, []byte("packet"))
			sent += len(out)
		}
		out, _ := a.Tick(now)
		sent += len(out)
	}
	reports := seconds * int(time.Second/idleReportInterval)
	require.LessOrEqual(t, sent, askBurst+seconds*askRate+reports)
}

// TestUpstreamSeenDown lets an agent that was restarted answer for its upstream
// once it has found that the upstream's process had ended as well.
func TestUpstreamSeenDown(t *testing.T) {
	a := newAgent(false, snapshot(2))
	_, shouldProbe := a.Tick(begun)
	require.True(t, shouldProbe, "at the start")
	_ = a.HandleProbe(begun, ProbeRefused)
	_ = a.HandleProbe(begun, ProbeAccepted)
	ask := &jmhop.Header{Kind: jmhop.KindAsk, Origin: front}
	out, reason := a.HandlePeer(begun, agentAddr(2), ask, data(callerSequence, 10), []byte("packet"))
	require.Equal(t, ReasonNotHeld, reason)
	require.Equal(t, jmhop.KindAbsent, out[0].Header.Kind)
}
