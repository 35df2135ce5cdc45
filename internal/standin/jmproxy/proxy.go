// Package jmproxy is a stand-in for a network that fails: a proxy on loopback
// that delays, resets, cuts or silences what passes through it. Those at its two
// ends see nothing of it but the fault.
package jmproxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Fault says what becomes of what passes through.
type Fault int32

// The faults. A new connection is accepted under all of them, as by a kernel
// whose process does not serve.
const (
	Pass         Fault = iota
	Delay              // everything takes Latency longer
	Reset              // connections are reset; datagrams are lost
	CutRequests        // nothing reaches the target
	CutResponses       // nothing comes back
	Silence            // nothing passes in either direction
	FaultCount
)

// String returns the fault in words.
func (f Fault) String() string {
	switch f {
	case Pass:
		return "pass"
	case Delay:
		return "delay"
	case Reset:
		return "reset"
	case CutRequests:
		return "cut requests"
	case CutResponses:
		return "cut responses"
	case Silence:
		return "silence"
	}
	return "unknown fault"
}

const (
	bufferSize  = 64 << 10
	dialTimeout = time.Second
)

// Proxy passes connections and datagrams on to a target. The exported fields
// are set before Start.
type Proxy struct {
	Address netip.AddrPort
	Target  netip.AddrPort
	// Latency is what Delay adds, to each chunk or datagram.
	Latency time.Duration

	fault    atomic.Int32
	listener net.Listener
	datagram *net.UDPConn
	running  conc.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
	isEnd bool
}

// Start begins to serve TCP and UDP. Datagrams pass in one direction only: who
// gets them answers by another way.
func (p *Proxy) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "proxy for %s", p.Target)
		}
	}()
	p.conns = make(map[net.Conn]bool)
	if p.listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", p.Address.String()); err != nil {
		return err
	}
	if p.datagram, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(p.Address)); err != nil {
		_ = p.listener.Close()
		return err
	}
	p.running.Go(p.accept)
	p.running.Go(p.relay)
	return nil
}

// Set makes a fault begin, or Pass end it. Reset hits the open connections too.
func (p *Proxy) Set(f Fault) {
	p.fault.Store(int32(f))
	if f != Reset {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// Close ends the proxy and all connections, and waits.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.isEnd = true
	for conn := range p.conns {
		_ = conn.Close()
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	_ = p.datagram.Close()
	p.running.Wait()
}

func (p *Proxy) current() Fault { return Fault(p.fault.Load()) }

// reset closes a connection so that its other end sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == Reset || !p.keep(conn) {
			reset(conn)
			continue
		}
		p.running.Go(func() { p.serve(conn) })
	}
}

// keep takes note of a connection, unless the proxy has ended.
func (p *Proxy) keep(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isEnd {
		p.conns[conn] = true
	}
	return !p.isEnd
}

func (p *Proxy) drop(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

func (p *Proxy) serve(from net.Conn) {
	defer p.drop(from)
	to, err := net.DialTimeout("tcp", p.Target.String(), dialTimeout)
	if err != nil {
		reset(from)
		return
	}
	defer p.drop(to)
	if !p.keep(to) {
		return
	}
	var wg conc.WaitGroup
	wg.Go(func() { p.copy(to, from, CutRequests) })
	wg.Go(func() { p.copy(from, to, CutResponses) })
	wg.Wait()
}

// copy passes one direction on until either end is closed. Cut is the fault that
// cuts this direction alone.
func (p *Proxy) copy(to, from net.Conn, cut Fault) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		f := p.current()
		if f == Delay {
			time.Sleep(p.Latency)
		}
		if f == cut || f == Silence {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *Proxy) relay() {
	buffer := make([]byte, bufferSize)
	target := net.UDPAddrFromAddrPort(p.Target)
	for {
		n, err := p.datagram.Read(buffer)
		if err != nil {
			return
		}
		switch p.current() {
		case Reset, CutRequests, Silence:
		case Delay:
			datagram := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(p.Latency, func() { p.send(datagram, target) })
		default:
			p.send(buffer[:n], target)
		}
	}
}

// send passes a datagram on. One that the target does not take is lost, as by a
// network.
func (p *Proxy) send(datagram []byte, target *net.UDPAddr) {
	_, _ = p.datagram.WriteToUDP(datagram, target)
}
