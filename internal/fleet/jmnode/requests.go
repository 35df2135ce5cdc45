package jmnode

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmcontrol"
)

// Request opens a link. Exactly one part is set.
type Request struct {
	Sync   *jmcontrol.SyncRequest
	Fence  *FenceRequest
	Relay  *RelayRequest
	Cancel *CancelRequest
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
