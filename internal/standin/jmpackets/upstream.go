package jmpackets

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Upstream is a stand-in for an upstream. It accepts flows, answers each request
// with Name, a colon and the request, and returns packets of unknown flows with
// the flag BOUNCED.
type Upstream struct {
	Address     netip.AddrPort
	Outbound    netip.AddrPort // where its agent receives the upstream's packets
	Name        string
	ServiceTime time.Duration // time that each request takes

	mu   sync.Mutex
	conn *net.UDPConn
	tcp  net.Listener // for the agent's probes
	held []net.Conn   // connections on which no request has come
	// maxIdle is after which time such a connection is closed, 0 for never.
	maxIdle    time.Duration
	flows      map[netip.AddrPort]*upstreamFlow
	runs       map[string]int // by request
	opened     int
	openings   []time.Time
	badPackets int
	// running is the number of requests in progress, peak the highest so far.
	running, peak int
}

type upstreamFlow struct {
	// sequence is the number of the next byte to send, expected that of the next
	// byte to receive.
	sequence, expected uint32
	isOpen             bool
	received           int    // packets since the opening one
	lastAnswer         []byte // to the latest request; nil while it runs
}

// Start opens the upstream's sockets and begins to serve. It also restarts an
// upstream after Crash: without its flows, but with the counters as they were.
func (u *Upstream) Start(ctx context.Context) (err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn, err = listen(u.Address); err != nil {
		return err
	}
	if u.tcp, err = (&net.ListenConfig{}).Listen(ctx, "tcp", u.Address.String()); err != nil {
		return err
	}
	u.flows, u.running = make(map[netip.AddrPort]*upstreamFlow), 0
	if u.runs == nil {
		u.runs = make(map[string]int)
	}
	go u.acceptProbes(u.tcp)
	go readLoop(u.conn, u.handle)
	return nil
}

// acceptProbes accepts connections, and keeps them open until the other end closes them or the
// upstream ends, as a server does that waits for a request.
func (u *Upstream) acceptProbes(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		if u.maxIdle > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(u.maxIdle))
		}
		if u.tcp == l {
			u.held = append(u.held, conn)
		} else { // the upstream was restarted
			_ = conn.Close()
		}
		u.mu.Unlock()
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
			u.mu.Lock()
			defer u.mu.Unlock()
			u.held = slices.DeleteFunc(u.held, func(other net.Conn) bool { return other == conn })
		}()
	}
}

// Crash closes the upstream's sockets. Its flows are lost.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.conn.Close()
	_ = u.tcp.Close()
	for _, conn := range u.held {
		_ = conn.Close()
	}
	u.held = nil
}

// ClosePort closes the port that agents probe, as the first part of an orderly end. Flows go on.
func (u *Upstream) ClosePort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.tcp.Close()
	for _, conn := range u.held {
		_ = conn.Close()
	}
	u.held = nil
}

// Pause has the upstream handle no packets for a time, as one that works on a request does if it
// has only one thread.
func (u *Upstream) Pause(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	time.Sleep(d)
}

// SetServiceTime sets the time that each request takes from now on.
func (u *Upstream) SetServiceTime(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ServiceTime = d
}

// CloseIdle has the upstream close connections on which no request has come for a time.
func (u *Upstream) CloseIdle(after time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxIdle = after
}

// Held returns the number of connections that its agent holds.
func (u *Upstream) Held() (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.held)
}

// Runs returns how often each request has run.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make(map[string]int, len(u.runs))
	for id, n := range u.runs {
		runs[id] = n
	}
	return runs
}

// Peak returns the highest number of requests in progress at once.
func (u *Upstream) Peak() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peak
}

// Counters returns the number of flows opened and the number of corrupt packets
// received.
func (u *Upstream) Counters() (opened, badPackets int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.opened, u.badPackets
}

// Openings returns when the upstream took the opening packet of each flow, in order.
// Retransmitted ones do not count.
func (u *Upstream) Openings() []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.openings)
}

func (u *Upstream) handle(b []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var p Packet
	if err := p.Unmarshal(b); err != nil {
		u.badPackets++
		return
	}
	f := u.flows[p.Source]
	switch {
	case p.Flags&Syn != 0:
		if f == nil {
			f = &upstreamFlow{sequence: rand.Uint32(), expected: p.Sequence + 1}
			u.flows[p.Source] = f
			u.openings = append(u.openings, time.Now())
		}
		u.send(&Packet{Source: p.Destination, Destination: p.Source, Flags: Syn | Ack, Sequence: f.sequence, Ack: f.expected})
		return
	case f == nil || !f.isOpen && p.Ack != f.sequence+1:
		b[flagsAt] |= Bounced
		u.write(b)
		return
	case p.Flags&(Fin|Rst) != 0:
		delete(u.flows, p.Source)
		return
	}
	if !f.isOpen {
		f.isOpen = true
		f.sequence++
		u.opened++
	}
	if len(p.Data) > 0 {
		u.serve(f, &p)
	}
	if f.received++; f.received%acknowledgeEvery == 0 {
		u.send(&Packet{Source: p.Destination, Destination: p.Source, Flags: Ack, Sequence: f.sequence, Ack: f.expected})
	}
}

// acknowledgeEvery is how many packets an end acknowledges at once.
const acknowledgeEvery = 2

// serve runs a request and answers it after ServiceTime. For a retransmission it sends
// the last answer again, if there is one yet.
func (u *Upstream) serve(f *upstreamFlow, p *Packet) {
	if p.Sequence != f.expected {
		if f.lastAnswer != nil {
			u.write(append([]byte(nil), f.lastAnswer...))
		}
		return
	}
	f.expected += uint32(len(p.Data))
	f.lastAnswer = nil
	u.runs[string(p.Data)]++
	u.running++
	u.peak = max(u.peak, u.running)
	conn := u.conn
	time.AfterFunc(u.ServiceTime, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.conn != conn { // the upstream was restarted
			return
		}
		u.running--
		answer := &Packet{
			Source: p.Destination, Destination: p.Source, Flags: Ack, Sequence: f.sequence, Ack: f.expected,
			Data: []byte(u.Name + ":" + string(p.Data)),
		}
		f.sequence += uint32(len(answer.Data))
		f.lastAnswer = answer.Marshal()
		u.write(append([]byte(nil), f.lastAnswer...))
	})
}

func (u *Upstream) send(p *Packet) { u.write(p.Marshal()) }

// write sends a raw packet to the upstream's agent.
func (u *Upstream) write(b []byte) { _, _ = u.conn.WriteToUDPAddrPort(b, u.Outbound) }
