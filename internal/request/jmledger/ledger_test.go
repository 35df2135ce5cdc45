package jmledger_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/request/jmledger"
)

var (
	id    = jasminemoor.RequestID{1}
	other = jasminemoor.Identity{Incarnation: 9}
)

func begin(t *testing.T, l *jmledger.Ledger, id jasminemoor.RequestID) jmledger.Verdict {
	t.Helper()
	v, err := l.Begin(id)
	require.NoError(t, err)
	return v
}

func fence(t *testing.T, l *jmledger.Ledger, id jasminemoor.RequestID) jasminemoor.Fence {
	t.Helper()
	f, err := l.Fence(t.Context(), id, 0)
	require.NoError(t, err)
	return f
}

// TestFence fences a request in each state. A fenced request can neither start
// nor be relayed.
func TestFence(t *testing.T) {
	cases := map[string]struct {
		prepare func(l *jmledger.Ledger)
		fence   jasminemoor.Fence
		// canStart says whether the request may still start after the fence.
		canStart bool
	}{
		"never seen": {func(*jmledger.Ledger) {}, jasminemoor.Fence{State: jasminemoor.FenceFenced}, false},
		"pending": {func(l *jmledger.Ledger) {
			_, _ = l.Begin(id)
		}, jasminemoor.Fence{State: jasminemoor.FenceFenced}, false},
		"running": {func(l *jmledger.Ledger) {
			_, _ = l.Begin(id)
			l.Start(id)
		}, jasminemoor.Fence{State: jasminemoor.FenceRunning}, false},
		"done": {func(l *jmledger.Ledger) {
			_, _ = l.Begin(id)
			l.Start(id)
			l.Finish(id, []byte("answer"), true)
		}, jasminemoor.Fence{State: jasminemoor.FenceDone, Answer: []byte("answer")}, false},
		"cut short": {func(l *jmledger.Ledger) {
			_, _ = l.Begin(id)
			l.Start(id)
			l.Finish(id, []byte("ans"), false)
		}, jasminemoor.Fence{State: jasminemoor.FenceLost}, false},
		"answer too large": {func(l *jmledger.Ledger) {
			_, _ = l.Begin(id)
			l.Start(id)
			l.Finish(id, make([]byte, jmledger.MaxAnswer+1), true)
		}, jasminemoor.Fence{State: jasminemoor.FenceLost}, false},
		"relayed": {func(l *jmledger.Ledger) {
			_, _ = l.Begin(id)
			l.MarkRelayed(id, other)
		}, jasminemoor.Fence{State: jasminemoor.FenceRelayed, To: other}, false},
		"abandoned": {func(l *jmledger.Ledger) {
			_, _ = l.Begin(id)
			l.Abandon(id)
		}, jasminemoor.Fence{State: jasminemoor.FenceFenced}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l := &jmledger.Ledger{}
			tc.prepare(l)
			require.Equal(t, tc.fence, fence(t, l, id))
			require.Equal(t, tc.canStart, l.Start(id))
			require.False(t, l.MarkRelayed(id, other))
		})
	}
}

func TestRepeatedRequestIsKnown(t *testing.T) {
	l := &jmledger.Ledger{}
	require.Equal(t, jmledger.VerdictNew, begin(t, l, id))
	require.Equal(t, jmledger.VerdictKnown, begin(t, l, id))
	require.True(t, l.Start(id))
	require.False(t, l.Start(id))
	l.Finish(id, nil, true)
	require.Equal(t, jmledger.VerdictKnown, begin(t, l, id))
}

// TestRequestAfterFence fences a request before its stream arrives.
func TestRequestAfterFence(t *testing.T) {
	l := &jmledger.Ledger{}
	fence(t, l, id)
	require.Equal(t, jmledger.VerdictFenced, begin(t, l, id))
	require.False(t, l.Start(id))
}

func TestAbandonedRequestMayRetry(t *testing.T) {
	l := &jmledger.Ledger{}
	begin(t, l, id)
	l.Abandon(id)
	require.Equal(t, jmledger.VerdictNew, begin(t, l, id))
	l.Start(id)
	l.Abandon(id)
	require.Equal(t, jmledger.VerdictKnown, begin(t, l, id), "a running request can't be abandoned")
}

// TestRevertRelay reverts a relay that the other agent refused. This must fail once
// a fence got the answer FenceRelayed: the retry that asked for it then fences the
// other agent and runs the request, which this agent must not run as well.
func TestRevertRelay(t *testing.T) {
	l := &jmledger.Ledger{}
	begin(t, l, id)
	l.MarkRelayed(id, other)
	require.True(t, l.RevertRelay(id))
	require.True(t, l.MarkRelayed(id, other))
	fence(t, l, id)
	require.False(t, l.RevertRelay(id))
	require.False(t, l.Start(id))
}

// TestBeginRetry covers two concurrent retries at two agents that each name the
// other as an earlier attempt. A fence that arrives while this agent is fencing
// the other one must stay in force, or both agents would run the request.
func TestBeginRetry(t *testing.T) {
	l := &jmledger.Ledger{}
	fence(t, l, id)
	before := l.Fences(id)
	v, err := l.BeginRetry(id, before)
	require.NoError(t, err)
	require.Equal(t, jmledger.VerdictNew, v)

	before = l.Fences(id)
	fence(t, l, id)
	v, err = l.BeginRetry(id, before)
	require.NoError(t, err)
	require.Equal(t, jmledger.VerdictFenced, v)
}

func TestFenceWaitsForRunningRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &jmledger.Ledger{}
		begin(t, l, id)
		l.Start(id)
		time.AfterFunc(time.Second, func() { l.Finish(id, []byte("late"), true) })
		start := time.Now()
		f, err := l.Fence(t.Context(), id, 5*time.Second)
		require.NoError(t, err)
		require.Equal(t, jasminemoor.FenceDone, f.State)
		require.Equal(t, time.Second, time.Since(start))
	})
}

func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &jmledger.Ledger{MaxEntries: 3, MaxAnswerBytes: 10, Keep: time.Minute}
		for i := range 3 {
			id := jasminemoor.RequestID{byte(i)}
			begin(t, l, id)
			l.Start(id)
			l.Finish(id, []byte("sixsix"), true)
		}
		_, err := l.Begin(jasminemoor.RequestID{9})
		require.ErrorIs(t, err, jmledger.ErrTooMany)
		_, err = l.Fence(t.Context(), jasminemoor.RequestID{9}, 0)
		require.ErrorIs(t, err, jmledger.ErrTooMany, "a full ledger can't record the fence, so it must not confirm it")
		entries, bytes := l.Len()
		require.Equal(t, 3, entries)
		require.LessOrEqual(t, bytes, 10)
		require.Equal(t, jasminemoor.FenceLost, fence(t, l, jasminemoor.RequestID{0}).State, "the oldest answer is evicted first")
		require.Equal(t, jasminemoor.FenceDone, fence(t, l, jasminemoor.RequestID{2}).State)

		time.Sleep(2 * time.Minute)
		require.Equal(t, jmledger.VerdictNew, begin(t, l, jasminemoor.RequestID{9}))
		entries, bytes = l.Len()
		require.Equal(t, 1, entries)
		require.Zero(t, bytes)
	})
}

// TestRunningRequestDoesNotExpire runs a request for longer than Keep.
func TestRunningRequestDoesNotExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &jmledger.Ledger{Keep: time.Minute}
		begin(t, l, id)
		l.Start(id)
		time.Sleep(time.Hour)
		require.Equal(t, jmledger.VerdictKnown, begin(t, l, id))
	})
}

func BenchmarkRequest(b *testing.B) {
	l := &jmledger.Ledger{MaxEntries: 1 << 30}
	answer := make([]byte, 100)
	for b.Loop() {
		id := jasminemoor.NewRequestID()
		_, _ = l.Begin(id)
		l.Start(id)
		l.Finish(id, answer, true)
	}
}
