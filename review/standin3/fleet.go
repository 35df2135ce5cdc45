// Command standin3 plays the scripted cases of the third review: it starts the programs of the
// deploy file as separate processes, with stand-ins of the platform, of upstreams and of
// callers, and checks one rule of the users' pages by what these have seen.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmprocess"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmstore"
)

// Ports, the same on all machines.
const (
	portPackets  = 8172
	portOutbound = 8173
	portReady    = 8167
	portControl  = 8166
	portPeers    = 7720
	portApp      = 8360
	portStore    = 8169
)

// Figures of the small deployments.
const (
	heartbeat   = 1200 * time.Millisecond
	flowMaxAge  = "60s"
	drainTime   = 3 * time.Second // drain_ms
	graceTime   = 6 * time.Second // grace_s
	slots       = 5
	maxSeeds    = 3
	dirMode     = 0o700
	fileMode    = 0o600
	readyLimit  = 15 * time.Second
	stable      = 4 * time.Second // stable_window_ms
	idleTimeout = 15000           // idle_timeout_ms, in milliseconds
)

// Third bytes of the addresses.
const (
	kindBalancer = 10
	kindAgent    = 20
	kindClient   = 50
	kindRoute    = 60
	kindStore    = 100 // and that of the machine
)

// machine is one process of the fleet with the addresses of its machine.
type machine struct {
	name    string
	addr    netip.Addr
	store   netip.Addr // at which it reaches the platform's store
	isAgent bool
	service string
	process *jmprocess.Process
	log     *os.File

	upstream *upstream
	id       string // of the upstream's entry
	seq      int
	born     time.Time
	count    int        // of the upstreams that came after the first one
	mu       sync.Mutex // guards upstream, id, seq, born and state
	state    string     // of the upstream's entry
}

// fleet is a small deployment.
type fleet struct {
	dir      string
	binary   string
	record   *record
	store    jmstore.Store
	machines []*machine
	seeds    []netip.AddrPort
	version  uint64
	closers  []func()
	restarts sync.WaitGroup
}

func (f *fleet) ip(kind, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, jmpackets.Network(), kind, n})
}

// add adds a machine that is not started yet.
func (f *fleet) add(name string, kind, n byte, service string) {
	m := &machine{
		name: name, addr: f.ip(kind, n), store: f.ip(kind+kindStore, n), isAgent: service != "", service: service,
		id: "i-" + name,
	}
	f.machines = append(f.machines, m)
	if !m.isAgent && len(f.seeds) < maxSeeds {
		f.seeds = append(f.seeds, netip.AddrPortFrom(m.addr, portControl))
	}
}

// listenStore has the store serve a machine at an address of its own.
func (f *fleet) listenStore(ctx context.Context, m *machine) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", netip.AddrPortFrom(m.store, portStore).String())
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: heartbeat, Handler: &f.store}
	go func() { _ = server.Serve(l) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	return nil
}

// settings returns the settings file of a machine, as the template of the deploy file has it.
func (f *fleet) settings(m *machine, isFirst bool) map[string]any {
	s := map[string]any{
		"Name": m.name, "Address": m.addr, "DataCentre": "a", "FirstPort": portPeers, "LastPort": portPeers + 15,
		"Seeds": f.seeds, "IsFirstStart": isFirst, "MaxFlowAge": flowMaxAge, "DrainTime": drainTime.String(),
		"Packets": netip.AddrPortFrom(m.addr, portPackets), "Ready": netip.AddrPortFrom(m.addr, portReady),
		"Operator": netip.AddrPortFrom(m.addr, 9464),
		"Platform": map[string]any{"Address": netip.AddrPortFrom(m.store, portStore)},
	}
	if m.isAgent {
		s["Outbound"] = netip.AddrPortFrom(m.addr, portOutbound)
		s["Upstream"] = netip.AddrPortFrom(m.addr, portApp)
		s["Service"] = m.service
	}
	return s
}

func (f *fleet) writeSettings(m *machine, isFirst bool) (path string, err error) {
	path = filepath.Join(f.dir, m.name+".json")
	text, err := json.Marshal(f.settings(m, isFirst))
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, text, fileMode)
}

// startProcess starts the process of a machine.
func (f *fleet) startProcess(m *machine, isFirst bool) (err error) {
	path, err := f.writeSettings(m, isFirst)
	if err != nil {
		return err
	}
	if m.log == nil {
		m.log, err = os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
		if err != nil {
			return err
		}
	}
	role := "balancer"
	if m.isAgent {
		role = "agent"
	}
	m.process = &jmprocess.Process{Name: m.name, Args: []string{"passthrough", role, "-settings", path}}
	return m.process.Start(f.binary, m.log)
}

// startUpstream starts the upstream of a machine and registers it.
func (f *fleet) startUpstream(ctx context.Context, m *machine) error {
	if err := f.runUpstream(ctx, m, "b-"+m.name); err != nil {
		return err
	}
	go f.beat(ctx, m)
	return nil
}

// runUpstream starts an upstream of a machine and writes its entry.
func (f *fleet) runUpstream(ctx context.Context, m *machine, name string) error {
	u := &upstream{
		address: netip.AddrPortFrom(m.addr, portApp), outbound: netip.AddrPortFrom(m.addr, portOutbound),
		name: name, record: f.record,
	}
	if err := u.start(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	m.upstream, m.born = u, time.Now()
	m.mu.Unlock()
	f.setState(m, stateReady)
	return nil
}

// replaceUpstream starts another upstream at a machine whose former one has ended, and its agent.
func (f *fleet) replaceUpstream(ctx context.Context, m *machine) error {
	m.mu.Lock()
	m.count++
	m.id = fmt.Sprintf("i-%s-%d", m.name, m.count)
	m.mu.Unlock()
	if err := f.runUpstream(ctx, m, fmt.Sprintf("b-%s-%d", m.name, m.count)); err != nil {
		return err
	}
	return f.startProcess(m, false)
}

// current returns the upstream of a machine.
func (m *machine) current() *upstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.upstream
}

// States of an upstream's entry.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = ""
)

// setState writes the entry of an upstream with a state, or removes it.
func (f *fleet) setState(m *machine, state string) {
	m.mu.Lock()
	m.state = state
	m.mu.Unlock()
	if state == stateGone {
		f.store.Remove("servers/" + m.id)
		return
	}
	f.register(m)
}

// register writes the entry of an upstream, which is its heartbeat.
func (f *fleet) register(m *machine) {
	m.mu.Lock()
	if m.state == stateGone {
		m.mu.Unlock()
		return
	}
	m.seq++
	id, value := m.id, map[string]any{
		"service": m.service, "address": netip.AddrPortFrom(m.addr, portApp), "zone": "a", "version": "1",
		"max_concurrency": slots, "state": m.state, "cold_left_ms": 0, "seq": m.seq, "born": m.born.UnixMilli(),
	}
	m.mu.Unlock()
	f.store.Put("servers/"+id, value)
}

// beat writes the heartbeats of an upstream until ctx ends. Those of different upstreams come at
// different times.
func (f *fleet) beat(ctx context.Context, m *machine) {
	time.Sleep(rand.N(heartbeat))
	for ctx.Err() == nil {
		f.register(m)
		time.Sleep(heartbeat)
	}
}

// route is a route of the configuration.
type route struct {
	addr    netip.AddrPort
	service string
}

// configure writes a configuration, which is confirmed when it returns.
func (f *fleet) configure(routes []route, services ...string) (version uint64) {
	f.version += 2 + f.version%3
	list := make([]map[string]any, 0, len(routes))
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": "r" + r.addr.String(), "host": r.addr.Addr(), "prefix": fmt.Sprintf("/%d/", r.addr.Port()), "service": r.service,
			"route_type": "idempotent", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 1,
		})
	}
	named := make([]map[string]any, 0, len(services))
	for _, s := range services {
		named = append(named, map[string]any{"name": s})
	}
	f.store.Put("op/config", map[string]any{
		"version": f.version, "routes": list, "services": named, "limits": map[string]any{"idle_timeout_ms": idleTimeout},
	})
	return f.version
}

// start starts the stand-ins and the process of a machine.
func (f *fleet) start(ctx context.Context, m *machine, isFirst bool) error {
	if err := f.listenStore(ctx, m); err != nil {
		return err
	}
	if m.isAgent {
		if err := f.startUpstream(ctx, m); err != nil {
			return err
		}
	}
	return f.startProcess(m, isFirst)
}

// killFor ends a process with SIGKILL, and starts it again after a time.
func (f *fleet) killFor(m *machine, down time.Duration) {
	f.record.line("%s gets SIGKILL", m.name)
	m.process.Kill()
	f.restarts.Go(func() {
		time.Sleep(down)
		if err := f.startProcess(m, false); err != nil {
			f.record.line("%s: %v", m.name, err)
		}
		f.record.line("%s is started again", m.name)
	})
}

// awaitReady waits until all processes say that they are ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, m := range f.machines {
		for !isReady(ctx, m) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func isReady(ctx context.Context, m *machine) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+netip.AddrPortFrom(m.addr, portReady).String()+"/v1/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// balancers returns the addresses to which the routers send packets.
func (f *fleet) balancers() (addrs []netip.AddrPort) {
	for _, m := range f.machines {
		if !m.isAgent {
			addrs = append(addrs, netip.AddrPortFrom(m.addr, portPackets))
		}
	}
	return addrs
}

// close ends all processes and stand-ins that were started.
func (f *fleet) close() {
	f.restarts.Wait()
	for _, m := range f.machines {
		if m.process != nil {
			_ = m.process.Signal(syscall.SIGCONT)
			m.process.Kill()
		}
		if m.log != nil {
			_ = m.log.Close()
		}
	}
	for _, m := range f.machines {
		if u := m.current(); u != nil {
			u.end()
		}
	}
	for _, c := range f.closers {
		c()
	}
}
