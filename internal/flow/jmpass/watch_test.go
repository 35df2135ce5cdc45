package jmpass

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
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
