// Package jmpackets is stand-ins for the callers, the routers and the upstreams
// of the users' platform, over UDP on loopback, for tests.
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

	headSize = 32
	flagsAt  = 18
)

// Packet is one packet of the platform.
type Packet struct {
	Source, Destination netip.AddrPort
	Flags               byte
	Sequence, Ack       uint32
	Data                []byte
}

// Marshal returns the packet as it is on the wire, with a sum that tells
// whether anything was changed on the way.
func (p *Packet) Marshal() []byte {
	b := make([]byte, headSize, headSize+len(p.Data))
	binary.LittleEndian.PutUint16(b, uint16(len(p.Data)))
	putAddr(b[4:], b[12:], p.Source)
	putAddr(b[8:], b[2:], p.Destination)
	b[flagsAt] = p.Flags
	binary.LittleEndian.PutUint32(b[20:], p.Sequence)
	binary.LittleEndian.PutUint32(b[24:], p.Ack)
	b = append(b, p.Data...)
	binary.LittleEndian.PutUint32(b[28:], sumOf(b))
	return b
}

func putAddr(addr, port []byte, a netip.AddrPort) {
	raw := a.Addr().As4()
	binary.LittleEndian.PutUint32(addr, binary.BigEndian.Uint32(raw[:]))
	binary.LittleEndian.PutUint16(port, a.Port())
}

// sumOf leaves out what the system may change.
func sumOf(b []byte) (sum uint32) {
	sum = 2166136261
	for i, each := range b {
		switch {
		case i >= 14 && i < 18, i == 19, i >= 28 && i < headSize:
			continue
		case i == flagsAt:
			each &^= Bounced
		}
		sum = (sum ^ uint32(each)) * 16777619
	}
	return sum | 1
}

// Unmarshal reads a packet. Packets of the system's own, resets, have no sum.
func (p *Packet) Unmarshal(b []byte) (err error) {
	var head jasminemoor.Packet
	if err = (jmadapter.Codec{}).Decode(b, &head); err != nil {
		return err
	}
	sum := binary.LittleEndian.Uint32(b[28:])
	isOwnReset := b[flagsAt] == Rst && sum == 0 && head.Length == 0
	if !isOwnReset && sum != sumOf(b) {
		return eris.New("packet was changed on the way")
	}
	p.Source, p.Destination = head.Source, head.Destination
	p.Flags, p.Sequence, p.Ack = b[flagsAt], head.Sequence, head.Acknowledged
	p.Data = append([]byte(nil), b[headSize:]...)
	return nil
}

// listen opens a socket whose reads end from time to time.
func listen(addr netip.AddrPort) (conn *net.UDPConn, err error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
}

// readLoop hands each packet to handle until the socket is closed.
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
