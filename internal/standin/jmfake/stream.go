// Package jmfake is a fake fleet for tests of the decisions: agents with real
// gates, ledgers and servers, but with links, upstreams and callers' streams
// in memory, which tests can delay, cut, pause and kill.
package jmfake

import (
	"context"
	"errors"
	"io"

	"github.com/jasminemoor/jasminemoor"
)

// ErrLost is what a stream returns whose path or process was lost.
var ErrLost = errors.New("path was lost")

// Stream is one end of a stream in memory.
type Stream struct {
	reader *io.PipeReader
	writer *io.PipeWriter
	ctx    context.Context
	cancel context.CancelCauseFunc
	other  *Stream
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
func (s *Stream) Abort() { s.end(ErrLost) }

// Cancel gives the stream up, as its caller.
func (s *Stream) Cancel() { s.end(jasminemoor.ErrCancelled) }

func (s *Stream) end(cause error) {
	_ = s.writer.CloseWithError(cause)
	_ = s.reader.CloseWithError(cause)
	s.cancel(cause)
	s.other.cancel(cause)
}

// StopRead implements jasminemoor.CallerStream.
func (s *Stream) StopRead() { _ = s.reader.CloseWithError(ErrLost) }

// Context implements jasminemoor.CallerStream.
func (s *Stream) Context() context.Context { return s.ctx }
