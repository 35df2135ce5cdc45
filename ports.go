package jasminemoor

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"time"
)

// Subtree is one team's part of the settings, or the fleet's, at one revision.
type Subtree struct {
	// Path is "Fleet" or "Teams/<team>".
	Path string
	// Revision grows with each change to the subtree.
	Revision uint64
	// Values holds one document, JSON with comments, for each name.
	Values map[string]string
}

// Revisions is what the platform says of all subtrees at one time.
type Revisions struct {
	// At is the platform's own count of changes.
	At uint64
	// Subtrees holds the newest revision of each subtree by its path.
	Subtrees map[string]uint64
}

// Platform reads and watches the platform's configuration service. Each
// method counts as one call there.
type Platform interface {
	// Revisions returns the newest revision of each subtree.
	Revisions(ctx context.Context) (r Revisions, err error)
	// Read returns one subtree.
	Read(ctx context.Context, path string) (s Subtree, err error)
	// Watch waits until the platform has changed since a count that it gave
	// earlier, or until its own time limit, and returns as Revisions does.
	Watch(ctx context.Context, since uint64) (r Revisions, err error)
}

// FenceState is what an agent knows of an earlier attempt of a request.
type FenceState uint8

// The states of an earlier attempt.
const (
	FenceFenced   FenceState = 1 // never seen, and it will never run here
	FenceRunning  FenceState = 2 // still running when the wait ended
	FenceDone     FenceState = 3 // ran, with the kept answer
	FenceLost     FenceState = 4 // ran or may have run, the answer is not kept
	FencePassedOn FenceState = 5 // relayed to another agent before it ran
)

// Fence is the answer of an agent that is asked to fence a request.
type Fence struct {
	State  FenceState
	Answer []byte
	// To is the agent that the request was passed on to.
	To Identity
	// RanAt is the agent that the answer is from. Who asks sets it.
	RanAt Identity
}

// Fencer asks the agent of an earlier attempt never to run a request. Wait is
// how long it may wait for a running one to end.
type Fencer interface {
	Fence(ctx context.Context, at Identity, id RequestID, wait time.Duration) (fence Fence, err error)
}

// ErrCancelled is what reading a stream returns after the caller gave it up,
// as opposed to a path or a process that was lost.
var ErrCancelled = errors.New("cancelled by the caller")

// ErrNotSent is what Relay returns when the offer can't have reached the agent.
var ErrNotSent = errors.New("not sent")

// ByteStream is a stream in both directions whose sending side can be closed
// alone, and which can be aborted.
type ByteStream interface {
	io.Reader
	io.Writer
	// CloseWrite ends the sending direction.
	CloseWrite() error
	// Abort ends both directions at once, as a reset.
	Abort()
}

// CallerStream is the side of a stream towards the caller.
type CallerStream interface {
	ByteStream
	// Context ends when nothing more can be sent to the caller. Its cause is
	// ErrCancelled if the caller gave the stream up.
	Context() context.Context
	// StopRead makes reading fail from now on, without harm to the sending side.
	StopRead()
}

// Peers reaches the other agents of a service.
type Peers interface {
	Fencer
	// Pick returns up to n agents that seem to have room for a stream, the
	// best first.
	Pick(kind Kind, n int) []Identity
	// Relay offers a stream to an agent. The stream is nil unless the status
	// says that the agent has admitted it; nothing of the stream has been
	// given away before that.
	Relay(ctx context.Context, to Identity, header RequestHeader, caller netip.AddrPort) (stream ByteStream, status Status, err error)
	// Cancel tells an agent that the caller of a relayed stream gave it up.
	Cancel(to Identity, id RequestID)
}

// UpstreamDialer opens a connection to the upstream of an agent.
type UpstreamDialer interface {
	DialUpstream(ctx context.Context, caller netip.AddrPort) (stream ByteStream, err error)
}

// Load is an agent's load, over its capacity and times 1,000.
type Load struct {
	Now     uint32 // requests in hand
	Mean    uint32 // requests in hand, as a mean over some seconds
	Density uint32 // open flows
}

// LoadReport is what an agent tells its peers of its load.
type LoadReport struct {
	Agent       netip.AddrPort
	Incarnation Incarnation
	// Sequence grows with each report of one incarnation.
	Sequence uint64
	Load     Load
	// Leaving says that the agent takes no new work.
	Leaving bool
}
