package jmpass

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// TestOtherHolder searches for the holder of a flow that the caller opened at the
// upstream of another agent, though this agent's upstream has replied as well.
func TestOtherHolder(t *testing.T) {
	a := newAgent(true, snapshot(2))
	openFlow(t, a)
	p := dataPacket(callerSequence+1, 10)
	p.Acknowledged = 77
	out, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), p, []byte("packet"))
	require.Equal(t, ReasonSearched, reason)
	require.Equal(t, []Kind{ToPeer}, kinds(out))
	require.Equal(t, jmhop.KindAsk, out[0].Header.Kind)
	out = a.HandleAbsent(startTime, agentAddr(2), absentHeader, p.Key())
	require.NotContains(t, kinds(out), ToUpstream)
}

// TestResetOfLostFlow covers the conditions under which a flow without a holder is
// reset.
func TestResetOfLostFlow(t *testing.T) {
	key := dataPacket(0, 0).Key()
	begin := func(s Snapshot) *Agent {
		a := newAgent(true, s)
		out, _ := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), dataPacket(callerSequence, 10), []byte("packet"))
		require.NotContains(t, kinds(out), Reset)
		return a
	}
	t.Run("all others have answered", func(t *testing.T) {
		a := begin(snapshot(3))
		require.Empty(t, a.HandleAbsent(startTime, agentAddr(2), absentHeader, key))
		requireReset(t, a.HandleAbsent(startTime, agentAddr(3), absentHeader, key))
		out, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), dataPacket(callerSequence, 10), []byte("packet"))
		require.Equal(t, ReasonAbsentEverywhere, reason, "the next packet needs no search")
		requireReset(t, out)
	})
	t.Run("a silent agent may hold it", func(t *testing.T) {
		a := begin(snapshot(3))
		var silent []netip.Addr
		a.OnSearchTimeout = func(flow jasminemoor.FlowKey, unanswered []netip.Addr) {
			require.Equal(t, key, flow)
			silent = append(silent, unanswered...)
		}
		a.HandleAbsent(startTime, agentAddr(2), absentHeader, key)
		for now := startTime; now.Sub(startTime) < 2*searchTimeout; now = now.Add(20 * time.Millisecond) {
			out, _ := a.Tick(now)
			require.NotContains(t, kinds(out), Reset)
		}
		require.Equal(t, []netip.Addr{agentAddr(3)}, silent)
	})
	t.Run("an upstream whose entry lapsed may hold it", func(t *testing.T) {
		a := begin(snapshot(3, removed(3)))
		require.Empty(t, a.HandleAbsent(startTime, agentAddr(2), absentHeader, key))
	})
	t.Run("an upstream that left holds no flows", func(t *testing.T) {
		a := begin(snapshot(3, leaving(3), removed(3)))
		requireReset(t, a.HandleAbsent(startTime, agentAddr(2), absentHeader, key))
	})
	t.Run("an upstream whose entry lapsed while it was leaving may hold it", func(t *testing.T) {
		a := begin(snapshot(3, leaving(3), removed(3), func(v *jmdirectory.View) { v.Upstreams[upstreamAddr(3)].RemovedAt = startTime }))
		require.Empty(t, a.HandleAbsent(startTime, agentAddr(2), absentHeader, key))
		s := a.snapshot
		s.AsOf = startTime.Add(lapseGrace)
		a.SetSnapshot(s)
		a.searches.byFlow = make(map[jasminemoor.FlowKey]*search) // it has timed out
		_, _ = a.HandlePeer(s.AsOf, balancerAddr, forwardHeader(0), dataPacket(callerSequence, 10), []byte("packet"))
		requireReset(t, a.HandleAbsent(s.AsOf, agentAddr(2), absentHeader, key))
	})
	t.Run("the first list of an agent that was restarted may lack upstreams", func(t *testing.T) {
		a := newAgent(false, snapshot(1))
		p := dataPacket(callerSequence, 10)
		_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, []byte("packet"))
		p.Flags |= jasminemoor.FlagReturned
		out, reason := a.HandleUpstream(startTime, p, []byte("packet"), false)
		require.Equal(t, ReasonSearched, reason)
		require.NotContains(t, kinds(out), Reset)
		s := a.snapshot
		s.AsOf = startTime.Add(lapseGrace)
		a.SetSnapshot(s)
		a.searches.byFlow = make(map[jasminemoor.FlowKey]*search) // it has timed out
		out, _ = a.HandlePeer(s.AsOf, balancerAddr, forwardHeader(0), dataPacket(callerSequence, 10), []byte("packet"))
		require.Contains(t, kinds(out), Reset)
	})
	t.Run("an old view may lack upstreams", func(t *testing.T) {
		a := begin(snapshot(3))
		later := startTime.Add(maxViewAge)
		a.HandleAbsent(later, agentAddr(2), absentHeader, key)
		require.Empty(t, a.HandleAbsent(later, agentAddr(3), absentHeader, key))
	})
	t.Run("the holder's answer ends the search", func(t *testing.T) {
		a := begin(snapshot(3))
		a.HandleHolder(startTime, key)
		a.HandleAbsent(startTime, agentAddr(2), absentHeader, key)
		require.Empty(t, a.HandleAbsent(startTime, agentAddr(3), absentHeader, key))
	})
}

// TestRestartedAgentProbesForFlow checks that an agent that has lost its table in a
// restart does not answer a search before it has probed its upstream for the flow.
func TestRestartedAgentProbesForFlow(t *testing.T) {
	ask := &jmhop.Header{Kind: jmhop.KindAsk, Origin: balancerAddr}
	p := dataPacket(callerSequence, 10)
	a := newAgent(false, snapshot(3))
	out, reason := a.HandlePeer(startTime, agentAddr(2), ask, p, []byte("packet"))
	require.Equal(t, ReasonProbed, reason)
	require.Equal(t, []Kind{ToUpstream}, kinds(out))

	t.Run("the upstream refuses", func(t *testing.T) {
		a := newAgent(false, snapshot(3))
		_, _ = a.HandlePeer(startTime, agentAddr(2), ask, p, []byte("packet"))
		refused := *p
		refused.Flags |= jasminemoor.FlagReturned
		out, _ := a.HandleUpstream(startTime, &refused, nil, false)
		require.Equal(t, jmhop.KindAbsent, find(out, ToPeer).Header.Kind)
		require.Equal(t, agentAddr(2), find(out, ToPeer).To)
		out, reason := a.HandlePeer(startTime, agentAddr(3), ask, p, []byte("packet"))
		require.Equal(t, ReasonNotHeld, reason, "the upstream is not probed twice for the flow")
		require.NotContains(t, kinds(out), ToUpstream)
	})
	t.Run("the upstream answers", func(t *testing.T) {
		a := newAgent(false, snapshot(3))
		_, _ = a.HandlePeer(startTime, agentAddr(2), ask, p, []byte("packet"))
		out, _ := a.HandleUpstream(startTime, upstreamPacket(jasminemoor.FlagAck, 100), nil, false)
		var informed []netip.Addr
		for i := range out {
			if out[i].Header.Kind == jmhop.KindHolder {
				informed = append(informed, out[i].To)
			}
		}
		require.ElementsMatch(t, []netip.Addr{balancerAddr, agentAddr(2)}, informed)
		require.Contains(t, kinds(out), ToCaller)
	})
	t.Run("the upstream is silent, then refuses another packet", func(t *testing.T) {
		a := newAgent(false, snapshot(3))
		_, _ = a.HandlePeer(startTime, agentAddr(2), ask, p, []byte("packet"))
		_, _ = a.Tick(startTime.Add(flowProbeTimeout))
		refused := *p
		refused.Flags |= jasminemoor.FlagReturned
		out, reason := a.HandleUpstream(startTime.Add(flowProbeTimeout), &refused, []byte("packet"), false)
		require.Equal(t, ReasonNotHeld, reason)
		require.Equal(t, []Kind{ToPeer}, kinds(out), "the search of the agent that asked goes on")
		require.Equal(t, jmhop.KindAbsent, out[0].Header.Kind)
		require.Equal(t, agentAddr(2), out[0].To)
	})
	t.Run("the upstream is silent, then refuses another packet of a balancer", func(t *testing.T) {
		a := newAgent(false, snapshot(3))
		_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, []byte("packet"))
		_, _ = a.Tick(startTime.Add(flowProbeTimeout))
		refused := *p
		refused.Flags |= jasminemoor.FlagReturned
		out, reason := a.HandleUpstream(startTime.Add(flowProbeTimeout), &refused, []byte("packet"), false)
		require.Equal(t, ReasonSearched, reason, "the upstream was never known to hold the flow")
		require.NotContains(t, kinds(out), Reset)
	})
	t.Run("no reset before the own upstream was probed for the flow", func(t *testing.T) {
		a := newAgent(false, Snapshot{})
		out, _ := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, []byte("packet"))
		require.Empty(t, out)
		a.SetSnapshot(snapshot(2))
		require.Empty(t, a.HandleAbsent(startTime, agentAddr(2), absentHeader, p.Key()))
		out, _ = a.Tick(startTime.Add(askInterval))
		require.NotNil(t, find(out, ToUpstream))
	})
}

// manyUpstreams returns a snapshot of a service with n upstreams.
func manyUpstreams(n int, change ...func(v *jmdirectory.View)) Snapshot {
	add := func(v *jmdirectory.View) {
		service := v.Services["shop"]
		for i := range n {
			u := &jmdirectory.Upstream{ListedUpstream: jasminemoor.ListedUpstream{
				Service: "shop", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 8080), Slots: 2,
			}}
			v.Upstreams[u.Address] = u
			v.Agents[u.Address.Addr()] = u
			service.Upstreams = append(service.Upstreams, u)
		}
	}
	return snapshot(0, append([]func(v *jmdirectory.View){add}, change...)...)
}

// TestSearchAsksFewFirst asks the first agents in rank, among which the flow was
// placed, and all others only after these have answered that they don't hold it.
func TestSearchAsksFewFirst(t *testing.T) {
	s := manyUpstreams(200)
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(s)
	holder, _ := b.Handle(startTime, openingPacket(shop))

	a := newAgent(true, s)
	p := dataPacket(callerSequence, 10)
	out, _ := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, []byte("packet"))
	require.Len(t, out, initialAskCount)
	var asked []netip.Addr
	for i := range out {
		asked = append(asked, out[i].To)
	}
	require.Contains(t, asked, holder.To, "whatever the number of upstreams")
	askedLater := 0
	for _, agent := range asked {
		askedLater += len(a.HandleAbsent(startTime, agent, absentHeader, p.Key()))
	}
	require.Equal(t, 200-initialAskCount, askedLater)
}

// TestSearchRateIsBounded bounds the packets with which an agent asks others after a
// power failure, while none of them answers. Without the bound, the searches of a
// large installation take up all processors.
func TestSearchRateIsBounded(t *testing.T) {
	a := newAgent(true, manyUpstreams(60))
	sent, seconds := 0, 3
	for now := startTime; now.Sub(startTime) < time.Duration(seconds)*time.Second; now = now.Add(25 * time.Millisecond) {
		for i := range 10 {
			p := dataPacket(callerSequence, 10)
			p.Source = netip.AddrPortFrom(callerAddr.Addr(), uint16(i+10*int(now.Sub(startTime)/(25*time.Millisecond))))
			out, _ := a.HandlePeer(now, balancerAddr, forwardHeader(0), p, []byte("packet"))
			sent += len(out)
		}
		out, _ := a.Tick(now)
		sent += len(out)
	}
	reports := seconds * int(time.Second/idleReportInterval)
	require.LessOrEqual(t, sent, askBurst+seconds*askRate+reports)
}

// TestWaitingSearchesGoInOrder starts more searches at once than searchBudget has room for.
// The others ask in the order in which they have begun, and before any asks again.
func TestWaitingSearchesGoInOrder(t *testing.T) {
	const searches, firstPort = 40, 1000
	a := newAgent(true, manyUpstreams(60))
	var order []uint16
	record := func(out []Message) {
		for i := range out {
			if port := out[i].Flow.Caller().Port(); out[i].Header.Kind == jmhop.KindAsk && !slices.Contains(order, port) {
				order = append(order, port)
			}
		}
	}
	now := startTime
	var want []uint16
	for i := range uint16(searches) {
		p := dataPacket(callerSequence, 10)
		p.Source = netip.AddrPortFrom(callerAddr.Addr(), firstPort-i)
		want = append(want, firstPort-i)
		out, _ := a.HandlePeer(now, balancerAddr, forwardHeader(0), p, []byte("packet"))
		record(out)
		now = now.Add(time.Microsecond)
	}
	require.Less(t, len(order), searches/2, "the budget is used up")
	for ; now.Sub(startTime) < searchTimeout; now = now.Add(25 * time.Millisecond) {
		out, _ := a.Tick(now)
		record(out)
		if len(order) == searches {
			break
		}
	}
	require.Equal(t, want, order)
	took := time.Second * (initialAskCount*searches - askBurst) / askRate
	require.LessOrEqual(t, now.Sub(startTime), took+askInterval, "first rounds alone use the budget")
}

// TestSearchAmongMany searches for a flow that none of 1,000 agents holds, of which nothing
// is known but that they are listed. The agents that are asked answer, and the flow is
// reset by the end of the search although the budget is short.
func TestSearchAmongMany(t *testing.T) {
	a := newAgent(true, manyUpstreams(1000))
	p := dataPacket(callerSequence, 10)
	out, _ := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, []byte("packet"))
	for now := startTime; now.Sub(startTime) < searchTimeout; now = now.Add(25 * time.Millisecond) {
		var asked []netip.Addr
		for i := range out {
			if out[i].Header.Kind == jmhop.KindAsk {
				asked = append(asked, out[i].To)
			}
		}
		for _, agent := range asked {
			if find(a.HandleAbsent(now, agent, absentHeader, p.Key()), Reset) != nil {
				return
			}
		}
		out, _ = a.Tick(now)
	}
	require.Fail(t, "flow was not reset")
}

// TestUpstreamSeenDown checks that a restarted agent answers for its upstream without
// probing it for the flow, once a probe of its port has found that the upstream's
// process had ended as well.
func TestUpstreamSeenDown(t *testing.T) {
	a := newAgent(false, snapshot(2))
	_, shouldProbe := a.Tick(startTime)
	require.True(t, shouldProbe, "probed at the start")
	_ = a.HandleProbe(startTime, ProbeRefused)
	_ = a.HandleProbe(startTime, ProbeAccepted)
	ask := &jmhop.Header{Kind: jmhop.KindAsk, Origin: balancerAddr}
	out, reason := a.HandlePeer(startTime, agentAddr(2), ask, dataPacket(callerSequence, 10), []byte("packet"))
	require.Equal(t, ReasonNotHeld, reason)
	require.Equal(t, jmhop.KindAbsent, out[0].Header.Kind)
}

// absentHeader is the header of an answer from an agent whose copy of the directory
// is not newer.
var absentHeader = &jmhop.Header{Kind: jmhop.KindAbsent}

// TestPeerHasNewerRevision has an agent's copy of the directory lack an upstream that
// holds flows already, while a peer with a newer copy answers or a balancer with one
// sends a packet. No flow is reset before the agent has caught up and has asked the
// new upstream as well.
func TestPeerHasNewerRevision(t *testing.T) {
	const older, newer = 4, 5
	cases := map[string]struct{ packet, answer jmhop.RevisionCode }{
		"an agent has a newer copy":   {older, newer},
		"a balancer has a newer copy": {newer, older},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			before, after := snapshot(2), snapshot(3)
			before.Revision, after.Revision = older, newer
			a := newAgent(true, before)
			p := dataPacket(callerSequence+1, 10)
			key := p.Key()
			h := forwardHeader(0)
			h.Revision = tc.packet
			out, reason := a.HandlePeer(startTime, balancerAddr, h, p, []byte("packet"))
			require.Equal(t, ReasonSearched, reason)
			require.Len(t, out, 1, "the only other agent in its copy")
			answer := &jmhop.Header{Kind: jmhop.KindAbsent, Revision: tc.answer}
			require.Empty(t, a.HandleAbsent(startTime, agentAddr(2), answer, key))
			now := startTime.Add(2 * askInterval)
			out, _ = a.Tick(now)
			require.Nil(t, find(out, Reset))
			after.AsOf = now
			a.SetSnapshot(after)
			now = now.Add(2 * askInterval)
			out, _ = a.Tick(now)
			require.Equal(t, agentAddr(3), find(out, ToPeer).To)
			requireReset(t, a.HandleAbsent(now, agentAddr(3), answer, key))
		})
	}
}

// TestForgedRevisionDoesNotStopResets sends a revision of the directory that no
// process has.
func TestForgedRevisionDoesNotStopResets(t *testing.T) {
	a := newAgent(true, snapshot(2))
	a.peers.record(startTime, &jmhop.Header{Revision: 1 << 30}, a.revision())
	require.True(t, a.isBehind(startTime))
	require.False(t, a.isBehind(startTime.Add(newerRevisionTTL)))
}

// requireReset checks that out has only the reset of the caller's flow and its
// announcement to the balancer.
func requireReset(t *testing.T, out []Message) {
	t.Helper()
	require.Equal(t, []Kind{ToPeer, Reset}, kinds(out))
	require.Equal(t, jmhop.KindFlowReset, out[0].Header.Kind)
	require.Equal(t, balancerAddr, out[0].To)
}

// TestWaitingSearchIsCheap runs many searches whose budget is used up. Their ticks must not
// rank the upstreams again, which costs as much as there are upstreams.
func TestWaitingSearchIsCheap(t *testing.T) {
	a := newAgent(true, manyUpstreams(1000))
	for port := range uint16(100) {
		p := dataPacket(callerSequence, 10)
		p.Source = netip.AddrPortFrom(callerAddr.Addr(), port)
		_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, []byte("packet"))
	}
	now := startTime.Add(askInterval)
	_, _ = a.Tick(now)
	perTick := testing.AllocsPerRun(1, func() {
		now = now.Add(askInterval / 4)
		_, _ = a.Tick(now)
	})
	require.Less(t, perTick, 100.0, "less than one allocation a search")
}

// TestSearchOutlivesTwoAgents has an agent that searches for a flow leave together with the
// first one that has said that it doesn't hold the flow.
func TestSearchOutlivesTwoAgents(t *testing.T) {
	a := newAgent(true, snapshot(4))
	p := dataPacket(callerSequence, 10)
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, []byte("packet"))
	for i := range 2 {
		_ = a.HandleAbsent(startTime, agentAddr(i+2), absentHeader, p.Key())
	}
	_ = a.Leave(startTime)
	var to []netip.Addr
	for _, m := range a.HandOnSearches(startTime) {
		to = append(to, m.To)
	}
	require.ElementsMatch(t, []netip.Addr{agentAddr(2), agentAddr(3)}, to)
}

// TestSearchOutlivesAgent has an agent that searches for a flow leave while the holder's
// agent is down. Another agent, which has said that it doesn't hold the flow, goes on.
func TestSearchOutlivesAgent(t *testing.T) {
	a := newAgent(true, snapshot(3))
	p := dataPacket(callerSequence, 10)
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, []byte("packet"))
	_ = a.HandleAbsent(startTime, agentAddr(2), absentHeader, p.Key())
	_ = a.Leave(startTime)
	out := a.HandOnSearches(startTime)
	require.Equal(t, []Kind{ToPeer}, kinds(out))
	require.Equal(t, agentAddr(2), out[0].To)
	require.Equal(t, []byte("packet"), out[0].Packet)
	require.Equal(t, balancerAddr, out[0].Header.Origin)

	next := &Agent{Self: agentAddr(2), Upstream: upstreamAddr(2), Service: "shop", IsFirstStart: true}
	next.SetSnapshot(snapshot(3))
	h := out[0].Header
	out, reason := next.HandlePeer(startTime, a.Self, &h, p, out[0].Packet)
	require.Equal(t, ReasonSearched, reason)
	require.Contains(t, askedAgents(out), agentAddr(3))

	t.Run("a packet that comes while the agent is leaving", func(t *testing.T) {
		out, _ := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), dataPacket(callerSequence, 20), []byte("newer"))
		require.Equal(t, agentAddr(2), find(out, ToPeer).To)
		require.Equal(t, jmhop.KindForward, find(out, ToPeer).Header.Kind)
		require.Equal(t, []byte("newer"), find(out, ToPeer).Packet)
	})
	t.Run("at most maxHops times", func(t *testing.T) {
		h := forwardHeader(0)
		h.Hops = maxHops
		out, _ := a.HandlePeer(startTime, agentAddr(2), h, p, []byte("packet"))
		require.Empty(t, out)
	})
}
