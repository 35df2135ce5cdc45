package jmpackets

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of requests.
var (
	ErrReset    = eris.New("flow was reset")
	ErrDeadline = eris.New("no answer in time")
)

// repeats are when a caller sends its packet again.
var repeats = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond}

// Caller is a stand-in for a caller's instance. It hands its packets to the
// balancers that Routers names, as the platform's routers would.
type Caller struct {
	Address netip.AddrPort
	// Routers returns the balancers in rotation.
	Routers func() []netip.AddrPort

	mu     sync.Mutex
	conn   *net.UDPConn
	port   uint16
	flows  map[uint16]*Flow
	broken int
}

// Flow is a caller's end of a flow. One goroutine at a time sends on it.
type Flow struct {
	caller             *Caller
	local, service     netip.AddrPort
	sequence, received uint32
	packets            chan Packet
}

// Start opens the caller's port.
func (c *Caller) Start() (err error) {
	c.flows = make(map[uint16]*Flow)
	c.port = 2000
	if c.conn, err = listen(c.Address); err != nil {
		return err
	}
	go readLoop(c.conn, c.handle)
	return nil
}

// Close closes the caller's port.
func (c *Caller) Close() error { return c.conn.Close() }

// Broken returns how many packets came that were changed or for nobody.
func (c *Caller) Broken() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

func (c *Caller) handle(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var p Packet
	if err := p.Unmarshal(b); err != nil || p.Destination.Addr() != c.Address.Addr() || c.flows[p.Destination.Port()] == nil {
		c.broken++
		return
	}
	select {
	case c.flows[p.Destination.Port()].packets <- p:
	default:
	}
}

// Open opens a flow to a service.
func (c *Caller) Open(ctx context.Context, service netip.AddrPort) (f *Flow, err error) {
	c.mu.Lock()
	c.port++
	f = &Flow{
		caller: c, local: netip.AddrPortFrom(c.Address.Addr(), c.port), service: service,
		sequence: rand.Uint32(), packets: make(chan Packet, 16),
	}
	c.flows[c.port] = f
	c.mu.Unlock()
	copies := uint32(0)
	answer, err := f.exchange(ctx, func() {
		f.send(&Packet{Flags: Syn, Sequence: f.sequence, Ack: copies})
		copies++
	}, func(p *Packet) bool { return p.Flags&Syn != 0 })
	if err != nil {
		return nil, err
	}
	f.sequence++
	f.received = answer.Sequence + 1
	f.send(&Packet{Flags: Ack, Sequence: f.sequence, Ack: f.received})
	return f, nil
}

// Do sends a request and returns the answer.
func (f *Flow) Do(ctx context.Context, request string) (answer string, err error) {
	start := f.sequence
	f.sequence += uint32(len(request))
	p, err := f.exchange(ctx, func() {
		f.send(&Packet{Flags: Ack, Sequence: start, Ack: f.received, Data: []byte(request)})
	}, func(p *Packet) bool { return len(p.Data) > 0 && p.Sequence == f.received })
	if err != nil {
		return "", err
	}
	f.received += uint32(len(p.Data))
	f.send(&Packet{Flags: Ack, Sequence: f.sequence, Ack: f.received})
	if !strings.HasSuffix(string(p.Data), ":"+request) {
		return "", eris.Errorf("answer %q is not that to %q", p.Data, request)
	}
	return string(p.Data), nil
}

// Close ends the flow.
func (f *Flow) Close() {
	f.send(&Packet{Flags: Fin | Ack, Sequence: f.sequence, Ack: f.received})
}

// exchange sends, and sends again, until the packet that it waits for comes.
func (f *Flow) exchange(ctx context.Context, send func(), isWanted func(*Packet) bool) (p *Packet, err error) {
	for i := 0; ; i++ {
		send()
		again := time.After(repeats[min(i, len(repeats)-1)])
		for isWaiting := true; isWaiting; {
			select {
			case <-ctx.Done():
				return nil, ErrDeadline
			case <-again:
				isWaiting = false
			case packet := <-f.packets:
				if packet.Flags&Rst != 0 {
					return nil, ErrReset
				}
				if isWanted(&packet) {
					return &packet, nil
				}
			}
		}
	}
}

// send hands a packet to the balancer that the flow's ports select.
func (f *Flow) send(p *Packet) {
	p.Source, p.Destination = f.local, f.service
	balancers := f.caller.Routers()
	if len(balancers) == 0 {
		return
	}
	to := balancers[int(f.local.Port())%len(balancers)]
	_, _ = f.caller.conn.WriteToUDPAddrPort(p.Marshal(), to)
}
