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

// callerLoop passes the datagrams of one service address to agents.
func (b *Balancer) callerLoop(ctx context.Context, conn *net.UDPConn, local netip.AddrPort) {
	reader, err := jmbatch.NewReader(conn)
	if err != nil {
		b.Log.WithError(err).Error("balancer: service address can't be read")
		return
	}
	main, err := newOutBatch(b.fleet)
	if err != nil {
		b.Log.WithError(err).Error("balancer: fleet address can't be written")
		return
	}
	spare, err := newOutBatch(b.spare)
	if err != nil {
		b.Log.WithError(err).Error("balancer: spare port can't be written")
		return
	}
	f := forwarder{balancer: b, local: local}
	in := newBatch(jmdatagram.HeaderSize)
	for ctx.Err() == nil {
		n, err := reader.Read(in)
		if err != nil {
			continue
		}
		f.routeBatch(in[:n], main, spare)
		main.flush()
		spare.flush()
	}
}

// newBatch returns a batch to read to, with room before each datagram.
func newBatch(room int) []jmbatch.Datagram {
	batch := make([]jmbatch.Datagram, jmbatch.Size)
	for i := range batch {
		batch[i].Buffer = make([]byte, jmdatagram.MaxSize)
		batch[i].Offset = room
	}
	return batch
}

// routeBatch routes the datagrams of a batch that was read into buffers with
// room for a header before them.
func (f *forwarder) routeBatch(in []jmbatch.Datagram, main, spare *outBatch) {
	isAnyRouted := false
	for i := range in {
		datagram := in[i].Buffer[:jmdatagram.HeaderSize+in[i].Length]
		to, ok := f.route(datagram, in[i].Addr)
		if !ok || !f.balancer.Node.CanReach(to) {
			continue
		}
		isAnyRouted = true
		if f.usesSparePort {
			f.balancer.Counters.SparePort.Add(1)
			spare.add(datagram, to)
			continue
		}
		main.add(datagram, to)
	}
	if isAnyRouted {
		f.balancer.lastHeard.Store(time.Now().UnixNano())
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
	// usesSparePort says how the datagram that was routed last is to be sent.
	usesSparePort bool
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
		f.usesSparePort = f.balancer.silence.passedOn(to)
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
	f.usesSparePort = false
	b.Counters.Placed.Add(1)
	return first, true
}
