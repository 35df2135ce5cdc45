package jmpassnode_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpassnode"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmlocal"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmstore"
	jmadapter "github.com/jasminemoor/jasminemoor/platform"
)

// Ports of the installation, the same on all instances.
const (
	peerPort     = 17720
	packetsPort  = 18172
	readyPort    = 18167
	outboundPort = 18162
	upstreamPort = 18165
)

var (
	shop    = netip.MustParseAddrPort("198.18.0.1:8443")
	desk    = netip.MustParseAddrPort("198.18.0.2:8443")
	newDesk = netip.MustParseAddrPort("198.18.0.3:8443")
)

// site is a small installation on loopback.
type site struct {
	t          *testing.T
	store      *jmstore.Store
	server     *httptest.Server
	mu         sync.Mutex
	balancers  map[int]*process
	agents     map[int]*process
	upstreams  map[int]*jmpackets.Upstream
	services   map[int]string // in the settings of the agents, by instance
	caller     *jmpackets.Caller
	seeds      []netip.AddrPort // of processes that start
	maxFlowAge jmtree.Duration  // of processes that start
	hook       *logtest.Hook
	log        *logrus.Logger
}

// process is a running balancer or agent.
type process struct {
	cancel context.CancelFunc
	leave  func()
	done   chan struct{}
	// control returns the process's Control.
	control func() *jmpassnode.Control
}

// addr returns an address of instance i of a kind: 1 for balancers, 2 for agents with
// their upstreams, 3 for callers, and 8 for agents that run without a site.
func addr(kind, i, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, jmpackets.Network(), byte(kind), byte(i)}), uint16(port))
}

func newSite(t *testing.T) *site {
	t.Helper()
	return newSiteWithFlowAge(t, 0)
}

// newSiteWithFlowAge starts a site whose processes know how old flows may be, unless it is 0.
func newSiteWithFlowAge(t *testing.T, maxFlowAge time.Duration) *site {
	t.Helper()
	s := &site{
		t: t, maxFlowAge: jmtree.Duration(maxFlowAge), store: &jmstore.Store{}, balancers: make(map[int]*process), agents: make(map[int]*process),
		upstreams: make(map[int]*jmpackets.Upstream), services: make(map[int]string),
	}
	s.log, s.hook = logtest.NewNullLogger()
	s.server = httptest.NewServer(s.store)
	t.Cleanup(s.server.Close)
	s.publish(1, map[netip.AddrPort]string{shop: "shop", desk: "desk"})
	for i := 1; i <= 3; i++ {
		s.addUpstream(i, "shop")
	}
	s.addUpstream(9, "desk")
	for i := 1; i <= 2; i++ {
		s.startBalancer(i, true)
	}
	s.caller = &jmpackets.Caller{Address: addr(3, 1, packetsPort), Balancers: s.rotation}
	require.NoError(t, s.caller.Start())
	t.Cleanup(func() {
		_ = s.caller.Close()
		require.Zero(t, s.caller.BadPackets(), "packets that were altered or belong to no flow of the caller")
	})
	t.Cleanup(s.printLog)
	require.Eventually(t, func() bool { return len(s.rotation()) == 2 }, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, s.agentsReady, 5*time.Second, 10*time.Millisecond)
	return s
}

// printLog prints what the processes have logged, if the test has failed.
func (s *site) printLog() {
	if !s.t.Failed() {
		return
	}
	for _, e := range s.hook.AllEntries() {
		if line, err := e.String(); err == nil {
			s.t.Log(strings.TrimSpace(line))
		}
	}
}

func (s *site) publish(version int, routes map[netip.AddrPort]string) {
	s.publishLimit(version, routes, 0)
}

// publishLimit writes a configuration in which the shop has a limit for cold upstreams.
func (s *site) publishLimit(version int, routes map[netip.AddrPort]string, coldRate float64) {
	s.publishServices(version, routes, map[string]any{"name": "shop", "cold_per_s": coldRate}, map[string]any{"name": "desk"}, map[string]any{"name": "lab"})
}

// publishServices writes a configuration that lists services.
func (s *site) publishServices(version int, routes map[netip.AddrPort]string, services ...any) {
	list := []any{}
	for address, service := range routes {
		list = append(list, map[string]any{
			"name": "r-" + service, "host": address.Addr().String(), "prefix": fmt.Sprintf("/%d/", address.Port()),
			"route_type": "idempotent", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 2, "service": service,
		})
	}
	s.store.Put("op/config", map[string]any{"version": version, "routes": list, "services": services, "limits": map[string]any{"idle_timeout_ms": 15000}})
}

func (s *site) addUpstream(i int, service string) {
	u := &jmpackets.Upstream{Address: addr(2, i, upstreamPort), Outbound: addr(2, i, outboundPort), Name: fmt.Sprint(service, i), ServiceTime: 5 * time.Millisecond}
	require.NoError(s.t, u.Start(context.Background()))
	s.upstreams[i] = u
	s.t.Cleanup(u.Crash)
	s.register(i, service, "ready")
	s.startAgent(i, service, true)
}

func (s *site) register(i int, service, state string) {
	s.store.Put(fmt.Sprintf("servers/i-%d", i), map[string]any{
		"service": service, "address": addr(2, i, upstreamPort).String(), "zone": "here", "version": "v1", "max_concurrency": 5, "state": state,
		"cold_left_ms": 0, "seq": 1, "born": 1,
	})
}

func (s *site) settings(kind, i int, isFirstStart bool) *jmlocal.Settings {
	return &jmlocal.Settings{
		Name: fmt.Sprintf("%d-%d", kind, i), Address: addr(kind, i, 0).Addr(), DataCentre: "here",
		FirstPort: peerPort, LastPort: peerPort + 15, IsFirstStart: isFirstStart, Seeds: s.seeds, MaxFlowAge: s.maxFlowAge,
		Packets: addr(kind, i, packetsPort), Ready: addr(kind, i, readyPort),
		Outbound: addr(kind, i, outboundPort), Upstream: addr(2, i, upstreamPort),
	}
}

func (s *site) directory(from netip.Addr) *jmadapter.Store {
	store := &jmadapter.Store{Log: s.log, HTTP: clientFrom(from)}
	store.SetAddress(strings.TrimPrefix(s.server.URL, "http://"))
	return store
}

func (s *site) startBalancer(i int, isFirstStart bool) {
	settings := s.settings(1, i, isFirstStart)
	b := &jmpassnode.Balancer{
		Settings: settings, Codec: jmadapter.Codec{}, Directory: s.directory(settings.Address), Log: s.log,
		Decisions: &jmdecision.Log{Log: s.log},
	}
	p := s.start(b.Run, b.Leave, b.Drained())
	p.control = b.Control
	s.setProcess(s.balancers, i, p)
}

func (s *site) startAgent(i int, service string, isFirstStart bool) *jmpassnode.Agent {
	settings := s.settings(2, i, isFirstStart)
	settings.Service = service
	s.setService(i, service)
	a := &jmpassnode.Agent{
		Settings: settings, ReadSettings: func() (*jmlocal.Settings, error) { return s.readSettings(i) }, Codec: jmadapter.Codec{}, Directory: s.directory(settings.Address), Log: s.log,
		Decisions: &jmdecision.Log{Log: s.log},
	}
	p := s.start(a.Run, a.Leave, a.Drained())
	p.control = a.Control
	s.setProcess(s.agents, i, p)
	return a
}

// setService has the settings of an instance name a service, or have a fault if it is empty.
func (s *site) setService(i int, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.services[i] = service
}

func (s *site) readSettings(i int) (*jmlocal.Settings, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.settings(2, i, false)
	if next.Service = s.services[i]; next.Service == "" {
		return nil, errors.New("settings have a fault")
	}
	return next, nil
}

func (s *site) setProcess(to map[int]*process, i int, p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to[i] = p
}

// start runs a process until it has drained or is killed.
func (s *site) start(run func(context.Context) error, leave func(), drained <-chan struct{}) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{cancel: cancel, leave: leave, done: make(chan struct{})}
	go func() {
		select {
		case <-drained:
			cancel()
		case <-ctx.Done():
		}
	}()
	go func() {
		defer close(p.done)
		if err := run(ctx); err != nil {
			s.log.WithError(err).Error("process failed")
		}
	}()
	s.t.Cleanup(p.kill)
	return p
}

func (p *process) kill() {
	p.cancel()
	<-p.done
}

func (p *process) stop() {
	p.leave()
	<-p.done
}

// rotation returns the balancers whose readiness check succeeds.
func (s *site) rotation() (ready []netip.AddrPort) {
	for i := 1; i <= 2; i++ {
		if isReady(addr(1, i, readyPort)) {
			ready = append(ready, addr(1, i, packetsPort))
		}
	}
	return ready
}

func (s *site) agentsReady() bool {
	for i := range s.upstreams {
		if !isReady(addr(2, i, readyPort)) {
			return false
		}
	}
	return true
}

func isReady(at netip.AddrPort) bool {
	client := http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + at.String() + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *site) open(service netip.AddrPort) (*jmpackets.Flow, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 1400*time.Millisecond)
	defer cancel()
	return s.caller.Open(ctx, service)
}

func (s *site) do(f *jmpackets.Flow, request string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	return f.Do(ctx, request)
}

// serve sends one request on a flow of its own.
func (s *site) serve(service netip.AddrPort, request string) (answer string, err error) {
	f, err := s.open(service)
	if err != nil {
		return "", err
	}
	defer f.Close()
	return s.do(f, request)
}

// runs returns how often each request has run, summed over the upstreams.
func (s *site) runs() map[string]int {
	all := make(map[string]int)
	for _, u := range s.upstreams {
		for id, n := range u.Runs() {
			all[id] += n
		}
	}
	return all
}

func TestServesEachService(t *testing.T) {
	s := newSite(t)
	for i := range 60 {
		id := fmt.Sprint("request-", i)
		answer, err := s.serve(shop, id)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(answer, "shop"), answer)
		answer, err = s.serve(desk, id)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(answer, "desk9"), answer)
	}
	for i, u := range s.upstreams {
		opened, broken := u.Counters()
		require.Zero(t, broken)
		require.NotZero(t, opened, "flows opened at upstream %d", i)
	}
	require.Less(t, s.store.Calls(), 60, "the number of calls to the store does not grow with the requests")
}

// TestFlowsOutliveRestarts keeps flows open while each balancer and each agent in
// turn is drained and started again.
func TestFlowsOutliveRestarts(t *testing.T) {
	s := newSite(t)
	var flows []*jmpackets.Flow
	for range 8 {
		f, err := s.open(shop)
		require.NoError(t, err)
		flows = append(flows, f)
	}
	ask := func(step string) {
		for i, f := range flows {
			id := fmt.Sprintf("%s-%d", step, i)
			_, err := s.do(f, id)
			require.NoError(t, err, id)
		}
	}
	ask("before")
	for i := 1; i <= 2; i++ {
		s.balancers[i].stop()
		ask(fmt.Sprint("without balancer ", i))
		s.startBalancer(i, false)
		require.Eventually(t, func() bool { return len(s.rotation()) == 2 }, 5*time.Second, 10*time.Millisecond)
		ask(fmt.Sprint("with new balancer ", i))
	}
	for i := 1; i <= 3; i++ {
		s.agents[i].stop()
		s.startAgent(i, "shop", false)
		ask(fmt.Sprint("with new agent ", i))
	}
	for id, n := range s.runs() {
		require.Equal(t, 1, n, id)
	}
}

// TestAllProcessesKilled kills all balancers and agents at once, and so loses all
// their state. The upstreams keep running, and their flows must go on.
func TestAllProcessesKilled(t *testing.T) {
	s := newSite(t)
	f, err := s.open(shop)
	require.NoError(t, err)
	_, err = s.do(f, "before")
	require.NoError(t, err)
	for i, p := range s.balancers {
		p.kill()
		defer s.startBalancer(i, false)
	}
	for i, p := range s.agents {
		p.kill()
		service := "shop"
		if i == 9 {
			service = "desk"
		}
		s.startAgent(i, service, false)
	}
	for i := range s.balancers {
		s.startBalancer(i, false)
	}
	_, err = s.do(f, "after")
	require.NoError(t, err)
	require.Equal(t, 1, s.runs()["after"])
}

func TestLeavingUpstreamGetsNoNewFlows(t *testing.T) {
	s := newSite(t)
	f, err := s.open(shop)
	require.NoError(t, err)
	s.register(1, "shop", "draining")
	s.register(2, "shop", "draining")
	time.Sleep(500 * time.Millisecond) // well within the 3 s in which a change must be in force
	before1, _ := s.upstreams[1].Counters()
	before2, _ := s.upstreams[2].Counters()
	for i := range 20 {
		answer, err := s.serve(shop, fmt.Sprint("late-", i))
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(answer, "shop3"), answer)
	}
	after1, _ := s.upstreams[1].Counters()
	after2, _ := s.upstreams[2].Counters()
	require.Equal(t, before1+before2, after1+after2)
	_, err = s.do(f, "on the open flow")
	require.NoError(t, err)
}

func TestNewerRoutesReplaceOlder(t *testing.T) {
	s := newSite(t)
	s.publish(5, map[netip.AddrPort]string{shop: "shop", newDesk: "desk"})
	require.Eventually(t, func() bool {
		_, err := s.serve(newDesk, "new")
		return err == nil
	}, 3*time.Second, 10*time.Millisecond)
	_, err := s.serve(desk, "dropped")
	require.ErrorIs(t, err, jmpackets.ErrReset, "an address without a route is refused at once")
	// An older version must not replace a newer one.
	s.publish(4, map[netip.AddrPort]string{desk: "desk"})
	time.Sleep(300 * time.Millisecond)
	_, err = s.serve(newDesk, "still")
	require.NoError(t, err)
}

// TestCrashedUpstream checks that the flows of a crashed upstream are reset, so that
// their callers retry at once instead of waiting for a timeout.
func TestCrashedUpstream(t *testing.T) {
	s := newSite(t)
	flows := make(map[string]*jmpackets.Flow)
	for len(flows) < 3 {
		f, err := s.open(shop)
		require.NoError(t, err)
		answer, err := s.do(f, "who")
		require.NoError(t, err)
		flows[strings.SplitN(answer, ":", 2)[0]] = f
	}
	s.upstreams[2].Crash()
	start := time.Now()
	_, err := s.do(flows["shop2"], "lost")
	require.ErrorIs(t, err, jmpackets.ErrReset)
	require.Less(t, time.Since(start), time.Second)
	for _, name := range []string{"shop1", "shop3"} {
		_, err = s.do(flows[name], "kept on "+name)
		require.NoError(t, err)
	}
	for i := range 10 {
		_, err = s.serve(shop, fmt.Sprint("again-", i))
		require.NoError(t, err)
	}
}

func TestStoreFaults(t *testing.T) {
	cases := map[string]func(s *site){
		"unavailable":       func(s *site) { s.store.SetFault(netip.Addr{}, jmstore.FaultUnavailable) },
		"too many requests": func(s *site) { s.store.SetFault(netip.Addr{}, jmstore.FaultRateLimited) },
		"silent":            func(s *site) { s.store.SetFault(netip.Addr{}, jmstore.FaultSilent) },
		"connection reset":  func(s *site) { s.store.SetFault(netip.Addr{}, jmstore.FaultReset) },
		"slow":              func(s *site) { s.store.SetDelay(250 * time.Millisecond) },
		"history lost":      func(s *site) { s.store.DropHistory() },
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			inject(s)
			for i := range 30 {
				_, err := s.serve(shop, fmt.Sprint("request-", i))
				require.NoError(t, err)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// TestStoreRefusesSome has the store refuse some instances, readers among them. They
// must receive a change from the other instances.
func TestStoreRefusesSome(t *testing.T) {
	s := newSite(t)
	for i := 1; i <= 2; i++ {
		s.store.SetFault(addr(1, i, 0).Addr(), jmstore.FaultUnavailable)
	}
	for _, i := range []int{1, 2, 3} {
		s.store.SetFault(addr(2, i, 0).Addr(), jmstore.FaultSilent)
	}
	s.publish(3, map[netip.AddrPort]string{shop: "shop", desk: "desk", newDesk: "desk"})
	require.Eventually(t, func() bool {
		_, err := s.serve(newDesk, "new")
		return err == nil
	}, 3*time.Second, 10*time.Millisecond)
}

// TestUnusableEntries puts entries into the store that are malformed, very large, of an
// unknown state or service, with an address that can't be used, or under another key.
func TestUnusableEntries(t *testing.T) {
	s := newSite(t)
	s.store.Put("servers/x", "\xff\xfe")
	s.store.Put("servers/y", `{"service":"shop","address":"`+addr(2, 50, 1).String()+`","state":"asleep"}`)
	s.store.Put("servers/z", `{"service":"nobody","address":"`+addr(2, 51, 1).String()+`","state":"ready"}`)
	s.store.Put("other/key", "1")
	s.store.Put("servers/deep", strings.Repeat("[", 100_000))
	s.store.Put("servers/large", strings.Repeat("\xff", 1<<20))
	s.store.Put("servers/number", `{"service":"shop","address":"`+addr(2, 52, 1).String()+`","state":"ready","max_concurrency":1e400}`)
	s.store.Put("servers/v6", `{"service":"shop","address":"[::1]:8080","state":"ready"}`)
	s.store.Put("op/config", "\xff\xfe")
	s.store.Put("servers/other", map[string]any{
		"service": "nobody", "address": addr(2, 1, upstreamPort).String(), "zone": "here", "version": "v9", "max_concurrency": 1, "state": "ready",
		"cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	unnamed := map[string]string{"servers/other": "nobody"} // put last
	require.Eventually(t, func() bool {
		return s.eachControl(func(p *process) bool { return maps.Equal(p.control().Snapshot().Unnamed, unnamed) })
	}, configBound, 10*time.Millisecond)
	for _, all := range []map[int]*process{s.balancers, s.agents} {
		for _, p := range all {
			v := p.control().Snapshot()
			require.Len(t, v.Upstreams, 4)
			require.Equal(t, "shop", v.Upstreams[addr(2, 1, upstreamPort)].Service)
			require.Equal(t, unnamed, v.Unnamed)
		}
	}
	for i := range 10 {
		_, err := s.serve(shop, fmt.Sprint("request-", i))
		require.NoError(t, err)
	}
}

// TestBadPackets sends malformed and forged datagrams to each kind of UDP socket.
func TestBadPackets(t *testing.T) {
	s := newSite(t)
	s.sendBad(addr(1, 1, packetsPort), addr(1, 1, peerPort), addr(2, 1, peerPort), addr(2, 1, outboundPort))
	for i := range 10 {
		_, err := s.serve(shop, fmt.Sprint("request-", i))
		require.NoError(t, err)
	}
}
