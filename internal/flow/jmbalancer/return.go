package jmbalancer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmbatch"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// returnLoop passes the agents' answers back to the callers, and control
// datagrams to the node.
func (b *Balancer) returnLoop(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = b.fleet.SetReadDeadline(time.Now()) })
	defer stop()
	reader, err := jmbatch.NewReader(b.fleet)
	if err != nil {
		b.Log.WithError(err).Error("balancer: fleet address can't be read")
		return
	}
	r := returner{balancer: b, outs: make(map[*net.UDPConn]*outBatch)}
	in := newBatch(0)
	for ctx.Err() == nil {
		n, err := reader.Read(in)
		if err != nil {
			continue
		}
		for i := range in[:n] {
			r.take(ctx, in[i].Buffer[:in[i].Length], in[i].Addr)
		}
		r.flush()
	}
}

// returner passes answers back. It is for one goroutine.
type returner struct {
	balancer *Balancer
	view     *view
	sealer   *jmdatagram.Sealer
	header   jmdatagram.Header
	outs     map[*net.UDPConn]*outBatch
}

// outBatch is what is to be written to one socket.
type outBatch struct {
	writer *jmbatch.Writer
	batch  [jmbatch.Size]jmbatch.Datagram
	count  int
}

func (r *returner) take(ctx context.Context, datagram []byte, from netip.AddrPort) {
	b := r.balancer
	if len(datagram) == 0 {
		return
	}
	if jmdatagram.Kind(datagram[0]) == jmdatagram.KindControl {
		b.Node.Receive(ctx, datagram)
		return
	}
	v := b.view.Load()
	if v == nil {
		return
	}
	if v != r.view {
		r.view, r.sealer = v, v.newSealer()
	}
	if err := r.sealer.Unmarshal(datagram, &r.header); err != nil || r.header.Kind != jmdatagram.KindReturn {
		b.Counters.BadTag.Add(1)
		return
	}
	b.silence.heard(from)
	if len(datagram) == jmdatagram.HeaderSize {
		return // an agent's sign of life
	}
	socket := b.sockets.find(r.header.Local)
	if socket == nil {
		b.Counters.NoService.Add(1)
		return
	}
	r.add(socket, datagram[jmdatagram.HeaderSize:])
}

func (r *returner) add(socket *net.UDPConn, payload []byte) {
	out := r.outs[socket]
	if out == nil {
		writer, err := jmbatch.NewWriter(socket)
		if err != nil {
			return
		}
		out = &outBatch{writer: writer}
		r.outs[socket] = out
	}
	out.batch[out.count] = jmbatch.Datagram{Buffer: payload, Addr: r.header.Caller}
	out.count++
	r.balancer.Counters.Returned.Add(1)
}

// flush writes what was taken. No more was taken than one read returns, so
// that each batch has room.
func (r *returner) flush() {
	for _, out := range r.outs {
		if out.count > 0 {
			_ = out.writer.Write(out.batch[:out.count])
			out.count = 0
		}
	}
}
