package jmserver_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfake"
)

// faultyStream panics when the request is read.
type faultyStream struct{ *jmfake.Stream }

func (faultyStream) Read([]byte) (int, error) { panic("fault of the test") }

// TestPanicInRequestEndsStream has the goroutine panic that copies the caller's bytes.
// Without them the upstream would wait for the rest until the deadline.
func TestPanicInRequestEndsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := jmfake.NewGuard()
		_, agents := newFleet(1, roomy)
		agents[0].Server.Guard = &guard.Guard
		near, far := jmfake.NewPipe()
		done := make(chan struct{})
		start := time.Now()
		go func() {
			defer close(done)
			agents[0].Serve(newHeader(), faultyStream{far}, nil)
		}()
		go func() { _, _ = near.Read(make([]byte, maxStatus)) }()
		<-done
		require.Less(t, time.Since(start), time.Second)
		require.EqualValues(t, 1, guard.Dropped.Load())
		require.Zero(t, agents[0].Gate.Usage().Running)
		near.Abort()
	})
}

// TestPanicWhileServingLosesRequest checks that a request counts as lost after a panic, not
// as running: a retry learns at once that it may have run.
func TestPanicWhileServingLosesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := jmfake.NewGuard()
		_, agents := newFleet(1, roomy)
		agents[0].Server.Meter = nil // recording the answer's time panics
		near, far := jmfake.NewPipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			guard.Try("stream", func() { agents[0].Serve(newHeader(), far, nil) })
		}()
		go func() {
			_, _ = near.Write([]byte("order"))
			_ = near.CloseWrite()
		}()
		<-done
		require.EqualValues(t, 1, guard.Dropped.Load())
		require.Zero(t, agents[0].Gate.Usage().Running)
		fence, err := agents[0].Ledger.Fence(t.Context(), newHeader().ID, time.Second)
		require.NoError(t, err)
		require.Equal(t, jasminemoor.FenceLost, fence.State)
		near.Abort()
	})
}
