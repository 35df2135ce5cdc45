// Package jmserver serves the streams of one agent: it settles earlier
// attempts of a request, admits it, gives it to the agent's upstream or to
// another agent, and carries the answer back.
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
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/request/jmgate"
	"github.com/jasminemoor/jasminemoor/internal/request/jmledger"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
)

const (
	// MaxHops is how many agents may relay one stream.
	MaxHops = 2
	// MaxAttempts is how many earlier attempts a request may name.
	MaxAttempts = 16

	relayCandidates = 2
	maxFenceWait    = 30 * time.Second
	leavingRetry    = 100 * time.Millisecond
)

// reasonFenced is why a request is refused that a later attempt has fenced.
const reasonFenced = "fenced by a later attempt"

// Server serves streams. The exported fields are set before use.
type Server struct {
	Identity jasminemoor.Identity
	Gate     *jmgate.Gate
	Ledger   *jmledger.Ledger
	Meter    *jmload.Meter
	Upstream jasminemoor.UpstreamDialer
	Peers    jasminemoor.Peers
	// IsClosed reports whether the agent takes no new work, because it leaves
	// or because it was paused and has not heard from its peers since.
	IsClosed func() bool
	Log      logrus.FieldLogger
	// Decisions, where set, gets a line for each relay and refusal.
	Decisions *jmdecision.Log
	Counters  Counters
}

// Counters counts streams since the process started.
type Counters struct {
	Accepted  atomic.Uint64 // streams whose answer began here, repeated ones included
	Relayed   atomic.Uint64 // streams that another agent took
	NotRun    atomic.Uint64
	Unknown   atomic.Uint64
	Cancelled atomic.Uint64 // streams that their callers gave up
	Repeated  atomic.Uint64 // answers that were kept from an earlier attempt
	Fenced    atomic.Uint64 // earlier attempts that were fenced
}

// Stream is one stream to serve.
type Stream struct {
	Header jasminemoor.RequestHeader
	Caller netip.AddrPort
	In     jasminemoor.CallerStream
	// Admitted, where set, is called once the stream is admitted and before
	// any of its bytes are read.
	Admitted func() error
}

// isRecorded reports whether the ledger has to remember the stream.
func (s *Stream) isRecorded() bool {
	return s.Header.Kind == jasminemoor.KindRequest && !s.Header.Idempotent
}

func (s *Stream) admitted() error {
	if s.Admitted == nil {
		return nil
	}
	return s.Admitted()
}

// Serve serves one stream to its end.
func (v *Server) Serve(ctx context.Context, s *Stream) {
	// What a refused or answered caller still sends is not wanted.
	defer s.In.StopRead()
	if s.Header.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.Header.Timeout)
		defer cancel()
	}
	if !s.isRecorded() {
		v.place(ctx, s)
		return
	}
	if v.settle(ctx, s) {
		v.place(ctx, s)
	}
}

// place serves a stream that may run: here, or at another agent while this
// one is closed or full.
func (v *Server) place(ctx context.Context, s *Stream) {
	hasRoom := v.Gate.HasRoom(s.Header.Kind)
	if !hasRoom && s.Header.Hops > 0 {
		// The relaying agent has a queue of its own; two would only wait longer.
		v.refuse(s, "no free slot for a relayed stream", v.Gate.RetryAfter())
		return
	}
	if v.IsClosed() || !hasRoom {
		if v.tryRelay(ctx, s) {
			return
		}
		if v.IsClosed() {
			v.refuse(s, "agent is leaving", leavingRetry)
			return
		}
	}
	release, err := v.enter(ctx, s)
	if err != nil {
		v.refuse(s, err.Error(), v.Gate.RetryAfter())
		return
	}
	defer release()
	v.runHere(ctx, s)
}

// enter waits for a slot, and gives up the place in the queue with the caller.
func (v *Server) enter(ctx context.Context, s *Stream) (release func(), err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.In.Context(), cancel)
	defer stop()
	return v.Gate.Enter(ctx, s.Header.Kind)
}

// refuse answers that a stream has not run and won't run here.
func (v *Server) refuse(s *Stream, reason string, retryAfter time.Duration) {
	if s.isRecorded() {
		v.Ledger.Abandon(s.Header.ID)
	}
	v.Counters.NotRun.Add(1)
	v.answer(s, jasminemoor.Status{Outcome: jasminemoor.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter})
}

// answerUnknown answers that a stream may have run.
func (v *Server) answerUnknown(s *Stream, reason string) {
	v.Counters.Unknown.Add(1)
	v.answer(s, jasminemoor.Status{Outcome: jasminemoor.OutcomeUnknown, Reason: reason})
}

// answer sends a status that no bytes follow.
func (v *Server) answer(s *Stream, status jasminemoor.Status) {
	if v.Decisions.IsOn() {
		v.Decisions.Line("request: refused", logrus.Fields{
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

// wasCancelled reports whether the caller itself gave the stream up.
func (s *Stream) wasCancelled() bool {
	return errors.Is(context.Cause(s.In.Context()), jasminemoor.ErrCancelled)
}
