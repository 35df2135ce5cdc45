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

// receiveQueue is how many datagrams wait for quic-go.
const receiveQueue = 4096

// packetConn is the agent's fleet socket as quic-go sees it: reads return the
// callers' datagrams without their encapsulation, and writes go back through a
// balancer.
type packetConn struct {
	agent    *Agent
	received chan *received
	pool     sync.Pool // of *received
	senders  sync.Pool // of *sender
	closed   chan struct{}
	once     sync.Once

	// These belong to the receiving goroutine.
	opener jmconnid.Opener
	sealer *jmdatagram.Sealer
	keys   []jmdatagram.Key
	firsts jmplacer.FirstFlights
}

type received struct {
	buffer [jmdatagram.MaxSize]byte
	size   int
	header jmdatagram.Header
}

// sender is what one write needs.
type sender struct {
	buffer [jmdatagram.MaxSize]byte
	sealer *jmdatagram.Sealer
	keys   []jmdatagram.Key
}

var _ net.PacketConn = (*packetConn)(nil)

func newPacketConn(a *Agent) *packetConn {
	c := &packetConn{
		agent:    a,
		received: make(chan *received, receiveQueue),
		closed:   make(chan struct{}),
	}
	c.pool.New = func() any { return &received{} }
	c.senders.New = func() any { return &sender{} }
	return c
}

// receive reads the fleet socket until ctx ends.
func (c *packetConn) receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.agent.udp.SetReadDeadline(time.Now()) })
	defer stop()
	r := c.pool.Get().(*received)
	for ctx.Err() == nil {
		n, from, err := c.agent.udp.ReadFromUDPAddrPort(r.buffer[:])
		if err != nil {
			continue
		}
		r.size = n
		if c.handle(ctx, r, from) {
			r = c.pool.Get().(*received)
		}
	}
}

// handle sorts one datagram. It returns true if it has passed it on to quic-go.
func (c *packetConn) handle(ctx context.Context, r *received, from netip.AddrPort) bool {
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
	if !c.isOurs(v, r, balancer) {
		return false
	}
	c.agent.returns.Heard(r.header.Caller, r.header.Local, balancer, time.Now())
	select {
	case c.received <- r:
		c.agent.Counters.Delivered.Add(1)
		return true
	default:
		c.agent.Counters.Overflow.Add(1)
		return false
	}
}

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

// isOurs reports whether a datagram belongs to a flow of this agent, or begins
// one that this agent keeps.
func (c *packetConn) isOurs(v *view, r *received, balancer netip.AddrPort) bool {
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
	if !packet.IsLong || !packet.IsFirst {
		c.agent.Counters.Forged.Add(1)
		return false
	}
	if r.header.Service != v.service.Number {
		c.agent.Counters.Foreign.Add(1)
		return false
	}
	return c.keepsFirst(v, r, packet.Destination, balancer)
}

// keepsFirst decides on a packet of a first flight, and hands it on if another
// agent is to have the flow.
func (c *packetConn) keepsFirst(v *view, r *received, id []byte, balancer netip.AddrPort) bool {
	now := time.Now()
	if r.header.Kind == jmdatagram.KindForward {
		c.acknowledge(r, balancer)
	}
	choice, found := c.firsts.Find(id, now)
	if !found {
		choice = jmplacer.Choose(c.agent.situation(v, &r.header, now))
		if choice.IsDropped {
			c.agent.Counters.Refused.Add(1)
			c.agent.logPlacement(choice)
			return false
		}
		c.firsts.Put(id, choice, now)
		if choice.HandTo.IsValid() {
			c.agent.logPlacement(choice)
		}
	}
	if !choice.HandTo.IsValid() {
		return true
	}
	c.handOn(v, r, choice.HandTo, balancer)
	return false
}

// acknowledge tells a balancer that its first flights get here, whatever
// becomes of them: a Return without a payload.
func (c *packetConn) acknowledge(r *received, balancer netip.AddrPort) {
	header := r.header
	header.Kind = jmdatagram.KindReturn
	var datagram [jmdatagram.HeaderSize]byte
	c.sealer.Marshal(datagram[:], &header)
	c.agent.send(datagram[:], balancer)
}

func (c *packetConn) handOn(v *view, r *received, to, balancer netip.AddrPort) {
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
	c.agent.Counters.HandedOn.Add(1)
	if v.node.StateOf(to).DataCentre != v.upstream.DataCentre {
		c.agent.Counters.CrossingHand.Add(1)
	}
}

// situation gathers what the choice for a first flight depends on.
func (a *Agent) situation(v *view, h *jmdatagram.Header, now time.Time) *jmplacer.Situation {
	limits := v.service.Limits.WithDefaults()
	s := &jmplacer.Situation{
		Hops:     h.Hops,
		IsClosed: a.takesNoWork() || a.flows.len() >= limits.Connections,
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
	if !a.Decisions.IsOn() {
		return
	}
	a.Decisions.Line("placement: flow not kept", logrus.Fields{"Agent": c.HandTo, "Reason": c.Reason})
}

// ReadFrom returns the next datagram of a caller, and the caller's address.
func (c *packetConn) ReadFrom(p []byte) (n int, addr net.Addr, err error) {
	select {
	case r := <-c.received:
		n = copy(p, r.buffer[jmdatagram.HeaderSize:r.size])
		addr = net.UDPAddrFromAddrPort(r.header.Caller)
		c.pool.Put(r)
		return n, addr, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

var errNoRoute = errors.New("caller has not been heard of")

// WriteTo sends a datagram to a caller through a balancer.
func (c *packetConn) WriteTo(p []byte, addr net.Addr) (n int, err error) {
	udpAddr, ok := addr.(*net.UDPAddr)
	if !ok || len(p) > jmdatagram.MaxPayload {
		return 0, errNoRoute
	}
	v := c.agent.view.Load()
	ap := udpAddr.AddrPort()
	caller := netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
	balancer, local, found := c.agent.returns.Route(caller, v.balancers, time.Now())
	if !found {
		return 0, errNoRoute
	}
	s := c.senders.Get().(*sender)
	defer c.senders.Put(s)
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
	// A full socket buffer is a lost packet like any other.
	c.agent.send(s.buffer[:size], balancer)
	return len(p), nil
}

// Close ends reading. The socket belongs to the agent.
func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns the address of the fleet socket.
func (c *packetConn) LocalAddr() net.Addr { return c.agent.udp.LocalAddr() }

// SetDeadline has no effect; quic-go ends reading by Close.
func (c *packetConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline ends a pending read when quic-go shuts down.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		return c.Close()
	}
	return nil
}

// SetWriteDeadline has no effect.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer has no effect: the buffer of the real socket is set already.
func (c *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer has no effect: the buffer of the real socket is set already.
func (c *packetConn) SetWriteBuffer(int) error { return nil }
