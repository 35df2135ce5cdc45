package jmdatagram

import (
	"crypto/hmac"
	"crypto/sha256"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	controlTagSize = 16
	// MaxControlSize is the size of the largest control datagram in bytes. It fits
	// into an Ethernet frame.
	MaxControlSize = 1400
)

// ControlKey authenticates control messages.
type ControlKey [32]byte

// MarshalControl returns a control datagram: the kind, the message as msgpack, and
// a tag under the key.
func MarshalControl(key ControlKey, message any) (datagram []byte, err error) {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(err, "control message")
	}
	if len(body)+1+controlTagSize > MaxControlSize {
		return nil, eris.Errorf("control message of %d bytes is too large", len(body))
	}
	datagram = make([]byte, 1, 1+len(body)+controlTagSize)
	datagram[0] = byte(KindControl)
	datagram = append(datagram, body...)
	return append(datagram, controlTag(key, datagram)...), nil
}

// UnmarshalControl checks that one of the keys made the tag of a control datagram,
// and decodes its message.
func UnmarshalControl(keys []ControlKey, datagram []byte, message any) (err error) {
	if len(datagram) < 1+controlTagSize {
		return ErrShort
	}
	if Kind(datagram[0]) != KindControl {
		return ErrKind
	}
	signed := datagram[:len(datagram)-controlTagSize]
	hasValidTag := slices.ContainsFunc(keys, func(key ControlKey) bool {
		return hmac.Equal(controlTag(key, signed), datagram[len(signed):])
	})
	if !hasValidTag {
		return ErrTag
	}
	if err = msgpack.Unmarshal(signed[1:], message); err != nil {
		return eris.Wrap(err, "control message")
	}
	return nil
}

func controlTag(key ControlKey, signed []byte) []byte {
	mac := hmac.New(sha256.New, key[:])
	mac.Write(signed)
	return mac.Sum(nil)[:controlTagSize]
}
