package jmbalancer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmbatch"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// returnLoop reads datagrams from the fleet socket or the spare socket until ctx
// ends. It sends the agents' answers to the callers, and passes control datagrams
// to the node.
func (b *Balancer) returnLoop(ctx context.Context, conn *net.UDPConn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	reader, err := jmbatch.NewReader(conn)
	if err != nil {
		b.Log.WithError(err).Error("balancer: can't read agents' answers")
		b.Guard.Fail(goroutineAnswers, err)
		return
	}
	r := returner{balancer: b, outs: make(map[*net.UDPConn]*outBatch)}
	in := newBatch(0)
	for ctx.Err() == nil {
		n, err := reader.Read(in)
		if err != nil {
			continue
		}
		b.Guard.Each(goroutineAnswers, n, func(i int) {
			r.handle(ctx, in[i].Buffer[:in[i].Length], in[i].Addr)
		})
		b.Guard.Try(goroutineAnswers, r.flush)
	}
}

// returner sends agents' answers to callers. It must be used by one goroutine only.
type returner struct {
	balancer *Balancer
	view     *view
	sealer   *jmdatagram.Sealer
	header   jmdatagram.Header
	outs     map[*net.UDPConn]*outBatch // by the socket of the service address
}

// outBatch collects datagrams to write to one socket with one system call.
type outBatch struct {
	writer *jmbatch.Writer
	batch  [jmbatch.Size]jmbatch.Datagram
	count  int
}

func newOutBatch(conn *net.UDPConn) (o *outBatch, err error) {
	o = &outBatch{}
	o.writer, err = jmbatch.NewWriter(conn)
	return o, err
}

func (o *outBatch) add(datagram []byte, to netip.AddrPort) {
	o.batch[o.count] = jmbatch.Datagram{Buffer: datagram, Addr: to}
	o.count++
}

// flush writes the datagrams that were added. It is called after each read, which
// returns at most jmbatch.Size datagrams, so that the batch has room for all of
// them.
func (o *outBatch) flush() {
	if n := o.count; n > 0 {
		o.count = 0
		_ = o.writer.Write(o.batch[:n])
	}
}

// handle passes a control datagram to the node, and adds the payload of an answer
// to the batch of the socket that sends it. It drops other datagrams.
func (r *returner) handle(ctx context.Context, datagram []byte, from netip.AddrPort) {
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
	b.silence.recordAnswer(from)
	if len(datagram) == jmdatagram.HeaderSize {
		return // an agent's acknowledgement of a first flight
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
		var err error
		if out, err = newOutBatch(socket); err != nil {
			return
		}
		r.outs[socket] = out
	}
	out.add(payload, r.header.Caller)
	r.balancer.Counters.Returned.Add(1)
}

func (r *returner) flush() {
	for _, out := range r.outs {
		out.flush()
	}
}
