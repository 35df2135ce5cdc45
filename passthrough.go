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
	FlagOpen     PacketFlags = 1 << iota // begins a flow
	FlagAck                              // Acknowledged is valid
	FlagEnd                              // the sender has no more data
	FlagReset                            // the flow ends at once
	FlagReturned                         // an upstream refused the packet
)

// Has reports whether all flags of other are set.
func (f PacketFlags) Has(other PacketFlags) bool { return f&other == other }

// Packet is the head of one packet of a pass-through flow, whose bytes the
// balancer can't change.
type Packet struct {
	Source, Destination netip.AddrPort
	Flags               PacketFlags
	Sequence            uint32
	Acknowledged        uint32
	// Length is the size of the data behind the head in bytes.
	Length int
	// Age is how long ago the caller sent an opening packet first, as far as
	// the head tells; callers repeat it.
	Age time.Duration
}

// Key returns the key of the packet's flow, for a packet of the caller.
func (p *Packet) Key() FlowKey { return NewFlowKey(p.Source, p.Destination) }

// ReverseKey returns the key of the packet's flow, for a packet of the upstream.
func (p *Packet) ReverseKey() FlowKey { return NewFlowKey(p.Destination, p.Source) }

// FlowKeySize is the size of a FlowKey in bytes.
const FlowKeySize = 36

// FlowKey identifies a pass-through flow by the addresses of its two ends: the
// caller's address and port, then the service's. It holds no pointers, so that
// large tables cost the garbage collector nothing.
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

// String returns both addresses.
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

// PacketCodec reads and marks packets in the platform's own format. Its
// methods don't allocate.
type PacketCodec interface {
	// Decode reads the head of a datagram. It fails if the datagram is cut
	// short or holds no packet.
	Decode(datagram []byte, p *Packet) error
	// RequestID returns the id that a caller gave the request whose first bytes
	// are in the packet, empty if there is none.
	RequestID(datagram []byte) string
	// IsFailure reports whether a packet of an upstream begins an answer that
	// says that the request has failed or was not run.
	IsFailure(datagram []byte) bool
	// Restore makes a packet that an upstream refused as its sender wrote it.
	Restore(datagram []byte)
	// AppendReset appends a reset of the flow towards its caller.
	AppendReset(b []byte, flow FlowKey, sequence uint32) []byte
	// MaxSize is the size of the largest packet in bytes.
	MaxSize() int
}

// RouteKind says what callers may do with the requests of a route.
type RouteKind uint8

// The kinds of route.
const (
	RouteNonIdempotent RouteKind = iota // a request runs once at most
	RouteIdempotent                     // a request may be repeated
	RouteDownload                       // idempotent, with large answers
)

// Share is one service's part of a route's new flows.
type Share struct {
	Service string
	Weight  uint32
}

// Route says which services the new flows to an address go to.
type Route struct {
	Name     string
	Address  netip.AddrPort
	Kind     RouteKind
	Shares   []Share
	Timeout  time.Duration
	Target   time.Duration // latency objective of a request
	Priority int           // 0 is the most urgent
}

// UpstreamState is what an upstream says of itself.
type UpstreamState uint8

// The states of an upstream.
const (
	UpstreamReady UpstreamState = iota
	UpstreamLeaving
)

// ListedUpstream is an upstream as the platform's list has it.
type ListedUpstream struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	State      UpstreamState
	// WarmIn is how long the upstream stays slow after its start, as of when
	// the entry was written.
	WarmIn time.Duration
	// Born is the upstream's own start in milliseconds since the Unix epoch.
	Born int64
}

// Entry is one entry of the platform's directory. Where both parts are nil the
// entry names nothing that can be used: it was removed or can't be read.
type Entry struct {
	Key string
	// Revision is the platform's count of changes at the entry's last change.
	Revision uint64
	Upstream *ListedUpstream
	Routing  *Routing
}

// Routing is the whole configuration of the routes.
type Routing struct {
	Version uint64
	Routes  []Route
	// IdleTimeout is how long a flow may be silent before it is forgotten.
	IdleTimeout time.Duration
}

// DirectoryChanges are the entries that changed up to a revision.
type DirectoryChanges struct {
	Revision uint64
	Entries  []Entry
}

// ErrHistoryGone reports that changes since a revision can't be told any more.
var ErrHistoryGone = errors.New("history is gone")

// Directory reads and watches what the platform publishes: the routes and the
// upstreams. Each call counts at the platform.
type Directory interface {
	// Load returns all entries. Revision is that of the oldest part.
	Load(ctx context.Context) (c DirectoryChanges, err error)
	// Watch waits up to wait for changes since a revision. It returns
	// ErrHistoryGone where everything has to be loaded anew.
	Watch(ctx context.Context, since uint64, wait time.Duration) (c DirectoryChanges, err error)
}
