package jmnode

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmmember"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmspread"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

// controlMessage is what a control datagram carries. Parts that are not used are nil.
type controlMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	From     netip.AddrPort
	// Digest is the sender's digest of the settings.
	Digest uint64
	Probe  *jmmember.Message
	Rumors []jmspread.Rumor
	Load   *jasminemoor.LoadReport
}

// Request opens a link. Exactly one part is set.
type Request struct {
	Sync   *SyncRequest
	Fence  *FenceRequest
	Relay  *RelayRequest
	Cancel *CancelRequest
}

// SyncRequest asks a peer for the settings and the members that it knows
// better. It is answered by a SyncReply.
type SyncRequest struct {
	From      netip.AddrPort
	Revisions map[string]jmtree.Revision
	Members   []jmmember.Update
}

// SyncReply answers a SyncRequest.
type SyncReply struct {
	Subtrees []jasminemoor.Subtree
	Members  []jmmember.Update
}

// FenceRequest asks an agent never to run a request. It is answered by a
// jasminemoor.Fence.
type FenceRequest struct {
	Target jasminemoor.Identity
	ID     jasminemoor.RequestID
	Wait   time.Duration
}

// RelayRequest hands a whole stream to another agent. The stream's opaque
// bytes follow, and the answer is as on a caller's stream.
type RelayRequest struct {
	Target  jasminemoor.Identity
	Service jasminemoor.ServiceNumber
	Caller  netip.AddrPort
	Header  jasminemoor.RequestHeader
}

// CancelRequest tells an agent that the caller of a relayed request gave up.
type CancelRequest struct {
	Target jasminemoor.Identity
	ID     jasminemoor.RequestID
}

// MaxRequestSize bounds the frame of a Request in bytes.
const MaxRequestSize = 4 << 20
