// Package jmdatagram is the encapsulation in which balancers and agents pass
// a caller's datagrams over UDP.
//
// A header of 68 bytes goes before the caller's datagram. It ends with a tag
// that only holders of the fleet's key can make. The tag covers the header and
// the payload's length; the payload is a QUIC packet with its own protection.
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

// Sizes in bytes.
const (
	HeaderSize = 68
	// MaxPayload is the largest datagram of a caller that is passed on.
	MaxPayload = 1500
	// MaxSize is the largest datagram between the system's processes.
	MaxSize = HeaderSize + MaxPayload
	// KeySize is the size of a Key.
	KeySize = 16

	addrSize = 18
	tagStart = 60
	tagSize  = HeaderSize - tagStart
	macSize  = 64 // the header without its tag and the payload's length, in whole AES blocks
)

// Kind says what a datagram is for.
type Kind uint8

// The kinds of datagram.
const (
	KindForward  Kind = 0xA1 // from a balancer to an agent
	KindReturn   Kind = 0xA2 // from an agent to a balancer, for the caller
	KindHandover Kind = 0xA3 // from an agent to another agent
	KindControl  Kind = 0xA4 // a control message, with a frame of its own
)

// Errors of Unmarshal, each of which is a reason to drop a datagram.
var (
	ErrShort = errors.New("datagram is too short")
	ErrKind  = errors.New("datagram is of an unknown kind")
	ErrTag   = errors.New("datagram has a wrong tag")
)

// Header goes before a caller's datagram.
type Header struct {
	Kind Kind
	// Hops counts the agents that handed the datagram on.
	Hops    uint8
	Service jasminemoor.ServiceNumber
	// Caller is the caller's address as the balancer sees it.
	Caller netip.AddrPort
	// Local is the service's address that the caller sent to, and that the
	// answer must come from.
	Local netip.AddrPort
	// Other is the second candidate of a new flow in a Forward, and the
	// balancer that the datagram came through in a Handover.
	Other netip.AddrPort
}

// Key authenticates datagrams.
type Key [KeySize]byte

// Sealer makes and checks tags. It is for one goroutine and does not allocate
// after NewSealer.
type Sealer struct {
	blocks []cipher.Block // the sending key's first
	chain  [aes.BlockSize]byte
	mac    [macSize]byte
}

// NewSealer returns a sealer that sends with the first key and accepts all.
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

// Marshal writes the header into the first HeaderSize bytes of datagram; the
// payload is expected behind them.
func (s *Sealer) Marshal(datagram []byte, h *Header) {
	datagram[0] = byte(h.Kind)
	datagram[1] = h.Hops
	binary.BigEndian.PutUint16(datagram[2:], uint16(h.Service))
	putAddr(datagram[4:], h.Caller)
	putAddr(datagram[4+addrSize:], h.Local)
	putAddr(datagram[4+2*addrSize:], h.Other)
	clear(datagram[4+3*addrSize : tagStart])
	s.sum(s.blocks[0], datagram)
	copy(datagram[tagStart:HeaderSize], s.chain[:tagSize])
}

// Unmarshal checks a datagram and reads its header into h. The payload begins
// at HeaderSize.
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
		s.sum(block, datagram)
		if subtle.ConstantTimeCompare(datagram[tagStart:HeaderSize], s.chain[:tagSize]) == 1 {
			return true
		}
	}
	return false
}

// sum leaves the CBC-MAC of the header in s.chain. The message has a fixed
// length, which is what makes a plain CBC-MAC sound.
func (s *Sealer) sum(block cipher.Block, datagram []byte) {
	copy(s.mac[:tagStart], datagram[:tagStart])
	binary.BigEndian.PutUint32(s.mac[tagStart:], uint32(len(datagram)))
	clear(s.chain[:])
	for i := 0; i < macSize; i += aes.BlockSize {
		subtle.XORBytes(s.chain[:], s.chain[:], s.mac[i:i+aes.BlockSize])
		block.Encrypt(s.chain[:], s.chain[:])
	}
}

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
