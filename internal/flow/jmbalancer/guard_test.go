package jmbalancer

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

// runLoop runs a loop of a balancer until the test ends.
func runLoop(t *testing.T, guard *jmfake.Guard, name string, loop func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	wg := jmguard.Group{Guard: &guard.Guard}
	wg.Go(name, func() { loop(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

func sendTo(t *testing.T, conn *net.UDPConn, n int, datagram []byte) {
	sender := listenUDP(t)
	for range n {
		_, err := sender.WriteToUDPAddrPort(datagram, addrOf(conn))
		require.NoError(t, err)
	}
}

func requireExit(t *testing.T, guard *jmfake.Guard, goroutine string) {
	t.Helper()
	select {
	case <-guard.Exited:
	case <-time.After(5 * time.Second):
		require.Fail(t, "process lives on")
	}
	require.Equal(t, goroutine, guard.LastLines.LastEntry().Data["Goroutine"])
}

// TestPanicsInCallerLoop has datagrams of callers make the loop panic, first one and then
// each.
func TestPanicsInCallerLoop(t *testing.T) {
	guard := jmfake.NewGuard()
	b, datagram := newTestBalancer(t, listenUDP(t))
	var faults atomic.Int64
	b.Guard = &guard.Guard
	b.Node.Reach = func(netip.AddrPort) bool {
		if faults.Add(-1) >= 0 {
			panic("fault of the test")
		}
		return true
	}
	conn := listenUDP(t)
	runLoop(t, guard, goroutineCallers, func(ctx context.Context) {
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		b.callerLoop(ctx, conn, benchLocal)
	})
	faults.Store(1)
	sendTo(t, conn, 3, datagram)
	require.Eventually(t, func() bool { return b.Counters.Forwarded.Load() == 3 }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 1, guard.Dropped.Load())
	require.False(t, guard.HasExited())
	faults.Store(1 << 30)
	sendTo(t, conn, jmguard.MaxDrops, datagram)
	requireExit(t, guard, goroutineCallers)
}

// TestPanicsInReturnLoop has datagrams of agents make the loop panic for want of a key.
func TestPanicsInReturnLoop(t *testing.T) {
	guard := jmfake.NewGuard()
	b, _ := newTestBalancer(t, listenUDP(t))
	b.Guard = &guard.Guard
	good := b.view.Load()
	b.view.Store(&view{})
	runLoop(t, guard, goroutineAnswers, func(ctx context.Context) { b.returnLoop(ctx, b.fleet) })
	forged := make([]byte, jmdatagram.HeaderSize)
	forged[0] = byte(jmdatagram.KindReturn)
	sendTo(t, b.fleet, 1, forged)
	require.Eventually(t, func() bool { return guard.Dropped.Load() == 1 }, 5*time.Second, time.Millisecond)
	b.view.Store(good)
	sendTo(t, b.fleet, 1, forged)
	require.Eventually(t, func() bool { return b.Counters.BadTag.Load() == 1 }, 5*time.Second, time.Millisecond)
	require.False(t, guard.HasExited())
	b.view.Store(&view{})
	sendTo(t, b.fleet, jmguard.MaxDrops, forged)
	requireExit(t, guard, goroutineAnswers)
}

// TestLoopWithoutSocketEndsProcess checks that a balancer does not live on whose packet loops
// can't begin.
func TestLoopWithoutSocketEndsProcess(t *testing.T) {
	for goroutine, loop := range map[string]func(b *Balancer){
		goroutineCallers: func(b *Balancer) { b.callerLoop(t.Context(), &net.UDPConn{}, benchLocal) },
		goroutineAnswers: func(b *Balancer) { b.returnLoop(t.Context(), &net.UDPConn{}) },
	} {
		guard := jmfake.NewGuard()
		b, _ := newTestBalancer(t, listenUDP(t))
		b.Guard = &guard.Guard
		loop(b)
		requireExit(t, guard, goroutine)
	}
}
