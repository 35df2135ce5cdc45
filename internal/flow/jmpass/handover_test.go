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

// handOver has an agent leave, and returns a balancer that has got the list of its flows.
func handOver(t *testing.T, a *Agent, now time.Time) *Balancer {
	t.Helper()
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(3))
	_ = a.Leave(now)
	for _, m := range a.HandOverFlows(now) {
		require.Equal(t, jmhop.KindFlows, m.Header.Kind)
		require.Equal(t, balancerAddr, m.To)
		var l jmhop.FlowList
		require.NoError(t, l.Unmarshal(m.Body))
		b.HandleFlows(now, a.Self, l.Incarnation, m.Body)
	}
	return b
}

// startNext starts the next agent beside the first upstream. A balancer sends it a packet of a
// flow that isn't known, and then the list that it keeps, which has one flow.
func startNext(t *testing.T, b *Balancer, now time.Time) *Agent {
	t.Helper()
	a := newAgent(false, snapshot(3))
	a.Incarnation = 2
	_, _ = a.Tick(now)
	p := openingPacket(shop)
	p.Source = netip.MustParseAddrPort("100.64.0.9:9999")
	_, _ = a.HandlePeer(now, balancerAddr, forwardHeader(0), p, nil)
	receiveList(t, a, b, now)
	require.Len(t, a.table.flows, 2)
	return a
}

// receiveList has an agent ask for the list that a balancer keeps, and gives it to the agent.
func receiveList(t *testing.T, a *Agent, b *Balancer, now time.Time) {
	t.Helper()
	polls := 0
	for _, m := range a.Recall(now) {
		require.Equal(t, jmhop.KindPoll, m.Header.Kind)
		require.Equal(t, b.Self, m.To)
		polls++
	}
	require.Equal(t, 1, polls)
	require.Empty(t, a.Recall(now), "a balancer is asked once in recallInterval")
	for _, m := range b.HandlePoll(now, a.Self) {
		var l jmhop.FlowList
		require.NoError(t, l.Unmarshal(m.Body))
		a.HandleFlows(now, b.Self, &l)
	}
}

// leaver returns an agent that has run since the fleet's start and holds an open flow.
func leaver(t *testing.T) *Agent {
	t.Helper()
	a := newAgent(true, snapshot(3))
	a.Incarnation = 1
	openFlow(t, a)
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), []byte("packet"))
	return a
}

// otherPacket is a packet of a flow that the agent doesn't know.
func otherPacket() *jasminemoor.Packet {
	p := dataPacket(callerSequence, 10)
	p.Source = netip.MustParseAddrPort("100.64.0.8:4242")
	return p
}

// TestRestartForgetsNoFlows has an agent leave and the next one start: it knows the flows of its
// upstream, and is the first to say so.
func TestRestartForgetsNoFlows(t *testing.T) {
	for name, isOpen := range map[string]bool{"open": true, "the caller's next packet opens it": false} {
		t.Run(name, func(t *testing.T) {
			l := newAgent(true, snapshot(3))
			openFlow(t, l)
			if isOpen {
				l = leaver(t)
			}
			now := startTime.Add(time.Second)
			a := startNext(t, handOver(t, l, startTime), now)
			p := dataPacket(callerSequence+11, 10)
			out, reason := a.HandlePeer(now, agentAddr(2), &jmhop.Header{Kind: jmhop.KindAsk, Flags: jmhop.FlagIfLikely, Origin: balancerAddr}, p, []byte("packet"))
			require.Equal(t, ReasonHeld, reason)
			require.NotNil(t, find(out, ToUpstream))
			require.Equal(t, jmhop.KindHolder, find(out, ToPeer).Header.Kind)
		})
	}
}

// TestUnknownFlowReachesNoOtherUpstream has an agent that has got the list of the one before it
// get packets of a flow whose holder's agent is restarting. No upstream gets them before that
// has had time to start again.
func TestUnknownFlowReachesNoOtherUpstream(t *testing.T) {
	now := startTime.Add(time.Second)
	a := startNext(t, handOver(t, leaver(t), startTime), now)
	p := otherPacket()

	t.Run("an agent asks", func(t *testing.T) {
		ask := &jmhop.Header{Kind: jmhop.KindAsk, Flags: jmhop.FlagIfLikely, Origin: balancerAddr}
		out, reason := a.HandlePeer(now, agentAddr(2), ask, p, []byte("packet"))
		require.Equal(t, ReasonNotHeld, reason)
		require.Equal(t, []Kind{ToPeer}, kinds(out))
		require.Equal(t, jmhop.KindAbsent, out[0].Header.Kind)
		require.Equal(t, jmhop.FlagUnlikely, out[0].Header.Flags)
	})
	t.Run("an agent asks that wants a proof", func(t *testing.T) {
		out, reason := a.HandlePeer(now, agentAddr(2), &jmhop.Header{Kind: jmhop.KindAsk, Origin: balancerAddr}, p, []byte("packet"))
		require.Equal(t, ReasonProbed, reason)
		require.Equal(t, []Kind{ToUpstream}, kinds(out))
		a.flowProbes = make(map[jasminemoor.FlowKey]flowProbe)
	})
	t.Run("a balancer doesn't know the flow", func(t *testing.T) {
		out, reason := a.HandlePeer(now, balancerAddr, forwardHeader(0), p, []byte("packet"))
		require.Equal(t, ReasonSearched, reason)
		require.ElementsMatch(t, []netip.Addr{agentAddr(2), agentAddr(3)}, askedAgents(out))
		require.Nil(t, find(out, ToUpstream))
		require.Equal(t, jmhop.FlagIfLikely, out[0].Header.Flags)
		unlikely := &jmhop.Header{Kind: jmhop.KindAbsent, Flags: jmhop.FlagUnlikely}
		require.Empty(t, a.HandleAbsent(now, agentAddr(2), unlikely, p.Key()))
		asked3, tried := 0, time.Duration(0)
		for d := time.Duration(0); d < searchTimeout; d += 25 * time.Millisecond {
			out, _ := a.Tick(now.Add(d))
			if find(out, ToUpstream) != nil && tried == 0 {
				tried = d
				require.Contains(t, askedAgents(out), agentAddr(2), "the others' upstreams get it as well")
			}
			if tried == 0 {
				require.NotContains(t, askedAgents(out), agentAddr(2))
				asked3 += len(askedAgents(out))
			}
		}
		require.GreaterOrEqual(t, tried, unlikelyDelay)
		require.Greater(t, asked3, 2, "the agent that is restarting is asked all the time")
	})
}

// TestSearchAmongUnlikelyOutlivesTwoAgents has an agent leave that searches for a flow, to which others
// have answered that they aren't likely to hold it. Two of them go on, as one may be leaving as well.
func TestSearchAmongUnlikelyOutlivesTwoAgents(t *testing.T) {
	a := newAgent(true, snapshot(4))
	p := otherPacket()
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, []byte("packet"))
	for i := range 2 {
		_ = a.HandleAbsent(startTime, agentAddr(i+2), &jmhop.Header{Kind: jmhop.KindAbsent, Flags: jmhop.FlagUnlikely}, p.Key())
	}
	_ = a.Leave(startTime)
	var to []netip.Addr
	for _, m := range a.HandOnSearches(startTime) {
		to = append(to, m.To)
	}
	require.ElementsMatch(t, []netip.Addr{agentAddr(2), agentAddr(3)}, to)
}

// TestUnlikelyIsNoProof has all agents answer that they aren't likely to hold a flow. It is reset
// only when all upstreams have returned its packet.
func TestUnlikelyIsNoProof(t *testing.T) {
	now := startTime.Add(3 * time.Second) // the first view counts as whole
	for name, ownFirst := range map[string]bool{"the own upstream first": true, "the own upstream last": false} {
		t.Run(name, func(t *testing.T) {
			a := startNext(t, handOver(t, leaver(t), startTime), startTime.Add(900*time.Millisecond))
			s := snapshot(3)
			s.AsOf = now
			a.SetSnapshot(s)
			p := otherPacket()
			_, _ = a.HandlePeer(now, balancerAddr, forwardHeader(0), p, []byte("packet"))
			unlikely := &jmhop.Header{Kind: jmhop.KindAbsent, Flags: jmhop.FlagUnlikely}
			require.Empty(t, a.HandleAbsent(now, agentAddr(2), unlikely, p.Key()))
			out := a.HandleAbsent(now, agentAddr(3), unlikely, p.Key())
			require.Equal(t, []Kind{ToUpstream, ToPeer, ToPeer}, kinds(out))
			require.ElementsMatch(t, []netip.Addr{agentAddr(2), agentAddr(3)}, askedAgents(out))
			require.Zero(t, out[1].Header.Flags)
			returned := *p
			returned.Flags |= jasminemoor.FlagReturned
			if ownFirst {
				out, _ = a.HandleUpstream(now, &returned, []byte("packet"), false)
				require.NotContains(t, kinds(out), Reset)
			}
			require.NotContains(t, kinds(a.HandleAbsent(now, agentAddr(2), absentHeader, p.Key())), Reset)
			out = a.HandleAbsent(now, agentAddr(3), absentHeader, p.Key())
			if !ownFirst {
				require.NotContains(t, kinds(out), Reset)
				out, _ = a.HandleUpstream(now, &returned, []byte("packet"), false)
			}
			requireReset(t, out)
		})
	}
}

// TestListIsNoProof has the upstream of a restarted agent return a packet of a flow that only the
// list has, or end: the flow is searched for and not reset.
func TestListIsNoProof(t *testing.T) {
	now := startTime.Add(time.Second)
	p := dataPacket(callerSequence+11, 10)
	t.Run("returned", func(t *testing.T) {
		a := startNext(t, handOver(t, leaver(t), startTime), now)
		_, reason := a.HandlePeer(now, balancerAddr, forwardHeader(0), p, []byte("packet"))
		require.Equal(t, ReasonHeld, reason)
		returned := *p
		returned.Flags |= jasminemoor.FlagReturned
		out, reason := a.HandleUpstream(now, &returned, []byte("packet"), false)
		require.Equal(t, ReasonSearched, reason)
		require.NotContains(t, kinds(out), Reset)
		require.NotEmpty(t, askedAgents(out))
	})
	t.Run("ended", func(t *testing.T) {
		a := startNext(t, handOver(t, leaver(t), startTime), now)
		require.NotContains(t, kinds(a.HandleProbe(now, ProbeRefused)), Reset)
		_, reason := a.HandlePeer(now, balancerAddr, forwardHeader(0), p, []byte("packet"))
		require.Equal(t, ReasonSearched, reason)
	})
	t.Run("ended before the list came", func(t *testing.T) {
		b := handOver(t, leaver(t), startTime)
		a := newAgent(false, snapshot(3))
		a.Incarnation = 2
		_ = a.HandleProbe(now, ProbeRefused)
		_, _ = a.HandlePeer(now, balancerAddr, forwardHeader(0), otherPacket(), []byte("packet"))
		receiveList(t, a, b, now)
		require.Empty(t, a.table.flows)
	})
	t.Run("answered", func(t *testing.T) {
		a := startNext(t, handOver(t, leaver(t), startTime), now)
		_, _ = a.HandleUpstream(now, upstreamPacket(jasminemoor.FlagAck, 100), nil, false)
		require.Contains(t, kinds(a.HandleProbe(now, ProbeRefused)), Reset, "the upstream has proved that it held the flow")
	})
}

// TestListLacksFlows covers lists by which an agent can't tell that a flow is unlikely.
func TestListLacksFlows(t *testing.T) {
	now := startTime.Add(time.Second)
	full := func(isFirstStart bool, flows int) *Agent {
		l := newAgent(isFirstStart, snapshot(3))
		l.Incarnation = 1
		_, _ = l.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
		for i := range flows {
			p := upstreamPacket(jasminemoor.FlagAck, 100)
			p.Destination = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 65, byte(i >> 8), byte(i)}), 1024)
			_, _ = l.HandleUpstream(startTime, p, nil, false)
		}
		return l
	}
	cases := map[string]struct {
		leaver   *Agent
		lostPart int // index of the part that is lost, -1 for none
		unlikely bool
	}{
		"whole":                       {full(true, 50), -1, true},
		"the first part is lost":      {full(true, 50), 0, false},
		"the last part is lost":       {full(true, 50), 2, false},
		"no flows":                    {full(true, 0), -1, true},
		"too many flows":              {full(true, maxHandedFlows+1), -1, false},
		"the agent was restarted too": {full(false, 50), -1, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := handOver(t, tc.leaver, startTime)
			require.LessOrEqual(t, len(b.kept[agentAddr(1)].parts), maxHandedFlows/jmhop.MaxListedFlows+1)
			if tc.lostPart >= 0 {
				kept := b.kept[agentAddr(1)]
				kept.parts = append(kept.parts[:tc.lostPart:tc.lostPart], kept.parts[tc.lostPart+1:]...)
			}
			a := newAgent(false, snapshot(3))
			a.Incarnation = 2
			_, _ = a.HandlePeer(now, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
			receiveList(t, a, b, now)
			require.Equal(t, tc.unlikely, a.isUnlikely())
		})
	}
}

// TestListOfAnotherRun covers lists that an agent must not take.
func TestListOfAnotherRun(t *testing.T) {
	now := startTime.Add(time.Second)
	list := func(change func(l *jmhop.FlowList)) *jmhop.FlowList {
		l := &jmhop.FlowList{Incarnation: 1, Upstream: upstreamAddr(1).Port(), IsWhole: true, Total: 1}
		l.Flows = []jmhop.ListedFlow{{Key: otherPacket().Key()}}
		change(l)
		return l
	}
	begin := func() *Agent {
		a := newAgent(false, snapshot(3))
		a.Incarnation = 2
		_, _ = a.HandlePeer(now, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
		require.NotEmpty(t, a.Recall(now))
		return a
	}
	cases := map[string]struct {
		from     netip.Addr
		change   func(l *jmhop.FlowList)
		unlikely bool
	}{
		"of the agent before":        {balancerAddr, func(*jmhop.FlowList) {}, true},
		"from one that wasn't asked": {agentAddr(3), func(*jmhop.FlowList) {}, false},
		"of another upstream":        {balancerAddr, func(l *jmhop.FlowList) { l.Upstream++ }, false},
		"of the agent itself":        {balancerAddr, func(l *jmhop.FlowList) { l.Incarnation = 2 }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := begin()
			a.HandleFlows(now, tc.from, list(tc.change))
			require.Equal(t, tc.unlikely, a.isUnlikely())
		})
	}
	t.Run("an older one than is known", func(t *testing.T) {
		a := begin()
		a.Incarnation = 3
		a.HandleFlows(now, balancerAddr, list(func(l *jmhop.FlowList) { l.Incarnation, l.Total = 2, 2 }))
		a.HandleFlows(now, balancerAddr, list(func(*jmhop.FlowList) {}))
		require.False(t, a.isUnlikely())
	})
	t.Run("kept for too long", func(t *testing.T) {
		b := handOver(t, leaver(t), startTime)
		require.NotEmpty(t, b.HandlePoll(startTime.Add(keepTime-1), agentAddr(1)))
		require.Empty(t, b.HandlePoll(startTime.Add(keepTime), agentAddr(1)))
		_ = b.Tick(startTime.Add(keepTime))
		require.Empty(t, b.kept)
	})
	t.Run("given to the agent before", func(t *testing.T) {
		b := handOver(t, leaver(t), startTime)
		require.NotEmpty(t, b.HandlePoll(now, agentAddr(1)))
		require.NotEmpty(t, b.HandlePoll(now.Add(serveTime-1), agentAddr(1)))
		require.Empty(t, b.HandlePoll(now.Add(serveTime), agentAddr(1)), "the agent may have been restarted again")
	})
	t.Run("a newer one comes later", func(t *testing.T) {
		a := begin()
		a.Incarnation = 3
		a.HandleFlows(now, balancerAddr, list(func(*jmhop.FlowList) {}))
		require.True(t, a.isUnlikely())
		newer := list(func(l *jmhop.FlowList) { l.Incarnation, l.Total = 2, 21 })
		a.HandleFlows(now, balancerAddr, newer)
		require.False(t, a.isUnlikely(), "parts of the newer one are missing")
		a.HandleFlows(now, balancerAddr, list(func(l *jmhop.FlowList) { *l = *newer; l.First, l.Flows = 20, make([]jmhop.ListedFlow, 20) }))
		require.True(t, a.isUnlikely())
	})
	t.Run("of unknown processes, or too many", func(t *testing.T) {
		b := &Balancer{Self: balancerAddr}
		b.SetSnapshot(snapshot(250, func(*jmdirectory.View) {}))
		b.HandleFlows(now, netip.MustParseAddr("10.9.9.9"), 1, nil)
		require.Empty(t, b.kept)
		for i := range 250 {
			b.HandleFlows(now, agentAddr(i+1), 1, nil)
		}
		require.Len(t, b.kept, maxKeptLists)
	})
}

// TestBalancersAreAskedFewTimes checks that a balancer that keeps no list is asked maxRecalls times.
func TestBalancersAreAskedFewTimes(t *testing.T) {
	a := newAgent(false, snapshot(3))
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	polls := len(a.Recall(startTime))
	for now := startTime; now.Sub(startTime) < recallTime; now = now.Add(20 * time.Millisecond) {
		_, _ = a.HandlePeer(now, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
		polls += len(a.Recall(now))
	}
	require.Equal(t, maxRecalls, polls)
}

// TestAgentOfFleetStartAsksNobody checks that lists are asked for only by agents that were
// started again, and only in their first seconds.
func TestAgentOfFleetStartAsksNobody(t *testing.T) {
	a := newAgent(true, snapshot(3))
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	require.Empty(t, a.Recall(startTime))
	a = newAgent(false, snapshot(3))
	_, _ = a.Tick(startTime)
	late := startTime.Add(recallTime)
	_, _ = a.HandlePeer(late, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	require.Empty(t, a.Recall(late))
}
