// Package jmdatagram implements the UDP datagrams between balancers and agents: the
// encapsulation of a caller's datagrams, and control messages.
//
// A header of 68 bytes precedes the caller's datagram. It ends with a tag, a
// message authentication code under the fleet's datagram key. The tag covers the
// header and the payload's length, but not the payload, which is a QUIC packet
// with its own protection.
package jmdatagram

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
)

// Sizes and offsets in bytes.
const (
	HeaderSize = 68
	// MaxPayload is the size of the largest datagram of a caller that is forwarded.
	MaxPayload = 1500
	// MaxSize is the size of the largest datagram between the system's processes.
	MaxSize = HeaderSize + MaxPayload
	// KeySize is the size of a Key.
	KeySize = 16

	addrSize     = 18
	tagStart     = 60
	tagSize      = HeaderSize - tagStart
	macInputSize = 64 // the header without its tag, and the datagram's length, in whole AES blocks
)

// Kind is the type of a datagram.
type Kind uint8

// The kinds of datagram.
const (
	KindForward  Kind = 0xA1 // from a balancer to an agent
	KindReturn   Kind = 0xA2 // from an agent to a balancer, for the caller
	KindHandover Kind = 0xA3 // from an agent to another agent
	KindControl  Kind = 0xA4 // a control message, in another format: see MarshalControl
)

// Errors of Unmarshal and UnmarshalControl, each of which is a reason to drop a
// datagram.
var (
	ErrShort = errors.New("datagram is too short")
	ErrKind  = errors.New("datagram is of an unknown kind")
	ErrTag   = errors.New("datagram has an invalid tag")
)

// Header precedes a caller's datagram.
type Header struct {
	Kind Kind
	// Hops counts the agents that have handed the datagram over to another one.
	Hops    uint8
	Service jasminemoor.ServiceNumber
	// Caller is the caller's address as the balancer sees it.
	Caller netip.AddrPort
	// Local is the service's address that the caller sent to. The answer must have
	// it as its source.
	Local netip.AddrPort
	// Other depends on Kind: with KindForward, the agent that is the second
	// candidate for a new flow; with KindHandover, the balancer that the datagram
	// came through. With KindReturn it has no meaning.
	Other netip.AddrPort
}

// Key authenticates datagrams.
type Key [KeySize]byte

// Sealer computes and checks tags. It is not safe for concurrent use, and does not
// allocate after NewSealer.
type Sealer struct {
	blocks   []cipher.Block // one for each key, that of the sending key first
	mac      [aes.BlockSize]byte
	macInput [macInputSize]byte
}

// NewSealer returns a sealer that makes tags with the first key and accepts those
// of all keys.
func NewSealer(keys []Key) (s *Sealer, err error) {
	if len(keys) == 0 {
		return nil, eris.New("no datagram key")
	}
	s = &Sealer{}
	for _, key := range keys {
		block, err := aes.NewCipher(key[:])
		if err != nil {
			return nil, eris.Wrap(err, "datagram key")
		}
		s.blocks = append(s.blocks, block)
	}
	return s, nil
}

// Marshal writes the header into the first HeaderSize bytes of datagram. The
// payload must follow them already, since the tag covers its length.
func (s *Sealer) Marshal(datagram []byte, h *Header) {
	datagram[0] = byte(h.Kind)
	datagram[1] = h.Hops
	binary.BigEndian.PutUint16(datagram[2:], uint16(h.Service))
	putAddr(datagram[4:], h.Caller)
	putAddr(datagram[4+addrSize:], h.Local)
	putAddr(datagram[4+2*addrSize:], h.Other)
	clear(datagram[4+3*addrSize : tagStart])
	s.computeMAC(s.blocks[0], datagram)
	copy(datagram[tagStart:HeaderSize], s.mac[:tagSize])
}

// Unmarshal checks a datagram's tag and reads its header into h. The payload
// begins at HeaderSize.
func (s *Sealer) Unmarshal(datagram []byte, h *Header) error {
	if len(datagram) < HeaderSize {
		return ErrShort
	}
	kind := Kind(datagram[0])
	if kind != KindForward && kind != KindReturn && kind != KindHandover {
		return ErrKind
	}
	if !s.hasValidTag(datagram) {
		return ErrTag
	}
	h.Kind = kind
	h.Hops = datagram[1]
	h.Service = jasminemoor.ServiceNumber(binary.BigEndian.Uint16(datagram[2:]))
	h.Caller = getAddr(datagram[4:])
	h.Local = getAddr(datagram[4+addrSize:])
	h.Other = getAddr(datagram[4+2*addrSize:])
	return nil
}

func (s *Sealer) hasValidTag(datagram []byte) bool {
	for _, block := range s.blocks {
		s.computeMAC(block, datagram)
		if subtle.ConstantTimeCompare(datagram[tagStart:HeaderSize], s.mac[:tagSize]) == 1 {
			return true
		}
	}
	return false
}

// computeMAC writes the CBC-MAC of the header and the datagram's length to s.mac.
// A plain CBC-MAC is secure only for inputs of one fixed length, as this one is.
func (s *Sealer) computeMAC(block cipher.Block, datagram []byte) {
	copy(s.macInput[:tagStart], datagram[:tagStart])
	binary.BigEndian.PutUint32(s.macInput[tagStart:], uint32(len(datagram)))
	clear(s.mac[:])
	for i := 0; i < macInputSize; i += aes.BlockSize {
		subtle.XORBytes(s.mac[:], s.mac[:], s.macInput[i:i+aes.BlockSize])
		block.Encrypt(s.mac[:], s.mac[:])
	}
}

// putAddr writes an address and port in addrSize bytes, zeros if it is not valid.
func putAddr(b []byte, a netip.AddrPort) {
	if !a.IsValid() {
		clear(b[:addrSize])
		return
	}
	raw := a.Addr().As16()
	copy(b, raw[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
}

func getAddr(b []byte) netip.AddrPort {
	raw := [16]byte(b[:16])
	port := binary.BigEndian.Uint16(b[16:])
	if raw == [16]byte{} && port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom16(raw).Unmap(), port)
}
