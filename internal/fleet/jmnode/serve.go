package jmnode

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmguard"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmlink"
)

const (
	requestTimeout = 5 * time.Second
	acceptBackoff  = 100 * time.Millisecond
)

// Handler serves the requests other than Sync, which depend on the process's
// role. It owns the connection until it returns.
type Handler func(ctx context.Context, conn *jmlink.Conn, request *Request)

// Serve accepts links until ctx ends. It then closes tcp, and returns after all
// handlers have returned. If handle is nil, only Sync requests are served.
func (n *Node) Serve(ctx context.Context, tcp net.Listener, handle Handler) {
	listener := &jmlink.Listener{Keys: n.ControlKeys, TCP: tcp}
	stop := context.AfterFunc(ctx, func() { _ = tcp.Close() })
	defer stop()
	wg := jmguard.Group{Guard: n.Guard}
	defer wg.Wait()
	for {
		raw, err := listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.Log.WithError(err).Warn("link: accept failed")
			sleep(ctx, acceptBackoff)
			continue
		}
		wg.Go(goroutineLink, func() {
			if !n.Guard.Try(goroutineLink, func() { n.serveLink(ctx, listener, raw, handle) }) {
				_ = raw.Close()
			}
		})
	}
}

func (n *Node) serveLink(ctx context.Context, listener *jmlink.Listener, raw net.Conn, handle Handler) {
	conn, err := listener.Authenticate(ctx, raw)
	if err != nil {
		n.Counters.Dropped.Add(1)
		n.Log.WithError(err).Debug("link: peer refused")
		return
	}
	defer conn.Close()
	if err = n.serveRequest(ctx, conn, handle); err != nil {
		n.Log.WithError(err).Debug("link: request failed")
	}
}

func (n *Node) serveRequest(ctx context.Context, conn *jmlink.Conn, handle Handler) (err error) {
	if err = conn.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return err
	}
	request := &Request{}
	if err = jmframe.Read(conn, request, MaxRequestSize); err != nil {
		return err
	}
	if err = conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	if request.Sync != nil {
		return n.serveSync(ctx, conn, request.Sync)
	}
	if handle == nil {
		return eris.New("request is not for this role")
	}
	handle(ctx, conn, request)
	return nil
}
