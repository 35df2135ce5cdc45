// Package jmfake is a fake fleet for tests of admission, relays and fences. Its
// agents have real gates, ledgers and servers, but links, upstreams and callers'
// streams are in memory. Tests can delay and cut links, and pause and kill agents.
package jmfake

import (
	"context"
	"errors"
	"io"

	"github.com/jasminemoor/jasminemoor"
)

// ErrLost is the error of a stream or call whose path or process was lost.
var ErrLost = errors.New("path was lost")

// Stream is one end of a bidirectional stream in memory.
type Stream struct {
	reader *io.PipeReader
	writer *io.PipeWriter
	ctx    context.Context // ends when either end is aborted or cancelled
	cancel context.CancelCauseFunc
	other  *Stream // the other end
}

var _ jasminemoor.CallerStream = (*Stream)(nil)

// NewPipe returns the two ends of a stream.
func NewPipe() (near, far *Stream) {
	nearReader, farWriter := io.Pipe()
	farReader, nearWriter := io.Pipe()
	near = newStream(nearReader, nearWriter)
	far = newStream(farReader, farWriter)
	near.other, far.other = far, near
	return near, far
}

func newStream(r *io.PipeReader, w *io.PipeWriter) *Stream {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Stream{reader: r, writer: w, ctx: ctx, cancel: cancel}
}

// Read implements io.Reader.
func (s *Stream) Read(p []byte) (n int, err error) { return s.reader.Read(p) }

// Write implements io.Writer.
func (s *Stream) Write(p []byte) (n int, err error) { return s.writer.Write(p) }

// CloseWrite implements jasminemoor.ByteStream.
func (s *Stream) CloseWrite() error { return s.writer.Close() }

// Abort implements jasminemoor.ByteStream.
func (s *Stream) Abort() { s.closeBoth(ErrLost) }

// Cancel cancels the stream, as a caller that gives up does.
func (s *Stream) Cancel() { s.closeBoth(jasminemoor.ErrCancelled) }

// closeBoth closes both directions with an error and ends the contexts of both
// ends with it.
func (s *Stream) closeBoth(cause error) {
	_ = s.writer.CloseWithError(cause)
	_ = s.reader.CloseWithError(cause)
	s.cancel(cause)
	s.other.cancel(cause)
}

// StopRead implements jasminemoor.CallerStream.
func (s *Stream) StopRead() { _ = s.reader.CloseWithError(ErrLost) }

// Context implements jasminemoor.CallerStream.
func (s *Stream) Context() context.Context { return s.ctx }
