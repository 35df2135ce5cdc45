package jmnode

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfake"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmlink"
)

const guardTimeout = 5 * time.Second

// startGuarded runs a node and serves its links with a handler.
func startGuarded(t *testing.T, n *Node, handle Handler) *jmfake.Guard {
	t.Helper()
	guard := jmfake.NewGuard()
	n.Identity.Agent = netip.MustParseAddrPort("127.77.8.1:17100")
	n.Guard, n.SeedKey = &guard.Guard, &jmdatagram.ControlKey{1}
	n.Log, _ = logtest.NewNullLogger()
	udp, tcp, err := n.Listen(t.Context())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	wg := jmguard.Group{Guard: n.Guard}
	wg.Go("control", func() { n.Run(ctx) })
	wg.Go("link listener", func() { n.Serve(ctx, tcp, handle) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		_ = udp.Close()
	})
	return guard
}

// requireDrop waits for the first dropped input, and checks that the control goroutine
// goes on.
func requireDrop(t *testing.T, n *Node, guard *jmfake.Guard) {
	t.Helper()
	require.Eventually(t, func() bool { return guard.Dropped.Load() > 0 }, guardTimeout, time.Millisecond)
	answered := make(chan struct{})
	n.enqueue(func(time.Time) { close(answered) })
	select {
	case <-answered:
	case <-time.After(guardTimeout):
		require.Fail(t, "control goroutine has ended")
	}
	require.False(t, guard.HasExited())
}

func TestPanicsInControlGoroutine(t *testing.T) {
	n := &Node{}
	guard := startGuarded(t, n, nil)
	n.enqueue(func(time.Time) { panic("fault of the test") })
	requireDrop(t, n, guard)
	for range jmguard.MaxDrops {
		n.enqueue(func(time.Time) { panic("fault of the test") })
	}
	select {
	case <-guard.Exited:
		require.Equal(t, goroutineControl, guard.LastLines.LastEntry().Data["Goroutine"])
	case <-time.After(guardTimeout):
		require.Fail(t, "process lives on")
	}
}

// faultyPlatform panics at each call.
type faultyPlatform struct {
	jasminemoor.Platform
	calls atomic.Int64
}

func (p *faultyPlatform) Read(context.Context, string) (jasminemoor.Subtree, error) {
	p.calls.Add(1)
	panic("fault of the test")
}

// TestPanicsInPlatformReader checks that the platform is read again after a call has
// panicked.
func TestPanicsInPlatformReader(t *testing.T) {
	platform := &faultyPlatform{}
	n := &Node{Platform: platform}
	guard := startGuarded(t, n, nil)
	requireDrop(t, n, guard)
	require.Eventually(t, func() bool { return platform.calls.Load() > 1 }, guardTimeout, time.Millisecond)
	require.False(t, guard.HasExited())
}

func TestPanicInRequestToSeed(t *testing.T) {
	var calls atomic.Int64
	n := &Node{
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.77.8.2:17100")},
		Reach: func(netip.AddrPort) bool {
			if calls.Add(1) == 1 {
				panic("fault of the test")
			}
			return false
		},
	}
	guard := startGuarded(t, n, nil)
	requireDrop(t, n, guard)
	require.Eventually(t, func() bool { return calls.Load() > 1 }, guardTimeout, time.Millisecond)
}

func TestPanicInPull(t *testing.T) {
	n := &Node{Reach: func(netip.AddrPort) bool { panic("fault of the test") }}
	guard := startGuarded(t, n, nil)
	n.enqueue(func(time.Time) { n.pull(context.Background(), netip.MustParseAddrPort("127.77.8.2:17100")) })
	requireDrop(t, n, guard)
}

// TestPanicInLink checks that a link whose handler panics is closed, and that others are
// served afterwards.
func TestPanicInLink(t *testing.T) {
	handled := make(chan struct{}, 2)
	n := &Node{}
	guard := startGuarded(t, n, func(context.Context, *jmlink.Conn, *Request) {
		handled <- struct{}{}
		panic("fault of the test")
	})
	for range 2 {
		conn, err := n.Dial(t.Context(), n.Identity.Agent, &Request{Cancel: &CancelRequest{}})
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(guardTimeout)))
		_, err = conn.Read(make([]byte, 1))
		require.Error(t, err)
		require.NotErrorIs(t, err, context.DeadlineExceeded)
		<-handled
		_ = conn.Close()
	}
	// A link is closed before its panic is counted.
	require.Eventually(t, func() bool { return guard.Dropped.Load() == 2 }, guardTimeout, time.Millisecond)
	requireDrop(t, n, guard)
}
