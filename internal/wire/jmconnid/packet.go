package jmconnid

import "errors"

// ErrPacket reports a datagram that does not begin with a QUIC packet header.
var ErrPacket = errors.New("not a QUIC packet")

const (
	longHeaderBit  = 0x80
	longHeaderSize = 6 // first byte, version and length of the destination ID
	maxIDSize      = 20

	// version2 is the version number of QUIC version 2 (RFC 9369).
	version2 = 0x6b3343cf
)

// Packet is the header of a QUIC packet, as far as a balancer or agent needs it
// to route the packet.
type Packet struct {
	// Destination is the destination connection ID. It shares the datagram's memory.
	Destination []byte
	// HasLongHeader reports whether the header is a long one, as in the packets of a
	// handshake. Packets after it have a short header.
	HasLongHeader bool
	// MayOpenFlow reports whether the packet may belong to a new flow, which has no
	// agent yet: an Initial or 0-RTT packet, or one of an unknown version.
	MayOpenFlow bool
}

// ParsePacket parses the header of the first QUIC packet of a datagram. It takes
// the destination ID of a short header, which has no length field, to have Length
// bytes.
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
	p.HasLongHeader = true
	p.Destination = datagram[longHeaderSize : longHeaderSize+size]
	p.MayOpenFlow = mayOpenFlow(datagram)
	return p, nil
}

// mayOpenFlow reports whether a long header is that of an Initial or 0-RTT packet,
// or of a packet of an unknown version. QUIC versions 1 and 2 number the packet types
// differently.
func mayOpenFlow(datagram []byte) bool {
	version := uint32(datagram[1])<<24 | uint32(datagram[2])<<16 | uint32(datagram[3])<<8 | uint32(datagram[4])
	packetType := datagram[0] >> 4 & 3
	switch version {
	case 0: // a Version Negotiation packet, which only servers send
		return false
	case 1:
		return packetType == 0 || packetType == 1
	case version2:
		return packetType == 1 || packetType == 2
	}
	return true
}
