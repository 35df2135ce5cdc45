// Package jmpackets has stand-ins for the callers, the routers and the upstreams
// of the users' platform, for tests. They exchange packets over UDP on loopback.
package jmpackets

import (
	"encoding/binary"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
	jmadapter "github.com/jasminemoor/jasminemoor/platform"
)

// Flags of the platform's packets, as they are on the wire.
const (
	Syn     = 1
	Bounced = 2
	Fin     = 4
	Ack     = 8
	Rst     = 128

	headSize = 32 // bytes
	flagsAt  = 18 // offset in the head
)

// Packet is one packet of the platform. Ack is the acknowledgement number.
type Packet struct {
	Source, Destination netip.AddrPort
	Flags               byte
	Sequence, Ack       uint32
	Data                []byte
}

// Marshal returns the packet as it is on the wire, with a checksum of all that
// must arrive unchanged.
func (p *Packet) Marshal() []byte {
	b := make([]byte, headSize, headSize+len(p.Data))
	binary.LittleEndian.PutUint16(b, uint16(len(p.Data)))
	putAddr(b[4:], b[12:], p.Source)
	putAddr(b[8:], b[2:], p.Destination)
	b[flagsAt] = p.Flags
	binary.LittleEndian.PutUint32(b[20:], p.Sequence)
	binary.LittleEndian.PutUint32(b[24:], p.Ack)
	b = append(b, p.Data...)
	binary.LittleEndian.PutUint32(b[28:], checksum(b))
	return b
}

func putAddr(addr, port []byte, a netip.AddrPort) {
	raw := a.Addr().As4()
	binary.LittleEndian.PutUint32(addr, binary.BigEndian.Uint32(raw[:]))
	binary.LittleEndian.PutUint16(port, a.Port())
}

// checksum returns the FNV-1a hash of a packet without the fields that the load
// balancer may change: echo, pad, the checksum itself and the flag BOUNCED. It is
// never 0, which stands for a packet without a checksum.
func checksum(b []byte) (sum uint32) {
	sum = 2166136261
	for i, c := range b {
		switch {
		case i >= 14 && i < 18, i == 19, i >= 28 && i < headSize:
			continue
		case i == flagsAt:
			c &^= Bounced
		}
		sum = (sum ^ uint32(c)) * 16777619
	}
	return sum | 1
}

// Unmarshal parses a packet and verifies its checksum. Resets made by the load
// balancer itself have none.
func (p *Packet) Unmarshal(b []byte) (err error) {
	var head jasminemoor.Packet
	if err = (jmadapter.Codec{}).Decode(b, &head); err != nil {
		return err
	}
	sum := binary.LittleEndian.Uint32(b[28:])
	isBareReset := b[flagsAt] == Rst && sum == 0 && head.Length == 0
	if !isBareReset && sum != checksum(b) {
		return eris.New("packet does not match its checksum")
	}
	p.Source, p.Destination = head.Source, head.Destination
	p.Flags, p.Sequence, p.Ack = b[flagsAt], head.Sequence, head.Acknowledged
	p.Data = append([]byte(nil), b[headSize:]...)
	return nil
}

// listen opens a UDP socket.
func listen(addr netip.AddrPort) (conn *net.UDPConn, err error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
}

// readLoop calls handle with a copy of each packet until the socket is closed.
func readLoop(conn *net.UDPConn, handle func(b []byte)) {
	buffer := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		handle(append([]byte(nil), buffer[:n]...))
	}
}
