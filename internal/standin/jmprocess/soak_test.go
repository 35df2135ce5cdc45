package jmprocess_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmprocess"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmproxy"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmstore"
)

var (
	soakSeed  = flag.Uint64("soak-seed", 1, "first seed of the fault soak over pass-through flows")
	soakSeeds = flag.Uint64("soak-seeds", 2, "number of seeds that the soak runs")
	soakTime  = flag.Duration("soak-time", 6*time.Second, "how long faults are injected with each seed")
	// The default sizes keep the run in CI short. Larger ones are for runs by hand.
	soakBalancers = flag.Int("soak-balancers", 3, "number of balancers in the soak, 250 at most")
	soakAgents    = flag.Int("soak-agents", 4, "number of agents, each with an upstream, in the soak, 250 at most")
)

// Ports, load and timeouts of the soak.
const (
	soakPeerPort     = 27720
	soakPacketPort   = 28172
	soakReadyPort    = 28167
	soakOutboundPort = 28162
	soakUpstreamPort = 28165
	soakStorePort    = 28169
	soakSlots        = 5 // requests that an upstream runs concurrently
	soakFeeds        = 6 // besides one feed for every four agents
	soakBookers      = 3
	soakDeadline     = 4 * time.Second
	soakLatency      = 150 * time.Millisecond // added by a path with the delay fault
	// processesPerInjector is the number of processes for which one more fault
	// injector runs.
	processesPerInjector = 15
)

// Kinds of address. The kind is the third byte of the address.
const (
	addrBalancer = iota + 1
	addrAgent
	addrCaller
	addrBalancerPath // proxy between the routers and a balancer
	addrStorePath    // proxy between a process and the store; the kind of the process is added
)

// shopAddress is the service address that callers send to.
var shopAddress = netip.MustParseAddrPort("198.18.0.1:8443")

// soak runs balancers and agents as real processes, injects faults by signals and
// through the stand-ins, and checks the guarantees as callers and upstreams see them.
type soak struct {
	seed   uint64
	t      *testing.T
	rng    *rand.Rand
	binary string
	dir    string
	store  *jmstore.Store
	// storeAddress is the host and port of the store.
	storeAddress string
	caller       *jmpackets.Caller
	logs         []*os.File
	work         time.Duration // running time of a request
	// storePaths are the proxies between the processes and the store, by process
	// name. balancerPaths are the proxies between the routers and the balancers.
	storePaths    map[string]*jmproxy.Proxy
	balancerPaths []*jmproxy.Proxy
	// changes are the operator's changes besides the faults; nil for none.
	changes *soakChanges

	mu        sync.Mutex
	processes map[string]*jmprocess.Process
	faulty    map[string]bool // targets that have a fault now
	upstreams []*jmpackets.Upstream
	crashes   []int // number of crashes of each upstream
	// reused are the services of upstreams whose address has gone to another service.
	reused map[int]string
	// born and coldUntil are when each upstream started, and when it has warmed up.
	born, coldUntil []time.Time
	settledAt       time.Time // when the system has been calm for long enough; zero before
	version         int       // of the configuration in the store
	served          int
	unserved        int
	failures        []string // broken guarantees
	injected        []string // log of the injected faults
}

// soakAddr returns the loopback address of the process or stand-in with the number i
// of a kind.
func soakAddr(kind, i, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, jmpackets.Network(), byte(kind), byte(i)}), uint16(port))
}

// failf records a broken guarantee.
func (s *soak) failf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// recordFault adds an injected fault to the log, with the time.
func (s *soak) recordFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injected = append(s.injected, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// publishConfig writes the configuration to the store under a new version.
func (s *soak) publishConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.rng.IntN(3)
	s.putConfig()
}

// putConfig writes the present version to the store. s.mu must be locked, so that
// versions are written in order.
func (s *soak) putConfig() {
	version := s.version
	route := func(port int) map[string]any {
		return map[string]any{
			"name": fmt.Sprint("r-", port), "host": shopAddress.Addr().String(), "prefix": fmt.Sprintf("/%d/", port), "route_type": "idempotent",
			"timeout_ms": 3000, "target_latency_ms": 200, "priority": 2, "service": "shop",
			"split": s.changes.split(),
		}
	}
	// The port of the second route encodes the version, so that a caller can check
	// which version is in force.
	s.store.Put("op/config", map[string]any{
		"version": version, "routes": []any{route(int(shopAddress.Port())), route(10_000 + version)},
		"limits": map[string]any{"idle_timeout_ms": 15000}, "services": s.changes.limits(),
	})
}

// registerUpstream writes the state of upstream i to the store. The ID holds the
// number of crashes, so each restart registers as a new instance.
func (s *soak) registerUpstream(i int, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Put(fmt.Sprintf("servers/i-%d-%d", i, s.crashes[i-1]), map[string]any{
		"service": s.serviceOf(i), "address": soakAddr(addrAgent, i, soakUpstreamPort).String(), "zone": s.changes.dataCentre(i), "max_concurrency": soakSlots, "state": state,
		"version": "v1", "seq": 1, "born": s.born[i-1].UnixMilli(), "cold_left_ms": max(time.Until(s.coldUntil[i-1]), 0).Milliseconds(),
	})
}

// startUpstream starts the next upstream and its agent.
func (s *soak) startUpstream(isFirstStart bool) {
	i := len(s.upstreams) + 1
	u := &jmpackets.Upstream{Address: soakAddr(addrAgent, i, soakUpstreamPort), Outbound: soakAddr(addrAgent, i, soakOutboundPort), Name: fmt.Sprint("shop", i), ServiceTime: s.work}
	require.NoError(s.t, u.Start(context.Background()))
	s.t.Cleanup(u.Crash)
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.crashes = append(s.crashes, 0)
	s.born = append(s.born, time.Now().Add(-time.Minute))
	s.coldUntil = append(s.coldUntil, time.Time{})
	s.mu.Unlock()
	if !isFirstStart {
		s.recordStart(i)
	}
	s.registerUpstream(i, "ready")
	s.startProcess("agent", addrAgent, i, isFirstStart)
}

// serviceOf returns the service of the upstream that has an address now.
func (s *soak) serviceOf(i int) string {
	if name := s.reused[i]; name != "" {
		return name
	}
	return soakService(i)
}

// upstream returns the upstream with a number, from 1 on.
func (s *soak) upstream(i int) *jmpackets.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[i-1]
}

// start starts the store, the upstreams, agents, balancers and the caller, and waits
// until all balancers are ready.
func (s *soak) start() {
	listener, err := net.Listen("tcp", "127.88.0.1:0")
	require.NoError(s.t, err)
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { _ = server.Close() })
	s.storeAddress = listener.Addr().String()
	s.publishConfig()
	for range *soakAgents + s.changes.extraUpstreams() {
		s.startUpstream(true)
	}
	for i := 1; i <= *soakBalancers; i++ {
		s.balancerPaths = append(s.balancerPaths, s.startProxy(soakAddr(addrBalancerPath, i, soakPacketPort), soakAddr(addrBalancer, i, soakPacketPort)))
		s.startProcess("balancer", addrBalancer, i, true)
	}
	s.caller = &jmpackets.Caller{Address: soakAddr(addrCaller, 1, soakPacketPort), Balancers: s.readyBalancers}
	require.NoError(s.t, s.caller.Start())
	s.t.Cleanup(func() { _ = s.caller.Close() })
	require.Eventually(s.t, func() bool { return len(s.readyBalancers()) == *soakBalancers }, 30*time.Second, 20*time.Millisecond)
}

// startProxy starts a proxy that faults can be injected into.
func (s *soak) startProxy(address, target netip.AddrPort) *jmproxy.Proxy {
	p := &jmproxy.Proxy{Address: address, Target: target, Latency: soakLatency}
	require.NoError(s.t, p.Start(context.Background()))
	s.t.Cleanup(p.Close)
	return p
}

// storePath returns the proxy between a process and the store, and starts it at the
// first call.
func (s *soak) storePath(name string, kind, i int) *jmproxy.Proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storePaths[name] == nil {
		s.storePaths[name] = s.startProxy(soakAddr(addrStorePath+kind, i, soakStorePort), netip.MustParseAddrPort(s.storeAddress))
	}
	return s.storePaths[name]
}

// startProcess starts an agent or a balancer. isFirstStart says that the whole system
// starts for the first time.
func (s *soak) startProcess(role string, kind, i int, isFirstStart bool) {
	name := fmt.Sprint(role, "-", i)
	path := s.writeSettings(role, kind, i, isFirstStart)
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(s.t, err)
	p := &jmprocess.Process{Name: name, Args: []string{"passthrough", role, "-settings", path}}
	require.NoError(s.t, p.Start(s.binary, log))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logs = append(s.logs, log)
	s.processes[name] = p
}

// writeSettings writes the settings file of a process, and returns its path.
func (s *soak) writeSettings(role string, kind, i int, isFirstStart bool) (path string) {
	name := fmt.Sprint(role, "-", i)
	settings := jmlocal.Settings{
		Name: name, Address: soakAddr(kind, i, 0).Addr(), DataCentre: s.changes.dataCentre(i), FirstPort: soakPeerPort, LastPort: soakPeerPort + 15,
		Seeds: []netip.AddrPort{soakAddr(addrBalancer, 1, soakPeerPort)}, IsFirstStart: isFirstStart, Packets: soakAddr(kind, i, soakPacketPort),
		Ready: soakAddr(kind, i, soakReadyPort), Platform: jmlocal.Platform{Address: s.storePath(name, kind, i).Address},
	}
	if kind == addrAgent {
		settings.Outbound, settings.Upstream, settings.Service = soakAddr(addrAgent, i, soakOutboundPort), soakAddr(addrAgent, i, soakUpstreamPort), s.serviceOf(i)
	}
	s.changes.apply(&settings)
	text, err := json.Marshal(settings)
	require.NoError(s.t, err)
	path = filepath.Join(s.dir, name+".json")
	require.NoError(s.t, os.WriteFile(path, text, 0o600))
	return path
}

// crashCounts returns the number of crashes of each upstream, by its name.
func (s *soak) crashCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes := make(map[string]int)
	for i, n := range s.crashes {
		crashes[fmt.Sprint("shop", i+1)] = n
	}
	return crashes
}

// run runs the callers under two or more concurrent fault injectors, and then without
// faults.
func (s *soak) run() {
	ctx, cancel := context.WithTimeout(context.Background(), *soakTime)
	defer cancel()
	calls, stop := context.WithCancel(context.Background())
	defer stop()
	s.pollReadiness(calls)
	var callers, injectors sync.WaitGroup
	for i := range soakFeeds + *soakAgents/4 {
		callers.Go(func() { s.runFeed(calls, i) })
	}
	for i := range soakBookers {
		callers.Go(func() { s.runBooker(calls, i) })
	}
	for range 2 + (*soakAgents+*soakBalancers)/processesPerInjector {
		injectors.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(300 * time.Millisecond)
				s.injectFault()
			}
		})
	}
	injectors.Go(func() { s.runChanges(ctx) })
	injectors.Go(func() { s.runRestores(ctx) })
	injectors.Wait()
	s.settle()
	stop()
	callers.Wait()
}

// checkGuarantees checks what callers and upstreams received, and that requests are
// served with the newest configuration after the faults.
func (s *soak) checkGuarantees() {
	for i, u := range s.upstreams {
		if _, broken := u.Counters(); broken > 0 {
			s.failf("upstream %d received %d corrupted packets", i+1, broken)
		}
	}
	runs := make(map[string]int)
	for _, u := range s.upstreams {
		for id, n := range u.Runs() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if n > 1 {
			s.failf("%s ran %d times", id, n)
		}
	}
	if n := s.caller.BadPackets(); n > 0 {
		s.failf("callers received %d corrupted or misdirected packets", n)
	}
	s.checkChanges()
	s.caller.Balancers = s.readyBalancers
	if !eventually(s.servesNewest, 8*time.Second) {
		s.failf("no request is served under the newest configuration 8 s after the faults")
	}
}

// servesNewest reports whether a request is served under the newest configuration.
func (s *soak) servesNewest() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	f, err := s.caller.Open(ctx, netip.AddrPortFrom(shopAddress.Addr(), uint16(10_000+s.version)))
	if err != nil {
		return false
	}
	defer f.Close()
	_, err = f.Do(ctx, fmt.Sprint("end-", time.Now().UnixNano()))
	return err == nil
}

// eventually reports whether the condition holds within the limit.
func eventually(condition func() bool, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if condition() {
			return true
		}
	}
	return false
}

// newSoak returns a soak that is not started yet. Its upstreams run each request
// for the given time.
func newSoak(t *testing.T, seed uint64, binary string, work time.Duration) *soak {
	s := &soak{
		seed: seed,
		t:    t, rng: rand.New(rand.NewPCG(seed, seed)), binary: binary, dir: t.TempDir(), store: &jmstore.Store{}, work: work,
		processes: make(map[string]*jmprocess.Process), faulty: make(map[string]bool), storePaths: make(map[string]*jmproxy.Proxy),
	}
	t.Cleanup(func() {
		for _, p := range s.processes {
			p.Kill()
		}
		for _, log := range s.logs {
			_ = log.Close()
		}
	})
	return s
}

// soakRegressions are the seeds that failed before, each with the cause. A seed
// repeats the sequence of faults, but not the order of packets, as the processes
// race.
var soakRegressions = map[uint64]string{
	1032: "an agent loaded its upstream list before the last upstream registered, asked every agent on the list for the holder, and reset a flow",
	4901: "an agent that started with its cold upstream had no copy of the directory while the store failed, and admitted new flows without a limit",
}

// TestSoak injects random faults while callers send requests, with the seeds of the
// flags and with those of soakRegressions.
func TestSoak(t *testing.T) {
	binary, err := jmprocess.Build(context.Background(), t.TempDir(), false)
	require.NoError(t, err)
	seeds := slices.Sorted(maps.Keys(soakRegressions))
	for seed := *soakSeed; seed < *soakSeed+*soakSeeds; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSoak(t, seed, binary, 10*time.Millisecond)
			s.changes = newSoakChanges(seed)
			s.start()
			s.run()
			s.checkGuarantees()
			t.Logf("%d requests served, %d failed, faults injected: %s", s.served, s.unserved, strings.Join(s.injected, "; "))
			if len(s.failures) > 0 {
				s.keepLogs()
			}
			require.Empty(t, s.failures)
			require.Greater(t, s.served, s.unserved)
		})
	}
}

// keepLogs copies the logs of the processes to a directory that is kept after the
// test.
func (s *soak) keepLogs() {
	dir, err := os.MkdirTemp("", "soak-")
	require.NoError(s.t, err)
	require.NoError(s.t, os.CopyFS(dir, os.DirFS(s.dir)))
	s.t.Logf("logs copied to %s", dir)
}
