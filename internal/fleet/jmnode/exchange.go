package jmnode

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmcontrol"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmlink"
)

const (
	exchangeTimeout = 4 * time.Second
	maxReplySize    = 80 << 20 // of the frame of a SyncReply, in bytes
	// The interval between requests to seeds grows from minSeedInterval to
	// maxSeedInterval.
	minSeedInterval = 500 * time.Millisecond
	maxSeedInterval = 10 * time.Second
	// controlAnswerTimeout is how long another goroutine waits for an answer of the
	// control goroutine.
	controlAnswerTimeout = time.Second
)

// Dial opens a link to a peer and sends the link's request. The caller closes the
// link. The error wraps jasminemoor.ErrNotSent if the link could not be opened, but
// not if no control key is known yet.
func (n *Node) Dial(ctx context.Context, peer netip.AddrPort, request *Request) (conn *jmlink.Conn, err error) {
	keys := n.ControlKeys()
	if len(keys) == 0 {
		return nil, eris.New("no control key is known yet")
	}
	if !n.CanReach(peer) {
		return nil, errors.Join(jasminemoor.ErrNotSent, eris.Errorf("%s can't be reached", peer))
	}
	conn, err = jmlink.Dial(ctx, peer, keys[0])
	if err != nil {
		return nil, errors.Join(jasminemoor.ErrNotSent, err)
	}
	if err = jmframe.Write(conn, request); err != nil {
		conn.Abort()
		return nil, err
	}
	return conn, nil
}

// pull exchanges settings and members with a peer in a new goroutine.
func (n *Node) pull(ctx context.Context, peer netip.AddrPort) {
	request := n.machine.SyncRequest()
	n.pulls.Go(goroutinePull, func() {
		var reply *jmcontrol.SyncReply
		n.Guard.Try(goroutinePull, func() { reply = n.tryExchange(ctx, peer, request) })
		n.enqueue(func(now time.Time) { n.perform(ctx, n.machine.HandleSyncReply(now, peer, reply)) })
	})
}

// tryExchange returns nil if the exchange fails.
func (n *Node) tryExchange(ctx context.Context, peer netip.AddrPort, request *jmcontrol.SyncRequest) *jmcontrol.SyncReply {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := n.exchange(ctx, peer, request)
	if err != nil {
		n.Log.WithError(err).WithField("Peer", peer).Debug("settings: exchange failed")
		return nil
	}
	return reply
}

func (n *Node) exchange(ctx context.Context, peer netip.AddrPort, request *jmcontrol.SyncRequest) (reply *jmcontrol.SyncReply, err error) {
	n.Counters.Exchanges.Add(1)
	conn, err := n.Dial(ctx, peer, &Request{Sync: request})
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if deadline, found := ctx.Deadline(); found {
		_ = conn.SetDeadline(deadline)
	}
	reply = &jmcontrol.SyncReply{}
	if err = jmframe.Read(conn, reply, maxReplySize); err != nil {
		return nil, err
	}
	return reply, nil
}

// serveSync answers a peer's request for settings and members.
func (n *Node) serveSync(ctx context.Context, conn *jmlink.Conn, request *jmcontrol.SyncRequest) (err error) {
	replies := make(chan *jmcontrol.SyncReply, 1)
	n.enqueue(func(now time.Time) {
		reply, out := n.machine.HandleSyncRequest(now, request)
		replies <- reply
		n.perform(ctx, out)
	})
	select {
	case reply := <-replies:
		_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
		return jmframe.Write(conn, reply)
	case <-time.After(controlAnswerTimeout):
		return eris.New("control goroutine is busy")
	}
}

// requestFromSeeds requests the settings from one seed after the other until
// settings are in force or ctx ends.
func (n *Node) requestFromSeeds(ctx context.Context) {
	interval := minSeedInterval
	for i := 0; len(n.Seeds) > 0 && n.View().Config == nil; i++ {
		peer := n.Seeds[i%len(n.Seeds)]
		var reply *jmcontrol.SyncReply
		n.Guard.Try(goroutineSeeds, func() {
			reply = n.tryExchange(ctx, peer, &jmcontrol.SyncRequest{From: n.Identity.Agent})
		})
		if reply != nil {
			n.enqueue(func(now time.Time) { n.perform(ctx, n.machine.HandleSyncReply(now, peer, reply)) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		interval = min(interval*2, maxSeedInterval)
	}
}
