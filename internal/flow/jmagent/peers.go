package jmagent

import (
	"context"
	"net/netip"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
)

const (
	admitTimeout  = 3 * time.Second // for a peer to admit a relayed stream
	cancelTimeout = 3 * time.Second
	fenceMargin   = 2 * time.Second // on top of the wait that the request asks of the peer
	maxFenceSize  = 1 << 20         // bytes
	maxStatusSize = 4 << 10         // bytes
)

// peers sends requests to the other agents of the service over links.
type peers struct {
	agent *Agent
}

var _ jasminemoor.Peers = (*peers)(nil)

// Pick implements jasminemoor.Peers. It returns usable agents with a recent load
// report, and for requests only those below their capacity. They are sorted by
// load, to which RemoteMargin is added for agents in other data centres.
func (p *peers) Pick(kind jasminemoor.Kind, n int) (picked []jasminemoor.Identity) {
	type candidate struct {
		identity jasminemoor.Identity
		load     uint32
	}
	var candidates []candidate
	now := time.Now()
	v := p.agent.view.Load()
	for i := range v.peers {
		peer := p.agent.peer(v, &v.peers[i], now)
		report, _ := p.agent.Node.Loads.Recent(peer.Agent, now)
		hasRoom := kind == jasminemoor.KindFeed || peer.Load.Now < jmload.PerMille
		if !peer.IsUsable || !peer.HasLoad || !hasRoom {
			continue
		}
		load := peer.Load.Now
		if !peer.IsLocal {
			load += jmplacer.RemoteMargin
		}
		identity := jasminemoor.Identity{Agent: report.Agent, Incarnation: report.Incarnation}
		candidates = append(candidates, candidate{identity: identity, load: load})
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].load < candidates[j].load })
	for _, c := range candidates[:min(n, len(candidates))] {
		picked = append(picked, c.identity)
	}
	return picked
}

// Fence implements jasminemoor.Fencer.
func (p *peers) Fence(ctx context.Context, at jasminemoor.Identity, id jasminemoor.RequestID, wait time.Duration) (fence jasminemoor.Fence, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "fence at %s", at)
		}
	}()
	if !p.isKnownAgent(at.Agent) {
		return fence, eris.New("agent is not a known member")
	}
	ctx, cancel := context.WithTimeout(ctx, wait+fenceMargin)
	defer cancel()
	request := &jmnode.Request{Fence: &jmnode.FenceRequest{Target: at, ID: id, Wait: wait}}
	conn, err := p.agent.Node.Dial(ctx, at.Agent, request)
	if err != nil {
		return fence, err
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	err = jmframe.Read(conn, &fence, maxFenceSize)
	return fence, err
}

// isKnownAgent reports whether an address is that of a known member. Callers name
// the agents of earlier attempts, and without this check could make this agent
// connect to any address.
func (p *peers) isKnownAgent(addr netip.AddrPort) bool {
	_, found := p.agent.Node.View().States[addr]
	return found
}

// Relay implements jasminemoor.Peers.
func (p *peers) Relay(ctx context.Context, to jasminemoor.Identity, header jasminemoor.RequestHeader, caller netip.AddrPort) (stream jasminemoor.ByteStream, status jasminemoor.Status, err error) {
	v := p.agent.view.Load()
	if deadline, found := ctx.Deadline(); found {
		header.Timeout = max(time.Until(deadline), time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	request := &jmnode.Request{Relay: &jmnode.RelayRequest{
		Target:  to,
		Service: v.service.Number,
		Caller:  caller,
		Header:  header,
	}}
	conn, err := p.agent.Node.Dial(ctx, to.Agent, request)
	if err != nil {
		return nil, status, eris.Wrapf(err, "relay to %s", to)
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetReadDeadline(deadline)
	if err = jmframe.Read(conn, &status, maxStatusSize); err != nil {
		conn.Abort()
		return nil, status, eris.Wrapf(err, "relay to %s", to)
	}
	if status.Outcome != jasminemoor.OutcomeAccepted {
		_ = conn.Close()
		return nil, status, nil
	}
	_ = conn.SetReadDeadline(time.Time{})
	if v.node.StateOf(to.Agent).DataCentre != v.upstream.DataCentre {
		p.agent.Counters.CrossingRelays.Add(1)
	}
	return conn, status, nil
}

// Cancel implements jasminemoor.Peers.
func (p *peers) Cancel(to jasminemoor.Identity, id jasminemoor.RequestID) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	request := &jmnode.Request{Cancel: &jmnode.CancelRequest{Target: to, ID: id}}
	conn, err := p.agent.Node.Dial(ctx, to.Agent, request)
	if err != nil {
		p.agent.Log.WithError(err).Debug("link: cancel request was not sent")
		return
	}
	_ = conn.Close()
}
