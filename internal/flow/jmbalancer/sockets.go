package jmbalancer

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/flow/jmconnid"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// socketSet holds one socket for each service address. A socket, once open,
// stays open for the life of the process: flows of a service that lost its
// address still come and go through it.
type socketSet struct {
	mu       sync.Mutex
	isClosed bool
	byLocal  atomic.Pointer[map[netip.AddrPort]*net.UDPConn]
}

// find returns the socket of a service address, or nil.
func (s *socketSet) find(local netip.AddrPort) *net.UDPConn {
	m := s.byLocal.Load()
	if m == nil {
		return nil
	}
	return (*m)[local]
}

// open opens the socket of a service address unless it is open.
func (s *socketSet) open(local netip.AddrPort, ip netip.Addr) (conn *net.UDPConn, isNew bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn = s.find(local); conn != nil {
		return conn, false, nil
	}
	if s.isClosed {
		return nil, false, net.ErrClosed
	}
	bind := local
	if ip.IsValid() {
		bind = netip.AddrPortFrom(ip, local.Port())
	}
	conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(bind))
	if err != nil {
		return nil, false, err
	}
	setBuffers(conn)
	next := make(map[netip.AddrPort]*net.UDPConn)
	if old := s.byLocal.Load(); old != nil {
		maps.Copy(next, *old)
	}
	next[local] = conn
	s.byLocal.Store(&next)
	return conn, true, nil
}

func (s *socketSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	if m := s.byLocal.Load(); m != nil {
		for _, conn := range *m {
			_ = conn.Close()
		}
	}
}

// callerLoop passes the datagrams of one service address to agents.
func (b *Balancer) callerLoop(ctx context.Context, conn *net.UDPConn, local netip.AddrPort) {
	f := forwarder{balancer: b, local: local}
	var buffer [jmdatagram.MaxSize]byte
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buffer[jmdatagram.HeaderSize:])
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			continue
		}
		datagram := buffer[:jmdatagram.HeaderSize+n]
		if to, ok := f.route(datagram, from); ok {
			_, _ = b.fleet.WriteToUDPAddrPort(datagram, to)
		}
	}
}

// minFirstSize is the least size in bytes of a datagram that may begin a flow
// (RFC 9000, section 14.1).
const minFirstSize = 1200

// forwarder routes callers' datagrams. It is for one goroutine and does not
// allocate for a datagram.
type forwarder struct {
	balancer *Balancer
	local    netip.AddrPort
	view     *view
	opener   jmconnid.Opener
	sealer   *jmdatagram.Sealer
	header   jmdatagram.Header
}

// route finds the agent of a datagram and puts the encapsulation before its
// payload, which begins at jmdatagram.HeaderSize.
func (f *forwarder) route(datagram []byte, from netip.AddrPort) (to netip.AddrPort, ok bool) {
	v := f.balancer.view.Load()
	if v == nil {
		return to, false
	}
	if v != f.view {
		f.view, f.sealer, f.opener.Codec = v, v.newSealer(), v.codec
	}
	payload := datagram[jmdatagram.HeaderSize:]
	packet, err := jmconnid.ParsePacket(payload)
	if err != nil {
		f.balancer.Counters.NotQUIC.Add(1)
		return to, false
	}
	f.header = jmdatagram.Header{
		Kind:   jmdatagram.KindForward,
		Caller: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()),
		Local:  f.local,
	}
	route, err := f.opener.Open(packet.Destination)
	switch {
	case err == nil:
		f.header.Service = route.Service
		to = route.Agent
		f.balancer.Counters.Forwarded.Add(1)
		f.balancer.Counters.ByKey[packet.Destination[0]].Add(1)
	case packet.IsLong && packet.IsFirst:
		if to, ok = f.place(payload, packet.Destination); !ok {
			return to, false
		}
	default:
		f.balancer.Counters.Forged.Add(1)
		return to, false
	}
	f.balancer.lastHeard.Store(time.Now().UnixNano())
	f.sealer.Marshal(datagram, &f.header)
	return to, true
}

// place names the candidates for a new flow of the address's service.
func (f *forwarder) place(payload, id []byte) (to netip.AddrPort, ok bool) {
	b := f.balancer
	if len(payload) < minFirstSize {
		b.Counters.TooShort.Add(1)
		return to, false
	}
	service := f.view.services[f.local]
	if service == nil || service.table.Len() == 0 {
		b.Counters.NoUpstream.Add(1)
		return to, false
	}
	first, second := service.table.Pick(id)
	f.header.Service = service.number
	f.header.Other = second
	b.silence.sent(first)
	b.Counters.Placed.Add(1)
	return first, true
}
