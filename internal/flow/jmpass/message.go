// Package jmpass decides on the packets of pass-through flows, whose bytes the
// balancer can't change: which upstream gets a new flow, which agent holds an
// open one, and when a flow has no holder and is to be reset.
//
// Balancer and Agent are state machines without sockets and goroutines. Their
// inputs are packets, messages and the time, and their outputs are messages to send.
package jmpass

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// Kind says what is to be done with a message.
type Kind uint8

// The kinds of message.
const (
	Dropped    Kind = iota // the packet is dropped; nothing is sent
	ToUpstream             // a packet for the agent's own upstream
	ToCaller               // a packet from the upstream, for its caller
	ToPeer                 // a packet, a flow's key or a report for another process
	Reset                  // a reset of the flow, for its caller
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case ToUpstream:
		return "given to the upstream"
	case ToCaller:
		return "given to the caller"
	case ToPeer:
		return "passed on"
	case Reset:
		return "reset"
	}
	return "dropped"
}

// Message is an output of a Balancer or an Agent. It is valid until the next input to
// it.
type Message struct {
	Kind   Kind
	Flow   jasminemoor.FlowKey
	To     netip.Addr // the receiving peer of ToPeer
	Header jmhop.Header
	// Packet is a stored packet. It is nil if the message is about the packet at hand
	// or about none.
	Packet []byte
	// HasPacket is set if a packet follows the header. If it is not set, the flow's
	// key or the report does.
	HasPacket bool
	// Report is the body of a report, nil for any other message.
	Report *jmhop.Report
	// Body is the body of a message that is none of the above, nil if there is none.
	Body []byte
	// RequestAge is the age of the request in Packet if the agent had queued it, 0 if
	// not. It includes the time before the request arrived, as far as the agent
	// knows it. Of the packets of one request, only the first one has it.
	RequestAge time.Duration
	// Sequence is the sequence number of a reset.
	Sequence uint32
	// Holder is the agent that the balancer had recorded for the flow, if the message
	// does not go there because that agent may be gone. IsConfirmed is set if the agent
	// itself had said that it holds the flow, and not if the flow was only placed there.
	Holder      netip.Addr
	IsConfirmed bool
}

// Snapshot is the view of the directory that a Balancer or an Agent decides by.
type Snapshot struct {
	*jmdirectory.View
	// AsOf is when the view was last known to have everything that the platform has.
	AsOf time.Time
}

// maxViewAge is how old a view may be for a flow to be reset by it.
const maxViewAge = 2500 * time.Millisecond

// isFresh reports whether the view is recent enough for a flow to be reset by it.
func (s *Snapshot) isFresh(now time.Time) bool { return now.Sub(s.AsOf) < maxViewAge }

// Reason is the reason of a decision on a packet, for metrics and logs.
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
	ReasonProbed
	ReasonRefusedByUpstream
	ReasonUpstreamDown
	ReasonHandedOn
	ReasonSearched
	ReasonAbsentEverywhere
	ReasonLeaving
	ReasonOtherService
	ReasonHeldBack
	ReasonGivenUp
	ReasonUnknownSender
	ReasonBusy
	ReasonOutOfRank
	ReasonOverLimit
	ReasonInVain
	ReasonCold
	ReasonColdRefused
	ReasonEvacuated
	ReasonServiceUnknown
	reasonCount
)

// ReasonCount is the number of reasons.
const ReasonCount = int(reasonCount)

var reasons = [reasonCount]struct{ name, text string }{
	ReasonNone:              {"none", "no decision"},
	ReasonNoView:            {"no_view", "directory, or a change of it that the sender has, is not known yet"},
	ReasonNoRoute:           {"no_route", "no route for the address"},
	ReasonNoUpstream:        {"no_upstream", "no upstream is ready"},
	ReasonPlaced:            {"placed", "new flow placed"},
	ReasonRepeated:          {"repeated", "opening packet repeated, another upstream chosen"},
	ReasonKnown:             {"known", "holder is known"},
	ReasonUnknown:           {"unknown", "holder is not known, first in rank asked"},
	ReasonUpstreamGone:      {"upstream_gone", "holder has left the directory and is silent"},
	ReasonHeld:              {"held", "upstream holds the flow"},
	ReasonNotHeld:           {"not_held", "upstream does not hold the flow"},
	ReasonProbed:            {"tested", "upstream may hold the flow"},
	ReasonRefusedByUpstream: {"refused_by_upstream", "upstream refused the packet"},
	ReasonUpstreamDown:      {"upstream_down", "upstream does not run"},
	ReasonHandedOn:          {"handed_on", "flow was handed on, packet follows"},
	ReasonSearched:          {"searched", "other agents asked for the holder"},
	ReasonAbsentEverywhere:  {"absent_everywhere", "no agent holds the flow"},
	ReasonLeaving:           {"leaving", "upstream is leaving"},
	ReasonOtherService:      {"other_service", "route is for another service"},
	ReasonHeldBack:          {"held_back", "request waits for its upstream"},
	ReasonGivenUp:           {"given_up", "caller gave up while its request waited"},
	ReasonBusy:              {"busy", "upstream would answer late, another one is compared"},
	ReasonOutOfRank:         {"out_of_rank", "upstream is not among the first in rank, flow handed on"},
	ReasonOverLimit:         {"over_limit", "client account has as many requests waiting as it may"},
	ReasonInVain:            {"in_vain", "no upstream could answer before the caller gives up"},
	ReasonCold:              {"cold", "upstream warms up and has got as many new flows as it bears, flow handed on"},
	ReasonColdRefused:       {"cold_refused", "no upstream found that can take the flow while it warms up"},
	ReasonEvacuated:         {"evacuated", "data centre is being evacuated, flow handed on"},
	ReasonServiceUnknown:    {"service_unknown", "upstream has ended, and the service of the next one is not known yet"},
	ReasonUnknownSender:     {"stranger", "message from an address that is no agent's"},
}

// String returns the name of the reason, for metrics.
func (r Reason) String() string {
	if r < reasonCount {
		return reasons[r].name
	}
	return "unknown reason"
}

// Text returns the reason in words, for logs.
func (r Reason) Text() string {
	if r < reasonCount {
		return reasons[r].text
	}
	return "unknown reason"
}

// IsNotable reports whether a decision is unusual and worth a log line.
func (r Reason) IsNotable() bool {
	switch r {
	case ReasonNone, ReasonPlaced, ReasonKnown, ReasonHeld, ReasonProbed, ReasonNotHeld, ReasonHandedOn, ReasonBusy:
		return false
	}
	return true
}
