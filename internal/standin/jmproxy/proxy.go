// Package jmproxy is a stand-in for a network that fails: a proxy on loopback
// that delays, resets or drops the traffic that it forwards. Both ends see
// only the effects of the fault.
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

// Fault is a network failure that the proxy injects.
type Fault int32

// Faults of a proxy. New connections are accepted under each of them, as a kernel
// accepts connections for a process that does not serve them.
const (
	Pass         Fault = iota // no fault
	Delay                     // everything takes Latency longer
	Reset                     // connections are reset, datagrams dropped
	CutRequests               // all data to the target is dropped
	CutResponses              // all data from the target is dropped
	Silence                   // all data is dropped in both directions
	FaultCount                // the number of faults
)

// String returns the name of the fault.
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
	bufferSize  = 64 << 10 // bytes
	dialTimeout = time.Second
)

// Proxy forwards connections and datagrams to a target. The exported fields are
// set before Start.
type Proxy struct {
	Address netip.AddrPort
	Target  netip.AddrPort
	// Latency is how long Delay holds back each chunk or datagram.
	Latency time.Duration

	fault    atomic.Int32
	listener net.Listener
	udp      *net.UDPConn
	running  conc.WaitGroup

	mu       sync.Mutex
	conns    map[net.Conn]bool // open connections of both ends
	isClosed bool
}

// Start begins to forward TCP and UDP. Datagrams are forwarded only to the target,
// which sends its answers by another path.
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
	if p.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(p.Address)); err != nil {
		_ = p.listener.Close()
		return err
	}
	p.running.Go(p.accept)
	p.running.Go(p.forwardDatagrams)
	return nil
}

// Set sets the fault; Pass ends it. Reset also resets the connections that are open.
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

// Close closes the proxy and all connections, and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.isClosed = true
	for conn := range p.conns {
		_ = conn.Close()
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	_ = p.udp.Close()
	p.running.Wait()
}

func (p *Proxy) currentFault() Fault { return Fault(p.fault.Load()) }

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
		if p.currentFault() == Reset || !p.track(conn) {
			reset(conn)
			continue
		}
		p.running.Go(func() { p.serve(conn) })
	}
}

// track adds an open connection. It returns false if the proxy is closed.
func (p *Proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isClosed {
		p.conns[conn] = true
	}
	return !p.isClosed
}

// untrack removes a connection and closes it.
func (p *Proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

// serve connects to the target and forwards both directions until either end is
// closed. If the target cannot be reached, it resets the caller's connection.
func (p *Proxy) serve(from net.Conn) {
	defer p.untrack(from)
	to, err := net.DialTimeout("tcp", p.Target.String(), dialTimeout)
	if err != nil {
		reset(from)
		return
	}
	defer p.untrack(to)
	if !p.track(to) {
		return
	}
	var wg conc.WaitGroup
	wg.Go(func() { p.copy(to, from, CutRequests) })
	wg.Go(func() { p.copy(from, to, CutResponses) })
	wg.Wait()
}

// copy forwards the data of one direction until either end is closed. The fault cut
// drops the data of this direction only.
func (p *Proxy) copy(to, from net.Conn, cut Fault) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		f := p.currentFault()
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

// forwardDatagrams forwards datagrams to the target until the socket is closed.
func (p *Proxy) forwardDatagrams() {
	buffer := make([]byte, bufferSize)
	target := net.UDPAddrFromAddrPort(p.Target)
	for {
		n, err := p.udp.Read(buffer)
		if err != nil {
			return
		}
		switch p.currentFault() {
		case Reset, CutRequests, Silence:
		case Delay:
			datagram := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(p.Latency, func() { p.send(datagram, target) })
		default:
			p.send(buffer[:n], target)
		}
	}
}

// send sends a datagram to the target. If that fails the datagram is lost, as in a
// network.
func (p *Proxy) send(datagram []byte, target *net.UDPAddr) {
	_, _ = p.udp.WriteToUDP(datagram, target)
}
