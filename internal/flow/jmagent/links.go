package jmagent

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/request/jmserver"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmlink"
)

// serveLink serves one request that another agent sent over a link.
func (a *Agent) serveLink(ctx context.Context, conn *jmlink.Conn, request *jmnode.Request) {
	switch {
	case request.Fence != nil:
		if err := a.serveFence(ctx, conn, request.Fence); err != nil {
			a.Log.WithError(err).Debug("link: answering a fence request failed")
		}
	case request.Relay != nil:
		a.serveRelay(ctx, conn, request.Relay)
	case request.Cancel != nil && request.Cancel.Target == a.Identity:
		a.relays.cancel(request.Cancel.ID)
	}
}

// serveFence fences a request in the ledger and sends the result.
func (a *Agent) serveFence(ctx context.Context, conn *jmlink.Conn, request *jmnode.FenceRequest) (err error) {
	if request.Target != a.Identity {
		// The request is for an earlier run of this agent, whose ledger is lost.
		return jmframe.Write(conn, jasminemoor.Fence{State: jasminemoor.FenceLost})
	}
	fence, err := a.ledger.Fence(ctx, request.ID, request.Wait)
	if err != nil {
		return err
	}
	return jmframe.Write(conn, fence)
}

// serveRelay serves a stream that another agent relays to this one. None of the
// stream's bytes have been sent to an upstream before.
func (a *Agent) serveRelay(ctx context.Context, conn *jmlink.Conn, request *jmnode.RelayRequest) {
	v := a.view.Load()
	isMisdirected := v == nil || request.Target != a.Identity || request.Service != v.service.Number
	if isMisdirected || !request.Header.Kind.IsValid() {
		a.Counters.Foreign.Add(1)
		_ = jmframe.Write(conn, jasminemoor.Status{Outcome: jasminemoor.OutcomeNotRun, Reason: "not the agent or service that was meant"})
		return
	}
	in := newLinkStream(conn)
	defer in.end()
	a.relays.add(request.Header.ID, in)
	defer a.relays.remove(request.Header.ID, in)
	a.server.Serve(ctx, &jmserver.Stream{
		Header: request.Header,
		Caller: request.Caller,
		In:     in,
		OnAdmitted: func() error {
			return jmframe.Write(conn, jasminemoor.Status{Outcome: jasminemoor.OutcomeAccepted})
		},
	})
	// The end of the answer may still be in flight. Closing the connection while
	// it has unread bytes would reset it, and that end would be lost.
	in.linger()
}

// relaySet holds the open streams that other agents relay to this one.
type relaySet struct {
	mu      sync.Mutex
	streams map[jasminemoor.RequestID]*linkStream
}

func (s *relaySet) add(id jasminemoor.RequestID, in *linkStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams == nil {
		s.streams = make(map[jasminemoor.RequestID]*linkStream)
	}
	s.streams[id] = in
}

func (s *relaySet) remove(id jasminemoor.RequestID, in *linkStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[id] == in {
		delete(s.streams, id)
	}
}

func (s *relaySet) cancel(id jasminemoor.RequestID) {
	s.mu.Lock()
	in := s.streams[id]
	s.mu.Unlock()
	if in != nil {
		in.cancel(jasminemoor.ErrCancelled)
	}
}

func (s *relaySet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// linkStream is a caller's stream that another agent relays to this one over a
// link.
type linkStream struct {
	*jmlink.Conn
	ctx    context.Context //nolint:containedctx // the lifetime of the stream
	cancel context.CancelCauseFunc
}

var _ jasminemoor.CallerStream = (*linkStream)(nil)

func newLinkStream(conn *jmlink.Conn) *linkStream {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &linkStream{Conn: conn, ctx: ctx, cancel: cancel}
}

// Context implements jasminemoor.CallerStream.
func (s *linkStream) Context() context.Context { return s.ctx }

// Read implements io.Reader. An error other than io.EOF cancels the context.
func (s *linkStream) Read(p []byte) (n int, err error) {
	n, err = s.Conn.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.cancel(eris.Wrap(err, "relayed stream failed"))
	}
	return n, err
}

// StopRead implements jasminemoor.CallerStream.
func (s *linkStream) StopRead() { _ = s.SetReadDeadline(time.Now()) }

const (
	lingerTimeout    = 2 * time.Second
	lingerBufferSize = 4 << 10
)

// linger reads until the peer closes the connection, for at most lingerTimeout.
func (s *linkStream) linger() {
	_ = s.SetReadDeadline(time.Now().Add(lingerTimeout))
	buffer := make([]byte, lingerBufferSize)
	for {
		if _, err := s.Conn.Read(buffer); err != nil {
			return
		}
	}
}

func (s *linkStream) end() { s.cancel(context.Canceled) }
