package jmpassnode

import (
	"net"
	"net/netip"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmbatch"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// batchWriter buffers datagrams and writes them to a socket in batches. It is for
// one goroutine.
type batchWriter struct {
	socket  *jmbatch.Writer
	batch   [jmbatch.Size]jmbatch.Datagram
	buffers [jmbatch.Size][]byte
	count   int
}

func newBatchWriter(conn *net.UDPConn) (w *batchWriter, err error) {
	w = &batchWriter{}
	w.socket, err = jmbatch.NewWriter(conn)
	return w, err
}

// add buffers a copy of a datagram that consists of head and body.
func (w *batchWriter) add(to netip.AddrPort, head, body []byte) {
	if w.count == len(w.batch) {
		w.flush()
	}
	b := append(append(w.buffers[w.count][:0], head...), body...)
	w.buffers[w.count] = b
	w.batch[w.count] = jmbatch.Datagram{Buffer: b, Addr: to}
	w.count++
}

// flush writes the buffered datagrams. One that can't be written is lost, as on the
// network.
func (w *batchWriter) flush() {
	if n := w.count; n > 0 {
		w.count = 0
		_ = w.socket.Write(w.batch[:n])
	}
}

// sender encodes the messages of a jmpass.Balancer or jmpass.Agent and buffers them
// for writing. It is for one goroutine.
type sender struct {
	codec      jasminemoor.PacketCodec
	peerPort   uint16
	callerPort uint16
	upstream   netip.AddrPort
	direct     *directConn // goes before upstream while it is open; nil for balancers
	writer     *batchWriter
	header     [jmhop.HeaderSize]byte
	body       []byte // scratch space
}

func (s *sender) send(messages []jmpass.Message, packet []byte) {
	for i := range messages {
		s.sendOne(&messages[i], packet)
	}
}

// sendOne buffers one message. Packet is the packet at hand, for a message that has
// none of its own. Nothing is sent for jmpass.Dropped.
func (s *sender) sendOne(m *jmpass.Message, packet []byte) {
	if m.Packet != nil {
		packet = m.Packet
	}
	switch m.Kind {
	case jmpass.ToUpstream:
		s.codec.Restore(packet)
		if !s.direct.write(packet) {
			s.writer.add(s.upstream, packet, nil)
		}
	case jmpass.ToCaller:
		s.writer.add(netip.AddrPortFrom(m.Flow.Caller().Addr(), s.callerPort), packet, nil)
	case jmpass.Reset:
		s.body = s.codec.AppendReset(s.body[:0], m.Flow, m.Sequence)
		s.writer.add(netip.AddrPortFrom(m.Flow.Caller().Addr(), s.callerPort), s.body, nil)
	case jmpass.ToPeer:
		m.Header.Marshal(s.header[:])
		to := netip.AddrPortFrom(m.To, s.peerPort)
		switch {
		case m.HasPacket:
			s.codec.Restore(packet)
			s.writer.add(to, s.header[:], packet)
		case m.Body != nil:
			s.writer.add(to, s.header[:], m.Body)
		case m.Header.Kind == jmhop.KindPoll:
			s.writer.add(to, s.header[:], nil)
		case m.Report != nil:
			s.body = m.Report.Append(s.body[:0])
			s.writer.add(to, s.header[:], s.body)
		default:
			s.writer.add(to, s.header[:], m.Flow[:])
		}
	}
}
