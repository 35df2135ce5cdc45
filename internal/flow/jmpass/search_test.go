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
	out = a.HandleAbsent(begun, agentAddr(2), absentHeader, p.Key())
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
		require.Empty(t, a.HandleAbsent(begun, agentAddr(2), absentHeader, key))
		requireReset(t, a.HandleAbsent(begun, agentAddr(3), absentHeader, key))
		out, reason := a.HandlePeer(begun, front, forwardHeader(0), data(callerSequence, 10), []byte("packet"))
		require.Equal(t, ReasonAbsentEverywhere, reason, "the next packet needs no search")
		requireReset(t, out)
	})
	t.Run("silence is no proof", func(t *testing.T) {
		a := begin(snapshot(3))
		a.HandleAbsent(begun, agentAddr(2), absentHeader, key)
		for now := begun; now.Sub(begun) < 2*searchTime; now = now.Add(20 * time.Millisecond) {
			out, _ := a.Tick(now)
			require.NotContains(t, kinds(out), Reset)
		}
	})
	t.Run("an upstream whose entry lapsed may live", func(t *testing.T) {
		a := begin(snapshot(3, removed(3)))
		require.Empty(t, a.HandleAbsent(begun, agentAddr(2), absentHeader, key))
	})
	t.Run("one that left has no flows", func(t *testing.T) {
		a := begin(snapshot(3, leaving(3), removed(3)))
		requireReset(t, a.HandleAbsent(begun, agentAddr(2), absentHeader, key))
	})
	t.Run("an old view may lack upstreams", func(t *testing.T) {
		a := begin(snapshot(3))
		later := begun.Add(freshness)
		a.HandleAbsent(later, agentAddr(2), absentHeader, key)
		require.Empty(t, a.HandleAbsent(later, agentAddr(3), absentHeader, key))
	})
	t.Run("an agent that claims it ends the search", func(t *testing.T) {
		a := begin(snapshot(3))
		a.HandleHolder(begun, key)
		a.HandleAbsent(begun, agentAddr(2), absentHeader, key)
		require.Empty(t, a.HandleAbsent(begun, agentAddr(3), absentHeader, key))
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
		require.Empty(t, a.HandleAbsent(begun, agentAddr(2), absentHeader, p.Key()))
		out, _ = a.Tick(begun.Add(askInterval))
		require.NotNil(t, find(out, ToUpstream))
	})
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
		wide += len(a.HandleAbsent(begun, agent, absentHeader, p.Key()))
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

// absentHeader is that of an agent whose copy of the directory is not newer.
var absentHeader = &jmhop.Header{Kind: jmhop.KindAbsent}

// TestPeerKnowsMore has an agent's list lack an upstream that holds flows already:
// a peer whose copy is newer answers, or a balancer sends a packet. Nothing is
// reset before the agent has caught up and has asked the new upstream as well.
func TestPeerKnowsMore(t *testing.T) {
	const older, newer = 4, 5
	cases := map[string]struct{ packet, answer uint32 }{
		"an agent has a newer copy":   {older, newer},
		"a balancer has a newer copy": {newer, older},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			before, after := snapshot(2), snapshot(3)
			before.Revision, after.Revision = older, newer
			a := newAgent(true, before)
			p := data(callerSequence+1, 10)
			key := p.Key()
			h := forwardHeader(0)
			h.Revision = tc.packet
			out, reason := a.HandlePeer(begun, front, h, p, []byte("packet"))
			require.Equal(t, ReasonSearched, reason)
			require.Len(t, out, 1, "the one other agent that it knows")
			answer := &jmhop.Header{Kind: jmhop.KindAbsent, Revision: tc.answer}
			require.Empty(t, a.HandleAbsent(begun, agentAddr(2), answer, key))
			now := begun.Add(2 * askInterval)
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

// TestFalseRevisionDoesNotStopResets has somebody claim a copy that nobody has.
func TestFalseRevisionDoesNotStopResets(t *testing.T) {
	a := newAgent(true, snapshot(2))
	a.noteRevision(begun, &jmhop.Header{Revision: 1 << 30})
	require.True(t, a.isBehind(begun))
	require.False(t, a.isBehind(begun.Add(aheadMemory)))
}

// requireReset checks that the caller's flow is reset and its balancer told, and
// nothing else.
func requireReset(t *testing.T, out []Message) {
	t.Helper()
	require.Equal(t, []Kind{ToPeer, Reset}, kinds(out))
	require.Equal(t, jmhop.KindGone, out[0].Header.Kind)
	require.Equal(t, front, out[0].To)
}
