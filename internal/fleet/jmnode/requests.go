package jmnode

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmcontrol"
)

// Request is the first frame on a link. Exactly one field is set.
type Request struct {
	Sync   *jmcontrol.SyncRequest
	Fence  *FenceRequest
	Relay  *RelayRequest
	Cancel *CancelRequest
}

// FenceRequest asks an agent for the state of a request, and not to start it if it
// has not started yet. Wait bounds how long the agent waits for a running request to
// end. The answer is a jasminemoor.Fence.
type FenceRequest struct {
	Target jasminemoor.Identity
	ID     jasminemoor.RequestID
	Wait   time.Duration
}

// RelayRequest forwards a whole stream to another agent. The stream's opaque
// bytes follow, and the answer has the format of a caller's stream.
type RelayRequest struct {
	Target  jasminemoor.Identity
	Service jasminemoor.ServiceNumber
	Caller  netip.AddrPort
	Header  jasminemoor.RequestHeader
}

// CancelRequest notifies an agent that the caller has cancelled a relayed request.
type CancelRequest struct {
	Target jasminemoor.Identity
	ID     jasminemoor.RequestID
}

// MaxRequestSize bounds the frame of a Request in bytes.
const MaxRequestSize = 4 << 20
