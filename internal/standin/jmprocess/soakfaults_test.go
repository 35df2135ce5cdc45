package jmprocess_test

import (
	"context"
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmproxy"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmstore"
)

// strike makes one fault at random and repairs it after a while.
func (s *soak) strike() {
	s.mu.Lock()
	kind, i := s.rng.IntN(11), 1+s.rng.IntN(*soakAgents)
	pause := time.Duration(200+s.rng.IntN(1500)) * time.Millisecond
	storeFault := jmstore.Fault(1 + s.rng.IntN(4))
	pathFault := jmproxy.Fault(1 + s.rng.IntN(int(jmproxy.FaultCount)-1))
	entry := s.rng.IntN(*soakBalancers)
	role, number, place := "agent", soakAgent, i
	if s.rng.IntN(2) == 0 {
		role, number, place = "balancer", soakBalancer, 1+s.rng.IntN(*soakBalancers)
	}
	name := fmt.Sprint(role, "-", place)
	target := name
	switch kind {
	case 4, 5:
		target = fmt.Sprint("upstream-", i)
	case 6, 7, 8:
		target = "store"
	case 9:
		target = "path of " + name
	case 10:
		target = fmt.Sprint("path to balancer ", entry+1)
	}
	if s.busy[target] {
		s.mu.Unlock()
		return
	}
	s.busy[target] = true
	p := s.processes[name]
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.busy, target)
	}()
	switch kind {
	case 0:
		s.note("kill %s for %s", name, pause)
		p.Kill()
		time.Sleep(pause)
		s.run(role, number, place, false)
	case 1:
		s.note("stop %s", name)
		if err := p.Stop(); err != nil {
			s.fault("%s did not stop gracefully: %v", name, err)
		}
		time.Sleep(200 * time.Millisecond)
		s.run(role, number, place, false)
	case 2:
		s.note("pause %s for %s", name, pause)
		_ = p.Pause()
		time.Sleep(pause)
		_ = p.Resume()
	case 3:
		s.note("hup %s", name)
		_ = p.Signal(syscall.SIGHUP)
	case 4:
		s.note("crash upstream %d for %s", i, pause)
		s.mu.Lock()
		old := s.crashes[i-1]
		s.crashes[i-1]++
		s.mu.Unlock()
		s.upstreams[i-1].Crash()
		time.Sleep(pause)
		require.NoError(s.t, s.upstreams[i-1].Start(context.Background()))
		s.register(i, "ready")
		s.store.Remove(fmt.Sprintf("servers/i-%d-%d", i, old))
	case 5:
		s.note("upstream %d leaves for %s", i, pause)
		s.register(i, "draining")
		time.Sleep(pause)
		s.register(i, "ready")
	case 6:
		s.note("store fails in way %d for %s", storeFault, pause)
		s.store.SetFault(netip.Addr{}, storeFault)
		time.Sleep(pause)
		s.store.SetFault(netip.Addr{}, jmstore.FaultNone)
	case 7:
		s.note("store forgets")
		s.store.Forget()
	case 8:
		s.note("new configuration")
		s.publish()
	case 9:
		s.note("path from %s to the store: %s for %s", name, pathFault, pause)
		path := s.storeOf(name, number, place)
		path.Set(pathFault)
		time.Sleep(pause)
		path.Set(jmproxy.Pass)
	case 10:
		s.note("path to balancer %d: %s for %s", entry+1, pathFault, pause)
		s.entries[entry].Set(pathFault)
		time.Sleep(pause)
		s.entries[entry].Set(jmproxy.Pass)
	}
}
