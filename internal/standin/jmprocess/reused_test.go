package jmprocess_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmprocess"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmproxy"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmstore"
)

var (
	reuseSeed  = flag.Uint64("reuse-seed", 1, "first seed of the test of reused addresses")
	reuseSeeds = flag.Uint64("reuse-seeds", 1, "number of seeds of the test of reused addresses")
)

// reuse has the address of an upstream go to one of another service.
type reuse struct {
	at int // number of the upstream
	// outlives is set if the agent of the former upstream keeps running, with new settings.
	outlives bool
	// Delays: from the crash until the next upstream listens, from then until its agent starts,
	// and from then until it registers.
	empty, agentAfter, registerAfter time.Duration
	fault                            string // one of reuseFaults
	faultTime                        time.Duration
}

// reuseFaults are the names of the faults beside a reuse, without which they are "".
var reuseFaults = []string{"", "store resets", "store silent", "store refuses", "store slow", "store silent for the instance", "balancers suspended", "others killed"}

func newReuse(rng *rand.Rand, at int) *reuse {
	upTo := func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(limit))) }
	return &reuse{
		at: at, outlives: rng.IntN(4) == 0, empty: upTo(2500 * time.Millisecond), agentAfter: upTo(400 * time.Millisecond),
		registerAfter: upTo(1500 * time.Millisecond), fault: reuseFaults[rng.IntN(len(reuseFaults))], faultTime: upTo(5 * time.Second),
	}
}

func (r *reuse) String() string {
	return fmt.Sprintf("address %d: agent outlives its upstream: %t, next one after %s, its agent after %s, registers after %s, %q for %s",
		r.at, r.outlives, r.empty, r.agentAfter, r.registerAfter, r.fault, r.faultTime)
}

// beginFault begins the fault beside a reuse, and returns the function that ends it.
func (s *soak) beginFault(r *reuse) (end func()) {
	setFault := func(from netip.Addr, f jmstore.Fault) func() {
		s.store.SetFault(from, f)
		return func() { s.store.SetFault(from, jmstore.FaultNone) }
	}
	switch r.fault {
	case "store resets":
		return setFault(netip.Addr{}, jmstore.FaultReset)
	case "store silent":
		return setFault(netip.Addr{}, jmstore.FaultSilent)
	case "store refuses":
		return setFault(netip.Addr{}, jmstore.FaultUnavailable)
	case "store slow":
		s.store.SetDelay(300 * time.Millisecond)
		return func() { s.store.SetDelay(0) }
	case "store silent for the instance":
		path := s.storePath(fmt.Sprint("agent-", r.at), addrAgent, r.at)
		path.Set(jmproxy.Silence)
		return func() { path.Set(jmproxy.Pass) }
	case "balancers suspended":
		for i := 1; i <= *soakBalancers; i++ {
			_ = s.process("balancer", i).Pause()
		}
		return func() {
			for i := 1; i <= *soakBalancers; i++ {
				_ = s.process("balancer", i).Resume()
			}
		}
	case "others killed":
		return func() { s.restartOthers(r.at) }
	}
	return func() {}
}

func (s *soak) process(role string, i int) *jmprocess.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[fmt.Sprint(role, "-", i)]
}

// restartOthers kills and starts the balancers and the agents beside all upstreams but one.
func (s *soak) restartOthers(at int) {
	for i := 1; i <= *soakBalancers; i++ {
		s.process("balancer", i).Kill()
		s.startProcess("balancer", addrBalancer, i, false)
	}
	for i := 1; i <= *soakAgents; i++ {
		if i != at {
			s.process("agent", i).Kill()
			s.startProcess("agent", addrAgent, i, false)
		}
	}
}

// reuseAddress has an address go to an upstream of the desk, which listens before its agent
// starts. The entry of the former one is there until it lapses.
func (s *soak) reuseAddress(r *reuse) (next *jmpackets.Upstream) {
	const lapse, calm = 3600 * time.Millisecond, time.Second
	end, ended := s.beginFault(r), make(chan struct{})
	time.AfterFunc(r.faultTime, func() {
		end()
		close(ended)
	})
	crashed := time.Now()
	s.upstream(r.at).Crash()
	if !r.outlives {
		s.process("agent", r.at).Kill()
	}
	time.Sleep(r.empty)
	s.mu.Lock()
	s.reused[r.at] = soakServices[1]
	s.mu.Unlock()
	s.writeSettings("agent", addrAgent, r.at, false)
	next = &jmpackets.Upstream{
		Address: soakAddr(addrAgent, r.at, soakUpstreamPort), Outbound: soakAddr(addrAgent, r.at, soakOutboundPort),
		Name: fmt.Sprint("next-", r.at), ServiceTime: s.work,
	}
	require.NoError(s.t, next.Start(s.t.Context()))
	s.t.Cleanup(next.Crash)
	time.Sleep(r.agentAfter)
	if !r.outlives {
		s.startProcess("agent", addrAgent, r.at, false)
	}
	time.Sleep(r.registerAfter)
	s.mu.Lock()
	s.crashes[r.at-1]++
	s.born[r.at-1] = time.Now()
	s.mu.Unlock()
	s.registerUpstream(r.at, "ready")
	time.Sleep(time.Until(crashed.Add(lapse)))
	s.store.Remove(fmt.Sprintf("servers/i-%d-0", r.at))
	<-ended
	time.Sleep(calm)
	return next
}

// openFlows opens flows of the shop with a request each, until ctx ends, and counts the requests
// that were answered and those that were not.
func (s *soak) openFlows(ctx context.Context, caller int) (served, failed int) {
	for i := 0; ctx.Err() == nil; i++ {
		if err := s.bookOnce(ctx, fmt.Sprintf("shop-%d-%d", caller, i)); err == nil {
			served++
			continue
		}
		failed++
		time.Sleep(50 * time.Millisecond)
	}
	return served, failed
}

func (s *soak) bookOnce(ctx context.Context, request string) error {
	ctx, cancel := context.WithTimeout(ctx, 1400*time.Millisecond)
	defer cancel()
	f, err := s.caller.Open(ctx, shopAddress)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.Do(ctx, request)
	return err
}

// TestReusedAddresses has the addresses of three upstreams in turn go to another service, beside
// faults of the store and of processes. No request may run there: an agent that had no copy of
// the directory once passed on what balancers with an old list sent it (review/1).
func TestReusedAddresses(t *testing.T) {
	binary, err := jmprocess.Build(context.Background(), t.TempDir(), false)
	require.NoError(t, err)
	for seed := *reuseSeed; seed < *reuseSeed+*reuseSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { testReusedAddresses(t, binary, seed) })
	}
}

func testReusedAddresses(t *testing.T, binary string, seed uint64) {
	const callerCount = 8
	rng := rand.New(rand.NewPCG(seed, seed))
	s := newSoak(t, seed, binary, 5*time.Millisecond)
	s.changes, s.reused = newSoakChanges(seed), make(map[int]string)
	s.changes.hasShares = false
	s.start()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s.pollReadiness(ctx)
	var callers sync.WaitGroup
	var served, failed atomic.Int64
	for caller := range callerCount {
		callers.Go(func() {
			answered, unanswered := s.openFlows(ctx, caller)
			served.Add(int64(answered))
			failed.Add(int64(unanswered))
		})
	}
	wrong := 0
	var nexts []*jmpackets.Upstream
	for at := 1; at < *soakAgents; at++ {
		r := newReuse(rng, at)
		t.Log(r)
		nexts = append(nexts, s.reuseAddress(r))
	}
	stop()
	callers.Wait()
	for _, next := range nexts {
		wrong += len(next.Runs())
	}
	t.Logf("%d served, %d failed", served.Load(), failed.Load())
	if wrong > 0 {
		s.keepLogs()
	}
	require.Zero(t, wrong, "requests of the shop that ran at the desk")
	require.Greater(t, served.Load(), 2*failed.Load())
}
