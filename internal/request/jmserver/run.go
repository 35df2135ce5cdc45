package jmserver

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/request/jmledger"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
)

// runHere gives an admitted stream to the agent's own upstream.
func (v *Server) runHere(ctx context.Context, s *Stream) {
	up, err := v.Upstream.DialUpstream(ctx, s.Caller)
	if err != nil {
		v.Meter.Failed()
		v.Log.WithError(err).Warn("upstream: can't be reached")
		if !v.tryRelay(ctx, s) {
			v.refuse(s, "upstream can't be reached", v.Gate.RetryAfter())
		}
		return
	}
	if err = s.admitted(); err != nil {
		// The peer that relays the stream is gone; not a byte of it was read.
		up.Abort()
		v.refuse(s, "the relaying agent is gone", 0)
		return
	}
	if s.isRecorded() && !v.Ledger.Start(s.Header.ID) {
		up.Abort()
		v.refuse(s, reasonFenced, 0)
		return
	}
	r := &run{server: v, stream: s, up: up, start: time.Now()}
	r.writer = &answerWriter{server: v, stream: s, ranAt: v.Identity}
	r.do(ctx)
}

func (v *Server) finish(s *Stream, answer []byte, isWhole bool) {
	if s.isRecorded() {
		v.Ledger.Finish(s.Header.ID, answer, isWhole)
	}
}

// run is one stream at its upstream.
type run struct {
	server *Server
	stream *Stream
	up     jasminemoor.ByteStream
	writer *answerWriter
	start  time.Time

	kept         []byte
	isCallerLost bool // the caller can't be reached, but the answer is kept
}

func (r *run) do(ctx context.Context) {
	defer r.up.Abort()
	stopDeadline := context.AfterFunc(ctx, r.up.Abort)
	defer stopDeadline()
	stopCaller := context.AfterFunc(r.stream.In.Context(), r.onCallerGone)
	defer stopCaller()
	if r.stream.Header.Kind == jasminemoor.KindFeed {
		// A feed may stay silent for long, so its caller hears at once.
		if err := r.writer.begin(); err != nil {
			return
		}
	}
	var wg conc.WaitGroup
	wg.Go(r.sendRequest)
	err := r.copyAnswer()
	r.end(ctx, err)
	r.stream.In.StopRead()
	wg.Wait()
}

// onCallerGone stops the work if nobody is waiting for it: always when the
// caller gave up, and otherwise only if a retry could not fetch the answer.
func (r *run) onCallerGone() {
	if r.stream.wasCancelled() {
		r.server.Counters.Cancelled.Add(1)
		r.up.Abort()
		return
	}
	if !r.stream.isRecorded() {
		r.up.Abort()
	}
}

// sendRequest copies the caller's bytes to the upstream. A request that is
// cut short must not look whole to the upstream.
func (r *run) sendRequest() {
	if err := copyTo(r.up, r.stream.In); err != nil {
		r.up.Abort()
		return
	}
	_ = r.up.CloseWrite()
}

// copyAnswer copies the upstream's bytes to the caller, and keeps them for a
// retry if the request is recorded.
func (r *run) copyAnswer() error { return copyAll(r.up, r.take) }

func (r *run) take(b []byte) error {
	if !r.writer.hasBegun {
		r.server.Meter.Answered(time.Since(r.start))
	}
	if r.stream.isRecorded() && len(r.kept) <= jmledger.MaxAnswer {
		r.kept = append(r.kept, b...)
	}
	if r.isCallerLost {
		return nil
	}
	if _, err := r.writer.Write(b); err != nil {
		if !r.stream.isRecorded() {
			return err
		}
		r.isCallerLost = true
	}
	return nil
}

// end tells the caller how the answer ended.
func (r *run) end(ctx context.Context, err error) {
	isEmpty := !r.writer.hasBegun && len(r.kept) == 0
	r.server.finish(r.stream, r.kept, err == nil && !isEmpty)
	switch {
	case r.isCallerLost:
		r.stream.In.Abort()
	case err == nil && r.writer.hasBegun:
		_ = r.stream.In.CloseWrite()
	case isEmpty:
		r.server.Meter.Failed()
		r.server.answerUnknown(r.stream, unknownReason(ctx))
	default:
		r.server.Meter.Failed()
		r.stream.In.Abort()
	}
}

func unknownReason(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "the time limit passed while it ran"
	}
	return "the upstream ended without an answer"
}

// answerWriter sends the accepting status before the answer's first byte.
type answerWriter struct {
	server   *Server
	stream   *Stream
	ranAt    jasminemoor.Identity
	hasBegun bool
}

func (w *answerWriter) begin() error {
	w.hasBegun = true
	w.server.Counters.Accepted.Add(1)
	return jmframe.Write(w.stream.In, jasminemoor.Status{Outcome: jasminemoor.OutcomeAccepted, RanAt: w.ranAt})
}

// Write implements io.Writer.
func (w *answerWriter) Write(b []byte) (n int, err error) {
	if !w.hasBegun {
		if err = w.begin(); err != nil {
			return 0, err
		}
	}
	return w.stream.In.Write(b)
}
