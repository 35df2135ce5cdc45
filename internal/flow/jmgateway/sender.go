package jmgateway

import (
	"net"
	"net/netip"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmbatch"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// outlet collects the datagrams that leave through one socket while a batch is
// worked on. It is for one goroutine.
type outlet struct {
	writer  *jmbatch.Writer
	batch   [jmbatch.Size]jmbatch.Datagram
	buffers [jmbatch.Size][]byte
	count   int
}

func newOutlet(conn *net.UDPConn) (o *outlet, err error) {
	o = &outlet{}
	o.writer, err = jmbatch.NewWriter(conn)
	return o, err
}

// add copies a datagram of two parts.
func (o *outlet) add(to netip.AddrPort, head, body []byte) {
	if o.count == len(o.batch) {
		o.flush()
	}
	b := append(append(o.buffers[o.count][:0], head...), body...)
	o.buffers[o.count] = b
	o.batch[o.count] = jmbatch.Datagram{Buffer: b, Addr: to}
	o.count++
}

// flush writes what was added. A datagram that can't be written counts as lost.
func (o *outlet) flush() {
	if o.count > 0 {
		_ = o.writer.Write(o.batch[:o.count])
		o.count = 0
	}
}

// sender carries out the messages of a machine. It is for one goroutine.
type sender struct {
	codec      jasminemoor.PacketCodec
	peerPort   uint16
	callerPort uint16
	upstream   netip.AddrPort
	outlet     *outlet
	header     [jmhop.HeaderSize]byte
	body       []byte
}

func (s *sender) send(messages []jmpass.Message, packet []byte) {
	for i := range messages {
		s.sendOne(&messages[i], packet)
	}
}

func (s *sender) sendOne(m *jmpass.Message, packet []byte) {
	if m.Packet != nil {
		packet = m.Packet
	}
	switch m.Kind {
	case jmpass.ToUpstream:
		s.codec.Restore(packet)
		s.outlet.add(s.upstream, packet, nil)
	case jmpass.ToCaller:
		s.outlet.add(netip.AddrPortFrom(m.Flow.Caller().Addr(), s.callerPort), packet, nil)
	case jmpass.Reset:
		s.body = s.codec.AppendReset(s.body[:0], m.Flow, m.Sequence)
		s.outlet.add(netip.AddrPortFrom(m.Flow.Caller().Addr(), s.callerPort), s.body, nil)
	case jmpass.ToPeer:
		m.Header.Marshal(s.header[:])
		to := netip.AddrPortFrom(m.To, s.peerPort)
		switch {
		case m.HasPacket:
			s.codec.Restore(packet)
			s.outlet.add(to, s.header[:], packet)
		case m.Report != nil:
			s.body = m.Report.Append(s.body[:0])
			s.outlet.add(to, s.header[:], s.body)
		default:
			s.outlet.add(to, s.header[:], m.Flow[:])
		}
	}
}
