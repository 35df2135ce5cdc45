package jmnode

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmlink"
)

const (
	exchangeTimeout = 4 * time.Second
	// pageSize bounds the settings in one reply in bytes.
	pageSize         = 1 << 20
	maxReplySize     = 80 << 20
	seedInterval     = 500 * time.Millisecond
	maxSeedInterval  = 10 * time.Second
	controlQueueWait = time.Second
)

// Dial opens a link to a peer and sends the request that it is for. The error
// is a jasminemoor.ErrNotSent if the request can't have reached the peer.
func (n *Node) Dial(ctx context.Context, peer netip.AddrPort, request *Request) (conn *jmlink.Conn, err error) {
	keys := n.ControlKeys()
	if len(keys) == 0 {
		return nil, eris.New("no control key is known yet")
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

// pull asks a peer for what it knows better, on a goroutine of its own.
func (n *Node) pull(peer netip.AddrPort) {
	request := n.syncRequest()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		reply, err := n.exchange(ctx, peer, request)
		n.do(func(now time.Time) {
			n.spread.EndPull(now, err == nil)
			if err != nil {
				n.Log.WithError(err).WithField("Peer", peer).Debug("settings: exchange failed")
				return
			}
			n.takeReply(now, reply)
		})
	}()
}

func (n *Node) syncRequest() *SyncRequest {
	return &SyncRequest{From: n.Identity.Agent, Revisions: n.spread.Revisions(), Members: n.members.Snapshot()}
}

func (n *Node) takeReply(now time.Time, reply *SyncReply) {
	n.putSubtrees(reply.Subtrees)
	n.members.Apply(now, reply.Members)
}

func (n *Node) exchange(ctx context.Context, peer netip.AddrPort, request *SyncRequest) (reply *SyncReply, err error) {
	n.Counters.Exchanges.Add(1)
	conn, err := n.Dial(ctx, peer, &Request{Sync: request})
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if deadline, found := ctx.Deadline(); found {
		_ = conn.SetDeadline(deadline)
	}
	reply = &SyncReply{}
	if err = jmframe.Read(conn, reply, maxReplySize); err != nil {
		return nil, err
	}
	return reply, nil
}

// ServeSync answers a peer's request for settings and members.
func (n *Node) ServeSync(conn *jmlink.Conn, request *SyncRequest) (err error) {
	replies := make(chan *SyncReply, 1)
	n.do(func(now time.Time) {
		n.members.Apply(now, request.Members)
		replies <- &SyncReply{
			Subtrees: n.spread.Missing(request.Revisions, pageSize),
			Members:  n.members.Snapshot(),
		}
		if n.spread.HandleRevisions(now, request.Revisions) {
			n.pull(request.From)
		}
	})
	select {
	case reply := <-replies:
		_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
		return jmframe.Write(conn, reply)
	case <-time.After(controlQueueWait):
		return eris.New("control goroutine is busy")
	}
}

// askSeeds asks the seeds for settings until some are known.
func (n *Node) askSeeds(ctx context.Context) {
	interval := seedInterval
	for i := 0; len(n.Seeds) > 0 && n.View().Config == nil; i++ {
		peer := n.Seeds[i%len(n.Seeds)]
		attempt, cancel := context.WithTimeout(ctx, exchangeTimeout)
		reply, err := n.exchange(attempt, peer, &SyncRequest{From: n.Identity.Agent})
		cancel()
		if err == nil {
			n.do(func(now time.Time) { n.takeReply(now, reply) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		interval = min(interval*2, maxSeedInterval)
	}
}
