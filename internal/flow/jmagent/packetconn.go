package jmagent

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmconnid"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// receiveQueueSize is the number of datagrams that can wait for quic-go to read.
const receiveQueueSize = 4096

// packetConn adapts the agent's fleet socket for quic-go. Reads return the
// callers' datagrams without their encapsulation; writes are encapsulated and
// sent to the caller through a balancer.
type packetConn struct {
	agent        *Agent
	queue        chan *receivedDatagram
	datagramPool sync.Pool // of *receivedDatagram
	senderPool   sync.Pool // of *sender
	closed       chan struct{}
	once         sync.Once

	// The fields below are used by the receiving goroutine only.
	opener       jmconnid.Opener
	sealer       *jmdatagram.Sealer
	keys         []jmdatagram.Key
	firstFlights jmplacer.FirstFlights
}

// receivedDatagram is a datagram from the fleet socket with its decoded header.
type receivedDatagram struct {
	buffer [jmdatagram.MaxSize]byte
	size   int
	header jmdatagram.Header
}

// sender holds the buffer and the sealer of one WriteTo call.
type sender struct {
	buffer [jmdatagram.MaxSize]byte
	sealer *jmdatagram.Sealer
	keys   []jmdatagram.Key
}

var _ net.PacketConn = (*packetConn)(nil)

func newPacketConn(a *Agent) *packetConn {
	c := &packetConn{
		agent:  a,
		queue:  make(chan *receivedDatagram, receiveQueueSize),
		closed: make(chan struct{}),
	}
	c.datagramPool.New = func() any { return &receivedDatagram{} }
	c.senderPool.New = func() any { return &sender{} }
	return c
}

// receive reads datagrams from the fleet socket until ctx ends.
func (c *packetConn) receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.agent.udp.SetReadDeadline(time.Now()) })
	defer stop()
	r := c.datagramPool.Get().(*receivedDatagram)
	for ctx.Err() == nil {
		n, from, err := c.agent.udp.ReadFromUDPAddrPort(r.buffer[:])
		if err != nil {
			continue
		}
		r.size = n
		isQueued := false
		c.agent.Guard.Try(goroutinePackets, func() { isQueued = c.handle(ctx, r, from) })
		if isQueued {
			r = c.datagramPool.Get().(*receivedDatagram)
		}
	}
}

// handle passes one datagram to the control side or queues it for quic-go, hands
// it over to another agent, or drops it. It returns true if the datagram was
// queued, in which case r must not be reused.
func (c *packetConn) handle(ctx context.Context, r *receivedDatagram, from netip.AddrPort) bool {
	datagram := r.buffer[:r.size]
	if len(datagram) == 0 || !c.agent.Node.CanReach(from) {
		return false
	}
	if jmdatagram.Kind(datagram[0]) == jmdatagram.KindControl {
		c.agent.Node.Receive(ctx, datagram)
		return false
	}
	v := c.agent.view.Load()
	if v == nil || !c.refreshKeys(v) {
		return false
	}
	if err := c.sealer.Unmarshal(datagram, &r.header); err != nil {
		c.agent.Counters.Forged.Add(1)
		return false
	}
	balancer := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	switch r.header.Kind {
	case jmdatagram.KindForward:
	case jmdatagram.KindHandover:
		balancer = r.header.Other
	default:
		c.agent.Counters.Foreign.Add(1)
		return false
	}
	if !c.accepts(v, r, balancer) {
		return false
	}
	c.agent.returnPaths.Record(r.header.Caller, r.header.Local, balancer, time.Now())
	select {
	case c.queue <- r:
		c.agent.Counters.Delivered.Add(1)
		return true
	default:
		c.agent.Counters.Overflow.Add(1)
		return false
	}
}

// refreshKeys updates the codec and the sealer to a view's keys. It returns false
// if the keys can't be used.
func (c *packetConn) refreshKeys(v *view) bool {
	c.opener.Codec = v.codec
	if c.sealer != nil && slices.Equal(c.keys, v.keys) {
		return true
	}
	sealer, err := jmdatagram.NewSealer(v.keys)
	if err != nil {
		return false
	}
	c.sealer, c.keys = sealer, v.keys
	return true
}

// accepts reports whether a datagram belongs to a flow of this agent, or to the
// first flight of a flow that this agent keeps. It counts each datagram that it
// drops or hands over.
func (c *packetConn) accepts(v *view, r *receivedDatagram, balancer netip.AddrPort) bool {
	packet, err := jmconnid.ParsePacket(r.buffer[jmdatagram.HeaderSize:r.size])
	if err != nil {
		c.agent.Counters.Forged.Add(1)
		return false
	}
	route, err := c.opener.Open(packet.Destination)
	if err == nil {
		if route.Service != v.service.Number || route.Agent != c.agent.Identity.Agent {
			c.agent.Counters.Foreign.Add(1)
			return false
		}
		return true
	}
	if !packet.HasLongHeader || !packet.MayOpenFlow {
		c.agent.Counters.Forged.Add(1)
		return false
	}
	if r.header.Service != v.service.Number {
		c.agent.Counters.Foreign.Add(1)
		return false
	}
	return c.acceptsFirstFlight(v, r, packet.Destination, balancer)
}

// acceptsFirstFlight reports whether this agent keeps the flow that a packet of a
// first flight begins. If another agent was chosen, the packet is handed over.
func (c *packetConn) acceptsFirstFlight(v *view, r *receivedDatagram, id []byte, balancer netip.AddrPort) bool {
	now := time.Now()
	if r.header.Kind == jmdatagram.KindForward {
		c.acknowledge(r, balancer)
	}
	choice, found := c.firstFlights.Find(id, now)
	if !found {
		choice = jmplacer.Choose(c.agent.situation(v, &r.header, now))
		if choice.IsDropped {
			c.agent.Counters.Refused.Add(1)
			c.agent.logPlacement(choice)
			return false
		}
		c.firstFlights.Put(id, choice, now)
		if choice.HandTo.IsValid() {
			c.agent.logPlacement(choice)
		}
	}
	if !choice.HandTo.IsValid() {
		return true
	}
	c.handOver(v, r, choice.HandTo, balancer)
	return false
}

// acknowledge sends a Return without a payload to a balancer. Without it, the
// balancer would treat this agent as silent if its flows are refused or handed over.
func (c *packetConn) acknowledge(r *receivedDatagram, balancer netip.AddrPort) {
	header := r.header
	header.Kind = jmdatagram.KindReturn
	var datagram [jmdatagram.HeaderSize]byte
	c.sealer.Marshal(datagram[:], &header)
	c.agent.send(datagram[:], balancer)
}

// handOver sends a packet of a first flight to the agent that was chosen for its
// flow. The balancer goes into the header, since the answers go through it.
func (c *packetConn) handOver(v *view, r *receivedDatagram, to, balancer netip.AddrPort) {
	if r.header.Hops >= jmplacer.MaxHops {
		c.agent.Counters.Refused.Add(1)
		return
	}
	r.header.Kind = jmdatagram.KindHandover
	r.header.Hops++
	r.header.Other = balancer
	datagram := r.buffer[:r.size]
	c.sealer.Marshal(datagram, &r.header)
	c.agent.send(datagram, to)
	c.agent.Counters.HandedOver.Add(1)
	if v.node.StateOf(to).DataCentre != v.upstream.DataCentre {
		c.agent.Counters.CrossingHandovers.Add(1)
	}
}

// situation returns the input of the placement decision for a first flight.
func (a *Agent) situation(v *view, h *jmdatagram.Header, now time.Time) *jmplacer.Situation {
	limits := v.service.Limits.WithDefaults()
	s := &jmplacer.Situation{
		Hops:     h.Hops,
		IsClosed: a.refusesNewWork() || a.flows.len() >= limits.Connections,
		Own:      a.ownLoad(),
	}
	for i := range v.peers {
		p := a.peer(v, &v.peers[i], now)
		if h.Kind == jmdatagram.KindForward && p.Agent == h.Other {
			s.Second = p
			continue
		}
		s.Others = append(s.Others, p)
	}
	return s
}

func (a *Agent) logPlacement(c jmplacer.Choice) {
	if !a.Decisions.IsDebugEnabled() {
		return
	}
	a.Decisions.Debug("placement: flow not kept", logrus.Fields{"Agent": c.HandTo, "Reason": c.Reason})
}

// ReadFrom reads the next datagram of a caller into p, and returns its size and
// the caller's address.
func (c *packetConn) ReadFrom(p []byte) (n int, addr net.Addr, err error) {
	select {
	case r := <-c.queue:
		n = copy(p, r.buffer[jmdatagram.HeaderSize:r.size])
		addr = net.UDPAddrFromAddrPort(r.header.Caller)
		c.datagramPool.Put(r)
		return n, addr, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

var errNoReturnPath = errors.New("no return path to the caller")

// WriteTo sends a datagram to a caller through a balancer. It returns
// errNoReturnPath for a caller that no datagram came from lately, and also for an
// address or a size that can't be sent.
func (c *packetConn) WriteTo(p []byte, addr net.Addr) (n int, err error) {
	if !c.agent.Guard.Try(goroutineAnswers, func() { n, err = c.writeTo(p, addr) }) {
		return len(p), nil // lost, as on the network
	}
	return n, err
}

func (c *packetConn) writeTo(p []byte, addr net.Addr) (n int, err error) {
	udpAddr, ok := addr.(*net.UDPAddr)
	if !ok || len(p) > jmdatagram.MaxPayload {
		return 0, errNoReturnPath
	}
	v := c.agent.view.Load()
	ap := udpAddr.AddrPort()
	caller := netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
	balancer, local, found := c.agent.returnPaths.Choose(caller, v.balancers, time.Now())
	if !found {
		return 0, errNoReturnPath
	}
	s := c.senderPool.Get().(*sender)
	defer c.senderPool.Put(s)
	if s.sealer == nil || !slices.Equal(s.keys, v.keys) {
		if s.sealer, err = jmdatagram.NewSealer(v.keys); err != nil {
			return 0, err
		}
		s.keys = v.keys
	}
	size := jmdatagram.HeaderSize + copy(s.buffer[jmdatagram.HeaderSize:], p)
	header := jmdatagram.Header{
		Kind:    jmdatagram.KindReturn,
		Service: v.service.Number,
		Caller:  caller,
		Local:   local,
	}
	s.sealer.Marshal(s.buffer[:size], &header)
	// A packet that a full socket buffer drops is lost like any other, and QUIC
	// retransmits what it contained.
	c.agent.send(s.buffer[:size], balancer)
	return len(p), nil
}

// Close makes a pending read fail, and later ones at the latest when the queue is
// empty. The socket stays open, since the agent owns it.
func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns the address of the fleet socket.
func (c *packetConn) LocalAddr() net.Addr { return c.agent.udp.LocalAddr() }

// SetDeadline has no effect: quic-go ends reads by SetReadDeadline or Close.
func (c *packetConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline closes the connection if t has passed, which is how quic-go
// ends a pending read when it shuts down. Other deadlines have no effect.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		return c.Close()
	}
	return nil
}

// SetWriteDeadline has no effect.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer has no effect: the read buffer of the fleet socket is set already.
func (c *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer has no effect: the write buffer of the fleet socket is set
// already.
func (c *packetConn) SetWriteBuffer(int) error { return nil }
