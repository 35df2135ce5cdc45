package jasminemoor

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"time"
)

// Subtree is one revision of the settings of the fleet or of one team.
type Subtree struct {
	// Path is "Fleet" or "Teams/<team>".
	Path string
	// Revision grows with each change to the subtree, also after the platform was restored
	// from a copy: it is the number of a type Revision with the era of the change.
	Revision uint64
	// Values maps names to documents, each JSON with comments.
	Values map[string]string
}

// Revisions holds the revisions of all subtrees on the platform at one time.
type Revisions struct {
	// At is the platform's change counter, as the number of a type Revision with its era.
	At uint64
	// Subtrees maps the path of each subtree to its newest revision.
	Subtrees map[string]uint64
}

// Platform reads and watches the settings in the platform's configuration
// service, which counts each use of a method as one call.
type Platform interface {
	// Revisions returns the newest revision of each subtree.
	Revisions(ctx context.Context) (r Revisions, err error)
	// Read returns one subtree.
	Read(ctx context.Context, path string) (s Subtree, err error)
	// Watch waits until the platform's change counter, Revisions.At, is above
	// since, its era is another one, or its own timeout has passed. It returns the
	// same as the method Revisions.
	Watch(ctx context.Context, since uint64) (r Revisions, err error)
}

// FenceState is the state of an earlier attempt of a request at an agent that
// is asked to fence it.
type FenceState uint8

// The states of an earlier attempt.
const (
	FenceFenced  FenceState = 1 // has not run there, and the fence keeps it from running
	FenceRunning FenceState = 2 // still running when the wait ended
	FenceDone    FenceState = 3 // ended, and its answer is stored
	FenceLost    FenceState = 4 // ran or may have run, and no answer is stored
	FenceRelayed FenceState = 5 // relayed to another agent without running there
)

// Fence is the reply of an agent that is asked to fence a request.
type Fence struct {
	State FenceState
	// Answer is the stored answer of the request in the state FenceDone.
	Answer []byte
	// To is the agent that the request was relayed to.
	To Identity
	// RanAt is the agent that replied. The agent that asked sets it.
	RanAt Identity
}

// Fencer fences requests at other agents.
type Fencer interface {
	// Fence asks the agent of an earlier attempt not to run a request. If the
	// request is running, that agent waits up to wait for it to end.
	Fence(ctx context.Context, at Identity, id RequestID, wait time.Duration) (fence Fence, err error)
}

// ErrCancelled is the cause of the context of a CallerStream that the caller has
// cancelled, as opposed to one whose connection or process was lost.
var ErrCancelled = errors.New("cancelled by the caller")

// ErrNotSent is returned by Peers.Relay and Fencer.Fence if the request can't have
// reached the other agent.
var ErrNotSent = errors.New("not sent")

// ByteStream is a bidirectional stream whose sending side can be closed on its
// own, and which can be aborted.
type ByteStream interface {
	io.Reader
	io.Writer
	// CloseWrite ends the sending side, as an end of file.
	CloseWrite() error
	// Abort resets both directions at once.
	Abort()
}

// CallerStream is a stream to a caller, either direct or through a relaying agent.
type CallerStream interface {
	ByteStream
	// Context ends when nothing more can be sent to the caller. Its cause is
	// ErrCancelled if the caller cancelled the stream.
	Context() context.Context
	// StopRead makes all further reads fail. The sending side stays open.
	StopRead()
}

// Peers sends requests to the other agents of a service.
type Peers interface {
	Fencer
	// Pick returns up to n agents that appear to have room for a stream, the
	// best first.
	Pick(kind Kind, n int) []Identity
	// Relay asks an agent to run a stream. If the agent admits it, Relay returns
	// a stream to that agent; otherwise the stream is nil, and status is that of
	// the refusal unless there is an error. None of the caller's bytes are sent
	// before the agent has admitted the stream.
	Relay(ctx context.Context, to Identity, header RequestHeader, caller netip.AddrPort) (stream ByteStream, status Status, err error)
	// Cancel notifies an agent that the caller has cancelled a relayed stream.
	Cancel(to Identity, id RequestID)
}

// UpstreamDialer opens connections to the upstream of an agent.
type UpstreamDialer interface {
	DialUpstream(ctx context.Context, caller netip.AddrPort) (stream ByteStream, err error)
}

// Load is the load of an agent, as 1,000 times the ratio to its capacity.
type Load struct {
	Now     uint32 // running and queued requests
	Mean    uint32 // EWMA of Now over some seconds
	Density uint32 // open flows
}

// LoadReport is the load that an agent reports to its peers.
type LoadReport struct {
	Agent       netip.AddrPort
	Incarnation Incarnation
	// Sequence grows with each report of one incarnation.
	Sequence uint64
	Load     Load
	// Leaving says that the agent is leaving and takes no new work.
	Leaving bool
}
