// Package jmhop is the encapsulation in which the system's processes pass the
// packets of pass-through flows, and tell each other where flows are.
//
// A header of HeaderSize bytes goes before a caller's packet or before a body.
package jmhop

import (
	"encoding/binary"
	"errors"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminemoor/jasminemoor"
)

// Sizes in bytes.
const (
	HeaderSize    = 25
	addrStart     = 5
	revisionStart = 21
	// KeySize is the size of the body of Absent and Holder.
	KeySize = jasminemoor.FlowKeySize
	// ReportSize is the size of the body of a report.
	ReportSize = 23
)

// Kind says what a datagram is for.
type Kind uint8

// The kinds of datagram.
const (
	KindForward Kind = 0xB1 // a caller's packet, for an agent
	KindAsk     Kind = 0xB2 // a caller's packet, for the agent if it holds the flow
	KindAbsent  Kind = 0xB3 // the sender does not hold a flow that it was asked for
	KindHolder  Kind = 0xB4 // the sender holds a flow
	KindReport  Kind = 0xB5 // an agent's load
	KindPoll    Kind = 0xB6 // asks an agent for its report
	KindControl Kind = 0xB7 // a control message as msgpack
	KindGone    Kind = 0xB8 // the sender has reset a flow; its caller tries again soon
)

// AgeUnit is the resolution of Header.Age.
const AgeUnit = 20 * time.Millisecond

// DataCentreCode returns the code of a data centre in headers. Two may share one.
func DataCentreCode(name string) uint8 { return uint8(xxhash.Sum64String(name)) }

// Flags of a header.
const (
	// FlagKnown says that the balancer holds the receiver to be the flow's holder.
	FlagKnown uint8 = 1 << iota
)

// Errors of Unmarshal.
var (
	ErrShort = errors.New("datagram is too short")
	ErrKind  = errors.New("datagram is of an unknown kind")
)

// Header goes before a packet or a body.
type Header struct {
	Kind  Kind
	Flags uint8
	// Hops counts the agents that passed the packet on.
	Hops uint8
	// Age is how long ago a caller sent the request first that it tries again on
	// a new flow, as far as is known. It is rounded down to AgeUnit, and bounded.
	Age time.Duration
	// DataCentre is the code of the data centre of the balancer that the packet
	// came through.
	DataCentre uint8
	// Origin is the balancer that the packet came through.
	Origin netip.Addr
	// Revision is that of the sender's copy of the directory, its low 32 bits; 0
	// says nothing.
	Revision uint32
}

// IsAhead reports whether the sender's copy of the directory is newer than one of
// a revision.
func (h *Header) IsAhead(revision uint64) bool {
	return h.Revision != 0 && int32(h.Revision-uint32(revision)) > 0
}

// Marshal writes the header into the first HeaderSize bytes of b.
func (h *Header) Marshal(b []byte) {
	b[0], b[1], b[2], b[4] = byte(h.Kind), h.Flags, h.Hops, h.DataCentre
	b[3] = byte(min(max(h.Age/AgeUnit, 0), math.MaxUint8))
	binary.BigEndian.PutUint32(b[revisionStart:], h.Revision)
	if !h.Origin.IsValid() {
		clear(b[addrStart:revisionStart])
		return
	}
	raw := h.Origin.As16()
	copy(b[addrStart:], raw[:])
}

// Unmarshal reads the header of a datagram.
func (h *Header) Unmarshal(b []byte) error {
	if len(b) < HeaderSize {
		return ErrShort
	}
	h.Kind, h.Flags, h.Hops, h.DataCentre = Kind(b[0]), b[1], b[2], b[4]
	h.Age = time.Duration(b[3]) * AgeUnit
	if h.Kind < KindForward || h.Kind > KindGone {
		return ErrKind
	}
	h.Revision = binary.BigEndian.Uint32(b[revisionStart:])
	raw := [16]byte(b[addrStart:revisionStart])
	h.Origin = netip.Addr{}
	if raw != [16]byte{} {
		h.Origin = netip.AddrFrom16(raw).Unmap()
	}
	return nil
}

// Report is an agent's load and state.
type Report struct {
	// Incarnation tells the runs of the agent apart.
	Incarnation jasminemoor.Incarnation
	// Waiting counts the requests that its upstream has not begun to answer.
	Waiting uint16
	// Flows counts the open flows that have lasted a while.
	Flows uint16
	// Failures is the share of the recent requests that failed, in per mille.
	Failures uint16
	State    ReportState
	// Revision is that of the agent's copy of the directory.
	Revision uint64
}

// ReportState says whether an agent takes new flows.
type ReportState uint8

// The states of an agent.
const (
	ReportOpen    ReportState = iota
	ReportStopped             // its upstream does not answer
	ReportLeaving             // the agent is about to end
)

// Append appends the report's encoding.
func (r *Report) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(r.Incarnation))
	b = binary.BigEndian.AppendUint16(b, r.Waiting)
	b = binary.BigEndian.AppendUint16(b, r.Flows)
	b = binary.BigEndian.AppendUint16(b, r.Failures)
	b = append(b, byte(r.State))
	return binary.BigEndian.AppendUint64(b, r.Revision)
}

// Unmarshal reads a report.
func (r *Report) Unmarshal(b []byte) error {
	if len(b) < ReportSize {
		return ErrShort
	}
	r.Incarnation = jasminemoor.Incarnation(binary.BigEndian.Uint64(b))
	r.Waiting = binary.BigEndian.Uint16(b[8:])
	r.Flows = binary.BigEndian.Uint16(b[10:])
	r.Failures = binary.BigEndian.Uint16(b[12:])
	r.State = ReportState(b[14])
	r.Revision = binary.BigEndian.Uint64(b[15:])
	return nil
}
