package jmprocess_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmprocess"
)

// TestOverload has callers keep three times as many requests in flight as the
// upstreams have slots. Each upstream gets at most one request above its slots at a
// time; all requests are answered, and run once.
func TestOverload(t *testing.T) {
	const (
		work     = 60 * time.Millisecond
		overload = 3
		duration = 4 * time.Second
		// minShare of the capacity must be answered. It is below 1 as 7 processes
		// and the callers share a machine.
		minShare = 0.7
	)
	binary, err := jmprocess.Build(context.Background(), t.TempDir(), false)
	require.NoError(t, err)
	s := newSoak(t, 1, binary, work)
	s.start()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	s.pollReadiness(ctx)
	var wg sync.WaitGroup
	var answered atomic.Int64
	for i := range overload * soakSlots * *soakAgents {
		wg.Go(func() {
			f, err := s.openFlow(ctx)
			if err != nil {
				s.failf("caller %d cannot open a flow: %v", i, err)
				return
			}
			defer f.Close()
			for n := 0; ctx.Err() == nil; n++ {
				request, cancel := context.WithTimeout(context.WithoutCancel(ctx), soakDeadline)
				_, err := f.Do(request, fmt.Sprintf("press-%d-%d", i, n))
				cancel()
				if err != nil {
					s.failf("caller %d: %v", i, err)
					return
				}
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	s.checkGuarantees()
	if len(s.failures) > 0 {
		s.keepLogs()
	}
	require.Empty(t, s.failures)
	capacity := float64(soakSlots**soakAgents) * duration.Seconds() / work.Seconds()
	t.Logf("%d requests answered, capacity %.0f", answered.Load(), capacity)
	for i, u := range s.upstreams {
		t.Logf("upstream %d ran up to %d requests concurrently", i+1, u.Peak())
		require.LessOrEqual(t, u.Peak(), soakSlots+1)
	}
	require.Greater(t, float64(answered.Load()), minShare*capacity)
}
