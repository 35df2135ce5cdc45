// Package jmbalancer is the entry process: it takes callers' datagrams at the
// services' addresses, finds each one's agent, and passes the agents' answers
// back. It keeps no state of any flow.
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
	"github.com/sourcegraph/conc"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
)

const (
	socketBuffer = 8 << 20 // bytes asked of the kernel for each direction
	// QuietTime is how long no caller's datagram may come before a leaving
	// balancer ends.
	QuietTime     = 2 * time.Second
	drainInterval = 100 * time.Millisecond
)

// Balancer is one balancer. The exported fields are set before Run.
type Balancer struct {
	Identity   jasminemoor.Identity
	DataCentre string
	// ServiceIP, where valid, takes the place of each service's IP address.
	ServiceIP netip.Addr
	// Node is the control side.
	Node     *jmnode.Node
	Log      logrus.FieldLogger
	Counters Counters

	view      atomic.Pointer[view]
	fleet     *net.UDPConn
	spare     *net.UDPConn // for agents that the fleet socket's port no longer gets through to
	sockets   socketSet
	silence   silenceTable
	lastHeard atomic.Int64 // nanoseconds since the Unix epoch
	isLeaving atomic.Bool
	drained   chan struct{}
	start     sync.Once
}

// Counters counts datagrams since the process started.
type Counters struct {
	Forwarded  atomic.Uint64 // datagrams of open flows passed to their agents
	Placed     atomic.Uint64 // datagrams of first flights passed to a candidate
	Returned   atomic.Uint64 // datagrams passed back to callers
	NotQUIC    atomic.Uint64
	Forged     atomic.Uint64 // connection IDs that fail their check
	NoUpstream atomic.Uint64 // first flights of a service without upstreams
	NoService  atomic.Uint64 // answers from an address that has no socket here
	BadTag     atomic.Uint64 // datagrams on the fleet socket that fail their check
	TooShort   atomic.Uint64 // first flights below the size that QUIC asks for
	SparePort  atomic.Uint64 // datagrams passed to agents from the spare port
	ByKey      [256]atomic.Uint64
}

func (b *Balancer) init() {
	b.start.Do(func() { b.drained = make(chan struct{}) })
}

// Drained is closed after Leave once no caller's datagram has come for QuietTime.
func (b *Balancer) Drained() <-chan struct{} {
	b.init()
	return b.drained
}

// Leave takes the balancer out of service gracefully: it announces that it
// goes, so that agents answer through others, and forwards until it is quiet.
func (b *Balancer) Leave() {
	if b.isLeaving.Swap(true) {
		return
	}
	b.Log.Info("balancer: leaving")
	b.lastHeard.Store(time.Now().UnixNano())
	b.Node.Leave()
}

// Run serves until ctx ends. It returns once all its goroutines have ended.
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
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { b.Node.Run(ctx) })
	wg.Go(func() { b.Node.Serve(ctx, tcp, nil) })
	wg.Go(func() { b.returnLoop(ctx, b.fleet) })
	wg.Go(func() { b.returnLoop(ctx, b.spare) })
	wg.Go(func() { b.drainLoop(ctx) })
	wg.Go(func() {
		<-ctx.Done()
		b.sockets.close()
	})
	b.followViews(ctx, &wg)
	return nil
}

func setBuffers(conn *net.UDPConn) {
	// The kernel may grant less; that costs packets under bursts, nothing else.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
}

func (b *Balancer) drainLoop(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			quiet := time.Since(time.Unix(0, b.lastHeard.Load()))
			if b.isLeaving.Load() && quiet >= QuietTime {
				b.Log.Info("balancer: drained")
				close(b.drained)
				return
			}
		}
	}
}
