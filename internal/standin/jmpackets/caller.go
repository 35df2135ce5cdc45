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

// Errors of a flow.
var (
	ErrReset    = eris.New("flow was reset")
	ErrDeadline = eris.New("no answer in time")
)

// retransmitDelays are the delays before each retransmission of a packet. The
// last one repeats.
var retransmitDelays = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond}

// Caller is a stand-in for a caller's instance. It sends each packet to the balancer
// that the flow's local port selects, as the platform's routers would.
type Caller struct {
	Address netip.AddrPort
	// Balancers returns the balancers that the routers currently send packets to.
	Balancers func() []netip.AddrPort

	mu         sync.Mutex
	conn       *net.UDPConn
	port       uint16 // of the latest flow
	flows      map[uint16]*Flow
	badPackets int
}

// Flow is a caller's end of a flow. Only one goroutine at a time may use it.
type Flow struct {
	caller         *Caller
	local, service netip.AddrPort
	// sequence is the number of the next byte to send, expected that of the next
	// byte to receive.
	sequence, expected uint32
	packets            chan Packet
}

// Start opens the caller's socket and begins to receive packets.
func (c *Caller) Start() (err error) {
	c.flows = make(map[uint16]*Flow)
	c.port = 2000
	if c.conn, err = listen(c.Address); err != nil {
		return err
	}
	go readLoop(c.conn, c.handle)
	return nil
}

// Close closes the caller's socket.
func (c *Caller) Close() error { return c.conn.Close() }

// BadPackets returns the number of received packets that were corrupt or belonged to
// no flow of the caller.
func (c *Caller) BadPackets() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.badPackets
}

// handle passes a packet to its flow. The packet is lost if the flow's buffer is
// full.
func (c *Caller) handle(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var p Packet
	if err := p.Unmarshal(b); err != nil || p.Destination.Addr() != c.Address.Addr() || c.flows[p.Destination.Port()] == nil {
		c.badPackets++
		return
	}
	select {
	case c.flows[p.Destination.Port()].packets <- p:
	default:
	}
}

// Open opens a flow to a service by a handshake of SYN, SYN with ACK, and ACK. The
// Ack field of a SYN counts its retransmissions.
func (c *Caller) Open(ctx context.Context, service netip.AddrPort) (f *Flow, err error) {
	c.mu.Lock()
	c.port++
	f = &Flow{
		caller: c, local: netip.AddrPortFrom(c.Address.Addr(), c.port), service: service,
		sequence: rand.Uint32(), packets: make(chan Packet, 16),
	}
	c.flows[c.port] = f
	c.mu.Unlock()
	retransmissions := uint32(0)
	answer, err := f.exchange(ctx, func() {
		f.send(&Packet{Flags: Syn, Sequence: f.sequence, Ack: retransmissions})
		retransmissions++
	}, func(p *Packet) bool { return p.Flags&Syn != 0 })
	if err != nil {
		return nil, err
	}
	f.sequence++
	f.expected = answer.Sequence + 1
	f.send(&Packet{Flags: Ack, Sequence: f.sequence, Ack: f.expected})
	return f, nil
}

// Do sends a request and returns the answer, which must end with a colon and the
// request.
func (f *Flow) Do(ctx context.Context, request string) (answer string, err error) {
	start := f.sequence
	f.sequence += uint32(len(request))
	p, err := f.exchange(ctx, func() {
		f.send(&Packet{Flags: Ack, Sequence: start, Ack: f.expected, Data: []byte(request)})
	}, func(p *Packet) bool { return len(p.Data) > 0 && p.Sequence == f.expected })
	if err != nil {
		return "", err
	}
	f.expected += uint32(len(p.Data))
	f.send(&Packet{Flags: Ack, Sequence: f.sequence, Ack: f.expected})
	if !strings.HasSuffix(string(p.Data), ":"+request) {
		return "", eris.Errorf("answer %q does not belong to request %q", p.Data, request)
	}
	return string(p.Data), nil
}

// Close sends a FIN and does not wait for an answer.
func (f *Flow) Close() {
	f.send(&Packet{Flags: Fin | Ack, Sequence: f.sequence, Ack: f.expected})
}

// exchange calls send, and again after each retransmission delay, until it
// receives a packet for which isWanted returns true. It fails with ErrReset at a
// packet with the flag Rst, and with ErrDeadline when ctx ends.
func (f *Flow) exchange(ctx context.Context, send func(), isWanted func(*Packet) bool) (p *Packet, err error) {
	for i := 0; ; i++ {
		send()
		retransmit := time.After(retransmitDelays[min(i, len(retransmitDelays)-1)])
		for isWaiting := true; isWaiting; {
			select {
			case <-ctx.Done():
				return nil, ErrDeadline
			case <-retransmit:
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

// send sends a packet to the balancer that the flow's local port selects. The packet
// is lost if there is no balancer.
func (f *Flow) send(p *Packet) {
	p.Source, p.Destination = f.local, f.service
	balancers := f.caller.Balancers()
	if len(balancers) == 0 {
		return
	}
	to := balancers[int(f.local.Port())%len(balancers)]
	_, _ = f.caller.conn.WriteToUDPAddrPort(p.Marshal(), to)
}
