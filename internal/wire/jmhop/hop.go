// Package jmhop implements the datagrams that balancers and agents send to each
// other about pass-through flows: the encapsulation of callers' packets, messages
// on which agent holds a flow, load reports and control messages.
//
// A header of HeaderSize bytes precedes a caller's packet or another body.
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

// Sizes and offsets in bytes.
const (
	HeaderSize    = 25
	addrStart     = 5
	revisionStart = 21
	// FlowKeySize is the size of the body of a datagram of KindAbsent, KindHolder or
	// KindFlowReset, which is the key of the flow.
	FlowKeySize = jasminemoor.FlowKeySize
	// ReportSize is the size of the body of a datagram of KindReport.
	ReportSize = 29
	// oldReportSize is the size of the body as earlier versions send it, without Wait, Room
	// and Work.
	oldReportSize = 23
)

// Kind is the type of a datagram.
type Kind uint8

// The kinds of datagram.
const (
	KindForward   Kind = 0xB1 // a caller's packet, for an agent to handle
	KindAsk       Kind = 0xB2 // a caller's packet, for an agent to handle if it holds the flow
	KindAbsent    Kind = 0xB3 // answer to KindAsk: the sender does not hold the flow
	KindHolder    Kind = 0xB4 // the sender holds a flow
	KindReport    Kind = 0xB5 // an agent's load and state
	KindPoll      Kind = 0xB6 // requests a report from an agent, or a list of flows from a balancer
	KindControl   Kind = 0xB7 // a control message as msgpack
	KindFlowReset Kind = 0xB8 // the sender has reset a flow, whose caller is about to retry
	KindFlows     Kind = 0xB9 // flows of an upstream, from an agent that leaves and for the next one
)

// AgeUnit is the resolution of Header.Age on the wire.
const AgeUnit = 20 * time.Millisecond

// DataCentreCode returns the code of a data centre in headers, a hash of its name.
// Two data centres may have the same code.
func DataCentreCode(name string) uint8 { return uint8(xxhash.Sum64String(name)) }

// Flags of a header.
const (
	// FlagKnown is set if the balancer has the receiver recorded as the flow's holder.
	FlagKnown uint8 = 1 << iota
	// FlagFull is set on the packet of a new flow if recent reports of all upstreams that
	// may get it say that they would answer after its caller has given up.
	FlagFull

	// FlagIfLikely is set on a datagram of KindAsk if the receiver is not to give the packet to an
	// upstream that isn't likely to hold the flow.
	FlagIfLikely = FlagKnown
	// FlagUnlikely is set on a datagram of KindAbsent, only in answer to one with FlagIfLikely, if
	// the sender's upstream isn't likely to hold the flow. It is no proof that it does not.
	FlagUnlikely = FlagKnown

	// flagBits is the number of bits for flags in their byte. The others hold Wait.
	flagBits = 2
	flagMask = 1<<flagBits - 1
)

// Header.Wait is in units of WaitUnit on the wire, and at most MaxWait.
const (
	WaitUnit = 20 * time.Millisecond
	MaxWait  = (1<<(8-flagBits) - 1) * WaitUnit
)

// Errors of Unmarshal.
var (
	ErrShort = errors.New("datagram is too short")
	ErrKind  = errors.New("datagram is of an unknown kind")
)

// Header precedes a caller's packet or another body.
type Header struct {
	Kind  Kind
	Flags uint8
	// Hops counts the agents that have forwarded the packet to another one.
	Hops uint8
	// Age is the time since the caller first sent the flow's request, which it may
	// retry on a new flow, as far as the sender knows; 0 if it is not known. On the
	// wire it is in units of AgeUnit, rounded down, and at most 255 of them.
	Age time.Duration
	// Wait is how long the sender's upstream would take to answer a request on the new
	// flow, which the sender hands on in search of a faster one; 0 if it has no such
	// reason. On the wire it is rounded down to units of WaitUnit, and at least one.
	Wait time.Duration
	// DataCentre is the code of the data centre of the balancer that the packet
	// came through.
	DataCentre uint8
	// Origin is the balancer that the packet came through, or the sender of a
	// datagram without a packet.
	Origin netip.Addr
	// Revision is the code of the revision of the sender's copy of the directory; 0 if it is
	// not given.
	Revision RevisionCode
}

// RevisionCode is a short form of a revision in headers: the low 8 bits of its era and the
// low 24 bits of its change counter, both of which may wrap.
type RevisionCode uint32

// codeChangeBits is the number of bits of a RevisionCode for the change counter.
const codeChangeBits = 24

// NewRevisionCode returns the code of a revision.
func NewRevisionCode(r jasminemoor.Revision) RevisionCode {
	return RevisionCode(r.Era()<<codeChangeBits | r.Change()&(1<<codeChangeBits-1))
}

// IsAhead reports whether the sender's copy of the directory is newer than a copy with the
// given code.
func (h *Header) IsAhead(other RevisionCode) bool {
	eras := int8(h.Revision>>codeChangeBits) - int8(other>>codeChangeBits)
	changes := int32(h.Revision-other) << (32 - codeChangeBits)
	return h.Revision != 0 && (eras > 0 || eras == 0 && changes > 0)
}

// Marshal writes the header into the first HeaderSize bytes of b.
func (h *Header) Marshal(b []byte) {
	b[0], b[1], b[2], b[4] = byte(h.Kind), h.Flags&flagMask, h.Hops, h.DataCentre
	if h.Wait > 0 {
		b[1] |= byte(min(max(h.Wait, WaitUnit), MaxWait)/WaitUnit) << flagBits
	}
	b[3] = byte(min(max(h.Age/AgeUnit, 0), math.MaxUint8))
	binary.BigEndian.PutUint32(b[revisionStart:], uint32(h.Revision))
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
	h.Kind, h.Flags, h.Hops, h.DataCentre = Kind(b[0]), b[1]&flagMask, b[2], b[4]
	h.Wait = time.Duration(b[1]>>flagBits) * WaitUnit
	h.Age = time.Duration(b[3]) * AgeUnit
	if h.Kind < KindForward || h.Kind > KindFlows {
		return ErrKind
	}
	h.Revision = RevisionCode(binary.BigEndian.Uint32(b[revisionStart:]))
	raw := [16]byte(b[addrStart:revisionStart])
	h.Origin = netip.Addr{}
	if raw != [16]byte{} {
		h.Origin = netip.AddrFrom16(raw).Unmap()
	}
	return nil
}

// Report is an agent's load and state.
type Report struct {
	// Incarnation identifies the run of the agent's process.
	Incarnation jasminemoor.Incarnation
	// Waiting counts the requests that the agent's upstream has not begun to answer.
	Waiting uint16
	// Flows counts the long-lived open flows.
	Flows uint16
	// Failures is the share of the recent requests that failed, in per mille.
	Failures uint16
	State    ReportState
	// Revision is the revision of the agent's copy of the directory.
	Revision jasminemoor.Revision
	// Wait is how long a request that arrives now would wait until its answer begins,
	// 0 if it is not known. On the wire it is in milliseconds, rounded up, and at most
	// 65,535 of them.
	Wait time.Duration
	// Room is how many new flows the upstream can take within the next second while it
	// warms up, NoLimit if that is not limited.
	Room uint16
	// Work is the mean time that the upstream works on a request, 0 if it is not known. On
	// the wire it is in units of WorkUnit, rounded up, and at most 65,535 of them.
	Work time.Duration
}

// WorkUnit is the unit of Report.Work on the wire.
const WorkUnit = 100 * time.Microsecond

// NoLimit is the value of Report.Room without a limit.
const NoLimit = math.MaxUint16

// ReportState is the state of an agent, which decides whether balancers send it new
// flows.
type ReportState uint8

// The states of an agent.
const (
	ReportOpen         ReportState = iota // the agent accepts new flows
	ReportUpstreamDown                    // the agent's upstream does not answer
	ReportLeaving                         // the agent is shutting down
	ReportStarting                        // the agent has no copy of the directory yet
)

// Append appends the report's encoding to b.
func (r *Report) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(r.Incarnation))
	b = binary.BigEndian.AppendUint16(b, r.Waiting)
	b = binary.BigEndian.AppendUint16(b, r.Flows)
	b = binary.BigEndian.AppendUint16(b, r.Failures)
	b = append(b, byte(r.State))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Revision))
	wait := (max(r.Wait, 0) + time.Millisecond - 1) / time.Millisecond
	b = binary.BigEndian.AppendUint16(b, uint16(min(wait, math.MaxUint16)))
	b = binary.BigEndian.AppendUint16(b, r.Room)
	work := (max(r.Work, 0) + WorkUnit - 1) / WorkUnit
	return binary.BigEndian.AppendUint16(b, uint16(min(work, math.MaxUint16)))
}

// Unmarshal reads a report from the body of a datagram. Earlier versions send none of
// Wait, Room and Work.
func (r *Report) Unmarshal(b []byte) error {
	if len(b) < ReportSize && len(b) != oldReportSize {
		return ErrShort
	}
	r.Incarnation = jasminemoor.Incarnation(binary.BigEndian.Uint64(b))
	r.Waiting = binary.BigEndian.Uint16(b[8:])
	r.Flows = binary.BigEndian.Uint16(b[10:])
	r.Failures = binary.BigEndian.Uint16(b[12:])
	r.State = ReportState(b[14])
	r.Revision = jasminemoor.Revision(binary.BigEndian.Uint64(b[15:]))
	r.Wait, r.Room, r.Work = 0, NoLimit, 0
	if len(b) >= ReportSize {
		r.Wait = time.Duration(binary.BigEndian.Uint16(b[23:])) * time.Millisecond
		r.Room = binary.BigEndian.Uint16(b[25:])
		r.Work = time.Duration(binary.BigEndian.Uint16(b[27:])) * WorkUnit
	}
	return nil
}
