// Package jmbalancer implements the balancer, the process that callers send to. It
// receives callers' datagrams at the services' addresses, forwards each one to its
// agent, and returns the agents' answers to the callers. It keeps no state per
// flow.
package jmbalancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
)

const (
	socketBuffer = 8 << 20 // bytes requested from the kernel for each direction
	// QuietTime is the time without a forwarded datagram after which a leaving
	// balancer is drained.
	QuietTime     = 2 * time.Second
	drainInterval = 100 * time.Millisecond
)

// Names of the goroutines, in the log lines on panics.
const (
	goroutineCallers = "callers"
	goroutineAnswers = "answers"
	goroutineViews   = "views"
)

// Balancer is a balancer process. The exported fields are set before Run.
type Balancer struct {
	Identity   jasminemoor.Identity
	DataCentre string
	// ServiceIP, if valid, is bound in place of each service's IP address.
	ServiceIP netip.Addr
	// Node is the control side of the process.
	Node *jmnode.Node
	Log  logrus.FieldLogger
	// Guard ends the process if one of its goroutines panics.
	Guard    *jmguard.Guard
	Counters Counters

	view       atomic.Pointer[view]
	fleet      *net.UDPConn
	spare      *net.UDPConn // sends to agents that the fleet socket's port no longer reaches
	sockets    socketSet
	silence    silenceDetector
	lastRouted atomic.Int64 // when a datagram was last routed, or Leave called, in nanoseconds since the Unix epoch
	isLeaving  atomic.Bool
	drained    chan struct{}
	initOnce   sync.Once
}

// Counters counts datagrams since the process started.
type Counters struct {
	Forwarded  atomic.Uint64 // datagrams of open flows sent to their agents
	Placed     atomic.Uint64 // datagrams of first flights sent to their first candidate
	Returned   atomic.Uint64 // datagrams sent to callers
	NotQUIC    atomic.Uint64 // datagrams without a valid QUIC packet
	Forged     atomic.Uint64 // datagrams whose connection ID is invalid
	NoUpstream atomic.Uint64 // datagrams of first flights for which there is no service or no upstream
	NoService  atomic.Uint64 // answers for a service address that has no socket here
	BadTag     atomic.Uint64 // datagrams from agents that have an invalid tag or kind
	TooShort   atomic.Uint64 // datagrams of first flights below the size that QUIC requires
	SparePort  atomic.Uint64 // datagrams sent to agents from the spare port
	// ForwardedByKey counts the datagrams of Forwarded by the key number in
	// their connection ID.
	ForwardedByKey [256]atomic.Uint64
}

func (b *Balancer) init() {
	b.initOnce.Do(func() { b.drained = make(chan struct{}) })
}

// Drained returns a channel that is closed after Leave, once no datagram of a
// caller has been forwarded for QuietTime.
func (b *Balancer) Drained() <-chan struct{} {
	b.init()
	return b.drained
}

// Leave starts to drain the balancer. It announces that the balancer is leaving,
// so that agents answer through other balancers. The balancer goes on forwarding
// until the context of Run ends.
func (b *Balancer) Leave() {
	if b.isLeaving.Swap(true) {
		return
	}
	b.Log.Info("balancer: leaving")
	b.lastRouted.Store(time.Now().UnixNano())
	b.Node.Leave()
}

// Run forwards datagrams until ctx ends, and returns once all its goroutines have
// ended.
func (b *Balancer) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "balancer %s", b.Identity.Agent)
		}
	}()
	b.init()
	fleet, tcp, err := b.Node.Listen(ctx)
	if err != nil {
		return err
	}
	b.fleet = fleet
	defer b.fleet.Close()
	spare := netip.AddrPortFrom(b.Identity.Agent.Addr(), 0)
	if b.spare, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(spare)); err != nil {
		return err
	}
	defer b.spare.Close()
	setBuffers(b.spare)
	ctx, cancel := context.WithCancel(ctx)
	wg := jmguard.Group{Guard: b.Guard}
	defer wg.Wait()
	defer cancel()
	wg.Go("control", func() { b.Node.Run(ctx) })
	wg.Go("link listener", func() { b.Node.Serve(ctx, tcp, nil) })
	wg.Go(goroutineAnswers, func() { b.returnLoop(ctx, b.fleet) })
	wg.Go(goroutineAnswers, func() { b.returnLoop(ctx, b.spare) })
	wg.Go("drain", func() { b.drainLoop(ctx) })
	wg.Go("sockets", func() {
		<-ctx.Done()
		b.sockets.close()
	})
	b.Guard.Do(goroutineViews, func() { b.updateViews(ctx, &wg) })
	return nil
}

// setBuffers requests socketBuffer bytes for both directions of a socket.
func setBuffers(conn *net.UDPConn) {
	// The kernel may grant less, which only loses packets in bursts.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
}

// drainLoop closes drained once the balancer is leaving and no datagram was routed
// for QuietTime.
func (b *Balancer) drainLoop(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			quiet := time.Since(time.Unix(0, b.lastRouted.Load()))
			if b.isLeaving.Load() && quiet >= QuietTime {
				b.Log.Info("balancer: drained")
				close(b.drained)
				return
			}
		}
	}
}
