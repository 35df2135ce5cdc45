package jmpass

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// TestListedFlowDoesNotProveWarmUpstream gives a restarted agent the list of the one before. Its
// upstream may have started before that, and not be listed yet, so that a packet of a listed flow
// does not show that it is warm.
func TestListedFlowDoesNotProveWarmUpstream(t *testing.T) {
	limited := func(v *jmdirectory.View) { v.Services["shop"].ColdRate = 10 }
	now := startTime.Add(time.Second)
	b := handOver(t, leaver(t), startTime)
	a := newAgent(false, snapshot(3, limited))
	a.Incarnation = 2
	_, _ = a.HandlePeer(now, balancerAddr, forwardHeader(0), otherPacket(), []byte("packet"))
	receiveList(t, a, b, now)
	_ = a.HandleWatch(now, true)
	for range 2 * minProofTicks {
		now = now.Add(minProofDelay)
		_, _ = a.Tick(now)
	}
	_, _ = a.HandleUpstream(now, upstreamPacket(jasminemoor.FlagAck, 100), nil, false)
	require.True(t, a.isCold(now))
}

// TestClosedPortResetsNoFlow closes the port of an upstream that ends in an orderly way: it still
// serves its flows.
func TestClosedPortResetsNoFlow(t *testing.T) {
	a := newAgent(true, snapshot(2))
	a.CanReadSettings = true
	openFlow(t, a)
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), nil)
	_, _ = a.HandleUpstream(startTime, upstreamPacket(jasminemoor.FlagAck, 100), nil, false)
	_ = a.HandleWatch(startTime, true)
	now := startTime.Add(time.Second)
	require.Nil(t, find(a.HandleWatch(now, false), Reset))
	out, shouldProbe := a.Tick(now)
	require.Nil(t, find(out, Reset))
	require.False(t, shouldProbe, "only an upstream that leaves packets unanswered is probed for its end")
	a.HandleClosedPort(now)
	out, _ = a.Tick(now.Add(time.Millisecond))
	require.Nil(t, find(out, Reset))
	out, reason := a.HandlePeer(now, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+11, 10), nil)
	require.Equal(t, ReasonHeld, reason)
	require.NotNil(t, find(out, ToUpstream))
	_, reason = a.HandlePeer(now, balancerAddr, forwardHeader(0), openingFrom(5), []byte("opening"))
	require.Equal(t, ReasonServiceUnknown, reason)
}
