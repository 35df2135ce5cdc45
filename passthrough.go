package jasminemoor

import (
	"context"
	"encoding/binary"
	"errors"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PacketFlags are the flags of a packet of a pass-through flow.
type PacketFlags uint8

// The flags of a packet.
const (
	FlagOpen     PacketFlags = 1 << iota // the packet opens a flow
	FlagAck                              // Acknowledged is valid
	FlagEnd                              // the sender has no more data
	FlagReset                            // the flow ends at once
	FlagReturned                         // an upstream refused the packet and sent it back
)

// Has reports whether all flags of other are set.
func (f PacketFlags) Has(other PacketFlags) bool { return f&other == other }

// Packet is the decoded header of one packet of a pass-through flow, a flow whose
// bytes the balancer can't change.
type Packet struct {
	Source, Destination netip.AddrPort
	Flags               PacketFlags
	Sequence            uint32
	Acknowledged        uint32
	// Length is the size of the data after the header in bytes.
	Length int
	// Age is the time since the caller first sent an opening packet, which it
	// retransmits, as exactly as the header tells; 0 for other packets.
	Age time.Duration
}

// Key returns the key of the packet's flow, for a packet that the caller sent.
func (p *Packet) Key() FlowKey { return NewFlowKey(p.Source, p.Destination) }

// ReverseKey returns the key of the packet's flow, for a packet that the upstream
// sent.
func (p *Packet) ReverseKey() FlowKey { return NewFlowKey(p.Destination, p.Source) }

// FlowKeySize is the size of a FlowKey in bytes.
const FlowKeySize = 36

// FlowKey identifies a pass-through flow by its two ends: the caller's address
// and port, then the service's. It holds no pointers, so that the garbage
// collector need not scan large tables of keys.
type FlowKey [FlowKeySize]byte

// NewFlowKey returns the key of the flow from a caller to a service's address.
func NewFlowKey(caller, service netip.AddrPort) (k FlowKey) {
	putAddrPort(k[:18], caller)
	putAddrPort(k[18:], service)
	return k
}

// Caller returns the caller's address.
func (k FlowKey) Caller() netip.AddrPort { return addrPortOf(k[:18]) }

// Service returns the service's address.
func (k FlowKey) Service() netip.AddrPort { return addrPortOf(k[18:]) }

// Hash returns a hash that is the same in every process.
func (k FlowKey) Hash() uint64 { return xxhash.Sum64(k[:]) }

// String returns the caller's address and the service's, as in
// 10.0.0.1:40000>10.0.0.2:80.
func (k FlowKey) String() string { return k.Caller().String() + ">" + k.Service().String() }

func putAddrPort(b []byte, a netip.AddrPort) {
	raw := a.Addr().As16()
	copy(b, raw[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
}

func addrPortOf(b []byte) netip.AddrPort {
	addr := netip.AddrFrom16([16]byte(b[:16])).Unmap()
	return netip.AddrPortFrom(addr, binary.BigEndian.Uint16(b[16:]))
}

// PacketCodec decodes and writes packets in the format of the platform. Its
// methods don't allocate.
type PacketCodec interface {
	// Decode decodes the header of the packet in a datagram. It fails if the
	// datagram is truncated or holds no packet.
	Decode(datagram []byte, p *Packet) error
	// RequestID returns the ID that the caller gave to the request whose first
	// bytes are in the packet. It is empty if there is none.
	RequestID(datagram []byte) string
	// IsFailure reports whether a packet of an upstream begins an answer with an
	// error status: the request has failed or was not run.
	IsFailure(datagram []byte) bool
	// Restore clears the marks of a packet that an upstream has refused, so that
	// the packet is again as its sender wrote it.
	Restore(datagram []byte)
	// AppendReset appends a packet that resets the flow, addressed to the caller.
	AppendReset(b []byte, flow FlowKey, sequence uint32) []byte
	// MaxSize is the size of the largest packet in bytes.
	MaxSize() int
}

// RouteKind says whether the requests of a route may run more than once, and
// whether their answers are large.
type RouteKind uint8

// The kinds of route.
const (
	RouteNonIdempotent RouteKind = iota // a request runs at most once
	RouteIdempotent                     // a request may run again
	RouteDownload                       // idempotent, with large answers
)

// Share is one service's weighted share of a route's new flows.
type Share struct {
	Service string
	Weight  uint32
	// ColdRate is ServiceLimits.ColdRate of the service. The directory passes it on with
	// the routes.
	ColdRate float64 `msgpack:",omitempty"`
}

// Route says which services share the new flows to an address.
type Route struct {
	Name     string
	Address  netip.AddrPort
	Kind     RouteKind
	Shares   []Share
	Timeout  time.Duration // of a request; 0 means none
	Target   time.Duration // latency objective of a request
	Priority int           // 0 is the most urgent
}

// UpstreamState is the state that an upstream publishes of itself.
type UpstreamState uint8

// The states of an upstream.
const (
	UpstreamReady UpstreamState = iota
	UpstreamLeaving
)

// ListedUpstream is an upstream as listed in the platform's directory.
type ListedUpstream struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	State      UpstreamState
	// WarmIn is the remaining warm-up time of the upstream, during which it is
	// slow, at the time when the entry was written.
	WarmIn time.Duration
	// Born is the start time of the upstream, by its own clock, in milliseconds
	// since the Unix epoch.
	Born int64
	// Created is the platform's change counter when the entry was created. It differs
	// from the one before if the entry was missing in between.
	Created uint64
}

// Entry is one entry of the platform's directory. Upstream, Routing and Evacuation are
// all nil if the entry was removed or can't be decoded, except that a removed evacuation
// says that it is over.
type Entry struct {
	Key string
	// Revision is that of the entry's last change.
	Revision   Revision
	Upstream   *ListedUpstream
	Routing    *Routing
	Evacuation *Evacuation
}

// Evacuation is an operator's request that the upstreams of a data centre get no new
// flows. It holds until its entry is removed.
type Evacuation struct {
	DataCentre string
	// IsOver is set if the entry was removed.
	IsOver bool
}

// Routing is the configuration of all routes.
type Routing struct {
	Version uint64
	Routes  []Route
	// Services are all services that the configuration lists, nil if that is not known. An
	// upstream of a service that is neither here nor in Routes can't be used.
	Services []ServiceLimits
	// IdleTimeout is how long a flow may be idle before its state is removed.
	IdleTimeout time.Duration
}

// ServiceLimits is a service, with the limits that an operator sets for each of its upstreams.
type ServiceLimits struct {
	Service string
	// ColdRate is how many new flows a second an upstream bears while it warms up,
	// 0 if there is no limit.
	ColdRate float64
}

// DirectoryChanges holds the entries that have changed up to a revision.
type DirectoryChanges struct {
	Revision Revision
	Entries  []Entry
}

// ErrHistoryGone reports that the platform no longer has the changes since a
// revision.
var ErrHistoryGone = errors.New("history is gone")

// Directory reads and watches the routes and the upstreams that the platform
// publishes. The platform counts each call.
type Directory interface {
	// Load returns all entries. If they were read in several parts, Revision is
	// that of the oldest part.
	Load(ctx context.Context) (c DirectoryChanges, err error)
	// Watch waits up to wait for changes since a revision. If it returns
	// ErrHistoryGone, all entries have to be loaded again: the platform no longer has
	// the changes, or has begun a new era.
	Watch(ctx context.Context, since Revision, wait time.Duration) (c DirectoryChanges, err error)
	// Unusable returns how many entries were read that can't be used, counted each time.
	Unusable() uint64
}
