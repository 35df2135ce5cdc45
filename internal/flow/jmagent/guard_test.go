package jmagent

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfake"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// TestPanicsInReceiveLoop has datagrams make the loop panic, first one and then each.
func TestPanicsInReceiveLoop(t *testing.T) {
	guard := jmfake.NewGuard()
	a, c := newTestAgent(t)
	a.Guard = &guard.Guard
	var faults atomic.Int64
	a.Node.Reach = func(netip.AddrPort) bool {
		if faults.Add(-1) >= 0 {
			panic("fault of the test")
		}
		return true
	}
	faults.Store(1)
	ctx, cancel := context.WithCancel(context.Background())
	wg := jmguard.Group{Guard: a.Guard}
	wg.Go(goroutinePackets, func() { c.receive(ctx) })
	defer wg.Wait()
	defer cancel()
	conn, err := net.Dial("udp4", a.udp.LocalAddr().String())
	require.NoError(t, err)
	defer conn.Close()
	send := func(n int) {
		for range n {
			_, err = conn.Write([]byte{byte(jmdatagram.KindForward)})
			require.NoError(t, err)
		}
	}
	send(3)
	require.Eventually(t, func() bool { return a.Counters.Forged.Load() == 2 }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 1, guard.Dropped.Load())
	require.False(t, guard.HasExited())
	faults.Store(1 << 30)
	send(jmguard.MaxDrops)
	select {
	case <-guard.Exited:
		require.Equal(t, goroutinePackets, guard.LastLines.LastEntry().Data["Goroutine"])
	case <-time.After(5 * time.Second):
		require.Fail(t, "process lives on")
	}
}

// TestPanicInAnswerLosesIt has the write of a datagram panic, which quic-go calls in its own
// goroutines.
func TestPanicInAnswerLosesIt(t *testing.T) {
	guard := jmfake.NewGuard()
	a, c := newTestAgent(t)
	a.Guard = &guard.Guard
	a.view.Store(nil)
	n, err := c.WriteTo([]byte("answer"), net.UDPAddrFromAddrPort(caller))
	require.NoError(t, err)
	require.Equal(t, len("answer"), n)
	require.EqualValues(t, 1, guard.Dropped.Load())
	require.False(t, guard.HasExited())
}
