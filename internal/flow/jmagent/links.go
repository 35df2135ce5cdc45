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

// serveLink serves what other agents ask of this one.
func (a *Agent) serveLink(ctx context.Context, conn *jmlink.Conn, request *jmnode.Request) {
	switch {
	case request.Fence != nil:
		if err := a.serveFence(ctx, conn, request.Fence); err != nil {
			a.Log.WithError(err).Debug("link: fence not answered")
		}
	case request.Relay != nil:
		a.serveRelay(ctx, conn, request.Relay)
	case request.Cancel != nil && request.Cancel.Target == a.Identity:
		a.relays.cancel(request.Cancel.ID)
	}
}

func (a *Agent) serveFence(ctx context.Context, conn *jmlink.Conn, request *jmnode.FenceRequest) (err error) {
	if request.Target != a.Identity {
		// Meant for an earlier run, of which nothing is known any more.
		return jmframe.Write(conn, jasminemoor.Fence{State: jasminemoor.FenceLost})
	}
	fence, err := a.ledger.Fence(ctx, request.ID, request.Wait)
	if err != nil {
		return err
	}
	return jmframe.Write(conn, fence)
}

// serveRelay serves a stream that another agent hands over whole.
func (a *Agent) serveRelay(ctx context.Context, conn *jmlink.Conn, request *jmnode.RelayRequest) {
	v := a.view.Load()
	isWrong := v == nil || request.Target != a.Identity || request.Service != v.service.Number
	if isWrong || !request.Header.Kind.IsValid() {
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
		Admitted: func() error {
			return jmframe.Write(conn, jasminemoor.Status{Outcome: jasminemoor.OutcomeAccepted})
		},
	})
	// What was written last may still be under way; closing at once with
	// unread bytes would reset the connection and lose it.
	in.linger()
}

// relaySet holds the streams that other agents relay to this one.
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

// linkStream is a relayed stream at the agent that it was relayed to.
type linkStream struct {
	*jmlink.Conn
	ctx    context.Context //nolint:containedctx // it is the stream's own
	cancel context.CancelCauseFunc
}

var _ jasminemoor.CallerStream = (*linkStream)(nil)

func newLinkStream(conn *jmlink.Conn) *linkStream {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &linkStream{Conn: conn, ctx: ctx, cancel: cancel}
}

// Context implements jasminemoor.CallerStream.
func (s *linkStream) Context() context.Context { return s.ctx }

// Read implements io.Reader. A relay that breaks off ends the context.
func (s *linkStream) Read(p []byte) (n int, err error) {
	n, err = s.Conn.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.cancel(eris.Wrap(err, "relay broke off"))
	}
	return n, err
}

// StopRead implements jasminemoor.CallerStream.
func (s *linkStream) StopRead() { _ = s.SetReadDeadline(time.Now()) }

const (
	lingerTime   = 2 * time.Second
	lingerBuffer = 4 << 10
)

// linger waits for the peer to close after the answer has been written.
func (s *linkStream) linger() {
	_ = s.SetReadDeadline(time.Now().Add(lingerTime))
	buffer := make([]byte, lingerBuffer)
	for {
		if _, err := s.Conn.Read(buffer); err != nil {
			return
		}
	}
}

func (s *linkStream) end() { s.cancel(context.Canceled) }
