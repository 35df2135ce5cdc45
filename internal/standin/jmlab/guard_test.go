package jmlab_test

import (
	"context"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/client"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfake"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmlab"
)

// faultyHook panics at a number of log lines with a text.
type faultyHook struct {
	text string
	left atomic.Int64
}

func (h *faultyHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h *faultyHook) Fire(e *logrus.Entry) error {
	if strings.Contains(e.Message, h.text) && h.left.Add(-1) >= 0 {
		panic("fault of the test")
	}
	return nil
}

// newGuardedLab returns a lab of two services, whose log has a hook.
func newGuardedLab(t *testing.T, net byte, hook *faultyHook) (lab *jmlab.Lab, guard *jmfake.Guard) {
	layout, err := jmlab.NewLayout(net, []string{"lahore"}, 1,
		jmlab.ServiceSpec{Team: "rangla", Name: "shop-floor", Weights: []uint32{1, 1}},
		jmlab.ServiceSpec{Team: "rangla", Name: "catalogue", Weights: []uint32{1}},
	)
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(t.Output())
	log.AddHook(hook)
	guard = jmfake.NewGuard()
	lab = &jmlab.Lab{Layout: layout, Log: log, Guard: &guard.Guard}
	t.Cleanup(lab.Close)
	return lab, guard
}

// TestPanicInStreamKeepsAgent has a stream panic while its upstream can't be reached. Other
// streams of the flow go on.
func TestPanicInStreamKeepsAgent(t *testing.T) {
	hook := &faultyHook{text: "upstream: can't be reached"}
	lab, guard := newGuardedLab(t, 71, hook)
	require.NoError(t, lab.Start())
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, lab.AwaitReady(ctx))
	service := lab.Layout.Services[0]
	caller := lab.NewCaller(service)
	defer caller.Close()
	book := func(order string) error {
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		_, err := caller.Do(ctx, client.Request{Body: []byte("BOOK " + order)})
		return err
	}
	require.NoError(t, book("order-1"))
	addresses := lab.Layout.Services[0].Upstreams
	first, second := addresses[0].Address, addresses[1].Address
	const closedPort = 9
	for i := range addresses {
		addresses[i].Address = netip.AddrPortFrom(addresses[i].Address.Addr(), closedPort)
	}
	publish(t, lab)
	hook.left.Store(1)
	require.Eventually(t, func() bool { return book("order-2") != nil && guard.Dropped.Load() == 1 }, testTimeout, 10*time.Millisecond)
	addresses[0].Address, addresses[1].Address = first, second
	publish(t, lab)
	require.Eventually(t, func() bool { return book("order-3") == nil }, testTimeout, 10*time.Millisecond)
	require.False(t, guard.HasExited())
	require.EqualValues(t, 1, guard.Dropped.Load())
}

// TestPanicInFlowListenerEndsProcess has the goroutine panic that accepts flows.
func TestPanicInFlowListenerEndsProcess(t *testing.T) {
	hook := &faultyHook{text: "agent: serving"}
	hook.left.Store(1)
	lab, guard := newGuardedLab(t, 72, hook)
	require.NoError(t, lab.Start())
	select {
	case <-guard.Exited:
		require.Equal(t, "flow listener", guard.LastLines.LastEntry().Data["Goroutine"])
	case <-time.After(testTimeout):
		require.Fail(t, "process lives on")
	}
}

// TestPanicInViewsKeepsBalancer has the balancer panic while it opens the sockets of a new
// view. It builds the view again, and serves callers.
func TestPanicInViewsKeepsBalancer(t *testing.T) {
	hook := &faultyHook{text: "balancer: serving"}
	hook.left.Store(1)
	lab, guard := newGuardedLab(t, 73, hook)
	require.NoError(t, lab.Start())
	require.Eventually(t, func() bool { return guard.Dropped.Load() == 1 }, testTimeout, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, lab.AwaitReady(ctx))
	caller := lab.NewCaller(lab.Layout.Services[1])
	defer caller.Close()
	_, err := caller.Do(ctx, client.Request{Body: []byte("BOOK order-1")})
	require.NoError(t, err)
	caller = lab.NewCaller(lab.Layout.Services[0])
	defer caller.Close()
	_, err = caller.Do(ctx, client.Request{Body: []byte("BOOK order-2")})
	require.NoError(t, err)
	require.False(t, guard.HasExited())
}
