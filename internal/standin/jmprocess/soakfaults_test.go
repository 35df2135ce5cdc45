package jmprocess_test

import (
	"context"
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmprocess"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmproxy"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmstore"
)

// Kinds of fault that the soak draws.
const (
	strikeKill = iota
	strikeStop
	strikePause
	strikeHup
	strikeCrash // an upstream
	strikeLeave // an upstream
	strikeStore
	strikeForget
	strikePublish
	strikeStorePath
	strikeEntryPath
	strikeKinds
)

// strike is one fault, drawn at random.
type strike struct {
	kind  int
	pause time.Duration
	// upstream is the number of an upstream, and entry the index of a path to a balancer.
	upstream, entry int
	// role, address and place say which process, and name is its name.
	role           string
	address, place int
	name           string
	store          jmstore.Fault
	path           jmproxy.Fault
}

// target returns what the fault is at. Only one fault at a time is at a target.
func (f *strike) target() string {
	switch f.kind {
	case strikeCrash, strikeLeave:
		return fmt.Sprint("upstream-", f.upstream)
	case strikeStore, strikeForget, strikePublish:
		return "store"
	case strikeStorePath:
		return "path of " + f.name
	case strikeEntryPath:
		return fmt.Sprint("path to balancer ", f.entry+1)
	}
	return f.name
}

// draw draws a fault.
func (s *soak) draw() *strike {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &strike{
		kind: s.rng.IntN(strikeKinds), upstream: 1 + s.rng.IntN(*soakAgents),
		pause: time.Duration(200+s.rng.IntN(1500)) * time.Millisecond,
		store: jmstore.Fault(1 + s.rng.IntN(4)), path: jmproxy.Fault(1 + s.rng.IntN(int(jmproxy.FaultCount)-1)),
		entry: s.rng.IntN(*soakBalancers),
	}
	f.role, f.address, f.place = "agent", soakAgent, f.upstream
	if s.rng.IntN(2) == 0 {
		f.role, f.address, f.place = "balancer", soakBalancer, 1+s.rng.IntN(*soakBalancers)
	}
	f.name = fmt.Sprint(f.role, "-", f.place)
	return f
}

// strike makes one fault at random and repairs it after a while.
func (s *soak) strike() {
	f := s.draw()
	target := f.target()
	s.mu.Lock()
	isBusy := s.busy[target]
	s.busy[target] = true
	p := s.processes[f.name]
	s.mu.Unlock()
	if isBusy {
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.busy, target)
	}()
	switch f.kind {
	case strikeKill, strikeStop, strikePause, strikeHup:
		s.strikeProcess(f, p)
	case strikeCrash, strikeLeave:
		s.strikeUpstream(f)
	case strikeStorePath:
		s.note("path from %s to the store: %s for %s", f.name, f.path, f.pause)
		strikePath(s.storeOf(f.name, f.address, f.place), f)
	case strikeEntryPath:
		s.note("path to balancer %d: %s for %s", f.entry+1, f.path, f.pause)
		strikePath(s.entries[f.entry], f)
	default:
		s.strikeStore(f)
	}
}

func (s *soak) strikeProcess(f *strike, p *jmprocess.Process) {
	switch f.kind {
	case strikeKill:
		s.note("kill %s for %s", f.name, f.pause)
		p.Kill()
		time.Sleep(f.pause)
		s.run(f.role, f.address, f.place, false)
	case strikeStop:
		s.note("stop %s", f.name)
		if err := p.Stop(); err != nil {
			s.fault("%s did not stop gracefully: %v", f.name, err)
		}
		time.Sleep(200 * time.Millisecond)
		s.run(f.role, f.address, f.place, false)
	case strikePause:
		s.note("pause %s for %s", f.name, f.pause)
		_ = p.Pause()
		time.Sleep(f.pause)
		_ = p.Resume()
	case strikeHup:
		s.note("hup %s", f.name)
		_ = p.Signal(syscall.SIGHUP)
	}
}

func (s *soak) strikeUpstream(f *strike) {
	i := f.upstream
	if f.kind == strikeLeave {
		s.note("upstream %d leaves for %s", i, f.pause)
		s.register(i, "draining")
		time.Sleep(f.pause)
		s.register(i, "ready")
		return
	}
	s.note("crash upstream %d for %s", i, f.pause)
	s.mu.Lock()
	old := s.crashes[i-1]
	s.crashes[i-1]++
	s.mu.Unlock()
	s.upstreams[i-1].Crash()
	time.Sleep(f.pause)
	require.NoError(s.t, s.upstreams[i-1].Start(context.Background()))
	s.register(i, "ready")
	s.store.Remove(fmt.Sprintf("servers/i-%d-%d", i, old))
}

func (s *soak) strikeStore(f *strike) {
	switch f.kind {
	case strikeStore:
		s.note("store fails in way %d for %s", f.store, f.pause)
		s.store.SetFault(netip.Addr{}, f.store)
		time.Sleep(f.pause)
		s.store.SetFault(netip.Addr{}, jmstore.FaultNone)
	case strikeForget:
		s.note("store forgets")
		s.store.Forget()
	case strikePublish:
		s.note("new configuration")
		s.publish()
	}
}

func strikePath(path *jmproxy.Proxy, f *strike) {
	path.Set(f.path)
	time.Sleep(f.pause)
	path.Set(jmproxy.Pass)
}
