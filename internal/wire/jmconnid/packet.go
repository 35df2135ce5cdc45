package jmconnid

import "errors"

// ErrPacket reports a datagram that does not begin as a QUIC packet.
var ErrPacket = errors.New("not a QUIC packet")

const (
	longHeaderBit  = 0x80
	longHeaderSize = 6 // first byte, version and length of the destination ID
	maxIDSize      = 20

	// version2 is the version number of QUIC version 2 (RFC 9369).
	version2 = 0x6b3343cf
)

// Packet is what the version-independent header of a QUIC packet tells.
type Packet struct {
	// Destination is the destination connection ID. It shares the datagram's memory.
	Destination []byte
	// IsLong tells the packets of a handshake from those after it.
	IsLong bool
	// IsFirst marks a packet that can belong to a flow without an agent: an
	// Initial or 0-RTT packet, or one of an unknown version.
	IsFirst bool
}

// ParsePacket reads the header of the first QUIC packet of a datagram.
func ParsePacket(datagram []byte) (p Packet, err error) {
	if len(datagram) == 0 {
		return p, ErrPacket
	}
	if datagram[0]&longHeaderBit == 0 {
		if len(datagram) < 1+Length {
			return p, ErrPacket
		}
		p.Destination = datagram[1 : 1+Length]
		return p, nil
	}
	if len(datagram) < longHeaderSize {
		return p, ErrPacket
	}
	size := int(datagram[5])
	if size > maxIDSize || len(datagram) < longHeaderSize+size {
		return p, ErrPacket
	}
	p.IsLong = true
	p.Destination = datagram[longHeaderSize : longHeaderSize+size]
	p.IsFirst = isFirstType(datagram)
	return p, nil
}

func isFirstType(datagram []byte) bool {
	version := uint32(datagram[1])<<24 | uint32(datagram[2])<<16 | uint32(datagram[3])<<8 | uint32(datagram[4])
	kind := datagram[0] >> 4 & 3
	switch version {
	case 0: // version negotiation is sent by servers only
		return false
	case 1:
		return kind == 0 || kind == 1
	case version2:
		return kind == 1 || kind == 2
	}
	return true
}
