package client

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/request/jmgate"
)

// overload sends three times as many requests as the agents can serve. It returns the
// number of requests, of attempts, and of answers. A naive caller retries without a
// budget until its timeout, and does not heed when it is told to come back.
func overload(t *testing.T, isNaive bool) (requests, sent, answered int) {
	trial := newTrial(0, callerLibrary)
	for _, addr := range trial.addrs {
		trial.fleet.Agent(addr).Gate.SetLimits(jmgate.Limits{Slots: 2, Streams: 1000, Queue: 2, QueueWait: 200 * time.Millisecond})
	}
	const (
		callers = 40 // each with its own retry budget, like a Caller
		rounds  = 60
	)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for caller := range callers {
		shared := &budget{}
		wg.Go(func() {
			for i := range rounds {
				// 40 callers at 6 a second send 240; the agents can serve 80.
				time.Sleep(time.Second / 6)
				wg.Go(func() {
					retries, pick := shared, trial.pick
					if isNaive {
						retries, pick = &budget{isFilled: true, tokens: 1000}, heedless(trial.pick)
					}
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					defer cancel()
					retries.earn()
					a := &attempts{
						pick:      pick,
						budget:    retries,
						maxAnswer: 1 << 20,
						request:   Request{ID: jasminemoor.NewRequestID(), Body: fmt.Appendf(nil, "order-%d-%d", caller, i)},
					}
					answer, _ := a.run(ctx)
					mu.Lock()
					defer mu.Unlock()
					requests++
					sent += a.count
					if answer != nil {
						answered++
					}
				})
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Minute) // for requests that still run at the upstreams
	return requests, sent, answered
}

// heedlessPath is a path whose refusals don't say when to come back.
type heedlessPath struct{ path }

func (p heedlessPath) request(ctx context.Context, header *jasminemoor.RequestHeader, body []byte, limit int64) (status jasminemoor.Status, answer []byte, wasSent bool, err error) {
	status, answer, wasSent, err = p.path.request(ctx, header, body, limit)
	status.RetryAfter = 0
	return status, answer, wasSent, err
}

func heedless(pick func(ctx context.Context) (path, error)) func(ctx context.Context) (path, error) {
	return func(ctx context.Context) (path, error) {
		p, err := pick(ctx)
		if err != nil {
			return nil, err
		}
		return heedlessPath{p}, nil
	}
}

// TestRetriesDoNotMultiplyOverload compares retries within the budget with retries
// without one, which more than double the load.
func TestRetriesDoNotMultiplyOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests, sent, answered := overload(t, false)
		t.Logf("ours:  %d requests, sent %d times, %d answered", requests, sent, answered)
		// The bucket of each of the 40 callers is full at first.
		require.LessOrEqual(t, float64(sent), float64(requests)*(1+budgetPerRequest)+40*budgetBurst)
		require.Positive(t, answered)
	})
	synctest.Test(t, func(t *testing.T) {
		requests, sent, answered := overload(t, true)
		t.Logf("naive: %d requests, sent %d times, %d answered", requests, sent, answered)
		require.Greater(t, sent, 2*requests)
	})
}
