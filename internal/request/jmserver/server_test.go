package jmserver_test

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/request/jmgate"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfake"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
)

// numberedHeader returns the header of the i-th of many requests.
func numberedHeader(i int) jasminemoor.RequestHeader {
	h := newHeader()
	h.ID = jasminemoor.RequestID{byte(i), byte(i >> 8), 7}
	return h
}

func TestRequestRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, agents := newFleet(1, roomy)
		status, answer, err := ask(agents[0], newHeader(), "order")
		require.NoError(t, err)
		require.Equal(t, jasminemoor.OutcomeAccepted, status.Outcome)
		require.Equal(t, agents[0].Identity(), status.RanAt)
		require.Equal(t, "ran order", answer)
		require.EqualValues(t, 1, agents[0].Server.Counters.Accepted.Load())
	})
}

func TestRepeatedRequestGetsStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, agents := newFleet(1, roomy)
		for range 3 {
			_, answer, err := ask(agents[0], newHeader(), "order")
			require.NoError(t, err)
			require.Equal(t, "ran order", answer, "the stored answer of the first attempt")
		}
		require.Equal(t, 1, agents[0].Upstream.Runs("order"))
	})
}

// TestRetryElsewhereDuringRun retries at another agent while the first attempt
// is still running. The retry must return the answer of the first attempt.
func TestRetryElsewhereDuringRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, agents := newFleet(2, roomy)
		agents[0].Upstream.ServiceTime = 2 * time.Second
		go func() { _, _, _ = ask(agents[0], newHeader(), "order") }()
		time.Sleep(time.Second)
		status, answer, err := ask(agents[1], newHeader(agents[0].Identity()), "order")
		require.NoError(t, err)
		require.Equal(t, jasminemoor.OutcomeAccepted, status.Outcome)
		require.Equal(t, "ran order", answer)
		require.Equal(t, agents[0].Identity(), status.RanAt)
		require.Equal(t, 1, agents[0].Upstream.Total()+agents[1].Upstream.Total())
	})
}

// TestRetryAfterRestartIsUnknown retries after the agent of the first attempt
// has restarted, which loses its ledger. The request must not run again.
func TestRetryAfterRestartIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, agents := newFleet(2, roomy)
		earlier := agents[0].Identity()
		agents[0].Kill()
		time.Sleep(time.Second)
		fleet.Add(addressOf(1), agents[0].Upstream)
		status, _, err := ask(agents[1], newHeader(earlier), "order")
		require.NoError(t, err)
		require.Equal(t, jasminemoor.OutcomeUnknown, status.Outcome)
		require.Zero(t, agents[1].Upstream.Total())
	})
}

// TestCancelReachesUpstream cancels a request while it is being sent.
func TestCancelReachesUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, agents := newFleet(1, roomy)
		near, far := jmfake.NewPipe()
		go agents[0].Serve(newHeader(), far, nil)
		_, err := io.WriteString(near, "half an ord")
		require.NoError(t, err)
		near.Cancel()
		synctest.Wait()
		require.Zero(t, agents[0].Upstream.Total(), "the upstream must not run half a request")
		require.EqualValues(t, 1, agents[0].Server.Counters.Cancelled.Load())
		require.Equal(t, jmgate.Usage{}, agents[0].Gate.Usage())
	})
}

func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, agents := newFleet(1, roomy)
		agents[0].Upstream.ServiceTime = time.Minute
		header := newHeader()
		header.Timeout = time.Second
		start := time.Now()
		status, _, err := ask(agents[0], header, "order")
		require.NoError(t, err)
		require.Equal(t, jasminemoor.OutcomeUnknown, status.Outcome)
		require.Equal(t, time.Second, time.Since(start))
		synctest.Wait()
		require.Equal(t, jmgate.Usage{}, agents[0].Gate.Usage())
		time.Sleep(time.Minute)
	})
}

// TestLeavingAgentRelays sends a new stream to a leaving agent, as callers with
// an open flow do. The agent must relay it, and a retry must not run it again.
func TestLeavingAgentRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, agents := newFleet(2, roomy)
		agents[0].Leaving.Store(true)
		status, answer, err := ask(agents[0], newHeader(), "order")
		require.NoError(t, err)
		require.Equal(t, "ran order", answer)
		require.Equal(t, agents[1].Identity(), status.RanAt)
		require.Zero(t, agents[0].Upstream.Total())

		_, answer, err = ask(agents[1], newHeader(agents[0].Identity()), "order")
		require.NoError(t, err)
		require.Equal(t, "ran order", answer, "the retry gets the stored answer from the agent that ran the request")
		require.Equal(t, 1, agents[1].Upstream.Runs("order"))
	})
}

func TestLeavingAgentWithoutPeersRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, agents := newFleet(1, roomy)
		agents[0].Leaving.Store(true)
		status, _, err := ask(agents[0], newHeader(), "order")
		require.NoError(t, err)
		require.Equal(t, jasminemoor.OutcomeNotRun, status.Outcome)
		require.Positive(t, status.RetryAfter)
		agents[0].Leaving.Store(false)
		status, _, err = ask(agents[0], newHeader(), "order")
		require.NoError(t, err)
		require.Equal(t, jasminemoor.OutcomeAccepted, status.Outcome, "a refusal must not fence the request")
	})
}

// TestRelayLost kills the agent that a stream is relayed to while the request
// runs there, so that the outcome is unknown.
func TestRelayLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, agents := newFleet(2, roomy)
		agents[0].Leaving.Store(true)
		agents[1].Upstream.ServiceTime = 10 * time.Second
		time.AfterFunc(time.Second, agents[1].Kill)
		status, _, err := ask(agents[0], newHeader(), "order")
		require.NoError(t, err)
		require.Equal(t, jasminemoor.OutcomeUnknown, status.Outcome)
		time.Sleep(time.Minute)
	})
}

// TestOverload sends requests at five times the rate that one upstream can
// serve. The upstream must never run more requests than it has slots, a refused
// request must not have run, and an admitted one must not wait longer than the
// queue allows.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := jmgate.Limits{Slots: 5, Streams: 2000, Queue: 10, QueueWait: 2 * time.Second}
		_, agents := newFleet(1, limits)
		a := agents[0]
		a.Upstream.ServiceTime = 100 * time.Millisecond
		const requests = 2500 // sent within ten seconds; the upstream serves 50 a second
		var wg sync.WaitGroup
		var mu sync.Mutex
		refused, longest := 0, time.Duration(0)
		for i := range requests {
			wg.Go(func() {
				start := time.Now()
				status, _, err := ask(a, numberedHeader(i), fmt.Sprintf("order-%d", i))
				mu.Lock()
				defer mu.Unlock()
				if err != nil || status.Outcome == jasminemoor.OutcomeUnknown {
					t.Errorf("order-%d: %v %v", i, status, err)
				}
				if status.Outcome == jasminemoor.OutcomeNotRun {
					refused++
					if a.Upstream.Runs(fmt.Sprintf("order-%d", i)) > 0 {
						t.Errorf("order-%d ran and was refused", i)
					}
					return
				}
				longest = max(longest, time.Since(start))
			})
			time.Sleep(4 * time.Millisecond)
		}
		wg.Wait()
		t.Logf("%d of %d refused, peak %d at the upstream, longest %s", refused, requests, a.Upstream.Peak, longest)
		require.LessOrEqual(t, a.Upstream.Peak, limits.Slots)
		require.Equal(t, requests-refused, a.Upstream.Total())
		require.GreaterOrEqual(t, a.Upstream.Total(), 480, "the upstream must be nearly fully used")
		require.Less(t, longest, limits.QueueWait+time.Second)
	})
}

// TestAnswersOutOfOrder runs five requests at one agent whose answers arrive in
// the reverse order of the requests. Each caller must get its own whole answer.
func TestAnswersOutOfOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, agents := newFleet(1, roomy)
		var wg sync.WaitGroup
		for i := range 5 {
			wg.Go(func() {
				text := fmt.Sprintf("order-%d", i)
				near, far := jmfake.NewPipe()
				go agents[0].Serve(numberedHeader(i), far, nil)
				// The first request is sent the slowest, so it is answered last.
				for _, b := range []byte(text) {
					time.Sleep(time.Duration(5-i) * 100 * time.Millisecond)
					_, _ = near.Write([]byte{b})
				}
				_ = near.CloseWrite()
				var status jasminemoor.Status
				if err := jmframe.Read(near, &status, maxStatus); err != nil {
					t.Errorf("%s: %v", text, err)
				}
				answer, _ := io.ReadAll(near)
				if string(answer) != "ran "+text {
					t.Errorf("%s: answer %q", text, answer)
				}
			})
		}
		wg.Wait()
	})
}

func TestTooManyAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, agents := newFleet(1, roomy)
		header := newHeader(make([]jasminemoor.Identity, 17)...)
		status, _, err := ask(agents[0], header, "order")
		require.NoError(t, err)
		require.Equal(t, jasminemoor.OutcomeNotRun, status.Outcome)
	})
}
