package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/standin/jmpackets"
)

// Figures of the callers' protocol.
const (
	// resetWindow is how far the sequence number of a reset may be from what the caller has
	// acknowledged last. Callers ignore other resets of an open flow.
	resetWindow = 76800
	bufferSize  = 2048
	flowBuffer  = 16
)

// Delays before each retransmission of a packet. The last one repeats.
var retransmitDelays = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond}

// errReset says that the system has reset an open flow, with a valid sequence number.
var errReset = errors.New("flow was reset")

// strictCaller is a caller's instance that takes a reset of an open flow only if its
// sequence number is one that the platform's callers take.
type strictCaller struct {
	lab  *lab
	conn *net.UDPConn

	mu      sync.Mutex
	port    uint16
	flows   map[uint16]*strictFlow
	ignored int // resets with other sequence numbers
}

// strictFlow is the caller's end of a flow.
type strictFlow struct {
	caller         *strictCaller
	local, service netip.AddrPort
	sequence       uint32 // of the next byte to send
	expected       uint32 // of the next byte to receive, which is what was acknowledged last
	packets        chan jmpackets.Packet
	holder         string // name of the upstream that answers
}

func newStrictCaller(l *lab, at netip.AddrPort) (c *strictCaller, err error) {
	c = &strictCaller{lab: l, flows: make(map[uint16]*strictFlow), port: 2000}
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, err
	}
	go c.read()
	return c, nil
}

func (c *strictCaller) read() {
	buffer := make([]byte, bufferSize)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var p jmpackets.Packet
		if p.Unmarshal(buffer[:n]) != nil {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Destination.Port()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.packets <- p:
		default:
		}
	}
}

func (f *strictFlow) send(p *jmpackets.Packet) {
	p.Source, p.Destination = f.local, f.service
	if balancers := f.caller.lab.rotation(); len(balancers) > 0 {
		_, _ = f.caller.conn.WriteToUDPAddrPort(p.Marshal(), balancers[int(f.local.Port())%len(balancers)])
	}
}

// isValidReset reports whether a packet resets the open flow.
func (f *strictFlow) isValidReset(p *jmpackets.Packet) bool {
	if p.Flags&jmpackets.Rst == 0 {
		return false
	}
	distance := int32(p.Sequence - f.expected)
	if distance >= -resetWindow && distance <= resetWindow {
		return true
	}
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	f.caller.ignored++
	return false
}

// exchange sends a packet, and again after each delay, until a wanted one comes.
func (f *strictFlow) exchange(ctx context.Context, send func(), isWanted func(*jmpackets.Packet) bool, isReset func(*jmpackets.Packet) bool) (p *jmpackets.Packet, err error) {
	for i := 0; ; i++ {
		send()
		retransmit := time.After(retransmitDelays[min(i, len(retransmitDelays)-1)])
		for isWaiting := true; isWaiting; {
			select {
			case <-ctx.Done():
				return nil, jmpackets.ErrDeadline
			case <-retransmit:
				isWaiting = false
			case packet := <-f.packets:
				if isReset(&packet) {
					return nil, errReset
				}
				if isWanted(&packet) {
					return &packet, nil
				}
			}
		}
	}
}

// open opens a flow.
func (c *strictCaller) open(ctx context.Context, service netip.AddrPort) (f *strictFlow, err error) {
	c.mu.Lock()
	c.port++
	f = &strictFlow{
		caller: c, local: netip.AddrPortFrom(address(kindCaller, 2, 0).Addr(), c.port), service: service,
		sequence: rand.Uint32(), packets: make(chan jmpackets.Packet, flowBuffer),
	}
	c.flows[c.port] = f
	c.mu.Unlock()
	copies := uint32(0)
	answer, err := f.exchange(ctx, func() {
		f.send(&jmpackets.Packet{Flags: jmpackets.Syn, Sequence: f.sequence, Ack: copies})
		copies++
	}, func(p *jmpackets.Packet) bool { return p.Flags&jmpackets.Syn != 0 }, func(p *jmpackets.Packet) bool { return p.Flags&jmpackets.Rst != 0 })
	if err != nil {
		return nil, err
	}
	f.sequence++
	f.expected = answer.Sequence + 1
	f.send(&jmpackets.Packet{Flags: jmpackets.Ack, Sequence: f.sequence, Ack: f.expected})
	return f, nil
}

// do sends a request and waits for its answer.
func (f *strictFlow) do(ctx context.Context, request string) (answer string, err error) {
	start := f.sequence
	f.sequence += uint32(len(request))
	p, err := f.exchange(ctx, func() {
		f.send(&jmpackets.Packet{Flags: jmpackets.Ack, Sequence: start, Ack: f.expected, Data: []byte(request)})
	}, func(p *jmpackets.Packet) bool { return len(p.Data) > 0 && p.Sequence == f.expected }, f.isValidReset)
	if err != nil {
		return "", err
	}
	f.expected += uint32(len(p.Data))
	f.send(&jmpackets.Packet{Flags: jmpackets.Ack, Sequence: f.sequence, Ack: f.expected})
	return string(p.Data), nil
}

// awaitReset waits for a reset between two requests.
func (f *strictFlow) awaitReset(until <-chan time.Time) (isReset bool) {
	for {
		select {
		case <-until:
			return false
		case p := <-f.packets:
			if f.isValidReset(&p) {
				return true
			}
		}
	}
}
