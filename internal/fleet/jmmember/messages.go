// Package jmmember tracks which of the fleet's processes are alive, with
// a SWIM-style failure detector whose cost for each process is constant.
//
// The machine has no sockets and no goroutines: its inputs are messages and
// the time, its outputs are packets to send.
package jmmember

import (
	"net/netip"

	"github.com/jasminemoor/jasminemoor"
)

// Liveness is the verdict of the failure detector on a member.
type Liveness uint8

// The states of a member. At the same version, a state overrides those above it in
// this list.
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

// Update is the state of a member in a message. Only the member itself raises
// Version, to refute a suspicion or to announce that it is leaving.
type Update struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Member      netip.AddrPort
	Incarnation jasminemoor.Incarnation
	Version     uint32
	Liveness    Liveness
	IsLeaving   bool
}

// overrides reports whether u replaces v, an update of the same member. A process
// that never received an update from a member does not know its incarnation and
// uses 0: its suspicion applies to any incarnation, and the member can refute it.
func (u *Update) overrides(v *Update) bool {
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

// Type is the type of a message.
type Type uint8

// The types of message.
const (
	TypePing        Type = 1 // asks the receiver for an ack
	TypeAck         Type = 2 // answers a ping
	TypePingRequest Type = 3 // asks the receiver to ping Target
	TypeAnnounce    Type = 4 // only carries updates
)

// Message is a message of the failure detector with its piggybacked updates.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Type     Type
	Sequence uint32
	// Target is the member to ping. It is set in a ping request only.
	Target  netip.AddrPort
	Updates []Update
}

// Packet is a message to send.
type Packet struct {
	To      netip.AddrPort
	Message Message
}
