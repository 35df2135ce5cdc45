// Package jmmember tracks which of the fleet's processes are alive, by
// SWIM-style probing at a constant cost for each process.
//
// The machine has no sockets and no goroutines: its inputs are messages and
// the time, its outputs are packets to send.
package jmmember

import (
	"net/netip"

	"github.com/jasminemoor/jasminemoor"
)

// Liveness is what is believed of a member.
type Liveness uint8

// The states of a member, in the order in which they overrule each other at
// the same version.
const (
	Alive Liveness = iota
	Suspect
	Dead
)

// String returns the name of the state.
func (l Liveness) String() string {
	switch l {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	}
	return "dead"
}

// Update is one fact about a member. Only the member itself raises Version,
// to refute a suspicion or to announce that it leaves.
type Update struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Member      netip.AddrPort
	Incarnation jasminemoor.Incarnation
	Version     uint32
	Liveness    Liveness
	IsLeaving   bool
}

// overrules reports whether u says more than v of the same member. Who has
// never heard from a member does not know its incarnation, which is 0 then: a
// suspicion of it counts against any incarnation, and the member can refute it.
func (u *Update) overrules(v *Update) bool {
	if u.Liveness != Alive && (u.Incarnation == 0 || v.Incarnation == 0) {
		return u.Liveness > v.Liveness
	}
	if u.Incarnation != v.Incarnation {
		return u.Incarnation > v.Incarnation
	}
	if u.Version != v.Version {
		return u.Version > v.Version
	}
	return u.Liveness > v.Liveness
}

// Type says what a message is.
type Type uint8

// The types of message.
const (
	TypePing        Type = 1 // asks the receiver for an ack
	TypeAck         Type = 2 // answers a ping
	TypePingRequest Type = 3 // asks the receiver to ping Target
	TypeAnnounce    Type = 4 // only carries updates
)

// Message is one probe message with the updates that it carries along.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Type     Type
	Sequence uint32
	// Target is the member to ping, in a ping request only.
	Target  netip.AddrPort
	Updates []Update
}

// Packet is a message to send.
type Packet struct {
	To      netip.AddrPort
	Message Message
}
