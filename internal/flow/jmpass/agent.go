package jmpass

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	// maxHops is how many agents may pass an opening packet on.
	maxHops = 3
	// sweepInterval is how often the table drops old flows.
	sweepInterval = time.Second
)

// Agent decides on the packets of one upstream. One goroutine at a time uses
// it; the exported fields are set before use.
type Agent struct {
	Self netip.Addr
	// Upstream is the address of the upstream beside the agent.
	Upstream    netip.AddrPort
	Service     string
	Incarnation jasminemoor.Incarnation
	// IsFirst says that the upstreams start with the agents, so that the agent
	// sees each flow of its upstream from the beginning.
	IsFirst bool
	// Counts counts decisions by their reason.
	Counts [ReasonCount]uint64
	// OnAnswer, where set, is called with the time to the first byte of each answer.
	OnAnswer func(took time.Duration)

	snapshot Snapshot
	// ahead is the newest revision that a peer was seen to have, and aheadAt when.
	ahead    jmhop.Header
	aheadAt  time.Time
	table    table
	absent   map[jasminemoor.FlowKey]time.Time // flows that the upstream refused
	tests    map[jasminemoor.FlowKey]test
	searches map[jasminemoor.FlowKey]*search
	gone     map[jasminemoor.FlowKey]time.Time // flows that nobody holds
	// asks is the budget of packets to ask others with, and reports that of
	// reports to balancers that send no new flows. nextReport is whose turn it is.
	asks       budget
	reports    budget
	nextReport int
	balancers  []balancerState
	byAddr     map[netip.Addr]uint32
	started    time.Time
	// sawUpstreamDown says that the upstream's process was found to have ended
	// since the agent started, so that it has had no flow before.
	sawUpstreamDown bool
	swept           time.Time
	isLeaving       bool
	upstream        upstreamState
	gate            gate
	results         results
	out             []Message
}

// test is a packet that was given to the upstream to see whether it holds the flow.
type test struct {
	at       time.Time
	balancer netip.Addr
	asker    netip.Addr // not valid if the agent searches for itself
}

// SetSnapshot replaces the view of the directory.
func (a *Agent) SetSnapshot(s Snapshot) { a.snapshot = s }

// HandlePeer decides on a caller's packet that a balancer or an agent sent.
func (a *Agent) HandlePeer(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) (out []Message, reason Reason) {
	a.begin(now)
	a.noteRevision(now, h)
	switch {
	case h.Kind == jmhop.KindAsk:
		reason = a.handleAsk(now, from, h, p, packet)
	case p.Flags.Has(jasminemoor.FlagOpen):
		reason = a.handleOpen(now, from, h, p)
	default:
		reason = a.handleForward(now, h, p, packet)
	}
	a.Counts[reason]++
	return a.out, reason
}

func (a *Agent) begin(now time.Time) {
	a.out = a.out[:0]
	if a.started.IsZero() {
		a.started = now
		a.absent = make(map[jasminemoor.FlowKey]time.Time)
		a.gone = make(map[jasminemoor.FlowKey]time.Time)
		a.tests = make(map[jasminemoor.FlowKey]test)
		a.searches = make(map[jasminemoor.FlowKey]*search)
	}
}

// handleOpen decides on an opening packet.
func (a *Agent) handleOpen(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet) Reason {
	at := a.noteBalancer(now, h)
	a.balancers[at].isDue = true
	if h.Origin == from && now.Sub(a.balancers[at].reported) >= reportInterval {
		a.report(now, &a.balancers[at])
	}
	key := p.Key()
	if reason := a.whyNotHere(p); reason != ReasonNone {
		a.handOn(now, key, p, h, nil)
		return reason
	}
	delete(a.absent, key)
	delete(a.gone, key)
	f := a.table.get(key)
	if f == nil {
		f = &flow{opened: now.Add(-max(p.Age, h.Age))}
		a.table.add(key, f)
	}
	f.balancer, f.hops, f.used = at+1, h.Hops, now
	a.giveUpstream(now, key)
	if h.Hops > 0 {
		a.tellHolder(h.Origin, key)
	}
	return ReasonHeld
}

// whyNotHere returns why a new flow must not go to the own upstream.
func (a *Agent) whyNotHere(p *jasminemoor.Packet) Reason {
	if a.snapshot.View == nil {
		// Without a view it is the balancer's word that counts.
		return ReasonNone
	}
	route := a.snapshot.Routes[p.Destination]
	if route == nil || !route.Allows(a.Service) {
		return ReasonOtherService
	}
	if own := a.snapshot.Upstreams[a.Upstream]; own != nil && !own.IsGone && own.State == jasminemoor.UpstreamLeaving {
		return ReasonLeaving
	}
	if a.upstream.isDown || a.upstream.isSilent {
		return ReasonUpstreamDown
	}
	return ReasonNone
}

// handOn passes an opening packet to another agent.
func (a *Agent) handOn(now time.Time, key jasminemoor.FlowKey, p *jasminemoor.Packet, h *jmhop.Header, packet []byte) {
	if a.snapshot.View == nil || h.Hops >= maxHops {
		return
	}
	route := a.snapshot.Routes[p.Destination]
	if route == nil {
		if a.snapshot.isFresh(now) {
			a.out = append(a.out, Message{Kind: Reset, Flow: key, Sequence: p.Acknowledged})
		}
		return
	}
	to, ok := a.other(key, route, int(h.Hops))
	if !ok {
		return
	}
	header := *h
	header.Kind, header.Hops, header.Revision = jmhop.KindForward, h.Hops+1, a.revision()
	a.out = append(a.out, Message{Kind: ToPeer, Flow: key, To: to, Header: header, HasPacket: true, Packet: packet})
}

// other returns another ready agent for a flow. Each hop takes the next in the
// flow's order, so that no two hops come back to one.
func (a *Agent) other(key jasminemoor.FlowKey, route *jmdirectory.Route, skip int) (to netip.Addr, ok bool) {
	service := a.snapshot.Services[route.Pick(key)]
	if service == nil {
		return to, false
	}
	ranked := rankedAgents(key, service.Upstreams, func(u *jmdirectory.Upstream) bool {
		return u.IsReady() && u.Address.Addr() != a.Self
	})
	if len(ranked) == 0 {
		return to, false
	}
	return ranked[skip%len(ranked)], true
}

// handleForward decides on a packet of an open flow.
func (a *Agent) handleForward(now time.Time, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) Reason {
	key := p.Key()
	at := a.noteBalancer(now, h)
	if f := a.held(key, p); f != nil {
		f.balancer = at + 1
		if h.Flags&jmhop.FlagKnown == 0 {
			a.tellHolder(h.Origin, key)
		}
		if a.upstream.isDown {
			a.resetFlow(now, key, f, p.Length > 0)
			return ReasonUpstreamDown
		}
		return a.offer(now, key, f, p, packet)
	}
	if at, found := a.gone[key]; found && now.Sub(at) < goneMemory {
		if p.Length > 0 {
			a.tellGone(now, key, h.Origin, now.Sub(at))
		}
		a.out = append(a.out, Message{Kind: Reset, Flow: key, Sequence: p.Acknowledged})
		return ReasonAbsentEverywhere
	}
	if a.mayHold(now, key) {
		if _, isTesting := a.tests[key]; !isTesting {
			a.tests[key] = test{at: now, balancer: h.Origin}
		}
		a.giveUpstream(now, key)
		return ReasonTested
	}
	a.startSearch(now, key, h.Origin, p, packet)
	return ReasonSearched
}

// held returns the flow of a packet if the own upstream holds it.
func (a *Agent) held(key jasminemoor.FlowKey, p *jasminemoor.Packet) *flow {
	f := a.table.get(key)
	if f == nil {
		return nil
	}
	if f.isOpen {
		return f
	}
	// Another agent may have got a copy of the opening packet. The caller
	// acknowledges the answer of the one that it talks to.
	if f.hasOffer && p.Flags.Has(jasminemoor.FlagAck) && p.Acknowledged == f.offer+1 {
		return f
	}
	return nil
}

func (a *Agent) deliver(now time.Time, key jasminemoor.FlowKey, f *flow, p *jasminemoor.Packet) {
	f.isOpen = true
	a.table.noteCaller(now, f, p)
	if p.Length > 0 {
		a.noteUnanswered(now)
	}
	a.out = append(a.out, Message{Kind: ToUpstream, Flow: key})
}

// mayHold reports whether the upstream may hold a flow that the agent has not
// seen begin.
func (a *Agent) mayHold(now time.Time, key jasminemoor.FlowKey) bool {
	if a.isComplete(now) || a.table.get(key) != nil || a.upstream.isDown {
		return false
	}
	if _, isAbsent := a.absent[key]; isAbsent {
		return false
	}
	if a.snapshot.View == nil {
		return false
	}
	route := a.snapshot.Routes[key.Service()]
	if route == nil {
		return false
	}
	for _, name := range holders(route) {
		if name == a.Service {
			return true
		}
	}
	return false
}

// isComplete reports whether the table has every flow of the upstream.
func (a *Agent) isComplete(now time.Time) bool {
	return a.IsFirst || a.sawUpstreamDown || now.Sub(a.started) > maxFlowAge
}

// maxFlowAge is how long a flow may last before it may be discarded.
const maxFlowAge = time.Minute

func (a *Agent) giveUpstream(now time.Time, key jasminemoor.FlowKey) {
	a.noteUnanswered(now)
	a.out = append(a.out, Message{Kind: ToUpstream, Flow: key})
}

func (a *Agent) tellHolder(balancer netip.Addr, key jasminemoor.FlowKey) {
	if balancer.IsValid() {
		header := jmhop.Header{Kind: jmhop.KindHolder, Origin: a.Self, Revision: a.revision()}
		a.out = append(a.out, Message{Kind: ToPeer, Flow: key, To: balancer, Header: header})
	}
}

// resetFlow ends a flow whose upstream is known not to hold it any more.
// HasRequest says that the packet at hand has data.
func (a *Agent) resetFlow(now time.Time, key jasminemoor.FlowKey, f *flow, hasRequest bool) {
	if f.ended != bothEnded {
		r := a.gate.find(key)
		switch {
		case r != nil:
			a.tellGone(now, key, a.balancerOf(f), now.Sub(r.arrived))
		case f.isWaiting:
			a.tellGone(now, key, a.balancerOf(f), now.Sub(f.asked))
		case hasRequest:
			a.tellGone(now, key, a.balancerOf(f), 0)
		}
		a.out = append(a.out, Message{Kind: Reset, Flow: key, Sequence: f.lastAck})
	}
	a.drop(key)
}

// drop forgets a flow and what is held back of it.
func (a *Agent) drop(key jasminemoor.FlowKey) {
	a.table.remove(key)
	a.gate.remove(key)
}

// Tick drives the searches, the reports and the upkeep. It is called some
// times in each reportInterval. With shouldProbe the upstream is to be looked
// at, and the result goes to HandleProbe.
func (a *Agent) Tick(now time.Time) (out []Message, shouldProbe bool) {
	a.begin(now)
	a.reportRegularly(now)
	a.driveTests(now)
	a.driveSearches(now)
	if len(a.gate.held) > 0 {
		a.expireWaiting(now)
		a.release(now)
	}
	if now.Sub(a.swept) >= sweepInterval {
		a.sweep(now)
	}
	return a.out, a.shouldProbe(now)
}

func (a *Agent) sweep(now time.Time) {
	a.swept = now
	idle := time.Duration(0)
	if a.snapshot.View != nil {
		idle = a.snapshot.IdleTimeout
	}
	a.expireWaiting(now)
	a.table.forget(now, idle)
	for key, at := range a.absent {
		if now.Sub(at) > absentMemory {
			delete(a.absent, key)
		}
	}
	for key, at := range a.gone {
		if now.Sub(at) > goneMemory {
			delete(a.gone, key)
		}
	}
}

// Flows returns the number of flows, and of requests that wait for an answer.
func (a *Agent) Flows() (flows, waiting int) { return len(a.table.flows), a.table.waiting }
