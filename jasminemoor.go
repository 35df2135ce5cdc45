// Package jasminemoor declares the value types and the interfaces that the parts
// of the load balancer share. The implementations are below internal/. Callers
// use the package client.
package jasminemoor

import (
	"crypto/rand"
	"encoding/hex"
	"net/netip"
	"strconv"
	"time"
)

// Protocol is the ALPN name of the streams that callers open.
const Protocol = "jasminemoor/1"

// Error codes of QUIC streams and connections.
const (
	CodeDone      = 0
	CodeCancelled = 1 // the caller cancelled the stream
	CodeBroken    = 2 // the answer is cut short
	CodeLeaving   = 3 // the flow ends because the agent is leaving
)

// ServiceNumber identifies a service inside connection IDs and datagrams.
// Zero is never a valid number.
type ServiceNumber uint16

// Incarnation distinguishes the runs of one process. It is the start time in
// microseconds since the Unix epoch, so a later run has a larger number.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process started at t.
func NewIncarnation(t time.Time) Incarnation {
	return Incarnation(t.UnixMicro())
}

// Short hashes an incarnation to the 16 bits that fit into a connection ID.
func (i Incarnation) Short() uint16 {
	mixed := uint64(i) * 0x9E3779B97F4A7C15
	return uint16(mixed >> 48)
}

// RequestID identifies one request. All its attempts have the same ID.
type RequestID [16]byte

// NewRequestID returns a random request ID.
func NewRequestID() RequestID {
	var id RequestID
	// crypto/rand.Read never returns an error on supported systems.
	_, _ = rand.Read(id[:])
	return id
}

// String returns the ID in hexadecimal.
func (id RequestID) String() string { return hex.EncodeToString(id[:]) }

// Identity identifies one run of one agent.
type Identity struct {
	Agent       netip.AddrPort
	Incarnation Incarnation
}

// IsZero reports whether the identity is unset.
func (i Identity) IsZero() bool { return i == Identity{} }

// String returns the address and the incarnation, as in 10.0.0.1:7000#42.
func (i Identity) String() string {
	return i.Agent.String() + "#" + strconv.FormatUint(uint64(i.Incarnation), 10)
}

// Kind is the kind of a stream.
type Kind uint8

// The kinds of stream.
const (
	KindRequest Kind = 1 // one request with one answer
	KindFeed    Kind = 2 // a long-lived stream in both directions
)

// IsValid reports whether k is a known kind.
func (k Kind) IsValid() bool { return k == KindRequest || k == KindFeed }

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case KindRequest:
		return "request"
	case KindFeed:
		return "feed"
	}
	return "kind " + strconv.Itoa(int(k))
}

// Outcome says whether a stream was run. It is part of the status that an agent
// sends before the answer.
type Outcome uint8

// The outcomes of a stream.
const (
	OutcomeAccepted Outcome = 1 // the answer's bytes follow
	OutcomeNotRun   Outcome = 2 // no byte has reached an upstream, and none will
	OutcomeUnknown  Outcome = 3 // the request may have run
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case OutcomeAccepted:
		return "accepted"
	case OutcomeNotRun:
		return "not run"
	case OutcomeUnknown:
		return "unknown"
	}
	return "outcome " + strconv.Itoa(int(o))
}

// RequestHeader is sent first on each stream, before the caller's bytes.
type RequestHeader struct {
	ID         RequestID
	Kind       Kind
	Idempotent bool
	// Timeout is how long the caller waits for the whole answer. Zero means no limit.
	Timeout time.Duration
	// Attempts lists the agents at which earlier attempts of the request may have
	// run. They are asked to fence these attempts before the request runs again.
	Attempts []Identity
	// Hops is the number of agents that have relayed the stream.
	Hops uint8
}

// Status is sent first on the answering side of each stream.
type Status struct {
	Outcome Outcome
	// RetryAfter is how long the caller should wait before a retry.
	RetryAfter time.Duration
	// Reason is a short text for people and logs.
	Reason string
	// RanAt is the agent whose upstream ran the request, if known.
	RanAt Identity
}

// Greeting is what an agent sends first on each flow, and again with Leaving
// set when the caller should open its next flow elsewhere.
type Greeting struct {
	Identity Identity
	Service  ServiceNumber
	Upstream string
	Leaving  bool
}
