package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
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

var seeds = flag.Uint64("seeds", 40, "number of seeds that the trials run with")

const (
	fakeAgents   = 4
	fakeCallers  = 6
	fakeBookings = 25
	fakeTimeout  = 12 * time.Second
)

// fakePath is a path to one incarnation of an agent.
type fakePath struct {
	fleet *jmfake.Fleet
	at    *jmfake.Agent
	// cut is closed to abort the path, as when a connection is lost.
	cut <-chan struct{}
}

func (p *fakePath) agent() jasminemoor.Identity { return p.at.Identity() }

func (p *fakePath) request(ctx context.Context, header *jasminemoor.RequestHeader, body []byte, limit int64) (status jasminemoor.Status, answer []byte, wasSent bool, err error) {
	near, far := jmfake.NewPipe()
	go func() {
		p.fleet.Delay()
		p.at.Serve(*header, far, nil)
	}()
	go func() {
		if _, err := near.Write(body); err == nil {
			_ = near.CloseWrite()
		}
	}()
	stopCancel := context.AfterFunc(ctx, near.Cancel)
	defer stopCancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-p.cut:
			near.Abort()
		case <-done:
		}
	}()
	if err = jmframe.Read(near, &status, maxStatus); err != nil {
		return status, nil, true, err
	}
	if status.Outcome != jasminemoor.OutcomeAccepted {
		return status, nil, true, nil
	}
	answer, err = io.ReadAll(io.LimitReader(near, limit))
	return status, answer, true, err
}

// trial is one seeded run: callers send bookings while agents are killed and paused,
// links between them are cut, and paths of callers are lost.
type trial struct {
	fleet     *jmfake.Fleet
	upstreams []*jmfake.Upstream
	addrs     []netip.AddrPort
	caller    callerKind
	isTight   bool // so few slots and retries that requests are refused

	mu       sync.Mutex
	rng      *rand.Rand
	cut      chan struct{}
	outcomes map[string]jasminemoor.Outcome
	wrong    []string
}

// callerKind is the retry behaviour of a trial's callers.
type callerKind int

const (
	callerLibrary callerKind = iota // uses this package
	callerRetries                   // retries a failed attempt under a new request ID
	callerGivesUp                   // makes one attempt, and reports any failure as not run
)

func newTrial(seed uint64, caller callerKind) *trial {
	limits := jmgate.Limits{Slots: 2, Streams: 100, Queue: 4, QueueWait: time.Second}
	isTight := seed%2 == 1
	if isTight {
		limits = jmgate.Limits{Slots: 1, Streams: 100, Queue: 1, QueueWait: 50 * time.Millisecond}
	}
	t := &trial{
		fleet:    &jmfake.Fleet{Limits: limits, MaxDelay: 20 * time.Millisecond, Seed: seed},
		caller:   caller,
		isTight:  isTight,
		rng:      rand.New(rand.NewPCG(seed, 2)),
		cut:      make(chan struct{}),
		outcomes: make(map[string]jasminemoor.Outcome),
	}
	for i := range fakeAgents {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7100)
		u := &jmfake.Upstream{ServiceTime: 100 * time.Millisecond}
		t.addrs = append(t.addrs, addr)
		t.upstreams = append(t.upstreams, u)
		t.fleet.Add(addr, u)
	}
	return t
}

func (t *trial) intN(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.IntN(n)
}

func (t *trial) pick(context.Context) (path, error) {
	t.mu.Lock()
	cut := t.cut
	t.mu.Unlock()
	return &fakePath{fleet: t.fleet, at: t.fleet.RandomAgent(), cut: cut}, nil
}

// cutPaths aborts all current paths of callers.
func (t *trial) cutPaths() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.cut)
	t.cut = make(chan struct{})
}

// injectFault injects a random fault and schedules its repair.
func (t *trial) injectFault() {
	i, j := t.intN(fakeAgents), t.intN(fakeAgents)
	length := time.Duration(500+t.intN(5000)) * time.Millisecond
	a := t.fleet.Agent(t.addrs[i])
	switch t.intN(4) {
	case 0:
		a.Kill()
		time.AfterFunc(length/4, func() { t.fleet.Add(t.addrs[i], t.upstreams[i]) })
	case 1:
		a.Pause()
		time.AfterFunc(length, a.Resume)
	case 2:
		t.fleet.SetCut(t.addrs[i], t.addrs[j], true)
		time.AfterFunc(length, func() { t.fleet.SetCut(t.addrs[i], t.addrs[j], false) })
	case 3:
		t.cutPaths()
	}
}

// book sends a booking and records its outcome.
func (t *trial) book(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, fakeTimeout)
	defer cancel()
	retries := &budget{isFilled: t.isTight}
	var answer *Answer
	var err error
	if t.caller != callerLibrary {
		answer, err = t.bookNaively(ctx, id)
	} else {
		a := &attempts{pick: t.pick, budget: retries, maxAnswer: 1 << 20, request: Request{ID: jasminemoor.NewRequestID(), Body: []byte(id)}}
		answer, err = a.run(ctx)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[id] = jasminemoor.OutcomeAccepted
	if err != nil {
		refusal, ok := err.(*Error) //nolint:errorlint // the exact type is what callers get
		if !ok {
			t.wrong = append(t.wrong, fmt.Sprintf("%s: %v", id, err))
			return
		}
		t.outcomes[id] = refusal.Outcome
		return
	}
	if string(answer.Body) != "ran "+id {
		t.wrong = append(t.wrong, fmt.Sprintf("%s: answer %q", id, answer.Body))
	}
}

// bookNaively sends a booking without naming earlier attempts.
func (t *trial) bookNaively(ctx context.Context, id string) (*Answer, error) {
	for ctx.Err() == nil {
		p, _ := t.pick(ctx)
		attempt, cancel := context.WithTimeout(ctx, 2*time.Second)
		header := &jasminemoor.RequestHeader{ID: jasminemoor.NewRequestID(), Kind: jasminemoor.KindRequest}
		status, body, _, err := p.request(attempt, header, []byte(id), 1<<20)
		cancel()
		if err == nil && status.Outcome == jasminemoor.OutcomeAccepted {
			return &Answer{Body: body}, nil
		}
		if t.caller == callerGivesUp {
			break
		}
		time.Sleep(minBackoff)
	}
	return nil, &Error{Outcome: jasminemoor.OutcomeNotRun, Reason: "gave up"}
}

// counts are the results of a trial.
type counts struct {
	answered, notRun, unknown int
	// doubled counts bookings that ran more than once, lost those that were answered
	// but did not run, and false those that ran but were reported as not run.
	doubled, lost, false int
}

func (c *counts) add(d counts) {
	c.answered += d.answered
	c.notRun += d.notRun
	c.unknown += d.unknown
	c.doubled += d.doubled
	c.lost += d.lost
	c.false += d.false
}

func (t *trial) run(tt *testing.T) (c counts) {
	ctx, cancel := context.WithCancel(tt.Context())
	var wg sync.WaitGroup
	for caller := range fakeCallers {
		wg.Go(func() {
			for i := range fakeBookings {
				t.book(ctx, fmt.Sprintf("booking-%d-%d", caller, i))
				time.Sleep(time.Duration(t.intN(200)) * time.Millisecond)
			}
		})
	}
	faults, stop := context.WithCancel(ctx)
	var faultLoop sync.WaitGroup
	faultLoop.Go(func() {
		for faults.Err() == nil {
			t.injectFault()
			time.Sleep(time.Duration(200+t.intN(1500)) * time.Millisecond)
		}
	})
	wg.Wait()
	stop()
	faultLoop.Wait()
	// Delayed messages arrive in this minute, and must not change an outcome.
	time.Sleep(time.Minute)
	cancel()
	for id, outcome := range t.outcomes {
		c.add(t.classify(id, outcome))
	}
	require.Empty(tt, t.wrong)
	return c
}

// classify compares a booking's outcome with the number of its runs.
func (t *trial) classify(id string, outcome jasminemoor.Outcome) (c counts) {
	runs := 0
	for _, u := range t.upstreams {
		runs += u.Runs(id)
	}
	switch outcome {
	case jasminemoor.OutcomeAccepted:
		c.answered++
		if runs == 0 {
			c.lost++
		}
	case jasminemoor.OutcomeNotRun:
		c.notRun++
		if runs > 0 {
			c.false++
		}
	case jasminemoor.OutcomeUnknown:
		c.unknown++
	}
	if runs > 1 {
		c.doubled++
	}
	return c
}

// TestAtMostOnce runs this package and two kinds of naive callers under the same
// faults. One kind must run some bookings twice, and the other report some that ran as
// not run, which shows that the faults can cause both. This package must do neither,
// and lose no booking.
func TestAtMostOnce(t *testing.T) {
	var ours, retrying, givingUp counts
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			c := newTrial(seed, callerLibrary).run(t)
			require.Zero(t, c.doubled, "seed %d", seed)
			require.Zero(t, c.lost, "seed %d", seed)
			require.Zero(t, c.false, "seed %d", seed)
			ours.add(c)
		})
		synctest.Test(t, func(t *testing.T) { retrying.add(newTrial(seed, callerRetries).run(t)) })
		synctest.Test(t, func(t *testing.T) { givingUp.add(newTrial(seed, callerGivesUp).run(t)) })
	}
	t.Logf("ours:      %+v", ours)
	t.Logf("retrying:  %+v", retrying)
	t.Logf("giving up: %+v", givingUp)
	require.Positive(t, retrying.doubled, "the faults must make a naive retry run twice")
	require.Positive(t, givingUp.false, "the faults must make a naive caller report a false failure")
	require.Positive(t, ours.notRun, "some requests must be refused")
	require.Greater(t, ours.answered, 10*ours.unknown, "most bookings must be answered")
}

func TestRetryBudget(t *testing.T) {
	var b budget
	spent := 0
	for range budgetBurst {
		require.True(t, b.spend())
	}
	for range 1000 {
		b.earn()
		if b.spend() {
			spent++
		}
	}
	require.LessOrEqual(t, spent, 101)
	require.GreaterOrEqual(t, spent, 90)
}

func TestErrorText(t *testing.T) {
	err := &Error{Outcome: jasminemoor.OutcomeNotRun, Reason: "no slot"}
	require.Equal(t, "not run: no slot", err.Error())
	require.True(t, strings.HasPrefix((&Error{Outcome: jasminemoor.OutcomeUnknown}).Error(), "unknown"))
}
