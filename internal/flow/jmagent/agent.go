// Package jmagent implements the agent, the process that runs beside each
// upstream. It terminates the callers' QUIC connections, issues the connection
// IDs by which balancers route them, admits the callers' streams and passes them
// to its upstream.
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

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmreturnpath"
	"github.com/jasminemoor/jasminemoor/internal/request/jmgate"
	"github.com/jasminemoor/jasminemoor/internal/request/jmledger"
	"github.com/jasminemoor/jasminemoor/internal/request/jmserver"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmconnid"
)

const (
	idleTimeout       = 30 * time.Second
	handshakeTimeout  = 5 * time.Second
	keepAlivePeriod   = 5 * time.Second
	initialPacketSize = 1200 // bytes; with the encapsulation it fits any path
	maxStreams        = 1000 // open streams per flow
	// idleFlowGrace is how long a flow without streams stays open while the agent
	// drains, so that the last answers are acknowledged.
	idleFlowGrace = 10 * time.Second
	drainInterval = 100 * time.Millisecond
	// loadSampleInterval is how often the agent's load is sampled for its mean.
	loadSampleInterval = 100 * time.Millisecond
)

// Names of the goroutines, in the log lines on panics.
const (
	goroutinePackets = "packets"
	goroutineAnswers = "answers"
	goroutineViews   = "views"
	goroutineFlow    = "flow"
	goroutineStream  = "stream"
)

// Agent is the agent of one upstream. The exported fields are set before Run.
type Agent struct {
	Identity   jasminemoor.Identity
	DataCentre string
	// Service is the service of the agent's upstream, as <team>/<service>, if the agent has
	// been told. It then serves no other one, whatever the settings say.
	Service string
	// Node is the control side of the process. Run sets its OwnLoad.
	Node *jmnode.Node
	// Certificate is used while the settings have none for the service.
	Certificate *tls.Certificate
	Log         logrus.FieldLogger
	// Decisions, if set, logs each handover, relay and refusal.
	Decisions *jmdecision.Log
	// Guard ends the process if one of its goroutines panics.
	Guard    *jmguard.Guard
	Counters Counters

	gate        jmgate.Gate
	ledger      jmledger.Ledger
	meter       jmload.Meter
	meanLoad    atomic.Uint32
	returnPaths jmreturnpath.Table
	server      jmserver.Server
	view        atomic.Pointer[view]
	udp         *net.UDPConn
	conn        *packetConn
	flows       flowSet
	relays      relaySet
	isDraining  atomic.Bool
	drained     chan struct{}
	initOnce    sync.Once
}

// Counters counts datagrams, handshakes and streams since the process started.
type Counters struct {
	Delivered         atomic.Uint64 // datagrams queued for quic-go
	HandedOver        atomic.Uint64 // datagrams of first flights handed over to another agent
	Foreign           atomic.Uint64 // datagrams and relays for another service, agent or role, or of an invalid kind
	Forged            atomic.Uint64 // datagrams with an invalid tag, packet or connection ID
	Refused           atomic.Uint64 // datagrams of first flights dropped, as no usable agent or no hop was left
	Overflow          atomic.Uint64 // datagrams dropped because the queue was full
	WrongName         atomic.Uint64 // handshakes for another server name
	BadStreams        atomic.Uint64 // streams without a valid header
	CrossingHandovers atomic.Uint64 // datagrams of HandedOver that went to another data centre
	CrossingRelays    atomic.Uint64 // streams relayed to another data centre
}

// StreamCounters returns the counters of the callers' and relayed streams.
func (a *Agent) StreamCounters() *jmserver.Counters { return &a.server.Counters }

// Usage returns the requests and feeds in progress and the number of open flows.
func (a *Agent) Usage() (usage jmgate.Usage, flows int) {
	return a.gate.Usage(), a.flows.len()
}

func (a *Agent) init() {
	a.initOnce.Do(func() { a.drained = make(chan struct{}) })
}

// Drained returns a channel that is closed after Leave, once no relayed stream
// and no flow is left.
func (a *Agent) Drained() <-chan struct{} {
	a.init()
	return a.drained
}

// Leave starts to drain the agent: new flows and new streams go to other
// agents, and open streams run to their end.
func (a *Agent) Leave() {
	if a.isDraining.Swap(true) {
		return
	}
	a.Log.Info("agent: leaving")
	a.Node.Leave()
	a.flows.announceLeaving()
}

// Run waits for settings that name this agent and then serves flows until ctx ends.
// It returns once all its goroutines have ended. If ctx ends during the wait, Run
// returns its error.
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
	a.Node.NeedsConfirmation = a.Service == ""
	a.prepareServer()
	ctx, cancel := context.WithCancel(ctx)
	wg := jmguard.Group{Guard: a.Guard}
	defer wg.Wait()
	defer cancel()
	wg.Go("control", func() { a.Node.Run(ctx) })
	wg.Go("link listener", func() { a.Node.Serve(ctx, tcp, a.serveLink) })
	wg.Go(goroutinePackets, func() { a.conn.receive(ctx) })
	wg.Go("drain", func() { a.drainLoop(ctx) })
	wg.Go("load", func() { a.sampleLoadLoop(ctx) })
	a.Guard.Do(goroutineViews, func() { err = a.waitForService(ctx) })
	if err != nil || a.Guard.HasFailed() {
		return err
	}
	wg.Go(goroutineViews, func() { a.updateViews(ctx) })
	a.Guard.Do("flow listener", func() { err = a.serveFlows(ctx) })
	return err
}

// send sends a datagram from the fleet socket. Errors are ignored, as the loss of a
// datagram by the network is.
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
	a.server.IsClosed = a.refusesNewWork
	a.server.Log = a.Log
	a.server.Guard = a.Guard
	a.server.Decisions = a.Decisions
}

// isLeaving reports whether the agent drains, or the settings mark its upstream
// as leaving or no longer name this agent.
func (a *Agent) isLeaving() bool {
	if a.isDraining.Load() {
		return true
	}
	v := a.view.Load()
	return v != nil && (v.upstream.Leaving || !v.isConfigured)
}

// refusesNewWork reports whether new flows and streams must go to other agents:
// this agent is leaving, or its view is stale because the process was paused and
// no peer has answered since.
func (a *Agent) refusesNewWork() bool {
	return a.isLeaving() || a.Node.View().IsStale
}

// ownLoad returns the current load of this agent, which is zero before the first view.
func (a *Agent) ownLoad() (load jasminemoor.Load) {
	v := a.view.Load()
	if v == nil {
		return load
	}
	usage := a.gate.Usage()
	slots := v.service.Limits.WithDefaults().Slots
	factor := a.meter.Factor(time.Now()) * v.relativeWeight
	load.Now = jmload.Of(usage.Running+usage.Waiting, slots, factor)
	load.Mean = a.meanLoad.Load()
	load.Density = jmload.Density(a.flows.len(), factor)
	return load
}

// sampleLoadLoop updates the mean load until ctx ends.
func (a *Agent) sampleLoadLoop(ctx context.Context) {
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	var smoother jmload.Smoother
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			smoother.Add(a.ownLoad().Now, loadSampleInterval)
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
		ConnContext:       a.flows.trackConn,
	}
	listener, err := transport.Listen(a.tlsConfig(), &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		HandshakeIdleTimeout:    handshakeTimeout,
		KeepAlivePeriod:         keepAlivePeriod,
		MaxIncomingStreams:      maxStreams,
		MaxIncomingUniStreams:   -1,
		InitialPacketSize:       initialPacketSize,
		DisablePathMTUDiscovery: true,
	})
	if err != nil {
		return err
	}
	a.Log.WithField("Address", a.Identity.Agent).Info("agent: serving")
	wg := jmguard.Group{Guard: a.Guard}
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			break
		}
		wg.Go(goroutineFlow, func() { a.Guard.Try(goroutineFlow, func() { a.serveFlow(ctx, conn) }) })
	}
	_ = listener.Close()
	_ = transport.Close()
	wg.Wait()
	return nil
}

// drainLoop closes idle flows after Leave, and closes drained once no flow and
// no relayed stream is left.
func (a *Agent) drainLoop(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if !a.isDraining.Load() {
				continue
			}
			if a.flows.closeIdle(now) == 0 && a.relays.len() == 0 {
				a.Log.Info("agent: drained")
				close(a.drained)
				return
			}
		}
	}
}
