package jmlab_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/client"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfabric"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmlab"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmupstream"
)

const testTimeout = 30 * time.Second

// startLab starts a fleet of two services and three balancers in two data centres,
// and waits until it is ready.
func startLab(t *testing.T, net byte) *jmlab.Lab {
	t.Helper()
	return startLabOf(t, net,
		jmlab.ServiceSpec{Team: "rangla", Name: "shop-floor", Weights: []uint32{1, 2, 4}},
		jmlab.ServiceSpec{Team: "rangla", Name: "catalogue", Weights: []uint32{1, 1}},
	)
}

// startLabOf starts a fleet of the given services like startLab.
func startLabOf(t *testing.T, net byte, services ...jmlab.ServiceSpec) *jmlab.Lab {
	t.Helper()
	layout, err := jmlab.NewLayout(net, []string{"lahore", "karachi"}, 3, services...)
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(t.Output())
	log.SetLevel(logrus.DebugLevel)
	lab := &jmlab.Lab{Layout: layout, Log: log}
	require.NoError(t, lab.Start())
	t.Cleanup(lab.Close)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, lab.AwaitReady(ctx))
	return lab
}

// TestRequestAndFeed sends a booking and opens a feed, which goes on after a balancer
// is killed.
func TestRequestAndFeed(t *testing.T) {
	lab := startLab(t, 10)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	caller := lab.NewCaller(lab.Layout.Services[0])
	defer caller.Close()

	answer, err := caller.Do(ctx, client.Request{Body: []byte("BOOK order-1")})
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(answer.Body), "BOOKED order-1 shop-floor-"), string(answer.Body))

	feed, err := caller.OpenFeed(ctx)
	require.NoError(t, err)
	defer feed.Close()
	ticks := openTicks(t, feed, 20*time.Millisecond)
	ticks.next(10)

	lab.Balancers["b1"].Kill()
	lab.SetFabrics(jmfabric.Settings{}, "b1")
	ticks.next(50)
}

// ticks reads the ticks of a feed and fails the test on an error.
type ticks struct {
	t    *testing.T
	feed *jmupstream.Ticks
}

func openTicks(t *testing.T, feed io.ReadWriter, interval time.Duration) *ticks {
	t.Helper()
	opened, err := jmupstream.OpenTicks(feed, interval)
	require.NoError(t, err)
	return &ticks{t: t, feed: opened}
}

// next reads count ticks.
func (k *ticks) next(count int) {
	k.t.Helper()
	for range count {
		require.NoError(k.t, k.feed.Next())
	}
}
