// Package jmpass decides on the packets of pass-through flows, whose bytes the
// balancer can't change: which upstream gets a new flow, which agent holds an
// open one, and when a flow is known to be gone.
//
// The machines have no sockets and no goroutines: their inputs are packets,
// messages and the time, their outputs are messages to send.
package jmpass

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// Kind says what to do with a message.
type Kind uint8

// The kinds of message.
const (
	ToUpstream Kind = iota + 1 // a packet for the agent's own upstream
	ToCaller                   // a packet of the upstream, for its caller
	ToPeer                     // a packet, a key or a body for another process
	Reset                      // a reset of the flow, for its caller
)

// Message is something to send. It is valid until the machine's next input.
type Message struct {
	Kind   Kind
	Flow   jasminemoor.FlowKey
	To     netip.Addr // of a peer
	Header jmhop.Header
	// Packet is a packet that was kept, nil for the one at hand.
	Packet []byte
	// HasPacket says that a packet goes with the header, not the flow's key.
	HasPacket bool
	// Report is the body of a report.
	Report *jmhop.Report
	// Tag marks a packet for the upstream.
	Tag uint32
	// Sequence is that of a reset.
	Sequence uint32
}

// Snapshot is the directory as a machine goes by it.
type Snapshot struct {
	*jmdirectory.View
	// AsOf is when the view held everything that the platform had.
	AsOf time.Time
}

// freshness is how old a view may be for a caller to be refused by it.
const freshness = 2500 * time.Millisecond

// isFresh reports whether the view is recent enough to refuse a caller by.
func (s *Snapshot) isFresh(now time.Time) bool { return now.Sub(s.AsOf) < freshness }

// Reason says why a packet went where it went, for counters and logs.
type Reason uint8

// The reasons of a decision.
const (
	ReasonNone Reason = iota
	ReasonNoView
	ReasonNoRoute
	ReasonNoUpstream
	ReasonPlaced
	ReasonRepeated
	ReasonKnown
	ReasonUnknown
	ReasonUpstreamGone
	ReasonHeld
	ReasonNotHeld
	ReasonTested
	ReasonRefusedByUpstream
	ReasonUpstreamDown
	ReasonHandedOn
	ReasonSearched
	ReasonAbsentEverywhere
	ReasonLeaving
	ReasonOtherService
	reasonCount
)

// ReasonCount is the number of reasons.
const ReasonCount = int(reasonCount)

var reasonNames = [reasonCount]string{
	"none", "no_view", "no_route", "no_upstream", "placed", "repeated", "known", "unknown",
	"upstream_gone", "held", "not_held", "tested", "refused_by_upstream", "upstream_down",
	"handed_on", "searched", "absent_everywhere", "leaving", "other_service",
}

// String returns the name of the reason.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "unknown reason"
}
