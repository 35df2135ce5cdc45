// Package jmagent is the process beside each upstream: it ends the callers'
// QUIC connections, issues the connection IDs that route them, admits their
// streams and passes them to its upstream.
package jmagent

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmreturn"
	"github.com/jasminemoor/jasminemoor/internal/request/jmgate"
	"github.com/jasminemoor/jasminemoor/internal/request/jmledger"
	"github.com/jasminemoor/jasminemoor/internal/request/jmserver"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmconnid"
)

const (
	idleTimeout      = 30 * time.Second
	handshakeTimeout = 5 * time.Second
	keepAlivePeriod  = 5 * time.Second
	initialPacket    = 1200 // bytes, so that the encapsulation fits any path
	maxStreams       = 1000 // open at a time on one flow
	// flowGrace is how long a flow without streams stays open while the agent
	// leaves, so that the last answers are acknowledged.
	flowGrace     = 10 * time.Second
	drainInterval = 100 * time.Millisecond
	// measureInterval is how often the own load goes into its mean.
	measureInterval = 100 * time.Millisecond
)

// Agent is one agent. The exported fields are set before Run.
type Agent struct {
	Identity   jasminemoor.Identity
	DataCentre string
	// Node is the control side; Run sets its OwnLoad.
	Node *jmnode.Node
	// Certificate is used while the settings give the service none.
	Certificate *tls.Certificate
	Log         logrus.FieldLogger
	// Decisions, where set, gets a line for each hand-over, relay and refusal.
	Decisions *jmdecision.Log
	Counters  Counters

	gate     jmgate.Gate
	ledger   jmledger.Ledger
	meter    jmload.Meter
	meanLoad atomic.Uint32
	returns  jmreturn.Table
	server   jmserver.Server
	view     atomic.Pointer[view]
	udp      *net.UDPConn
	conn     *packetConn
	flows    flowSet
	relays   relaySet
	isClosed atomic.Bool
	drained  chan struct{}
	start    sync.Once
}

// Counters counts datagrams since the process started.
type Counters struct {
	Delivered    atomic.Uint64 // datagrams for flows of this agent
	HandedOn     atomic.Uint64 // datagrams of first flights handed to another agent
	Foreign      atomic.Uint64 // datagrams for another service or agent
	Forged       atomic.Uint64 // datagrams that fail a check
	Refused      atomic.Uint64 // first flights that nobody could take
	Overflow     atomic.Uint64 // datagrams beyond the queue
	WrongName    atomic.Uint64 // handshakes for another server name
	BadStreams   atomic.Uint64 // streams without a valid header
	CrossingHand atomic.Uint64 // datagrams handed to another data centre
	CrossRelays  atomic.Uint64 // streams relayed to another data centre
}

// StreamCounters returns the counters of the streams.
func (a *Agent) StreamCounters() *jmserver.Counters { return &a.server.Counters }

// Usage returns the work in hand and the number of open flows.
func (a *Agent) Usage() (usage jmgate.Usage, flows int) {
	return a.gate.Usage(), a.flows.len()
}

func (a *Agent) init() {
	a.start.Do(func() { a.drained = make(chan struct{}) })
}

// Drained is closed after Leave once no stream and no flow is left.
func (a *Agent) Drained() <-chan struct{} {
	a.init()
	return a.drained
}

// Leave takes the agent out of service gracefully: new flows and new streams
// go to other agents, and what is open runs to its end.
func (a *Agent) Leave() {
	if a.isClosed.Swap(true) {
		return
	}
	a.Log.Info("agent: leaving")
	a.Node.Leave()
	a.flows.announceLeaving()
}

// Run serves until ctx ends. It returns once all its goroutines have ended.
func (a *Agent) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "agent %s", a.Identity.Agent)
		}
	}()
	a.init()
	udp, tcp, err := a.Node.Listen(ctx)
	if err != nil {
		return err
	}
	a.udp = udp
	defer a.udp.Close()
	a.conn = newPacketConn(a)
	a.Node.OwnLoad = func() *jasminemoor.LoadReport {
		return &jasminemoor.LoadReport{Load: a.ownLoad(), Leaving: a.isLeaving()}
	}
	a.prepareServer()
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { a.Node.Run(ctx) })
	wg.Go(func() { a.Node.Serve(ctx, tcp, a.serveLink) })
	wg.Go(func() { a.conn.receive(ctx) })
	wg.Go(func() { a.drainLoop(ctx) })
	wg.Go(func() { a.measureLoop(ctx) })
	if err = a.awaitService(ctx); err != nil {
		return err
	}
	wg.Go(func() { a.followViews(ctx) })
	return a.serveFlows(ctx)
}

// send sends a datagram from the fleet socket. One that does not get out is a
// lost datagram like any other.
func (a *Agent) send(datagram []byte, to netip.AddrPort) {
	if a.Node.CanReach(to) {
		_, _ = a.udp.WriteToUDPAddrPort(datagram, to)
	}
}

func (a *Agent) prepareServer() {
	a.meter.Start = time.Now()
	a.server.Identity = a.Identity
	a.server.Gate = &a.gate
	a.server.Ledger = &a.ledger
	a.server.Meter = &a.meter
	a.server.Upstream = &upstreamDialer{agent: a}
	a.server.Peers = &peers{agent: a}
	a.server.IsClosed = a.takesNoWork
	a.server.Log = a.Log
	a.server.Decisions = a.Decisions
}

// isLeaving reports whether the agent or its upstream is on the way out.
func (a *Agent) isLeaving() bool {
	if a.isClosed.Load() {
		return true
	}
	v := a.view.Load()
	return v != nil && (v.upstream.Leaving || !v.isDeclared)
}

// takesNoWork reports whether new work must go elsewhere: the agent leaves, or
// it woke after a pause and has not heard from its peers since.
func (a *Agent) takesNoWork() bool {
	return a.isLeaving() || a.Node.View().IsStale
}

// ownLoad returns the exact load of this agent.
func (a *Agent) ownLoad() (load jasminemoor.Load) {
	v := a.view.Load()
	if v == nil {
		return load
	}
	usage := a.gate.Usage()
	slots := v.service.Limits.WithDefaults().Slots
	factor := a.meter.Factor(time.Now()) * v.weightShare
	load.Now = jmload.Of(usage.Running+usage.Waiting, slots, factor)
	load.Mean = a.meanLoad.Load()
	load.Density = jmload.Density(a.flows.len(), factor)
	return load
}

// measureLoop keeps the mean load.
func (a *Agent) measureLoop(ctx context.Context) {
	ticker := time.NewTicker(measureInterval)
	defer ticker.Stop()
	var smoother jmload.Smoother
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			smoother.Add(a.ownLoad().Now, measureInterval)
			a.meanLoad.Store(smoother.Mean())
		}
	}
}

func (a *Agent) serveFlows(ctx context.Context) (err error) {
	v := a.view.Load()
	transport := &quic.Transport{
		Conn:               a.conn,
		ConnectionIDLength: jmconnid.Length,
		ConnectionIDGenerator: &jmconnid.Generator{
			Codec:    func() *jmconnid.Codec { return a.view.Load().codec },
			Service:  v.service.Number,
			Identity: a.Identity,
		},
		StatelessResetKey: resetKey(v.node.Config),
		TokenGeneratorKey: tokenKey(v.node.Config),
		ConnContext:       a.flows.begin,
	}
	listener, err := transport.Listen(a.tlsConfig(), &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		HandshakeIdleTimeout:    handshakeTimeout,
		KeepAlivePeriod:         keepAlivePeriod,
		MaxIncomingStreams:      maxStreams,
		MaxIncomingUniStreams:   -1,
		InitialPacketSize:       initialPacket,
		DisablePathMTUDiscovery: true,
	})
	if err != nil {
		return err
	}
	a.Log.WithField("Address", a.Identity.Agent).Info("agent: serving")
	var wg conc.WaitGroup
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			break
		}
		wg.Go(func() { a.serveFlow(ctx, conn) })
	}
	_ = listener.Close()
	_ = transport.Close()
	wg.Wait()
	return nil
}

// drainLoop ends the agent's flows once it leaves and their streams are done.
func (a *Agent) drainLoop(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if !a.isClosed.Load() {
				continue
			}
			if a.flows.endIdle(now) == 0 && a.relays.len() == 0 {
				a.Log.Info("agent: drained")
				close(a.drained)
				return
			}
		}
	}
}
