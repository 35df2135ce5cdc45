package jmpass

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// TestReportsAreBounded has as many balancers send packets to one agent as the system
// is meant for. All of them get reports, at a bounded rate.
func TestReportsAreBounded(t *testing.T) {
	const (
		balancers = 690
		seconds   = 60
	)
	a := newAgent(true, snapshot(1))
	reported := make(map[netip.Addr]int)
	sent := 0
	for now := startTime; now.Sub(startTime) < seconds*time.Second; now = now.Add(25 * time.Millisecond) {
		if now.Sub(startTime)%time.Second == 0 {
			for i := range balancers {
				h := &jmhop.Header{Kind: jmhop.KindForward, Origin: netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})}
				_, _ = a.HandlePeer(now, h.Origin, h, dataPacket(callerSequence, 0), nil)
			}
		}
		out, _ := a.Tick(now)
		for i := range out {
			if out[i].Report != nil {
				reported[out[i].To]++
				sent++
			}
		}
	}
	require.LessOrEqual(t, sent, idleReportBurst+seconds*idleReportRate)
	require.Len(t, reported, balancers)
}

// TestBalancersAreBounded sends packets with more origins than an agent stores
// balancers.
func TestBalancersAreBounded(t *testing.T) {
	a := newAgent(true, snapshot(1))
	addr := func(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}) }
	for i := range 2 * maxBalancers {
		now := startTime.Add(time.Duration(i) * time.Millisecond)
		_, _ = a.HandlePeer(now, addr(i), &jmhop.Header{Kind: jmhop.KindForward, Origin: addr(i)}, openingPacket(shop), nil)
	}
	require.Len(t, a.balancers, maxBalancers)
	require.Len(t, a.byAddr, maxBalancers)
	require.Contains(t, a.byAddr, addr(2*maxBalancers-1), "the newest one is kept")
	require.NotContains(t, a.byAddr, addr(0))
}
