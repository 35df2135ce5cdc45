package jmbalancer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmbatch"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmconnid"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// callerLoop forwards the datagrams that arrive at one service address to agents,
// until ctx ends.
func (b *Balancer) callerLoop(ctx context.Context, conn *net.UDPConn, local netip.AddrPort) {
	reader, err := jmbatch.NewReader(conn)
	if err != nil {
		b.Log.WithError(err).Error("balancer: can't read from the socket of a service address")
		b.Guard.Fail(goroutineCallers, err)
		return
	}
	fleet, err := newOutBatch(b.fleet)
	if err != nil {
		b.Log.WithError(err).Error("balancer: can't write to the fleet socket")
		b.Guard.Fail(goroutineCallers, err)
		return
	}
	spare, err := newOutBatch(b.spare)
	if err != nil {
		b.Log.WithError(err).Error("balancer: can't write to the spare socket")
		b.Guard.Fail(goroutineCallers, err)
		return
	}
	f := forwarder{balancer: b, local: local}
	in := newBatch(jmdatagram.HeaderSize)
	for ctx.Err() == nil {
		n, err := reader.Read(in)
		if err != nil {
			continue
		}
		f.routeBatch(in[:n], fleet, spare)
		b.Guard.Try(goroutineCallers, fleet.flush)
		b.Guard.Try(goroutineCallers, spare.flush)
	}
}

// newBatch returns a batch to read into, with headroom bytes before each datagram.
func newBatch(headroom int) []jmbatch.Datagram {
	batch := make([]jmbatch.Datagram, jmbatch.Size)
	for i := range batch {
		batch[i].Buffer = make([]byte, jmdatagram.MaxSize)
		batch[i].Offset = headroom
	}
	return batch
}

// routeBatch routes the datagrams of a batch, whose buffers have headroom for the
// header, and adds them to the batch of the socket that sends them.
func (f *forwarder) routeBatch(in []jmbatch.Datagram, fleet, spare *outBatch) {
	isAnyRouted := false
	f.balancer.Guard.Each(goroutineCallers, len(in), func(i int) {
		datagram := in[i].Buffer[:jmdatagram.HeaderSize+in[i].Length]
		to, ok := f.route(datagram, in[i].Addr)
		if !ok || !f.balancer.Node.CanReach(to) {
			return
		}
		isAnyRouted = true
		if f.usesSparePort {
			f.balancer.Counters.SparePort.Add(1)
			spare.add(datagram, to)
			return
		}
		fleet.add(datagram, to)
	})
	if isAnyRouted {
		f.balancer.lastRouted.Store(time.Now().UnixNano())
	}
}

// minFirstSize is the minimum size in bytes of a datagram of a first flight
// (RFC 9000, section 14.1).
const minFirstSize = 1200

// forwarder routes the datagrams of one service address. It must be used by one
// goroutine only, and does not allocate per datagram.
type forwarder struct {
	balancer *Balancer
	local    netip.AddrPort
	view     *view
	opener   jmconnid.Opener
	sealer   *jmdatagram.Sealer
	header   jmdatagram.Header
	// usesSparePort is set by route if the datagram must be sent from the spare
	// port.
	usesSparePort bool
}

// route returns the agent that a datagram goes to, and writes the encapsulation
// before its payload, which begins at jmdatagram.HeaderSize. It returns false if
// the datagram is dropped.
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
		f.usesSparePort = f.balancer.silence.recordForward(to)
		f.balancer.Counters.Forwarded.Add(1)
		f.balancer.Counters.ForwardedByKey[packet.Destination[0]].Add(1)
	case packet.HasLongHeader && packet.MayOpenFlow:
		if to, ok = f.place(payload, packet.Destination); !ok {
			return to, false
		}
	default:
		f.balancer.Counters.Forged.Add(1)
		return to, false
	}
	f.sealer.Marshal(datagram, &f.header)
	return to, true
}

// place chooses the agent for a first flight by rendezvous hashing of its connection
// ID, and puts the second candidate into the header.
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
	b.silence.recordFirstFlight(first)
	f.usesSparePort = false
	b.Counters.Placed.Add(1)
	return first, true
}
