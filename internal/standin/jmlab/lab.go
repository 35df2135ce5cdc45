package jmlab

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/client"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmagent"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmbalancer"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmwatch"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfabric"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmplatform"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmupstream"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

const (
	headerTimeout = 5 * time.Second
	readyInterval = 20 * time.Millisecond
)

// Lab runs the fleet of a layout with its stand-ins in one process. Layout and Log are
// set before Start.
type Lab struct {
	Layout *Layout
	Log    logrus.FieldLogger
	// WithSeeds says that balancers and agents get the balancers' addresses and the
	// control key when they start, so that they can start without the platform. It may
	// be changed between starts.
	WithSeeds bool
	// Guard, which may be nil, is that of all balancers and agents.
	Guard     *jmguard.Guard
	Platform  jmplatform.Platform
	Fabrics   []*jmfabric.Fabric // one for each service, in the order of Layout.Services
	Balancers map[string]*Balancer
	Agents    map[string]*Agent // by the upstream's name
	Upstreams map[string]*jmupstream.Upstream

	ctx          context.Context
	cancel       context.CancelFunc
	wg           conc.WaitGroup
	partition    atomic.Pointer[map[string]bool] // data centres on one side of the partition
	silencedPort atomic.Pointer[netip.AddrPort]  // fleet address cut off by SilencePort
}

// SilencePort drops all packets between a balancer's fleet address and the agents, and
// those that other balancers send to it, as if a device on the path had lost its state
// for that port. The other ports of the balancer work.
func (l *Lab) SilencePort(balancer netip.AddrPort) { l.silencedPort.Store(&balancer) }

// CutOff partitions the named data centres from the others, or heals the partition if
// none is named. Both sides still reach the platform and the fabric.
func (l *Lab) CutOff(dataCentres ...string) {
	names := make(map[string]bool)
	for _, name := range dataCentres {
		names[name] = true
	}
	l.partition.Store(&names)
}

// dataCentreOf returns the data centre of the balancer or agent at an address, or ""
// if there is none.
func (l *Lab) dataCentreOf(address netip.AddrPort) string {
	for _, b := range l.Layout.Fleet.Balancers {
		if b.Address.Addr() == address.Addr() {
			return b.DataCentre
		}
	}
	for _, s := range l.Layout.Services {
		for _, u := range s.Upstreams {
			if u.Agent == address {
				return u.DataCentre
			}
		}
	}
	return ""
}

// Balancer is a balancer that runs in the lab.
type Balancer struct {
	*jmbalancer.Balancer
	process
}

// Agent is an agent that runs in the lab.
type Agent struct {
	*jmagent.Agent
	process
}

// process is a balancer or an agent that can be ended on its own.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Kill ends the process without draining it, and waits until it has ended.
func (p *process) Kill() {
	p.cancel()
	<-p.done
}

// Done returns a channel that is closed after the process has ended.
func (p *process) Done() <-chan struct{} { return p.done }

// Start starts the platform, and the fabrics, upstreams, agents and balancers of the
// layout. After an error, Close ends those that were started.
func (l *Lab) Start() (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "start lab")
		}
	}()
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.Balancers = make(map[string]*Balancer)
	l.Agents = make(map[string]*Agent)
	l.Upstreams = make(map[string]*jmupstream.Upstream)
	documents, err := l.Layout.Documents()
	if err != nil {
		return err
	}
	for path, values := range documents {
		l.Platform.PutAll(path, values)
	}
	if err = l.serveHTTP(l.Layout.PlatformAddress(), &l.Platform); err != nil {
		return err
	}
	for _, s := range l.Layout.Services {
		if err = l.startFabric(s); err != nil {
			return err
		}
		for _, u := range s.Upstreams {
			if err = l.startUpstream(u); err != nil {
				return err
			}
			l.StartAgent(u)
		}
	}
	for _, b := range l.Layout.Fleet.Balancers {
		l.StartBalancer(b)
	}
	return nil
}

// Close ends all processes and stand-ins, and waits until they have ended.
func (l *Lab) Close() {
	l.cancel()
	l.wg.Wait()
}

// serveHTTP serves the handler on an address until the lab is closed.
func (l *Lab) serveHTTP(address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	l.wg.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			l.Log.WithError(err).Error("lab: platform server failed")
		}
	})
	context.AfterFunc(l.ctx, func() { _ = server.Close() })
	return nil
}

func (l *Lab) startFabric(s *jmtree.Service) error {
	f := &jmfabric.Fabric{Listen: s.Address, Seed: uint64(s.Number)}
	f.Set(jmfabric.Settings{Balancers: l.serviceAddresses(s, nil)})
	if err := f.Open(); err != nil {
		return err
	}
	l.Fabrics = append(l.Fabrics, f)
	l.wg.Go(func() { f.Run(l.ctx) })
	return nil
}

// serviceAddresses returns the addresses at which the balancers receive a service's
// datagrams from the fabric, except those of the balancers named in without.
func (l *Lab) serviceAddresses(s *jmtree.Service, without []string) (addrs []netip.AddrPort) {
	excluded := make(map[string]bool)
	for _, name := range without {
		excluded[name] = true
	}
	for _, b := range l.Layout.Fleet.Balancers {
		if !excluded[b.Name] {
			addrs = append(addrs, l.Layout.BalancerServiceAddress(b, s))
		}
	}
	return addrs
}

// SetFabrics changes the settings of all fabrics. It replaces settings.Balancers with
// all balancers except those named in without.
func (l *Lab) SetFabrics(settings jmfabric.Settings, without ...string) {
	for i, f := range l.Fabrics {
		settings.Balancers = l.serviceAddresses(l.Layout.Services[i], without)
		f.Set(settings)
	}
}

func (l *Lab) startUpstream(u jmtree.Upstream) error {
	up := &jmupstream.Upstream{Name: u.Name, Address: u.Address}
	if err := up.Listen(); err != nil {
		return err
	}
	l.Upstreams[u.Name] = up
	l.wg.Go(func() { up.Run(l.ctx) })
	return nil
}

// newNode returns the node of a balancer or an agent. It reaches the others subject to
// SilencePort and CutOff.
func (l *Lab) newNode(address netip.AddrPort, dataCentre string) *jmnode.Node {
	n := &jmnode.Node{
		Identity:   jasminemoor.Identity{Agent: address, Incarnation: jasminemoor.NewIncarnation(time.Now())},
		DataCentre: dataCentre,
		Platform:   &jmwatch.Client{URL: "http://" + l.Layout.PlatformAddress().String()},
		Log:        l.Log,
		Guard:      l.Guard,
		Reach: func(to netip.AddrPort) bool {
			if silenced := l.silencedPort.Load(); silenced != nil && *silenced == to {
				return false
			}
			partition := l.partition.Load()
			return partition == nil || (*partition)[dataCentre] == (*partition)[l.dataCentreOf(to)]
		},
	}
	if l.WithSeeds {
		key := jmdatagram.ControlKey(l.Layout.Fleet.Keys.Control[0])
		n.SeedKey = &key
		for _, b := range l.Layout.Fleet.Balancers {
			n.Seeds = append(n.Seeds, b.Address)
		}
	}
	return n
}

// StartAgent starts the agent of an upstream, or restarts it after it has ended.
func (l *Lab) StartAgent(u jmtree.Upstream) *Agent {
	node := l.newNode(u.Agent, u.DataCentre)
	a := &Agent{Agent: &jmagent.Agent{Identity: node.Identity, DataCentre: u.DataCentre, Node: node, Log: l.Log, Guard: l.Guard}}
	l.startProcess(&a.process, a.Run)
	l.Agents[u.Name] = a
	return a
}

// StartBalancer starts a balancer, or restarts it after it has ended.
func (l *Lab) StartBalancer(spec jmtree.Balancer) *Balancer {
	node := l.newNode(spec.Address, spec.DataCentre)
	b := &Balancer{Balancer: &jmbalancer.Balancer{
		Identity:   node.Identity,
		DataCentre: spec.DataCentre,
		ServiceIP:  spec.ServiceIP,
		Node:       node,
		Log:        l.Log,
		Guard:      l.Guard,
	}}
	l.startProcess(&b.process, b.Run)
	l.Balancers[spec.Name] = b
	return b
}

// startProcess runs a balancer or an agent until it is killed or the lab is closed.
func (l *Lab) startProcess(p *process, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(l.ctx)
	p.cancel = cancel
	p.done = make(chan struct{})
	l.wg.Go(func() {
		defer close(p.done)
		if p.err = run(ctx); p.err != nil && ctx.Err() == nil {
			l.Log.WithError(p.err).Error("lab: process failed")
		}
	})
}

// NewCaller returns a caller of a service.
func (l *Lab) NewCaller(service *jmtree.Service) *client.Caller {
	return &client.Caller{
		Address:    service.Address,
		ServerName: service.ServerName,
		TLS:        l.Layout.ClientTLS(),
	}
}

// AwaitReady waits until every balancer and agent has the settings of all services in
// force.
func (l *Lab) AwaitReady(ctx context.Context) error {
	for {
		if l.isReady() {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "lab is not ready")
		case <-time.After(readyInterval):
		}
	}
}

func (l *Lab) isReady() bool {
	for _, a := range l.Agents {
		if !hasAllServices(a.Node, l.Layout) {
			return false
		}
	}
	for _, b := range l.Balancers {
		if !hasAllServices(b.Node, l.Layout) {
			return false
		}
	}
	return true
}

func hasAllServices(n *jmnode.Node, layout *Layout) bool {
	config := n.View().Config
	return config != nil && len(config.Services) == len(layout.Services)
}
