package jmgate_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/request/jmgate"
)

var limits = jmgate.Limits{Slots: 2, Streams: 6, Queue: 2, QueueWait: time.Second}

func newGate() *jmgate.Gate {
	g := &jmgate.Gate{}
	g.SetLimits(limits)
	return g
}

// enter admits a stream, which must succeed.
func enter(t *testing.T, g *jmgate.Gate, kind jasminemoor.Kind) (release func()) {
	t.Helper()
	release, err := g.Enter(t.Context(), kind)
	require.NoError(t, err)
	return release
}

func TestSlotsThenQueueThenRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		first := enter(t, g, jasminemoor.KindRequest)
		enter(t, g, jasminemoor.KindRequest)
		require.False(t, g.HasRoom(jasminemoor.KindRequest))
		require.True(t, g.HasRoom(jasminemoor.KindFeed))
		order := make(chan int, 2)
		for i := range 2 {
			go func() {
				release, err := g.Enter(t.Context(), jasminemoor.KindRequest)
				if err == nil {
					order <- i
					release()
				}
			}()
			synctest.Wait()
		}
		_, err := g.Enter(t.Context(), jasminemoor.KindRequest)
		require.ErrorIs(t, err, jmgate.ErrQueueFull)
		require.Equal(t, jmgate.Usage{Running: 2, Waiting: 2}, g.Usage())
		first()
		require.Equal(t, 0, <-order, "the queue must be served in order of arrival")
		require.Equal(t, 1, <-order)
		synctest.Wait()
		require.Equal(t, jmgate.Usage{Running: 1}, g.Usage())
	})
}

func TestQueueWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		enter(t, g, jasminemoor.KindRequest)
		enter(t, g, jasminemoor.KindRequest)

		start := time.Now()
		_, err := g.Enter(t.Context(), jasminemoor.KindRequest)
		require.ErrorIs(t, err, jmgate.ErrQueueTimeout)
		require.Equal(t, limits.QueueWait, time.Since(start))

		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = g.Enter(ctx, jasminemoor.KindRequest)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Zero(t, g.Usage().Waiting)
	})
}

func TestStreamsAreBounded(t *testing.T) {
	g := newGate()
	var releases []func()
	for range limits.Streams {
		releases = append(releases, enter(t, g, jasminemoor.KindFeed))
	}
	_, err := g.Enter(t.Context(), jasminemoor.KindFeed)
	require.ErrorIs(t, err, jmgate.ErrTooManyStreams)
	_, err = g.Enter(t.Context(), jasminemoor.KindRequest)
	require.ErrorIs(t, err, jmgate.ErrTooManyStreams)
	releases[0]()
	releases[0]()
	require.Equal(t, limits.Streams-1, g.Usage().Feeds, "a second release must have no effect")
}

// TestReleaseDuringQueueTimeout releases a slot at the moment when the request
// that waits for it times out. The slot must not be lost.
func TestReleaseDuringQueueTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		first := enter(t, g, jasminemoor.KindRequest)
		second := enter(t, g, jasminemoor.KindRequest)
		time.AfterFunc(limits.QueueWait, first)
		release, err := g.Enter(t.Context(), jasminemoor.KindRequest)
		if err == nil {
			release()
		}
		synctest.Wait()
		second()
		require.Equal(t, jmgate.Usage{}, g.Usage())
	})
}

func TestSmallerLimitsKeepAdmitted(t *testing.T) {
	g := newGate()
	first := enter(t, g, jasminemoor.KindRequest)
	second := enter(t, g, jasminemoor.KindRequest)
	g.SetLimits(jmgate.Limits{Slots: 1, Streams: 6, Queue: 0, QueueWait: time.Second})
	first()
	require.False(t, g.HasRoom(jasminemoor.KindRequest))
	second()
	require.True(t, g.HasRoom(jasminemoor.KindRequest))
}

func TestRetryAfterGrowsWithTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		for range 20 {
			release := enter(t, g, jasminemoor.KindRequest)
			time.Sleep(400 * time.Millisecond)
			release()
		}
		empty := g.RetryAfter(t.Context())
		enter(t, g, jasminemoor.KindRequest)
		enter(t, g, jasminemoor.KindRequest)
		go func() { _, _ = g.Enter(t.Context(), jasminemoor.KindRequest) }()
		synctest.Wait()
		require.Greater(t, g.RetryAfter(t.Context()), empty)
		time.Sleep(limits.QueueWait)
	})
}

func TestZeroGateAdmitsNothing(t *testing.T) {
	var g jmgate.Gate
	_, err := g.Enter(t.Context(), jasminemoor.KindFeed)
	require.ErrorIs(t, err, jmgate.ErrTooManyStreams)
	require.Positive(t, g.RetryAfter(t.Context()))
}
