package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
)

const (
	dialTimeout       = 3 * time.Second
	idleTimeout       = 30 * time.Second
	keepAlivePeriod   = 2 * time.Second
	initialPacketSize = 1200 // bytes
	// moveAfter is the time without a datagram after which a flow moves to a new
	// local port.
	moveAfter = keepAlivePeriod + time.Second
	// minMoveInterval is the minimum time between two moves of a flow.
	minMoveInterval = 2 * time.Second
	// suspectAfter is the time without a datagram after which a flow is suspect: its
	// requests are retried, and new work goes to a new flow.
	suspectAfter         = 5 * time.Second
	silenceCheckInterval = 200 * time.Millisecond

	maxGreeting = 4 << 10 // bytes
	maxStatus   = 4 << 10 // bytes
)

var _ path = (*flow)(nil)

// flow is one QUIC connection to an agent.
type flow struct {
	conn      *quic.Conn
	transport *quic.Transport
	socket    *socket
	identity  jasminemoor.Identity
	upstream  string
	isLeaving atomic.Bool
	moves     atomic.Uint64
	ended     chan struct{}

	mu      sync.Mutex
	streams int
	// isDraining says that the flow is closed with its last stream.
	isDraining bool
}

// dialFlow opens a flow and waits for the agent's greeting.
func (c *Caller) dialFlow(ctx context.Context) (f *flow, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "open flow to %s", c.Address)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s, err := newSocket(c.Address)
	if err != nil {
		return nil, err
	}
	f = &flow{socket: s, transport: &quic.Transport{Conn: s}, ended: make(chan struct{})}
	f.conn, err = f.transport.Dial(ctx, net.UDPAddrFromAddrPort(c.Address), c.tlsConfig(), &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		HandshakeIdleTimeout:    dialTimeout,
		KeepAlivePeriod:         keepAlivePeriod,
		InitialPacketSize:       initialPacketSize,
		DisablePathMTUDiscovery: true,
		MaxIncomingStreams:      -1,
		MaxIncomingUniStreams:   1,
	})
	if err != nil {
		f.release()
		return nil, err
	}
	greetings, err := f.readGreeting(ctx)
	if err != nil {
		f.close()
		return nil, err
	}
	go f.watchGreetings(greetings)
	go f.watchSilence()
	return f, nil
}

func (c *Caller) tlsConfig() *tls.Config {
	config := c.TLS.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	config.MinVersion = tls.VersionTLS13
	config.NextProtos = []string{jasminemoor.Protocol}
	config.ServerName = c.ServerName
	return config
}

func (f *flow) readGreeting(ctx context.Context) (greetings io.Reader, err error) {
	stream, err := f.conn.AcceptUniStream(ctx)
	if err != nil {
		return nil, err
	}
	if deadline, found := ctx.Deadline(); found {
		_ = stream.SetReadDeadline(deadline)
	}
	var greeting jasminemoor.Greeting
	if err = jmframe.Read(stream, &greeting, maxGreeting); err != nil {
		return nil, err
	}
	_ = stream.SetReadDeadline(time.Time{})
	f.identity, f.upstream = greeting.Identity, greeting.Upstream
	f.isLeaving.Store(greeting.Leaving)
	return stream, nil
}

// watchGreetings reads further greetings, and drains the flow once the agent is
// leaving.
func (f *flow) watchGreetings(greetings io.Reader) {
	for {
		var greeting jasminemoor.Greeting
		if err := jmframe.Read(greetings, &greeting, maxGreeting); err != nil {
			return
		}
		if greeting.Leaving {
			f.isLeaving.Store(true)
			f.drain()
		}
	}
}

// watchSilence moves a flow to a new local port when no datagrams arrive, well before
// the connection times out, as a device on the path may have lost its state for the
// old port. It releases the flow when the connection has ended.
func (f *flow) watchSilence() {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	var lastMove time.Time
	for {
		select {
		case <-f.conn.Context().Done():
			f.release()
			return
		case <-ticker.C:
		}
		if f.socket.silence() >= moveAfter && time.Since(lastMove) >= minMoveInterval {
			lastMove = time.Now()
			f.moves.Add(1)
			_ = f.socket.rebind()
		}
	}
}

// isUsable reports whether new streams should go over the flow.
func (f *flow) isUsable() bool {
	f.mu.Lock()
	isDraining := f.isDraining
	f.mu.Unlock()
	return !isDraining && !f.isLeaving.Load() && !f.isSuspect() && f.conn.Context().Err() == nil
}

// isSuspect reports whether no datagram arrived within suspectAfter.
func (f *flow) isSuspect() bool { return f.socket.silence() >= suspectAfter }

// drain makes the flow unusable for new work, and closes it once its last stream has
// ended.
func (f *flow) drain() {
	f.mu.Lock()
	f.isDraining = true
	isIdle := f.streams == 0
	f.mu.Unlock()
	if isIdle {
		f.close()
	}
}

func (f *flow) close() {
	_ = f.conn.CloseWithError(jasminemoor.CodeDone, "")
	f.release()
}

// release closes ended, the transport and the socket. Further calls do nothing.
func (f *flow) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.ended:
		return
	default:
	}
	close(f.ended)
	_ = f.transport.Close()
	_ = f.socket.Close()
}

func (f *flow) addStream() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams++
}

// removeStream closes a draining flow with its last stream.
func (f *flow) removeStream() {
	f.mu.Lock()
	f.streams--
	isLast := f.streams == 0 && f.isDraining
	f.mu.Unlock()
	if isLast {
		f.close()
	}
}

func cancelStream(stream *quic.Stream) {
	stream.CancelRead(jasminemoor.CodeCancelled)
	stream.CancelWrite(jasminemoor.CodeCancelled)
}

// errSuspect is the error of an attempt on a suspect flow.
var errSuspect = errors.New("flow has gone silent")

// agent implements path.
func (f *flow) agent() jasminemoor.Identity { return f.identity }

// request implements path.
func (f *flow) request(ctx context.Context, header *jasminemoor.RequestHeader, body []byte, limit int64) (status jasminemoor.Status, answer []byte, wasSent bool, err error) {
	f.addStream()
	defer f.removeStream()
	stream, err := f.conn.OpenStreamSync(ctx)
	if err != nil {
		return status, nil, false, err
	}
	if err = jmframe.Write(stream, header); err != nil {
		cancelStream(stream)
		return status, nil, true, f.causeOf(ctx, err)
	}
	// A cancellation by the caller is sent to the upstream. On a suspect flow, only
	// reading ends, since a later attempt may still get the answer.
	stopCancel := context.AfterFunc(ctx, func() { cancelStream(stream) })
	defer stopCancel()
	stopSuspect := f.onSuspect(func() { stream.CancelRead(jasminemoor.CodeDone) })
	defer stopSuspect()
	go func() {
		if _, err := io.Copy(stream, bytes.NewReader(body)); err == nil {
			_ = stream.Close()
		}
	}()
	if err = jmframe.Read(stream, &status, maxStatus); err != nil {
		return status, nil, true, f.causeOf(ctx, err)
	}
	if status.Outcome != jasminemoor.OutcomeAccepted {
		stream.CancelWrite(jasminemoor.CodeDone)
		return status, nil, true, nil
	}
	answer, err = io.ReadAll(io.LimitReader(stream, limit+1))
	if err != nil {
		return status, nil, true, f.causeOf(ctx, err)
	}
	if int64(len(answer)) > limit {
		cancelStream(stream)
		return status, nil, true, ErrTooLarge
	}
	return status, answer, true, nil
}

// causeOf returns the cause of a failed stream: the end of ctx, a suspect flow, or
// else err itself.
func (f *flow) causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if f.isSuspect() {
		return errSuspect
	}
	return err
}

// onSuspect calls do once if the flow becomes suspect before stop is called.
func (f *flow) onSuspect(do func()) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(silenceCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-f.ended:
				return
			case <-ticker.C:
				if f.isSuspect() {
					do()
					return
				}
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}
