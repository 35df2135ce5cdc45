package jmserver

import (
	"context"
	"errors"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/request/jmledger"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
)

// runHere runs an admitted stream at the agent's own upstream. If the upstream
// can't be reached, it tries to relay the stream instead.
func (v *Server) runHere(ctx context.Context, s *Stream) {
	up, err := v.Upstream.DialUpstream(ctx, s.Caller)
	if err != nil {
		v.Meter.RecordFailure()
		v.Log.WithError(err).Warn("upstream: can't be reached")
		if !v.tryRelay(ctx, s) {
			v.refuse(s, "upstream can't be reached", v.Gate.RetryAfter(ctx))
		}
		return
	}
	if err = s.notifyAdmitted(); err != nil {
		// The relaying agent can't be reached, and no byte of the stream was read.
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

// finish records the end of a stream in the ledger, if it has an entry there.
func (v *Server) finish(s *Stream, answer []byte, isWhole bool) {
	if s.isRecorded() {
		v.Ledger.Finish(s.Header.ID, answer, isWhole)
	}
}

// goroutineRequest is the name of the goroutines that copy a caller's bytes.
const goroutineRequest = "request"

// run is the exchange of one stream with the agent's upstream.
type run struct {
	server *Server
	stream *Stream
	up     jasminemoor.ByteStream
	writer *answerWriter
	start  time.Time

	stored       []byte // the answer so far, if the stream is recorded
	isCallerLost bool   // writing to the caller failed; the answer is still read and stored
}

// do copies both directions of the stream until the answer has ended.
func (r *run) do(ctx context.Context) {
	defer r.up.Abort()
	stopDeadline := context.AfterFunc(ctx, r.up.Abort)
	defer stopDeadline()
	stopCaller := context.AfterFunc(r.stream.In.Context(), r.onCallerGone)
	defer stopCaller()
	if r.stream.Header.Kind == jasminemoor.KindFeed {
		// The first bytes of a feed may come late, so its caller gets the
		// status at once.
		if err := r.writer.begin(); err != nil {
			return
		}
	}
	wg := jmguard.Group{Guard: r.server.Guard}
	wg.Go(goroutineRequest, func() {
		if !r.server.Guard.Try(goroutineRequest, r.sendRequest) {
			r.up.Abort()
		}
	})
	err := r.copyAnswer()
	r.finishAnswer(ctx, err)
	r.stream.In.StopRead()
	wg.Wait()
}

// onCallerGone aborts the upstream's work if nobody can use its answer. That
// is always so when the caller cancelled. After a lost connection it is so only
// for a stream that isn't recorded, as a retry can't fetch its answer.
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

// sendRequest copies the caller's bytes to the upstream. If they are cut short,
// it aborts the upstream's stream, which would look like a whole request if it
// were closed.
func (r *run) sendRequest() {
	if err := copyTo(r.up, r.stream.In); err != nil {
		r.up.Abort()
		return
	}
	_ = r.up.CloseWrite()
}

// copyAnswer copies the upstream's bytes to the caller, and stores them for a
// retry if the request is recorded.
func (r *run) copyAnswer() error { return copyAll(r.up, r.writeAnswer) }

// writeAnswer stores and sends one piece of the answer. It fails only if the
// rest of the answer is of no use.
func (r *run) writeAnswer(b []byte) error {
	if !r.writer.hasBegun {
		r.server.Meter.RecordAnswer(time.Since(r.start))
	}
	if r.stream.isRecorded() && len(r.stored) <= jmledger.MaxAnswer {
		r.stored = append(r.stored, b...)
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

// finishAnswer records how the answer ended and ends the caller's stream
// accordingly.
func (r *run) finishAnswer(ctx context.Context, err error) {
	isEmpty := !r.writer.hasBegun && len(r.stored) == 0
	r.server.finish(r.stream, r.stored, err == nil && !isEmpty)
	switch {
	case r.isCallerLost:
		r.stream.In.Abort()
	case err == nil && r.writer.hasBegun:
		_ = r.stream.In.CloseWrite()
	case isEmpty:
		r.server.Meter.RecordFailure()
		r.server.answerUnknown(r.stream, unknownReason(ctx))
	default:
		r.server.Meter.RecordFailure()
		r.stream.In.Abort()
	}
}

// unknownReason returns why a run ended without an answer.
func unknownReason(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "the time limit passed while it ran"
	}
	return "the upstream ended without an answer"
}

// answerWriter writes an answer to the caller, and the accepting status before
// its first byte.
type answerWriter struct {
	server   *Server
	stream   *Stream
	ranAt    jasminemoor.Identity
	hasBegun bool
}

// begin sends the accepting status.
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
