package jmprocess_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/client"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfabric"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmlab"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmplatform"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmprocess"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmupstream"
)

var (
	faultSeed  = flag.Uint64("fault-seed", 1, "first seed of the fault trials")
	faultSeeds = flag.Uint64("fault-seeds", 2, "number of seeds that the fault trials run")
	faultTime  = flag.Duration("fault-time", 10*time.Second, "how long each fault trial lasts")
)

const (
	trialFeeds   = 8
	trialBookers = 4
	trialTimeout = 8 * time.Second
)

// faultTrial runs feeds and bookings while pairs of faults are injected.
type faultTrial struct {
	t       *testing.T
	fleet   *jmprocess.Fleet
	service *jmtree.Service
	rng     *rand.Rand

	mu sync.Mutex
	// killed are the agents that were killed at least once, by address.
	killed map[string]bool
	// outcomes are by the ID of the booking.
	outcomes map[string]jasminemoor.Outcome
	failures []string // broken guarantees
	ticks    int
	injected []string // log of the injected faults
	faulty   string   // process that the first fault of a pair affects
}

// failf records a broken guarantee.
func (f *faultTrial) failf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, fmt.Sprintf(format, args...))
}

// recordFault adds an injected fault to the log.
func (f *faultTrial) recordFault(format string, args ...any) {
	f.injected = append(f.injected, fmt.Sprintf(format, args...))
}

// runFeeds keeps a feed open until ctx ends: it opens another one after each that
// ends.
func (f *faultTrial) runFeeds(ctx context.Context) {
	caller := f.fleet.NewCaller(f.service)
	defer caller.Close()
	for ctx.Err() == nil {
		feed, err := caller.OpenFeed(ctx)
		if err != nil {
			continue
		}
		f.readFeed(ctx, feed)
	}
}

// readFeed reads a feed until it ends. A feed may end early only if its agent was
// killed.
func (f *faultTrial) readFeed(ctx context.Context, feed *client.Feed) {
	defer feed.Close()
	stop := context.AfterFunc(ctx, func() { _ = feed.Close() })
	defer stop()
	ticks, err := jmupstream.OpenTicks(feed, 20*time.Millisecond)
	for err == nil {
		if err = ticks.Next(); err != nil {
			break
		}
		f.mu.Lock()
		f.ticks++
		f.mu.Unlock()
	}
	f.mu.Lock()
	wasKilled := f.killed[feed.RanAt.Agent.String()]
	f.mu.Unlock()
	if ctx.Err() == nil && !wasKilled {
		f.failf("feed at %s: %v", feed.RanAt, err)
	}
}

// runBooker sends bookings until ctx ends and records their outcomes.
func (f *faultTrial) runBooker(ctx context.Context, number int) {
	caller := f.fleet.NewCaller(f.service)
	defer caller.Close()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("order-%d-%d", number, i)
		request, cancel := context.WithTimeout(context.WithoutCancel(ctx), trialTimeout)
		answer, err := caller.Do(request, client.Request{Body: []byte("BOOK " + id + " 20ms")})
		cancel()
		outcome := jasminemoor.OutcomeAccepted
		var callErr *client.Error
		switch {
		case errors.As(err, &callErr):
			outcome = callErr.Outcome
		case err != nil:
			f.failf("%s: %v", id, err)
			continue
		case !strings.HasPrefix(string(answer.Body), "BOOKED "+id+" "):
			f.failf("%s: answer %q", id, answer.Body)
		}
		f.mu.Lock()
		f.outcomes[id] = outcome
		f.mu.Unlock()
	}
}

// injectFault injects a random fault and returns the function that repairs it.
func (f *faultTrial) injectFault(ctx context.Context) (repair func()) {
	balancer := f.fleet.Layout.Fleet.Balancers[f.rng.IntN(len(f.fleet.Layout.Fleet.Balancers))]
	upstream := f.service.Upstreams[f.rng.IntN(len(f.service.Upstreams))]
	yes, no := true, false
	// Kinds 0 and 1 affect the balancer, and kinds 2 and 3 the agent.
	kind := f.rng.IntN(8)
	if kind < 2 && f.isFaulty(balancer.Name) || kind >= 2 && kind < 4 && f.isFaulty("agent-"+upstream.Name) {
		kind = 6 // the process has a fault already: degrade the fabric instead
	}
	switch kind {
	case 0:
		return f.kill(balancer.Name, func() error { return f.fleet.StartBalancer(balancer) })
	case 1:
		return f.pause(balancer.Name)
	case 2:
		return f.pause("agent-" + upstream.Name)
	case 3:
		f.mu.Lock()
		f.killed[upstream.Agent.String()] = true
		f.mu.Unlock()
		return f.kill("agent-"+upstream.Name, func() error { return f.fleet.StartAgent(upstream) })
	case 4:
		f.recordFault("platform down")
		require.NoError(f.t, f.fleet.ControlPlatform(ctx, jmplatform.Control{IsDown: &yes}))
		return func() { _ = f.fleet.ControlPlatform(ctx, jmplatform.Control{IsDown: &no}) }
	case 5:
		f.recordFault("platform stale")
		require.NoError(f.t, f.fleet.ControlPlatform(ctx, jmplatform.Control{IsStale: &yes}))
		return func() { _ = f.fleet.ControlPlatform(ctx, jmplatform.Control{IsStale: &no}) }
	}
	if kind == 7 {
		f.recordFault("partition of lahore")
		require.NoError(f.t, f.fleet.CutOff("lahore"))
		return func() { _ = f.fleet.CutOff("") }
	}
	f.recordFault("fabric loses, copies and delays")
	bad := jmfabric.Settings{LossShare: 0.05, CopyShare: 0.05, MaxDelay: 8 * time.Millisecond}
	require.NoError(f.t, f.fleet.SetFabric(ctx, f.service, bad))
	return func() { _ = f.fleet.SetFabric(ctx, f.service, jmfabric.Settings{}) }
}

// isFaulty reports whether the other fault of the pair affects the process.
func (f *faultTrial) isFaulty(name string) bool { return f.faulty == name }

// kill kills a process and returns the function that restarts it.
func (f *faultTrial) kill(name string, restart func() error) (repair func()) {
	f.recordFault("kill %s", name)
	f.faulty = name
	f.fleet.Process(name).Kill()
	return func() {
		f.faulty = ""
		require.NoError(f.t, restart())
	}
}

// pause pauses a process and returns the function that resumes it.
func (f *faultTrial) pause(name string) (resume func()) {
	f.recordFault("pause %s", name)
	f.faulty = name
	p := f.fleet.Process(name)
	require.NoError(f.t, p.Pause())
	return func() {
		f.faulty = ""
		_ = p.Resume()
	}
}

func newFaultTrial(t *testing.T, fleet *jmprocess.Fleet, seed uint64) *faultTrial {
	return &faultTrial{
		t:        t,
		fleet:    fleet,
		service:  fleet.Layout.Services[0],
		rng:      rand.New(rand.NewPCG(seed, 3)),
		killed:   make(map[string]bool),
		outcomes: make(map[string]jasminemoor.Outcome),
	}
}

// startLoad starts the feeds and bookers, which end with ctx.
func (f *faultTrial) startLoad(ctx context.Context, wg *sync.WaitGroup) {
	for range trialFeeds {
		wg.Go(func() { f.runFeeds(ctx) })
	}
	for i := range trialBookers {
		wg.Go(func() { f.runBooker(ctx, i) })
	}
}

// run runs the load for faultTime under pairs of overlapping faults, and checks the
// guarantees.
func (f *faultTrial) run(ctx context.Context) {
	load, stop := context.WithTimeout(ctx, *faultTime)
	defer stop()
	var wg sync.WaitGroup
	f.startLoad(load, &wg)
	for load.Err() == nil {
		repairFirst := f.injectFault(ctx)
		time.Sleep(time.Duration(f.rng.IntN(1000)) * time.Millisecond)
		repairSecond := f.injectFault(ctx)
		time.Sleep(time.Duration(500+f.rng.IntN(2000)) * time.Millisecond)
		repairFirst()
		time.Sleep(time.Duration(f.rng.IntN(500)) * time.Millisecond)
		repairSecond()
		time.Sleep(time.Duration(f.rng.IntN(500)) * time.Millisecond)
	}
	wg.Wait()
	f.checkGuarantees(ctx)
}

// checkGuarantees compares the outcomes that callers got with what the upstreams ran.
func (f *faultTrial) checkGuarantees(ctx context.Context) {
	runs, err := f.fleet.Runs(ctx)
	require.NoError(f.t, err)
	counts := make(map[jasminemoor.Outcome]int)
	for id, outcome := range f.outcomes {
		counts[outcome]++
		if runs[id] > 1 {
			f.failf("%s ran %d times", id, runs[id])
		}
		if outcome == jasminemoor.OutcomeAccepted && runs[id] == 0 {
			f.failf("%s was answered but did not run", id)
		}
		if outcome == jasminemoor.OutcomeNotRun && runs[id] > 0 {
			f.failf("%s ran although its outcome is not run", id)
		}
	}
	f.t.Logf("injected faults: %s", strings.Join(f.injected, ", "))
	f.t.Logf("bookings: %d answered, %d not run, %d unknown; %d ticks", counts[jasminemoor.OutcomeAccepted],
		counts[jasminemoor.OutcomeNotRun], counts[jasminemoor.OutcomeUnknown], f.ticks)
	require.Empty(f.t, f.failures)
	require.Positive(f.t, counts[jasminemoor.OutcomeAccepted])
	require.Positive(f.t, f.ticks)
}

// TestTwoFaults runs fault trials over real processes, with up to two faults at a
// time.
func TestTwoFaults(t *testing.T) {
	for i := range *faultSeeds {
		seed := *faultSeed + i
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			fleet := startFleet(t, byte(40+i%100),
				jmlab.ServiceSpec{Team: "rangla", Name: "shop-floor", Weights: []uint32{1, 2, 4}})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout+*faultTime)
			defer cancel()
			f := newFaultTrial(t, fleet, seed)
			f.run(ctx)
		})
	}
}

// TestDataCentreCutOff partitions two data centres from each other for four seconds.
func TestDataCentreCutOff(t *testing.T) {
	fleet := startFleet(t, 25, jmlab.ServiceSpec{Team: "rangla", Name: "shop-floor", Weights: []uint32{1, 1}})
	f := newFaultTrial(t, fleet, 0)
	load, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	f.startLoad(load, &wg)
	time.Sleep(time.Second)
	require.NoError(t, fleet.CutOff("lahore"))
	time.Sleep(4 * time.Second)
	require.NoError(t, fleet.CutOff(""))
	time.Sleep(2 * time.Second)
	stop()
	wg.Wait()
	f.checkGuarantees(t.Context())
}
