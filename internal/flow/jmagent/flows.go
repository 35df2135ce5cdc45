package jmagent

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/request/jmserver"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
)

const (
	headerTimeout = 5 * time.Second
	maxHeaderSize = 4 << 10 // bytes
)

// flow is one open flow.
type flow struct {
	agent          *Agent
	conn           *quic.Conn
	greetingStream *quic.SendStream

	mu               sync.Mutex
	streams          int
	idleSince        time.Time // when the last stream ended or, before that, the flow began
	isLeaveAnnounced bool      // a greeting with Leaving set was sent
}

// serveFlow sends the greeting on a new flow and serves the flow's streams.
func (a *Agent) serveFlow(ctx context.Context, conn *quic.Conn) {
	f := &flow{agent: a, conn: conn, idleSince: time.Now()}
	defer func() { _ = conn.CloseWithError(jasminemoor.CodeDone, "") }()
	if err := f.greet(); err != nil {
		return
	}
	a.flows.add(f)
	defer a.flows.remove(f)
	if a.isLeaving() {
		f.announceLeaving()
	}
	wg := jmguard.Group{Guard: a.Guard}
	defer wg.Wait()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		f.streamBegan()
		wg.Go(goroutineStream, func() {
			defer f.streamEnded()
			if !a.Guard.Try(goroutineStream, func() { a.serveStream(ctx, f, stream) }) {
				(&quicStream{Stream: stream}).Abort()
			}
		})
	}
}

// greet opens the greeting stream and sends the identity of this agent on it.
// Callers wait for the greeting before they send a non-idempotent request.
func (f *flow) greet() (err error) {
	if f.greetingStream, err = f.conn.OpenUniStream(); err != nil {
		return err
	}
	return jmframe.Write(f.greetingStream, f.newGreeting(false))
}

func (f *flow) newGreeting(isLeaving bool) jasminemoor.Greeting {
	v := f.agent.view.Load()
	return jasminemoor.Greeting{
		Identity: f.agent.Identity,
		Service:  v.service.Number,
		Upstream: v.upstream.Name,
		Leaving:  isLeaving,
	}
}

// announceLeaving sends a greeting with Leaving set, so that the caller moves to
// another agent, and closes the greeting stream. Further calls do nothing.
func (f *flow) announceLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isLeaveAnnounced {
		return
	}
	f.isLeaveAnnounced = true
	_ = jmframe.Write(f.greetingStream, f.newGreeting(true))
	_ = f.greetingStream.Close()
}

func (f *flow) streamBegan() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams++
}

func (f *flow) streamEnded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams--
	f.idleSince = time.Now()
}

func (f *flow) isIdle(now time.Time, grace time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.streams == 0 && now.Sub(f.idleSince) >= grace
}

// serveStream reads the request header of a caller's stream and serves the
// request. A stream without a valid header is aborted.
func (a *Agent) serveStream(ctx context.Context, f *flow, stream *quic.Stream) {
	in := newQUICStream(stream)
	var header jasminemoor.RequestHeader
	_ = stream.SetReadDeadline(time.Now().Add(headerTimeout))
	if err := jmframe.Read(stream, &header, maxHeaderSize); err != nil || !header.Kind.IsValid() || header.Timeout < 0 {
		a.Counters.BadStreams.Add(1)
		in.Abort()
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	header.Hops = 0 // only relaying agents count hops; a caller's value is ignored
	a.server.Serve(ctx, &jmserver.Stream{Header: header, Caller: callerAddr(f.conn), In: in})
}

func callerAddr(conn *quic.Conn) netip.AddrPort {
	if addr, ok := conn.RemoteAddr().(*net.UDPAddr); ok {
		return addr.AddrPort()
	}
	return netip.AddrPort{}
}

// flowSet holds the open flows. It also counts the flows whose handshake is in
// progress.
type flowSet struct {
	mu      sync.Mutex
	open    map[*flow]struct{}
	started int // connections that are not closed, counted from their first packet on
}

// trackConn counts a flow from its first packet until its connection closes. It
// is the ConnContext function of the QUIC transport.
func (s *flowSet) trackConn(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	s.addStarted(1)
	context.AfterFunc(ctx, func() { s.addStarted(-1) })
	return ctx, nil
}

func (s *flowSet) addStarted(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started += n
}

// len returns the number of flows, including those whose handshake is in progress.
func (s *flowSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

func (s *flowSet) add(f *flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*flow]struct{})
	}
	s.open[f] = struct{}{}
}

func (s *flowSet) remove(f *flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, f)
}

func (s *flowSet) all() (flows []*flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.open {
		flows = append(flows, f)
	}
	return flows
}

func (s *flowSet) announceLeaving() {
	for _, f := range s.all() {
		f.announceLeaving()
	}
}

// closeIdle closes the flows that have had no stream for idleFlowGrace, and
// returns the number of flows that are left.
func (s *flowSet) closeIdle(now time.Time) (left int) {
	for _, f := range s.all() {
		if f.isIdle(now, idleFlowGrace) {
			_ = f.conn.CloseWithError(jasminemoor.CodeLeaving, "agent is leaving")
		}
	}
	return s.len()
}

// quicStream is a caller's stream over QUIC.
type quicStream struct {
	*quic.Stream
	ctx context.Context //nolint:containedctx // the lifetime of the stream
}

var _ jasminemoor.CallerStream = (*quicStream)(nil)

func newQUICStream(stream *quic.Stream) *quicStream {
	ctx, cancel := context.WithCancelCause(context.Background())
	context.AfterFunc(stream.Context(), func() { cancel(cancelCause(context.Cause(stream.Context()))) })
	return &quicStream{Stream: stream, ctx: ctx}
}

// cancelCause returns ErrCancelled for a stream that the caller cancelled, and any
// other error as it is.
func cancelCause(err error) error {
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote && reset.ErrorCode == jasminemoor.CodeCancelled {
		return jasminemoor.ErrCancelled
	}
	return err
}

// Read implements io.Reader.
func (s *quicStream) Read(p []byte) (n int, err error) {
	n, err = s.Stream.Read(p)
	return n, cancelCause(err)
}

// Context implements jasminemoor.CallerStream.
func (s *quicStream) Context() context.Context { return s.ctx }

// CloseWrite implements jasminemoor.ByteStream.
func (s *quicStream) CloseWrite() error { return s.Close() }

// StopRead implements jasminemoor.CallerStream.
func (s *quicStream) StopRead() { s.CancelRead(jasminemoor.CodeDone) }

// Abort implements jasminemoor.ByteStream.
func (s *quicStream) Abort() {
	s.CancelRead(jasminemoor.CodeBroken)
	s.CancelWrite(jasminemoor.CodeBroken)
}
