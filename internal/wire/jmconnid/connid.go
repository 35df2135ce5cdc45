// Package jmconnid encrypts the route of a flow into a QUIC connection ID and
// decrypts it again, so that a balancer keeps no state of a flow.
//
// A connection ID has 20 bytes: the key's number in the clear, one encrypted
// AES block with the route, and the low three bytes of the nonce in the clear.
// The block holds, in big-endian order, the service number (2 bytes), the prefix
// number (1), the low 32 bits of the agent's address (4), its port (2), the short
// incarnation (2), the upper bits of the nonce (2) and zero check bytes (3). The
// nonce keeps the IDs of one agent distinct.
package jmconnid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
)

// Sizes in bytes.
const (
	Length  = 20
	KeySize = 16

	blockSize = aes.BlockSize
	checkSize = 3
)

const (
	nonceClearBits = 24 // low bits of the nonce, which are not encrypted
	nonceBits      = 40
	hostBits       = 32 // low bits of the agent's address, those after the prefix
)

// Errors of Open, each of which is a reason to drop a datagram.
var (
	ErrLength     = errors.New("connection ID has the wrong length")
	ErrUnknownKey = errors.New("connection ID has an unknown key number")
	ErrForged     = errors.New("connection ID was not sealed with its key")
	ErrPrefix     = errors.New("agent's address is outside the allowed prefixes")
)

// Route is the content of a connection ID: the service and agent of a flow.
type Route struct {
	Service     jasminemoor.ServiceNumber
	Agent       netip.AddrPort
	Incarnation uint16
	// Nonce makes the ID unique at its agent. Only the low 40 bits are used.
	Nonce uint64
}

// Key is a sealing key and its number.
type Key struct {
	Number uint8
	Secret [KeySize]byte
	// IsSealing marks the one key that seals new IDs. The others only open the IDs
	// of flows that are still open.
	IsSealing bool
}

// Prefix is a range of allowed agent addresses, and its number.
type Prefix struct {
	Number uint8
	Prefix netip.Prefix
}

// Codec seals and opens connection IDs. It is immutable and safe for
// concurrent use.
type Codec struct {
	blocks   [256]cipher.Block
	prefixes [256]netip.Prefix
	sealing  int
}

// New returns a codec. It fails if there is not exactly one sealing key, if a
// number is used twice, or if a prefix leaves more than 32 bits to the host.
func New(keys []Key, prefixes []Prefix) (c *Codec, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "connection ID codec")
		}
	}()
	c = &Codec{sealing: -1}
	for _, k := range keys {
		if err = c.addKey(k); err != nil {
			return nil, err
		}
	}
	if c.sealing < 0 {
		return nil, eris.New("no sealing key")
	}
	for _, p := range prefixes {
		if err = c.addPrefix(p); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Codec) addKey(k Key) error {
	if c.blocks[k.Number] != nil {
		return eris.Errorf("key number %d is used twice", k.Number)
	}
	block, err := aes.NewCipher(k.Secret[:])
	if err != nil {
		return eris.Wrapf(err, "key number %d", k.Number)
	}
	c.blocks[k.Number] = block
	if !k.IsSealing {
		return nil
	}
	if c.sealing >= 0 {
		return eris.Errorf("keys %d and %d are both sealing", c.sealing, k.Number)
	}
	c.sealing = int(k.Number)
	return nil
}

func (c *Codec) addPrefix(p Prefix) error {
	if !p.Prefix.IsValid() {
		return eris.Errorf("prefix number %d is invalid", p.Number)
	}
	if c.prefixes[p.Number].IsValid() {
		return eris.Errorf("prefix number %d is used twice", p.Number)
	}
	if p.Prefix.Addr().BitLen()-p.Prefix.Bits() > hostBits {
		return eris.Errorf("prefix %s leaves more than %d bits to the host", p.Prefix, hostBits)
	}
	c.prefixes[p.Number] = p.Prefix.Masked()
	return nil
}

// Seal returns the connection ID of a route. It returns ErrPrefix if no
// prefix contains the agent's address.
func (c *Codec) Seal(r Route) (id [Length]byte, err error) {
	number, found := c.prefixOf(r.Agent.Addr())
	if !found {
		return id, ErrPrefix
	}
	nonce := r.Nonce & (1<<nonceBits - 1)
	var block [blockSize]byte
	binary.BigEndian.PutUint16(block[0:], uint16(r.Service))
	block[2] = number
	binary.BigEndian.PutUint32(block[3:], lowBits(r.Agent.Addr()))
	binary.BigEndian.PutUint16(block[7:], r.Agent.Port())
	binary.BigEndian.PutUint16(block[9:], r.Incarnation)
	binary.BigEndian.PutUint16(block[11:], uint16(nonce>>nonceClearBits))
	id[0] = byte(c.sealing)
	c.blocks[c.sealing].Encrypt(id[1:1+blockSize], block[:])
	id[1+blockSize] = byte(nonce >> 16)
	id[2+blockSize] = byte(nonce >> 8)
	id[3+blockSize] = byte(nonce)
	return id, nil
}

func (c *Codec) prefixOf(addr netip.Addr) (number uint8, found bool) {
	for i, p := range c.prefixes {
		if p.IsValid() && p.Contains(addr) {
			return uint8(i), true
		}
	}
	return 0, false
}

// Opener opens connection IDs without allocating. It is not safe for concurrent
// use: each goroutine has its own.
type Opener struct {
	Codec *Codec
	block [blockSize]byte
}

// Open returns the route of a connection ID, with all bits of the nonce, or one
// of the package's errors.
func (o *Opener) Open(id []byte) (r Route, err error) {
	if len(id) != Length {
		return r, ErrLength
	}
	cipherBlock := o.Codec.blocks[id[0]]
	if cipherBlock == nil {
		return r, ErrUnknownKey
	}
	cipherBlock.Decrypt(o.block[:], id[1:1+blockSize])
	for _, b := range o.block[blockSize-checkSize:] {
		if b != 0 {
			return r, ErrForged
		}
	}
	prefix := o.Codec.prefixes[o.block[2]]
	if !prefix.IsValid() {
		return r, ErrPrefix
	}
	addr := withLowBits(prefix, binary.BigEndian.Uint32(o.block[3:]))
	if !prefix.Contains(addr) {
		return r, ErrPrefix
	}
	r.Service = jasminemoor.ServiceNumber(binary.BigEndian.Uint16(o.block[0:]))
	if r.Service == 0 {
		return r, ErrForged
	}
	r.Agent = netip.AddrPortFrom(addr, binary.BigEndian.Uint16(o.block[7:]))
	r.Incarnation = binary.BigEndian.Uint16(o.block[9:])
	r.Nonce = uint64(binary.BigEndian.Uint16(o.block[11:]))<<nonceClearBits |
		uint64(id[1+blockSize])<<16 | uint64(id[2+blockSize])<<8 | uint64(id[3+blockSize])
	return r, nil
}

// lowBits returns the last 32 bits of an address.
func lowBits(addr netip.Addr) uint32 {
	if addr.Is4() {
		b := addr.As4()
		return binary.BigEndian.Uint32(b[:])
	}
	b := addr.As16()
	return binary.BigEndian.Uint32(b[12:])
}

// withLowBits returns the address of a prefix whose last 32 bits are low.
func withLowBits(p netip.Prefix, low uint32) netip.Addr {
	if p.Addr().Is4() {
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], low)
		return netip.AddrFrom4(b)
	}
	b := p.Addr().As16()
	binary.BigEndian.PutUint32(b[12:], low)
	return netip.AddrFrom16(b)
}
