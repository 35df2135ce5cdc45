package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmstore"
)

// Ports of the deployment, the same on all instances.
const (
	peerPort     = 27820
	packetPort   = 28272
	readyPort    = 28267
	outboundPort = 28262
	upstreamPort = 28265
	operatorPort = 29464
)

// Figures of a small deployment, as in the users' site files.
const (
	slots         = 5
	workTime      = 40 * time.Millisecond // of a request
	restartDelay  = 400 * time.Millisecond
	readyInterval = 500 * time.Millisecond
	readyMisses   = 2
	idleTimeoutMs = 12000
	dataCentre    = "zone-a"
	maxFlowAge    = "60s"
	stateReady    = "ready"
	roleAgent     = "agent"
	roleBalancer  = "balancer"
)

// Kinds of address, which are the third byte of an address.
const (
	kindBalancer = iota + 1
	kindAgent
	kindCaller
	kindStore
)

// address returns an address of instance i of a kind on the loopback network of this run.
func address(kind, i, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, jmpackets.Network(), byte(kind), byte(i)}), uint16(port))
}

// lab is a small deployment: the processes of the deploy file, started as the platform
// starts them, before stand-ins for the store, the routers, the callers and the upstreams.
type lab struct {
	binary string
	dir    string // temporary, for settings and logs
	record *record

	store     jmstore.Store
	server    *http.Server
	storeAt   netip.AddrPort
	upstreams map[int]*jmpackets.Upstream
	caller    *jmpackets.Caller

	mu        sync.Mutex
	processes []*process
	inUse     map[int]bool // balancers that the routers use
	stopped   chan struct{}
	wg        sync.WaitGroup
}

// process is a process of the product, which is started again when it ends.
type process struct {
	lab        *lab
	name, role string
	kind, i    int
	service    string

	cmd       *exec.Cmd
	starts    int
	ownEnds   int           // how often it ended by itself
	isStopped bool          // it was stopped on purpose, or the lab ends
	delay     time.Duration // until the next start
}

func newLab(binary, dir string, r *record) (l *lab, err error) {
	l = &lab{
		binary: binary, dir: dir, record: r, upstreams: make(map[int]*jmpackets.Upstream),
		inUse: make(map[int]bool), stopped: make(chan struct{}),
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address(kindStore, 1, 0).String())
	if err != nil {
		return nil, err
	}
	l.storeAt = netip.MustParseAddrPort(listener.Addr().String())
	l.server = &http.Server{Handler: &l.store, ReadHeaderTimeout: time.Second}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		_ = l.server.Serve(listener)
	}()
	return l, nil
}

// recordRuns records which requests the upstreams have run, and how often.
func (l *lab) recordRuns() {
	for i := 1; i <= len(l.upstreams); i++ {
		u := l.upstreams[i]
		runs := u.Runs()
		for _, id := range slices.Sorted(maps.Keys(runs)) {
			l.record.add("run %s at %s, times: %d", id, u.Name, runs[id])
		}
	}
}

// close ends all processes and stand-ins.
func (l *lab) close() {
	close(l.stopped)
	l.mu.Lock()
	for _, p := range l.processes {
		p.isStopped = true
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
		}
	}
	l.mu.Unlock()
	if l.caller != nil {
		_ = l.caller.Close()
	}
	for _, u := range l.upstreams {
		u.Crash()
	}
	_ = l.server.Close()
	l.wg.Wait()
}

// routeEntry is a route in the configuration.
type routeEntry struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	RouteType       string `json:"route_type"`
	TimeoutMs       int    `json:"timeout_ms"`
	TargetLatencyMs int    `json:"target_latency_ms"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
}

// serverEntry is the entry of an upstream.
type serverEntry struct {
	Service        string `json:"service"`
	Address        string `json:"address"`
	Zone           string `json:"zone"`
	Version        string `json:"version"`
	MaxConcurrency int    `json:"max_concurrency"`
	State          string `json:"state"`
	ColdLeftMs     int    `json:"cold_left_ms"`
	Sequence       int    `json:"seq"`
	Born           int64  `json:"born"`
}

// publish writes the configuration, with one route for each service.
func (l *lab) publish(version int, routes map[netip.AddrPort]string) {
	list := make([]routeEntry, 0, len(routes))
	for at, service := range routes {
		list = append(list, routeEntry{
			Name: "r-" + service, Host: at.Addr().String(), Prefix: fmt.Sprintf("/%d/", at.Port()),
			RouteType: "non_idempotent", TimeoutMs: 4000, TargetLatencyMs: 250, Priority: 1, Service: service,
		})
	}
	l.store.Put("op/config", map[string]any{"version": version, "routes": list, "limits": map[string]any{"idle_timeout_ms": idleTimeoutMs}})
}

// addUpstream starts an upstream that has been warm for a while, registers it and starts
// its agent.
func (l *lab) addUpstream(i int, service string) error {
	u := &jmpackets.Upstream{
		Address: address(kindAgent, i, upstreamPort), Outbound: address(kindAgent, i, outboundPort),
		Name: fmt.Sprint(service, i), ServiceTime: workTime,
	}
	if err := u.Start(context.Background()); err != nil {
		return err
	}
	l.upstreams[i] = u
	l.store.Put(fmt.Sprintf("servers/i-%d", i), serverEntry{
		Service: service, Address: u.Address.String(), Zone: dataCentre, Version: "v1", MaxConcurrency: slots,
		State: stateReady, Sequence: 1, Born: time.Now().Add(-time.Minute).UnixMilli(),
	})
	return l.startProcess(&process{role: roleAgent, kind: kindAgent, i: i, service: service})
}

func (l *lab) addBalancer(i int) error {
	return l.startProcess(&process{role: roleBalancer, kind: kindBalancer, i: i})
}

// startProcess starts a process, and supervises it.
func (l *lab) startProcess(p *process) error {
	p.lab, p.name, p.delay = l, fmt.Sprintf("%s-%d", p.role, p.i), restartDelay
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes = append(l.processes, p)
	if err := p.start(); err != nil {
		return err
	}
	l.wg.Add(1)
	go p.supervise()
	return nil
}

// start starts the process with the command of the deploy file and the settings in its
// environment. The caller holds lab.mu.
func (p *process) start() error {
	settings := map[string]any{
		"Name": p.name, "Address": address(p.kind, p.i, 0).Addr(), "DataCentre": dataCentre,
		"FirstPort": peerPort, "LastPort": peerPort + 15, "Seeds": []netip.AddrPort{address(kindBalancer, 1, peerPort), address(kindBalancer, 2, peerPort)},
		"IsFirstStart": p.starts == 0, "MaxFlowAge": maxFlowAge, "Packets": address(p.kind, p.i, packetPort),
		"Operator": address(p.kind, p.i, operatorPort), "Ready": address(p.kind, p.i, readyPort),
		"Platform": map[string]any{"Address": p.lab.storeAt},
	}
	if p.role == roleAgent {
		settings["Outbound"], settings["Upstream"] = address(p.kind, p.i, outboundPort), address(p.kind, p.i, upstreamPort)
		settings["Service"] = p.service
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(p.lab.dir, p.name+".json")
	if err = os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.lab.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.CommandContext(context.Background(), p.lab.binary, "passthrough", p.role) //nolint:gosec // the caller chooses the program
	p.cmd.Env = []string{"JASMINEMOOR_SETTINGS=" + path}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.starts++
	return p.cmd.Start()
}

// supervise starts the process again whenever it has ended.
func (p *process) supervise() {
	defer p.lab.wg.Done()
	for {
		err := p.cmd.Wait()
		l := p.lab
		l.mu.Lock()
		isOwn := !p.isStopped
		if isOwn {
			p.ownEnds++
		}
		delay := p.delay
		p.isStopped, p.delay = false, restartDelay
		l.mu.Unlock()
		select {
		case <-l.stopped:
			return
		default:
		}
		l.record.add("%s ended, by itself: %t (%v)", p.name, isOwn, err)
		select {
		case <-l.stopped:
			return
		case <-time.After(delay):
		}
		l.mu.Lock()
		err = p.start()
		l.mu.Unlock()
		if err != nil {
			l.record.add("%s can't be started: %v", p.name, err)
			return
		}
	}
}

// terminate stops a process with SIGTERM, as the platform does for planned work. It is
// started again.
func (l *lab) terminate(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.processes {
		if p.name == name {
			p.isStopped = true
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
}

// killAll kills all processes, which are started again after a time.
func (l *lab) killAll(down time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.add("SIGKILL to all processes of the product, down for %s", down)
	for _, p := range l.processes {
		p.isStopped, p.delay = true, down
		_ = p.cmd.Process.Kill()
	}
}

// ownEnds returns how often each process has ended by itself.
func (l *lab) ownEnds() (ends map[string]int) {
	ends = make(map[string]int)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.processes {
		ends[p.name] = p.ownEnds
	}
	return ends
}

// route checks the readiness of n balancers as the routers do, until the lab ends: twice a
// second, and a balancer is out of rotation after two misses until it answers again.
func (l *lab) route(n int) {
	for i := 1; i <= n; i++ {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			misses := readyMisses
			for {
				if isReady(address(kindBalancer, i, readyPort)) {
					misses = 0
				} else {
					misses++
				}
				l.mu.Lock()
				l.inUse[i] = misses < readyMisses
				l.mu.Unlock()
				select {
				case <-l.stopped:
					return
				case <-time.After(readyInterval):
				}
			}
		}()
	}
}

func isReady(at netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), readyInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/v1/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// rotation returns the balancers that the routers send packets to. If fewer than half are
// ready, these are all.
func (l *lab) rotation() (inUse []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []netip.AddrPort
	for i := 1; i <= len(l.inUse); i++ {
		at := address(kindBalancer, i, packetPort)
		all = append(all, at)
		if l.inUse[i] {
			inUse = append(inUse, at)
		}
	}
	if 2*len(inUse) < len(all) {
		return all
	}
	return inUse
}

// isSettled reports whether n balancers and all agents are ready.
func (l *lab) isSettled(n int) bool {
	l.mu.Lock()
	ready := 0
	for _, isInUse := range l.inUse {
		if isInUse {
			ready++
		}
	}
	l.mu.Unlock()
	if ready < n {
		return false
	}
	for i := range l.upstreams {
		if !isReady(address(kindAgent, i, readyPort)) {
			return false
		}
	}
	return true
}

// awaitSettled waits until the deployment is ready.
func (l *lab) awaitSettled(n int) error {
	for range 100 {
		if l.isSettled(n) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the deployment was not ready in time")
}

// startCaller starts the callers' instance.
func (l *lab) startCaller() error {
	l.caller = &jmpackets.Caller{Address: address(kindCaller, 1, packetPort), Balancers: l.rotation}
	return l.caller.Start()
}
