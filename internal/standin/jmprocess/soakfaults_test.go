package jmprocess_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmprocess"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmproxy"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmstore"
)

// Kinds of fault that the soak injects.
const (
	faultKill = iota
	faultStop
	faultPause
	faultReload // SIGHUP
	faultUpstreamCrash
	faultUpstreamDrain
	faultStore        // the store fails calls
	faultStoreHistory // the store drops its history
	faultConfig       // a new version of the configuration
	faultStorePath
	faultBalancerPath
	faultKinds
)

// fault is one fault, drawn at random. Its kind says which fields are used.
type fault struct {
	kind     int
	duration time.Duration
	// upstream is the number of an upstream, from 1 on. balancerPath is an index
	// into soak.balancerPaths.
	upstream, balancerPath int
	// role, addrKind, number and process identify a process: process is its name.
	role             string
	addrKind, number int
	process          string
	store            jmstore.Fault
	path             jmproxy.Fault
}

// target returns what the fault affects. A target has only one fault at a time.
func (f *fault) target() string {
	switch f.kind {
	case faultUpstreamCrash, faultUpstreamDrain:
		return fmt.Sprint("upstream-", f.upstream)
	case faultStore, faultStoreHistory, faultConfig:
		return "store"
	case faultStorePath:
		return "path of " + f.process
	case faultBalancerPath:
		return fmt.Sprint("path to balancer ", f.balancerPath+1)
	}
	return f.process
}

// drawFault draws a fault at random.
func (s *soak) drawFault() *fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &fault{
		kind: s.rng.IntN(faultKinds), upstream: 1 + s.rng.IntN(*soakAgents),
		duration: time.Duration(200+s.rng.IntN(1500)) * time.Millisecond,
		store:    jmstore.Fault(1 + s.rng.IntN(4)), path: jmproxy.Fault(1 + s.rng.IntN(int(jmproxy.FaultCount)-1)),
		balancerPath: s.rng.IntN(*soakBalancers),
	}
	f.role, f.addrKind, f.number = "agent", addrAgent, f.upstream
	if s.rng.IntN(2) == 0 {
		f.role, f.addrKind, f.number = "balancer", addrBalancer, 1+s.rng.IntN(*soakBalancers)
	}
	f.process = fmt.Sprint(f.role, "-", f.number)
	return f
}

// injectFault injects a random fault and repairs it after its duration. It does
// nothing if the target has a fault already.
func (s *soak) injectFault() {
	f := s.drawFault()
	target := f.target()
	s.mu.Lock()
	isFaulty := s.faulty[target]
	s.faulty[target] = true
	p := s.processes[f.process]
	s.mu.Unlock()
	if isFaulty {
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.faulty, target)
	}()
	switch f.kind {
	case faultKill, faultStop, faultPause, faultReload:
		s.injectProcessFault(f, p)
	case faultUpstreamCrash, faultUpstreamDrain:
		s.injectUpstreamFault(f)
	case faultStorePath:
		s.recordFault("path from %s to the store: %s for %s", f.process, f.path, f.duration)
		injectPathFault(s.storePath(f.process, f.addrKind, f.number), f)
	case faultBalancerPath:
		s.recordFault("path to balancer %d: %s for %s", f.balancerPath+1, f.path, f.duration)
		injectPathFault(s.balancerPaths[f.balancerPath], f)
	default:
		s.injectStoreFault(f)
	}
}

func (s *soak) injectProcessFault(f *fault, p *jmprocess.Process) {
	switch f.kind {
	case faultKill:
		s.recordFault("kill %s for %s", f.process, f.duration)
		p.Kill()
		time.Sleep(f.duration)
		s.startProcess(f.role, f.addrKind, f.number, false)
	case faultStop:
		s.recordFault("stop %s", f.process)
		if err := p.Stop(); err != nil {
			s.failf("%s did not stop gracefully: %v", f.process, err)
		}
		time.Sleep(200 * time.Millisecond)
		s.startProcess(f.role, f.addrKind, f.number, false)
	case faultPause:
		s.recordFault("pause %s for %s", f.process, f.duration)
		_ = p.Pause()
		time.Sleep(f.duration)
		_ = p.Resume()
	case faultReload:
		s.recordFault("SIGHUP to %s", f.process)
		_ = p.Signal(syscall.SIGHUP)
	}
}

func (s *soak) injectUpstreamFault(f *fault) {
	i := f.upstream
	if f.kind == faultUpstreamDrain {
		s.recordFault("upstream %d drains for %s", i, f.duration)
		s.registerUpstream(i, "draining")
		time.Sleep(f.duration)
		s.registerUpstream(i, "ready")
		return
	}
	s.recordFault("crash upstream %d for %s", i, f.duration)
	s.mu.Lock()
	old := s.crashes[i-1]
	s.crashes[i-1]++
	s.mu.Unlock()
	s.upstream(i).Crash()
	time.Sleep(f.duration)
	s.recordStart(i)
	require.NoError(s.t, s.upstream(i).Start(context.Background()))
	s.registerUpstream(i, "ready")
	s.store.Remove(fmt.Sprintf("servers/i-%d-%d", i, old))
}

func (s *soak) injectStoreFault(f *fault) {
	switch f.kind {
	case faultStore:
		s.recordFault("store fault %d for %s", f.store, f.duration)
		s.store.SetFault(netip.Addr{}, f.store)
		time.Sleep(f.duration)
		s.store.SetFault(netip.Addr{}, jmstore.FaultNone)
	case faultStoreHistory:
		s.recordFault("store drops its history")
		s.store.DropHistory()
	case faultConfig:
		s.recordFault("new configuration version")
		s.publishConfig()
	}
}

func injectPathFault(path *jmproxy.Proxy, f *fault) {
	path.Set(f.path)
	time.Sleep(f.duration)
	path.Set(jmproxy.Pass)
}

// runRestores restores the store from a copy again and again, if the seed is odd. The faults
// have other random numbers, so that a seed keeps them. Owners write what was lost again.
func (s *soak) runRestores(ctx context.Context) {
	if s.seed%2 == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(s.seed, 3))
	for ctx.Err() == nil {
		backup := s.store.Backup()
		time.Sleep(time.Duration(1000+rng.IntN(4000)) * time.Millisecond)
		s.recordFault("store restored from a copy")
		lost := s.store.Restore(backup)
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		s.store.Rewrite(backup, lost)
	}
}
