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
	faultSeeds = flag.Uint64("fault-seeds", 2, "how many seeds the fault trials run with")
	faultTime  = flag.Duration("fault-time", 10*time.Second, "how long each fault trial lasts")
)

const (
	trialFeeds   = 8
	trialBookers = 4
	trialTimeout = 8 * time.Second
)

// faultTrial runs feeds and bookings while parts fail, two at a time.
type faultTrial struct {
	t       *testing.T
	fleet   *jmprocess.Fleet
	service *jmtree.Service
	rng     *rand.Rand

	mu       sync.Mutex
	killed   map[string]bool // agents that were killed, by address
	outcomes map[string]jasminemoor.Outcome
	faults   []string
	ticks    int
	log      []string
	busy     string // the process that the first fault of a pair is at
}

func (f *faultTrial) fault(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

func (f *faultTrial) note(format string, args ...any) {
	f.log = append(f.log, fmt.Sprintf(format, args...))
}

// watch keeps a feed open, and opens a new one after one at a killed agent.
func (f *faultTrial) watch(ctx context.Context) {
	caller := f.fleet.NewCaller(f.service)
	defer caller.Close()
	for ctx.Err() == nil {
		feed, err := caller.OpenFeed(ctx)
		if err != nil {
			continue
		}
		f.read(ctx, feed)
	}
}

func (f *faultTrial) read(ctx context.Context, feed *client.Feed) {
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
		f.fault("feed at %s: %v", feed.RanAt, err)
	}
}

func (f *faultTrial) book(ctx context.Context, number int) {
	caller := f.fleet.NewCaller(f.service)
	defer caller.Close()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("order-%d-%d", number, i)
		request, cancel := context.WithTimeout(context.WithoutCancel(ctx), trialTimeout)
		answer, err := caller.Do(request, client.Request{Body: []byte("BOOK " + id + " 20ms")})
		cancel()
		outcome := jasminemoor.OutcomeAccepted
		var refusal *client.Error
		switch {
		case errors.As(err, &refusal):
			outcome = refusal.Outcome
		case err != nil:
			f.fault("%s: %v", id, err)
			continue
		case !strings.HasPrefix(string(answer.Body), "BOOKED "+id+" "):
			f.fault("%s: answer %q", id, answer.Body)
		}
		f.mu.Lock()
		f.outcomes[id] = outcome
		f.mu.Unlock()
	}
}

// disturb does one fault and returns its repair.
func (f *faultTrial) disturb(ctx context.Context) (repair func()) {
	balancer := f.fleet.Layout.Fleet.Balancers[f.rng.IntN(len(f.fleet.Layout.Fleet.Balancers))]
	upstream := f.service.Upstreams[f.rng.IntN(len(f.service.Upstreams))]
	yes, no := true, false
	kind := f.rng.IntN(8)
	if kind < 2 && f.isBusy(balancer.Name) || kind >= 2 && kind < 4 && f.isBusy("agent-"+upstream.Name) {
		kind = 6
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
		f.note("platform down")
		require.NoError(f.t, f.fleet.ControlPlatform(ctx, jmplatform.Control{IsDown: &yes}))
		return func() { _ = f.fleet.ControlPlatform(ctx, jmplatform.Control{IsDown: &no}) }
	case 5:
		f.note("platform stale")
		require.NoError(f.t, f.fleet.ControlPlatform(ctx, jmplatform.Control{IsStale: &yes}))
		return func() { _ = f.fleet.ControlPlatform(ctx, jmplatform.Control{IsStale: &no}) }
	}
	if kind == 7 {
		f.note("cut off lahore")
		require.NoError(f.t, f.fleet.CutOff("lahore"))
		return func() { _ = f.fleet.CutOff("") }
	}
	f.note("bad fabric")
	bad := jmfabric.Settings{LossShare: 0.05, CopyShare: 0.05, MaxDelay: 8 * time.Millisecond}
	require.NoError(f.t, f.fleet.SetFabric(ctx, f.service, bad))
	return func() { _ = f.fleet.SetFabric(ctx, f.service, jmfabric.Settings{}) }
}

// isBusy reports whether the other fault of the pair is at the same process.
func (f *faultTrial) isBusy(name string) bool { return f.busy == name }

func (f *faultTrial) kill(name string, restart func() error) (repair func()) {
	f.note("kill %s", name)
	f.busy = name
	f.fleet.Process(name).Kill()
	return func() {
		f.busy = ""
		require.NoError(f.t, restart())
	}
}

func (f *faultTrial) pause(name string) (resume func()) {
	f.note("pause %s", name)
	f.busy = name
	p := f.fleet.Process(name)
	require.NoError(f.t, p.Pause())
	return func() {
		f.busy = ""
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

func (f *faultTrial) startLoad(ctx context.Context, wg *sync.WaitGroup) {
	for range trialFeeds {
		wg.Go(func() { f.watch(ctx) })
	}
	for i := range trialBookers {
		wg.Go(func() { f.book(ctx, i) })
	}
}

func (f *faultTrial) run(ctx context.Context) {
	load, stop := context.WithTimeout(ctx, *faultTime)
	defer stop()
	var wg sync.WaitGroup
	f.startLoad(load, &wg)
	for load.Err() == nil {
		first := f.disturb(ctx)
		time.Sleep(time.Duration(f.rng.IntN(1000)) * time.Millisecond)
		second := f.disturb(ctx)
		time.Sleep(time.Duration(500+f.rng.IntN(2000)) * time.Millisecond)
		first()
		time.Sleep(time.Duration(f.rng.IntN(500)) * time.Millisecond)
		second()
		time.Sleep(time.Duration(f.rng.IntN(500)) * time.Millisecond)
	}
	wg.Wait()
	f.judge(ctx)
}

func (f *faultTrial) judge(ctx context.Context) {
	runs, err := f.fleet.Runs(ctx)
	require.NoError(f.t, err)
	counts := make(map[jasminemoor.Outcome]int)
	for id, outcome := range f.outcomes {
		counts[outcome]++
		if runs[id] > 1 {
			f.fault("%s ran %d times", id, runs[id])
		}
		if outcome == jasminemoor.OutcomeAccepted && runs[id] == 0 {
			f.fault("%s was answered and did not run", id)
		}
		if outcome == jasminemoor.OutcomeNotRun && runs[id] > 0 {
			f.fault("%s is said not to have run, and did", id)
		}
	}
	f.t.Logf("faults: %s", strings.Join(f.log, ", "))
	f.t.Logf("bookings: %d answered, %d not run, %d unknown; %d ticks", counts[jasminemoor.OutcomeAccepted],
		counts[jasminemoor.OutcomeNotRun], counts[jasminemoor.OutcomeUnknown], f.ticks)
	require.Empty(f.t, f.faults)
	require.Positive(f.t, counts[jasminemoor.OutcomeAccepted])
	require.Positive(f.t, f.ticks)
}

// TestTwoFaults runs the fault trials over real processes.
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

// TestDataCentreCutOff cuts one of two data centres off for four seconds.
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
	f.judge(t.Context())
}
