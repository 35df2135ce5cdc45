package jmpass

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// TestOtherServiceNeverReached forwards a flow whose route is not for the agent's own
// service, and sends none of its packets to the upstream: the upstream's address may
// have belonged to that service before.
func TestOtherServiceNeverReached(t *testing.T) {
	a := newAgent(true, snapshot(2))
	out, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingPacket(desk), nil)
	require.Equal(t, ReasonOtherService, reason)
	require.NotContains(t, kinds(out), ToUpstream)
	require.Equal(t, agentAddr(9), find(out[len(out)-1:], ToPeer).To)

	a = newAgent(false, snapshot(2))
	p := dataPacket(callerSequence, 10)
	p.Destination = desk
	out, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), p, []byte("packet"))
	require.NotContains(t, kinds(out), ToUpstream, "not even to probe whether the upstream holds it")
}

func TestLeavingUpstreamGetsNoNewFlows(t *testing.T) {
	a := newAgent(true, snapshot(2, leaving(1)))
	out, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	require.Equal(t, ReasonLeaving, reason)
	require.Equal(t, agentAddr(2), find(out[len(out)-1:], ToPeer).To)
	require.NotContains(t, kinds(out), ToUpstream)
}

// TestOpeningHopLimit checks that an opening packet is not forwarded after maxHops
// hops.
func TestOpeningHopLimit(t *testing.T) {
	a := newAgent(true, snapshot(2, leaving(1)))
	h := forwardHeader(0)
	h.Hops = maxHops
	out, _ := a.HandlePeer(startTime, agentAddr(2), h, openingPacket(shop), nil)
	require.Empty(t, out)
}

// TestRefusedOpeningIsForwarded forwards the opening packet to another agent if the
// upstream refuses it for lack of room.
func TestRefusedOpeningIsForwarded(t *testing.T) {
	a := newAgent(true, snapshot(3))
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	p := openingPacket(shop)
	p.Flags |= jasminemoor.FlagReturned
	out, reason := a.HandleUpstream(startTime, p, []byte("packet"), false)
	require.Equal(t, ReasonRefusedByUpstream, reason)
	m := find(out, ToPeer)
	require.NotEqual(t, agentAddr(1), m.To)
	require.Equal(t, uint8(1), m.Header.Hops)
	require.Equal(t, balancerAddr, m.Header.Origin)
	require.Equal(t, []byte("packet"), m.Packet)
}

// TestFlowLostByUpstream resets a flow that the upstream has accepted and no longer
// holds.
func TestFlowLostByUpstream(t *testing.T) {
	a := newAgent(true, snapshot(3))
	openFlow(t, a)
	p := dataPacket(callerSequence+1, 10)
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), p, nil)
	p.Flags |= jasminemoor.FlagReturned
	out, _ := a.HandleUpstream(startTime, p, nil, false)
	require.Equal(t, []Kind{ToPeer, Reset}, kinds(out))
	require.Equal(t, jmhop.KindFlowReset, out[0].Header.Kind)
	require.Equal(t, uint32(upstreamSequence+1), out[1].Sequence)
}

// TestCrashedUpstream resets the flows of an upstream whose process has ended, and
// keeps new ones from it until it accepts connections again.
func TestCrashedUpstream(t *testing.T) {
	a := newAgent(true, snapshot(2))
	openFlow(t, a)
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), nil)
	now := startTime.Add(upstreamTimeout + time.Millisecond)
	_, shouldProbe := a.Tick(now)
	require.True(t, shouldProbe)
	out := a.HandleProbe(now, ProbeRefused)
	require.Contains(t, kinds(out), Reset)
	require.Equal(t, jmhop.ReportUpstreamDown, out[len(out)-1].Report.State)
	out, reason := a.HandlePeer(now, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	require.Equal(t, ReasonUpstreamDown, reason)
	require.NotContains(t, kinds(out), ToUpstream)
	_ = a.HandleProbe(now, ProbeAccepted)
	_, reason = a.HandlePeer(now, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	require.Equal(t, ReasonHeld, reason)
}

// TestSilentUpstream keeps the flows of a silent upstream, which may still hold
// them, and gives it no new ones.
func TestSilentUpstream(t *testing.T) {
	a := newAgent(true, snapshot(2))
	openFlow(t, a)
	require.NotContains(t, kinds(a.HandleProbe(startTime, ProbeSilent)), Reset)
	_, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	require.Equal(t, ReasonUpstreamDown, reason)
	_, reason = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), nil)
	require.Equal(t, ReasonHeld, reason)
}
