package jmfake

import (
	"context"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmframe"
)

const (
	// relayTimeout bounds the wait for the status of a relayed stream.
	relayTimeout = 3 * time.Second
	// fenceTolerance is how much longer than its wait a fence may take.
	fenceTolerance = 2 * time.Second
	maxStatusSize  = 4 << 10 // bytes
)

// peers connects an agent with the other agents by links in memory.
type peers struct {
	agent *Agent
}

var _ jasminemoor.Peers = (*peers)(nil)

// Pick implements jasminemoor.Peers. It returns at most n other agents that are
// alive, not leaving and have room, in the order in which they were added.
func (p *peers) Pick(kind jasminemoor.Kind, n int) (picked []jasminemoor.Identity) {
	p.agent.fleet.mu.Lock()
	defer p.agent.fleet.mu.Unlock()
	for _, address := range p.agent.fleet.order {
		other := p.agent.fleet.agents[address]
		if other == p.agent || other.IsDead() || other.Leaving.Load() || !other.Gate.HasRoom(kind) {
			continue
		}
		if len(picked) < n {
			picked = append(picked, other.Identity())
		}
	}
	return picked
}

// deliver counts a message, delays it and returns the incarnation that receives it:
// the current one at the address, which may be later than the one that the sender
// knows. It waits while the receiver is paused. The message is lost if the link is
// cut or the receiver was killed.
func (p *peers) deliver(to netip.AddrPort) (other *Agent, isDelivered bool) {
	p.agent.fleet.Messages.Add(1)
	p.agent.fleet.Delay()
	if p.agent.fleet.isCut(p.agent.Identity().Agent, to) {
		return nil, false
	}
	other = p.agent.fleet.Agent(to)
	return other, other != nil && other.waitResumed()
}

// Fence implements jasminemoor.Fencer. The other agent fences the request even if
// its answer comes too late.
func (p *peers) Fence(ctx context.Context, at jasminemoor.Identity, id jasminemoor.RequestID, wait time.Duration) (jasminemoor.Fence, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+fenceTolerance)
	defer cancel()
	answers := make(chan jasminemoor.Fence, 1)
	go func() {
		other, isDelivered := p.deliver(at.Agent)
		if !isDelivered {
			return
		}
		if other.Identity() != at {
			answers <- jasminemoor.Fence{State: jasminemoor.FenceLost}
			return
		}
		fence, err := other.Ledger.Fence(other.ctx, id, wait)
		if err != nil || !other.waitResumed() {
			return
		}
		p.agent.fleet.Delay()
		if !p.agent.fleet.isCut(p.agent.Identity().Agent, at.Agent) {
			answers <- fence
		}
	}()
	select {
	case fence := <-answers:
		if !p.agent.waitResumed() {
			return jasminemoor.Fence{}, ErrLost
		}
		return fence, nil
	case <-ctx.Done():
		return jasminemoor.Fence{}, ErrLost
	}
}

// Relay implements jasminemoor.Peers.
func (p *peers) Relay(ctx context.Context, to jasminemoor.Identity, header jasminemoor.RequestHeader, _ netip.AddrPort) (jasminemoor.ByteStream, jasminemoor.Status, error) {
	var status jasminemoor.Status
	if deadline, found := ctx.Deadline(); found {
		header.Timeout = max(time.Until(deadline), time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	near, far := NewPipe()
	go func() {
		other, isDelivered := p.deliver(to.Agent)
		if !isDelivered || other.Identity() != to {
			far.Abort()
			return
		}
		other.Serve(header, far, func() error {
			return jmframe.Write(far, jasminemoor.Status{Outcome: jasminemoor.OutcomeAccepted})
		})
	}()
	stop := context.AfterFunc(ctx, near.Abort)
	if err := jmframe.Read(near, &status, maxStatusSize); err != nil {
		stop()
		return nil, status, err
	}
	if !stop() || status.Outcome != jasminemoor.OutcomeAccepted {
		return nil, status, ctx.Err()
	}
	return near, status, nil
}

// Cancel implements jasminemoor.Peers. It does nothing: a stream in memory passes
// the caller's cancellation on by itself.
func (p *peers) Cancel(jasminemoor.Identity, jasminemoor.RequestID) {}
