package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
)

// Ends of a caller's exchange.
var (
	errReset    = errors.New("RST")
	errDeadline = errors.New("no answer by the deadline")
)

// caller is a stand-in for the clients at one address. The routers send each flow to the balancer
// that its port selects.
type caller struct {
	address   netip.AddrPort
	balancers func() []netip.AddrPort
	record    *record

	conn  *net.UDPConn
	mu    sync.Mutex
	port  uint16
	flows map[uint16]*callerFlow
}

// callerFlow is the client's end of a flow. One goroutine uses it.
type callerFlow struct {
	caller             *caller
	local, service     netip.AddrPort
	sequence, expected uint32
	packets            chan jmpackets.Packet
}

func (c *caller) start() (err error) {
	c.flows, c.port = make(map[uint16]*callerFlow), 1024
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.address)); err != nil {
		return err
	}
	go c.read()
	return nil
}

func (c *caller) read() {
	b := make([]byte, maxPacket+1)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		var p jmpackets.Packet
		if err := p.Unmarshal(append([]byte(nil), b[:n]...)); err != nil {
			c.record.line("client got a packet that nobody wrote so: %v", err)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Destination.Port()]
		c.mu.Unlock()
		if f != nil {
			select {
			case f.packets <- p:
			default:
			}
		}
	}
}

// open opens a flow: a SYN, copies after 200 and 600 ms, and the end after 1.4 s.
func (c *caller) open(ctx context.Context, service netip.AddrPort) (f *callerFlow, err error) {
	c.mu.Lock()
	c.port++
	port := c.port
	c.mu.Unlock()
	return c.openFrom(ctx, port, service)
}

// openFrom opens a flow from a port that is free.
func (c *caller) openFrom(ctx context.Context, port uint16, service netip.AddrPort) (f *callerFlow, err error) {
	f = &callerFlow{
		caller: c, local: netip.AddrPortFrom(c.address.Addr(), port), service: service,
		sequence: rand.Uint32(), packets: make(chan jmpackets.Packet, 64),
	}
	c.mu.Lock()
	c.port, c.flows[port] = max(c.port, port), f
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 1400*time.Millisecond)
	defer cancel()
	copies := uint32(0)
	answer, err := f.exchange(ctx, func() {
		if copies < 3 {
			f.send(jmpackets.Syn, f.sequence, copies, nil)
		}
		copies++
	}, func(p *jmpackets.Packet) bool { return p.Flags&jmpackets.Syn != 0 })
	if err != nil {
		return nil, err
	}
	f.sequence++
	f.expected = answer.Sequence + 1
	f.send(jmpackets.Ack, f.sequence, f.expected, nil)
	return f, nil
}

// do sends a request that its backend works on for a time, and returns the answer.
func (f *callerFlow) do(ctx context.Context, id string, work, deadline time.Duration) (answer string, err error) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request := fmt.Sprintf("POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Work-Ms: %d\r\nContent-Length: 0\r\n\r\n", id, work.Milliseconds())
	first := f.sequence
	f.sequence += uint32(len(request))
	p, err := f.exchange(ctx, func() { f.send(jmpackets.Ack, first, f.expected, []byte(request)) },
		func(p *jmpackets.Packet) bool { return len(p.Data) > 0 && p.Sequence == f.expected })
	if err != nil {
		return "", err
	}
	f.expected += uint32(len(p.Data))
	f.send(jmpackets.Ack, f.sequence, f.expected, nil)
	return string(p.Data), nil
}

// exchange calls send, and again after each delay, until a wanted packet comes.
func (f *callerFlow) exchange(ctx context.Context, send func(), isWanted func(*jmpackets.Packet) bool) (*jmpackets.Packet, error) {
	for i := 0; ; i++ {
		send()
		again := time.After(retransmitDelays[min(i, len(retransmitDelays)-1)])
		for isWaiting := true; isWaiting; {
			select {
			case <-ctx.Done():
				return nil, errDeadline
			case <-again:
				isWaiting = false
			case p := <-f.packets:
				if p.Flags&jmpackets.Rst != 0 {
					return nil, errReset
				}
				if isWanted(&p) {
					return &p, nil
				}
			}
		}
	}
}

func (f *callerFlow) close() { f.send(jmpackets.Fin|jmpackets.Ack, f.sequence, f.expected, nil) }

func (f *callerFlow) send(flags byte, sequence, ack uint32, data []byte) {
	p := jmpackets.Packet{Source: f.local, Destination: f.service, Flags: flags, Sequence: sequence, Ack: ack, Data: data}
	if to := f.caller.balancers(); len(to) > 0 {
		_, _ = f.caller.conn.WriteToUDPAddrPort(p.Marshal(), to[int(f.local.Port())%len(to)])
	}
}
