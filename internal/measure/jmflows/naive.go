package jmflows

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// Naive is the policy that Product is compared with. A balancer places a new
// flow by a hash over the listed upstreams and caches the choice. An agent knows
// only the flows that were opened since its own start, and asks all other agents
// about the packets of any other flow. The policy ignores load and has no
// failure detection.
var Naive = Policy{
	Name:        "naive",
	newBalancer: func(self netip.Addr, _ string) balancer { return &naiveBalancer{self: self} },
	newAgent:    func(n *node, _ bool) Agent { return &naiveAgent{self: n.addr} },
}

type naiveBalancer struct {
	self     netip.Addr
	snapshot jmpass.Snapshot
	// holders has the agent of each flow that was placed or announced.
	holders map[jasminemoor.FlowKey]netip.Addr
}

func (b *naiveBalancer) SetSnapshot(s jmpass.Snapshot) { b.snapshot = s }

func (b *naiveBalancer) Handle(_ time.Time, p *jasminemoor.Packet) (m jmpass.Message, reason jmpass.Reason) {
	key := p.Key()
	to, found := b.holders[key]
	if !found {
		ranked := naiveRank(b.snapshot, key)
		if len(ranked) == 0 {
			return m, jmpass.ReasonNoUpstream
		}
		to = ranked[0]
		b.HandleHolder(time.Time{}, to, key)
	}
	header := jmhop.Header{Kind: jmhop.KindForward, Origin: b.self}
	return jmpass.Message{Kind: jmpass.ToPeer, Flow: key, To: to, Header: header, HasPacket: true}, jmpass.ReasonPlaced
}

func (b *naiveBalancer) HandleHolder(_ time.Time, from netip.Addr, flow jasminemoor.FlowKey) {
	if b.holders == nil {
		b.holders = make(map[jasminemoor.FlowKey]netip.Addr)
	}
	b.holders[flow] = from
}

func (*naiveBalancer) HandleFlowReset(time.Time, netip.Addr, jasminemoor.FlowKey, time.Duration) {}
func (*naiveBalancer) HandleReport(time.Time, netip.Addr, *jmhop.Report)                         {}
func (*naiveBalancer) Tick(time.Time) []netip.Addr                                               { return nil }

type naiveAgent struct {
	self     netip.Addr
	snapshot jmpass.Snapshot
	// flows has the flows that the upstream accepted since the agent's start.
	flows map[jasminemoor.FlowKey]bool
}

func (a *naiveAgent) SetSnapshot(s jmpass.Snapshot) { a.snapshot = s }

func (a *naiveAgent) HandlePeer(_ time.Time, _ netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, _ []byte) (out []jmpass.Message, reason jmpass.Reason) {
	key := p.Key()
	if p.Flags.Has(jasminemoor.FlagOpen) || a.flows[key] {
		out = append(out, jmpass.Message{Kind: jmpass.ToUpstream, Flow: key})
		if h.Kind == jmhop.KindAsk {
			out = append(out, jmpass.Message{Kind: jmpass.ToPeer, Flow: key, To: h.Origin, Header: jmhop.Header{Kind: jmhop.KindHolder}})
		}
		return out, jmpass.ReasonHeld
	}
	if h.Kind == jmhop.KindAsk {
		return nil, jmpass.ReasonNotHeld
	}
	header := jmhop.Header{Kind: jmhop.KindAsk, Origin: h.Origin}
	for _, to := range naiveRank(a.snapshot, key) {
		if to != a.self {
			out = append(out, jmpass.Message{Kind: jmpass.ToPeer, Flow: key, To: to, Header: header, HasPacket: true})
		}
	}
	return out, jmpass.ReasonSearched
}

func (a *naiveAgent) HandleUpstream(_ time.Time, p *jasminemoor.Packet, _ []byte, _ bool) (out []jmpass.Message, reason jmpass.Reason) {
	if p.Flags.Has(jasminemoor.FlagReturned) {
		key := p.Key()
		if p.Flags.Has(jasminemoor.FlagOpen) {
			return nil, jmpass.ReasonRefusedByUpstream
		}
		delete(a.flows, key)
		return []jmpass.Message{{Kind: jmpass.Reset, Flow: key, Sequence: p.Acknowledged}}, jmpass.ReasonRefusedByUpstream
	}
	key := p.ReverseKey()
	if p.Flags.Has(jasminemoor.FlagOpen) {
		if a.flows == nil {
			a.flows = make(map[jasminemoor.FlowKey]bool)
		}
		a.flows[key] = true
	}
	return []jmpass.Message{{Kind: jmpass.ToCaller, Flow: key}}, jmpass.ReasonHeld
}

func (*naiveAgent) HandleAbsent(time.Time, netip.Addr, *jmhop.Header, jasminemoor.FlowKey) []jmpass.Message {
	return nil
}
func (*naiveAgent) HandleHolder(time.Time, jasminemoor.FlowKey)                {}
func (*naiveAgent) HandlePoll(time.Time, netip.Addr) []jmpass.Message          { return nil }
func (*naiveAgent) HandleProbe(time.Time, jmpass.ProbeResult) []jmpass.Message { return nil }

// HandleWatch does nothing.
func (*naiveAgent) HandleWatch(time.Time, bool) []jmpass.Message            { return nil }
func (*naiveAgent) Tick(time.Time) (out []jmpass.Message, shouldProbe bool) { return nil, false }

// naiveRank returns the agents of the listed upstreams, the one with the highest
// hash for the flow first and the others in no particular order.
func naiveRank(s jmpass.Snapshot, key jasminemoor.FlowKey) (agents []netip.Addr) {
	if s.View == nil {
		return nil
	}
	best := uint64(0)
	for _, u := range s.Services[service].Upstreams {
		raw := u.Address.Addr().As4()
		score := xxhash.Sum64(append(key[:len(key):len(key)], raw[:]...))
		agents = append(agents, u.Address.Addr())
		if score > best {
			best = score
			agents[0], agents[len(agents)-1] = agents[len(agents)-1], agents[0]
		}
	}
	return agents
}
