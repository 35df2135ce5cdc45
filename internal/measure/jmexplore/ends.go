package jmexplore

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
)

const (
	dataCentre     = "a"
	upstreamPort   = 8080
	callerSequence = 1000
	dataSize       = 100 // bytes of a request, and of an answer
)

func routeAddr(flow int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(flow + 1)}), 8443)
}

// caller is the caller of one flow. It sends one request after another on it.
type caller struct {
	key          jasminemoor.FlowKey
	isOpen       bool // it has accepted an upstream's reply to its opening packet
	isEnded      bool
	sequence     uint32
	acknowledged uint32
	opened       time.Time // when it first sent its opening packet
	served       int       // requests
	ran          []uint32  // sequence numbers of the requests that an upstream has run
}

// callerSend has a caller send its opening packet, or its request that has no answer.
func (w *world) callerSend(c *caller, balancer int) {
	p := jasminemoor.Packet{Source: c.key.Caller(), Destination: c.key.Service(), Sequence: c.sequence}
	if c.isOpen {
		p.Flags, p.Acknowledged, p.Length = jasminemoor.FlagAck, c.acknowledged, dataSize
	} else {
		if c.opened.IsZero() {
			c.opened = w.now
		}
		p.Flags, p.Age = jasminemoor.FlagOpen, w.now.Sub(c.opened)
	}
	b := w.processes[balancer]
	if !b.isUp {
		return
	}
	m, reason := b.balancer.Handle(w.now, &p)
	w.note("caller of %s to %s: %s: %s", c.key, b.addr, encode(&p), reason)
	if m.Kind != 0 {
		w.send(b, []jmpass.Message{m}, encode(&p))
	}
}

func (c *caller) receive(p *jasminemoor.Packet) {
	switch {
	case c.isEnded:
	case p.Flags.Has(jasminemoor.FlagReset):
		c.isEnded = true
	case p.Flags.Has(jasminemoor.FlagOpen):
		if !c.isOpen {
			c.isOpen, c.sequence, c.acknowledged = true, c.sequence+1, p.Sequence+1
		}
	case c.isOpen && p.Length > 0 && p.Sequence == c.acknowledged:
		c.acknowledged += uint32(p.Length)
		c.sequence = p.Acknowledged
		c.served++
	}
}

// upstream is an upstream that works. It returns the packets of flows that it does not hold.
type upstream struct {
	isUp    bool
	service string
	starts  int
	listed  int // value of starts of the run that the directory lists
	ended   time.Time
	// left is when the upstream was listed as leaving, zero if it was not. isClosed is set if its
	// port is closed, while it still serves its flows.
	left     time.Time
	isClosed bool
	flows    map[jasminemoor.FlowKey]*upstreamFlow
	// accepted has the flows that this upstream and those before it have accepted.
	accepted []jasminemoor.FlowKey
}

// upstreamFlow is the upstream's end of a flow.
type upstreamFlow struct {
	isOpen bool   // the caller has acknowledged the reply to its opening packet
	first  uint32 // sequence number of that reply
	sent   uint32 // sequence number of the next byte to send
	got    uint32 // sequence number of the next byte expected
}

func (u *upstream) start(service string) {
	u.starts++
	u.isUp, u.service, u.flows = true, service, make(map[jasminemoor.FlowKey]*upstreamFlow)
	u.left, u.isClosed = time.Time{}, false
}

// killUpstream ends an upstream's process, with its flows and the packets that wait for it.
func (w *world) killUpstream(p *process) {
	if p.upstream.isUp {
		p.upstream.ended = w.now
	}
	p.upstream.isUp, p.upstream.flows = false, nil
	w.dropLocal(p, toUpstream)
}

func (w *world) upstreamReceive(n *process, p *jasminemoor.Packet) {
	u, key := n.upstream, p.Key()
	f := u.flows[key]
	reply := func(r jasminemoor.Packet) {
		r.Source, r.Destination = p.Destination, p.Source
		w.push(datagram{kind: fromUpstream, from: n.addr, to: w.indexOf(n.addr), body: encode(&r)})
	}
	switch {
	case p.Flags.Has(jasminemoor.FlagOpen):
		if !w.directory.hadService(w.callerOf(key), u.service) {
			w.fail("ROUTE: %s of %s got the opening packet of %s", n.addr, u.service, key)
		}
		if f == nil {
			first := uint32(1_000_000*int(n.addr.As4()[3]) + 1000*u.starts)
			f = &upstreamFlow{first: first, sent: first + 1, got: p.Sequence + 1}
			u.flows[key] = f
		}
		reply(jasminemoor.Packet{Flags: jasminemoor.FlagOpen | jasminemoor.FlagAck, Sequence: f.first, Acknowledged: callerSequence + 1})
		return
	case f == nil || !f.isOpen && p.Acknowledged != f.first+1:
		returned := *p
		returned.Flags |= jasminemoor.FlagReturned
		w.push(datagram{kind: fromUpstream, from: n.addr, to: w.indexOf(n.addr), body: encode(&returned)})
		return
	}
	if !f.isOpen {
		f.isOpen = true
		w.accept(n, key)
	}
	if p.Sequence == f.got {
		f.got += uint32(p.Length)
		f.sent += dataSize
		w.runRequest(key, p.Sequence)
	}
	reply(jasminemoor.Packet{Flags: jasminemoor.FlagAck, Sequence: f.sent - dataSize, Acknowledged: f.got, Length: dataSize})
}

// accept records that an upstream accepts a flow, which no other may have.
func (w *world) accept(n *process, key jasminemoor.FlowKey) {
	for _, other := range w.processes {
		if other.upstream != nil && slices.Contains(other.upstream.accepted, key) {
			w.fail("flow %s was accepted by %s and then by %s", key, other.addr, n.addr)
		}
	}
	n.upstream.accepted = append(n.upstream.accepted, key)
}

// runRequest records that an upstream runs a request, which may run once.
func (w *world) runRequest(key jasminemoor.FlowKey, sequence uint32) {
	c := w.callers[w.callerOf(key)]
	if slices.Contains(c.ran, sequence) {
		w.fail("request %d of flow %s ran twice", sequence, key)
	}
	c.ran = append(c.ran, sequence)
}

// checkReset checks that no upstream holds a flow that is reset: it is open at the caller,
// which has acknowledged that upstream's reply.
func (w *world) checkReset(by *process, key jasminemoor.FlowKey) {
	c := w.callers[w.callerOf(key)]
	if !c.isOpen || c.isEnded {
		return
	}
	for _, n := range w.processes {
		if n.upstream == nil || !n.upstream.isUp {
			continue
		}
		if f := n.upstream.flows[key]; f != nil && (f.isOpen || f.first+1 == c.acknowledged) {
			w.fail("%s reset flow %s, which the upstream of %s holds", by.addr, key, n.addr)
		}
	}
}

// encode returns a packet as text, which decode reads.
func encode(p *jasminemoor.Packet) string {
	b := append(p.Source.AppendTo(make([]byte, 0, 80)), '>')
	b = p.Destination.AppendTo(b)
	for i, n := range []int64{int64(p.Flags), int64(p.Sequence), int64(p.Acknowledged), int64(p.Length), int64(p.Age)} {
		b = strconv.AppendInt(append(b, fieldNames[i]...), n, 10)
	}
	return string(b)
}

// fieldNames precede the numbers of a packet's text.
var fieldNames = [...]string{" flags=", " seq=", " ack=", " len=", " age="}

func decode(body string) *jasminemoor.Packet {
	ends, rest, _ := strings.Cut(body, " ")
	from, to, _ := strings.Cut(ends, ">")
	var numbers [len(fieldNames)]int64
	for i := range numbers {
		var field string
		field, rest, _ = strings.Cut(rest, " ")
		_, number, _ := strings.Cut(field, "=")
		numbers[i], _ = strconv.ParseInt(number, 10, 64) // encode has written it
	}
	return &jasminemoor.Packet{
		Source: netip.MustParseAddrPort(from), Destination: netip.MustParseAddrPort(to), Flags: jasminemoor.PacketFlags(numbers[0]),
		Sequence: uint32(numbers[1]), Acknowledged: uint32(numbers[2]), Length: int(numbers[3]), Age: time.Duration(numbers[4]),
	}
}

// restore returns a packet without the mark of one that an upstream has returned.
func restore(body string) string {
	if body == "" {
		return ""
	}
	p := decode(body)
	p.Flags &^= jasminemoor.FlagReturned
	return encode(p)
}
