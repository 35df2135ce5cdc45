package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
)

// maxPacket is the size of the largest packet.
const maxPacket = 32 + 1200

// retransmitDelays are the delays before each retransmission. The last one repeats.
var retransmitDelays = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond}

// upstream is a stand-in for a backend with its flows, its requests and its health port. Flows
// are UDP packets; the health port is a server of net/http.
type upstream struct {
	address  netip.AddrPort
	outbound netip.AddrPort
	name     string
	record   *record

	isLeaving atomic.Bool
	health    *http.Server
	mu        sync.Mutex
	conn      *net.UDPConn
	flows     map[netip.AddrPort]*upstreamFlow
	running   int
	hasEnded  bool
}

type upstreamFlow struct {
	sequence, expected uint32 // next bytes to send and to receive
	isOpen             bool
	hasEnded           bool   // both ends have sent a FIN
	unacknowledged     int    // data packets since the last packet that was sent
	answer             []byte // that the caller has not acknowledged
	answerEnd          uint32
}

func (u *upstream) start(ctx context.Context) (err error) {
	u.flows = make(map[netip.AddrPort]*upstreamFlow)
	if u.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(u.address)); err != nil {
		return err
	}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", u.address.String())
	if err != nil {
		return err
	}
	u.health = &http.Server{ReadHeaderTimeout: 20 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if u.isLeaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func() { _ = u.health.Serve(l) }()
	go u.read()
	return nil
}

// closePort begins the exit of the backend: it closes its health port. The requests that run go on,
// and so do its flows.
func (u *upstream) closePort() {
	u.record.line("backend %s begins to exit: it closes its health port; %d requests run", u.name, u.inProgress())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = u.health.Shutdown(ctx)
	}()
}

func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.hasEnded = true
	_ = u.conn.Close()
	_ = u.health.Close()
}

// holds reports whether the backend runs and holds an open flow.
func (u *upstream) holds(flow *callerFlow) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[flow.local]
	return !u.hasEnded && f != nil && f.isOpen && !f.hasEnded
}

func (u *upstream) inProgress() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}

func (u *upstream) read() {
	b := make([]byte, maxPacket+1)
	for {
		n, _, err := u.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		u.handle(append([]byte(nil), b[:n]...))
	}
}

func (u *upstream) handle(b []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var p jmpackets.Packet
	if err := p.Unmarshal(b); err != nil || u.hasEnded {
		u.record.line("backend %s got a packet that nobody wrote so: %v", u.name, err)
		return
	}
	f := u.flows[p.Source]
	switch {
	case p.Flags&jmpackets.Syn != 0:
		if f == nil || f.hasEnded {
			f = &upstreamFlow{sequence: rand.Uint32(), expected: p.Sequence + 1}
			u.flows[p.Source] = f
		}
		u.reply(&p, jmpackets.Syn|jmpackets.Ack, f.sequence, f.expected)
	case f == nil || !f.isOpen && p.Ack != f.sequence+1:
		b[18] |= jmpackets.Bounced
		u.write(b)
	default:
		u.handleOpen(f, &p)
	}
}

// handleOpen handles a packet of a flow that the backend holds.
func (u *upstream) handleOpen(f *upstreamFlow, p *jmpackets.Packet) {
	if !f.isOpen {
		f.isOpen = true
		f.sequence++
	}
	if f.answer != nil && int32(p.Ack-f.answerEnd) >= 0 {
		f.answer = nil
	}
	switch {
	case p.Flags&jmpackets.Rst != 0:
		delete(u.flows, p.Source)
		return
	case f.hasEnded && len(p.Data) > 0:
		u.reply(p, jmpackets.Rst, f.sequence, f.expected)
		return
	case len(p.Data) > 0 && p.Sequence != f.expected: // a copy
		u.reply(p, jmpackets.Ack, f.sequence, f.expected)
		return
	case len(p.Data) > 0:
		f.expected += uint32(len(p.Data))
		f.unacknowledged++
		u.serve(f, *p)
	case p.Flags&jmpackets.Fin != 0:
		if !f.hasEnded {
			f.expected++
			u.reply(p, jmpackets.Fin|jmpackets.Ack, f.sequence, f.expected)
			f.sequence++
			f.hasEnded = true
			return
		}
		u.reply(p, jmpackets.Ack, f.sequence, f.expected)
		return
	}
	if f.unacknowledged == 2 {
		f.unacknowledged = 0
		u.reply(p, jmpackets.Ack, f.sequence, f.expected)
	}
}

var (
	workField = regexp.MustCompile(`\r\nX-Work-Ms: (\d+)\r\n`)
	idField   = regexp.MustCompile(`\r\nX-Request-Id: (\S+)\r\n`)
)

// serve runs a request for as long as it says, and answers it.
func (u *upstream) serve(f *upstreamFlow, p jmpackets.Packet) {
	id, work := "", 0
	if m := idField.FindSubmatch(p.Data); m != nil {
		id = string(m[1])
	}
	if m := workField.FindSubmatch(p.Data); m != nil {
		work, _ = strconv.Atoi(string(m[1]))
	}
	u.record.line("backend %s runs request %s for %d ms", u.name, id, work)
	u.running++
	time.AfterFunc(time.Duration(work)*time.Millisecond, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.running--
		body := u.name + " " + id
		data := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		answer := jmpackets.Packet{Source: p.Destination, Destination: p.Source, Flags: jmpackets.Ack, Sequence: f.sequence, Ack: f.expected, Data: []byte(data)}
		f.sequence += uint32(len(data))
		f.answer, f.answerEnd, f.unacknowledged = answer.Marshal(), f.sequence, 0
		u.record.line("backend %s answers request %s", u.name, id)
		u.send(f, 0)
	})
}

// send sends the answer of a flow, again until the caller has acknowledged it.
func (u *upstream) send(f *upstreamFlow, tries int) {
	if f.answer == nil || u.hasEnded || tries > 8 {
		return
	}
	u.write(f.answer)
	time.AfterFunc(retransmitDelays[min(tries, len(retransmitDelays)-1)], func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.send(f, tries+1)
	})
}

func (u *upstream) reply(p *jmpackets.Packet, flags byte, sequence, ack uint32) {
	answer := jmpackets.Packet{Source: p.Destination, Destination: p.Source, Flags: flags, Sequence: sequence, Ack: ack}
	u.write(answer.Marshal())
}

func (u *upstream) write(b []byte) { _, _ = u.conn.WriteToUDPAddrPort(b, u.outbound) }
