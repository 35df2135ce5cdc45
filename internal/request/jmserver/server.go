// Package jmserver serves the streams that one agent receives. It fences the
// earlier attempts of a request, admits the stream, sends it to the agent's
// upstream or relays it to another agent, and copies the answer back.
package jmserver

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdecision"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/request/jmgate"
	"github.com/jasminemoor/jasminemoor/internal/request/jmledger"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
)

const (
	// MaxHops is the largest number of agents that may relay one stream.
	MaxHops = 2
	// MaxAttempts is the largest number of earlier attempts that a request may name.
	MaxAttempts = 16

	maxRelayPeers     = 2 // agents that tryRelay tries
	maxFenceWait      = 30 * time.Second
	leavingRetryAfter = 100 * time.Millisecond
)

// reasonFenced is the refusal of a request that a later attempt has fenced.
const reasonFenced = "fenced by a later attempt"

// Server serves streams. The exported fields must be set before use.
type Server struct {
	Identity jasminemoor.Identity
	Gate     *jmgate.Gate
	Ledger   *jmledger.Ledger
	Meter    *jmload.Meter
	Upstream jasminemoor.UpstreamDialer
	Peers    jasminemoor.Peers
	// IsClosed reports whether the agent admits no new streams, because it is
	// leaving, or because it was paused and has received nothing from its
	// peers since.
	IsClosed func() bool
	Log      logrus.FieldLogger
	// Guard ends the process if one of its goroutines panics.
	Guard *jmguard.Guard
	// Decisions, if set, logs each relay and each answer that is a status alone.
	Decisions *jmdecision.Log
	Counters  Counters
}

// Counters counts streams since the process started. Except for Relayed and
// Cancelled, they leave out the streams that another agent answered.
type Counters struct {
	Accepted  atomic.Uint64 // streams answered by the upstream or with a stored answer
	Relayed   atomic.Uint64 // streams that another agent admitted
	NotRun    atomic.Uint64 // streams answered with OutcomeNotRun
	Unknown   atomic.Uint64 // streams answered with OutcomeUnknown
	Cancelled atomic.Uint64 // streams that their callers cancelled
	Repeated  atomic.Uint64 // requests answered with the stored answer of an earlier attempt
	Fenced    atomic.Uint64 // earlier attempts that were fenced for a retry at this agent
}

// Stream is one stream to serve.
type Stream struct {
	Header jasminemoor.RequestHeader
	Caller netip.AddrPort
	In     jasminemoor.CallerStream
	// OnAdmitted, if set, is called when the stream has been admitted, before
	// any of its bytes are read. If it fails, the stream isn't run.
	OnAdmitted func() error
}

// isRecorded reports whether the stream has to be recorded in the ledger, as
// every non-idempotent request has.
func (s *Stream) isRecorded() bool {
	return s.Header.Kind == jasminemoor.KindRequest && !s.Header.Idempotent
}

// notifyAdmitted calls OnAdmitted, if it is set.
func (s *Stream) notifyAdmitted() error {
	if s.OnAdmitted == nil {
		return nil
	}
	return s.OnAdmitted()
}

// Serve serves one stream and returns when it has ended. If serving it panics, a request that
// has begun counts as lost.
func (v *Server) Serve(ctx context.Context, s *Stream) {
	// Once the caller has its answer or refusal, anything it still sends is
	// discarded.
	defer s.In.StopRead()
	hasEnded := false
	defer func() {
		if !hasEnded {
			v.finish(s, nil, false)
		}
	}()
	v.serve(ctx, s)
	hasEnded = true
}

func (v *Server) serve(ctx context.Context, s *Stream) {
	if s.Header.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.Header.Timeout)
		defer cancel()
	}
	if !s.isRecorded() {
		v.runOrRelay(ctx, s)
		return
	}
	if v.resolveAttempts(ctx, s) {
		v.runOrRelay(ctx, s)
	}
}

// runOrRelay serves a stream that may run. If this agent is closed or has no room,
// it first tries to relay the stream. If no other agent admits it, a closed agent
// refuses it, and an open one queues it.
func (v *Server) runOrRelay(ctx context.Context, s *Stream) {
	hasRoom := v.Gate.HasRoom(s.Header.Kind)
	if !hasRoom && s.Header.Hops > 0 {
		// The relaying agent queues the request itself; a second queue here
		// would only add to the wait. It takes no place among those that come back.
		v.refuse(s, "no free slot for a relayed stream", 0)
		return
	}
	if v.IsClosed() || !hasRoom {
		if v.tryRelay(ctx, s) {
			return
		}
		if v.IsClosed() {
			v.refuse(s, "agent is leaving", leavingRetryAfter)
			return
		}
	}
	release, err := v.admit(ctx, s)
	if err != nil {
		v.refuse(s, err.Error(), v.Gate.RetryAfter(ctx))
		return
	}
	defer release()
	v.runHere(ctx, s)
}

// admit waits until the gate admits the stream. The wait ends as soon as the
// caller cancels the stream or its connection is lost.
func (v *Server) admit(ctx context.Context, s *Stream) (release func(), err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.In.Context(), cancel)
	defer stop()
	return v.Gate.Enter(ctx, s.Header.Kind)
}

// refuse answers that the stream has not run and won't run here.
func (v *Server) refuse(s *Stream, reason string, retryAfter time.Duration) {
	if s.isRecorded() {
		v.Ledger.Abandon(s.Header.ID)
	}
	v.Counters.NotRun.Add(1)
	v.sendStatus(s, jasminemoor.Status{Outcome: jasminemoor.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter})
}

// answerUnknown answers that the stream may have run.
func (v *Server) answerUnknown(s *Stream, reason string) {
	v.Counters.Unknown.Add(1)
	v.sendStatus(s, jasminemoor.Status{Outcome: jasminemoor.OutcomeUnknown, Reason: reason})
}

// sendStatus answers with a status alone and ends the stream.
func (v *Server) sendStatus(s *Stream, status jasminemoor.Status) {
	if v.Decisions.IsDebugEnabled() {
		v.Decisions.Debug("request: refused", logrus.Fields{
			"Request": s.Header.ID.String(),
			"Outcome": status.Outcome.String(),
			"Reason":  status.Reason,
		})
	}
	if err := jmframe.Write(s.In, status); err != nil {
		s.In.Abort()
		return
	}
	_ = s.In.CloseWrite()
}

// wasCancelled reports whether the caller cancelled the stream, as opposed to
// a lost connection.
func (s *Stream) wasCancelled() bool {
	return errors.Is(context.Cause(s.In.Context()), jasminemoor.ErrCancelled)
}
