package client

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor"
)

const (
	openTimeout    = 30 * time.Second
	acceptBackoff  = 50 * time.Millisecond
	maxRequestBody = 16 << 20 // bytes; the rest of a longer request is discarded
)

// Forwarder forwards the TCP connections of programs that do not use this library:
// each as one feed, or as one request whose body ends when the program closes its
// sending direction. The exported fields are set before Run.
type Forwarder struct {
	Caller *Caller
	// Kind says whether a connection is forwarded as a request or as a feed.
	Kind jasminemoor.Kind
	// Idempotent says that the requests may run more than once.
	Idempotent bool
	// Timeout bounds a request. It must be above zero for KindRequest.
	Timeout time.Duration
	Log     logrus.FieldLogger

	wg sync.WaitGroup
}

// Run accepts connections until ctx ends, and then waits for the open ones to
// end. A connection whose request was not answered, or whose feed was cut, is
// reset rather than closed, so that the program detects the failure.
func (f *Forwarder) Run(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer f.wg.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.Log.WithError(err).Warn("forwarder: accept failed")
			time.Sleep(acceptBackoff)
			continue
		}
		f.wg.Go(func() { f.forward(conn.(*net.TCPConn)) })
	}
}

func (f *Forwarder) forward(conn *net.TCPConn) {
	defer conn.Close()
	forward := f.forwardRequest
	if f.Kind == jasminemoor.KindFeed {
		forward = f.forwardFeed
	}
	if err := forward(conn); err != nil {
		f.Log.WithError(err).WithField("Program", conn.RemoteAddr()).Warn("forwarder: connection reset")
		_ = conn.SetLinger(0)
	}
}

func (f *Forwarder) forwardRequest(conn *net.TCPConn) error {
	body, err := io.ReadAll(io.LimitReader(conn, maxRequestBody))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	answer, err := f.Caller.Do(ctx, Request{Body: body, Idempotent: f.Idempotent})
	if err != nil {
		return err
	}
	_, err = conn.Write(answer.Body)
	return err
}

func (f *Forwarder) forwardFeed(conn *net.TCPConn) error {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	feed, err := f.Caller.OpenFeed(ctx)
	if err != nil {
		return err
	}
	defer feed.Close()
	f.wg.Go(func() {
		// The end of the program's sending direction ends that of the feed. An error
		// of its connection closes the feed.
		if _, err := io.Copy(feed, conn); err != nil {
			_ = feed.Close()
			return
		}
		_ = feed.CloseWrite()
	})
	_, err = io.Copy(conn, feed)
	return err
}
