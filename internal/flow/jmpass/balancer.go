package jmpass

import (
	"math"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	// flowGeneration is how long a flow is remembered at least after its last
	// packet, and half of how long at most. Idle flows end after 15 s.
	flowGeneration = 15 * time.Second
	// maxFlows bounds the flows of one generation.
	maxFlows = 1 << 18
	// answerTimeout is how long an agent may take to report on a new flow
	// before others are preferred. A round trip between data centres takes
	// up to 20 ms, and a slow instance some times that.
	answerTimeout = 120 * time.Millisecond
	// pollInterval is how often an agent that has not answered is asked again.
	pollInterval = 150 * time.Millisecond
	// silentAfter is how long an agent may be silent until the removal of its
	// upstream's entry is taken as the end of its flows.
	silentAfter = time.Second
	// reorderTime is how long a datagram may be under way at most. After that a
	// report of a lower incarnation is of a run that began after the agent's clock
	// was set back.
	reorderTime = 300 * time.Millisecond
)

// Balancer decides on the packets of callers. One goroutine at a time uses it;
// the exported fields are set before use.
type Balancer struct {
	Self       netip.Addr
	DataCentre string
	// Counts counts decisions by their reason.
	Counts [ReasonCount]uint64

	snapshot Snapshot
	viewed   time.Time // when the first packet was decided by a view
	current  map[jasminemoor.FlowKey]balancerFlow
	previous map[jasminemoor.FlowKey]balancerFlow
	rotated  time.Time
	agents   []agentState
	byAddr   map[netip.Addr]uint32
	scratch  []ranked
	retries  retries
	code     uint8 // of the data centre
}

// balancerFlow is where a flow is. It has no pointers.
type balancerFlow struct {
	holder uint32 // index into agents
	isOpen bool   // the caller has sent more than its opening packet
}

// agentState is what a balancer knows of an agent.
type agentState struct {
	addr   netip.Addr
	report jmhop.Report
	// reported is when the report came, and heard when anything did.
	reported time.Time
	heard    time.Time
	// asked is when the first flow was sent that no report has answered.
	asked  time.Time
	polled time.Time
	// placed counts the flows that were sent since the last report.
	placed uint32
}

// isSuspect reports whether an agent should have answered by now.
func (a *agentState) isSuspect(now time.Time) bool {
	return !a.asked.IsZero() && now.Sub(a.asked) > answerTimeout
}

// SetSnapshot replaces the view of the directory.
func (b *Balancer) SetSnapshot(s Snapshot) { b.snapshot = s }

// Handle decides on a caller's packet.
func (b *Balancer) Handle(now time.Time, p *jasminemoor.Packet) (m Message, reason Reason) {
	m, reason = b.decide(now, p)
	b.Counts[reason]++
	return m, reason
}

func (b *Balancer) decide(now time.Time, p *jasminemoor.Packet) (m Message, reason Reason) {
	if b.snapshot.View == nil || b.snapshot.Version == 0 {
		return m, ReasonNoView
	}
	if b.viewed.IsZero() {
		b.viewed = now
		b.code = jmhop.DataCentreCode(b.DataCentre)
	}
	b.rotate(now)
	flow := p.Key()
	route := b.snapshot.Routes[p.Destination]
	if route == nil {
		return b.refuse(now, flow, p), ReasonNoRoute
	}
	known, found := b.find(flow)
	if p.Flags.Has(jasminemoor.FlagOpen) {
		return b.place(now, flow, p, route, known, found)
	}
	if found {
		return b.forwardKnown(now, flow, p, known)
	}
	to, ok := b.firstToAsk(now, flow, route)
	if !ok {
		return m, ReasonNoUpstream
	}
	return b.forward(flow, to, 0), ReasonUnknown
}

// refuse resets a flow that can't be served. A process whose view is old can't
// know that.
func (b *Balancer) refuse(now time.Time, flow jasminemoor.FlowKey, p *jasminemoor.Packet) (m Message) {
	if !b.snapshot.isFresh(now) || p.Flags.Has(jasminemoor.FlagReset) {
		return m
	}
	return Message{Kind: Reset, Flow: flow, Sequence: p.Acknowledged}
}

func (b *Balancer) forward(flow jasminemoor.FlowKey, to netip.Addr, flags uint8) Message {
	return Message{
		Kind:      ToPeer,
		Flow:      flow,
		To:        to,
		HasPacket: true,
		Header: jmhop.Header{
			Kind: jmhop.KindForward, Flags: flags, Origin: b.Self, DataCentre: b.code, Revision: uint32(b.snapshot.Revision),
		},
	}
}

func (b *Balancer) forwardKnown(now time.Time, flow jasminemoor.FlowKey, p *jasminemoor.Packet, known balancerFlow) (m Message, reason Reason) {
	holder := &b.agents[known.holder]
	if b.isGone(now, holder) {
		return b.refuse(now, flow, p), ReasonUpstreamGone
	}
	known.isOpen = true
	b.put(flow, known)
	return b.forward(flow, holder.addr, jmhop.FlagKnown), ReasonKnown
}

// isGone reports whether nothing is left of an agent and its upstream: the
// upstream's entry was removed and nothing is heard of the agent.
func (b *Balancer) isGone(now time.Time, holder *agentState) bool {
	if now.Sub(holder.heard) < silentAfter || !b.snapshot.isFresh(now) {
		return false
	}
	u := b.snapshot.Agents[holder.addr]
	return u == nil || u.IsGone && u.State == jasminemoor.UpstreamLeaving
}

// place chooses the upstream of a new flow. A repeated opening packet goes to
// another one, since the first should have answered long ago; the flow opens
// where the caller acknowledges the answer.
func (b *Balancer) place(now time.Time, flow jasminemoor.FlowKey, p *jasminemoor.Packet, route *jmdirectory.Route, known balancerFlow, found bool) (m Message, reason Reason) {
	reason = ReasonPlaced
	avoid := netip.Addr{}
	if found {
		if known.isOpen {
			return b.forward(flow, b.agents[known.holder].addr, jmhop.FlagKnown), ReasonKnown
		}
		avoid, reason = b.agents[known.holder].addr, ReasonRepeated
	}
	service := b.snapshot.Services[route.Pick(flow)]
	at, ok := b.choose(now, flow, service, avoid)
	if !ok {
		if now.Sub(b.viewed) < lapseTime {
			// The list may not be whole yet. The caller repeats its packet soon.
			return m, ReasonNoUpstream
		}
		return b.refuse(now, flow, p), ReasonNoUpstream
	}
	chosen := &b.agents[at]
	chosen.placed++
	if chosen.asked.IsZero() {
		chosen.asked = now
	}
	b.put(flow, balancerFlow{holder: at})
	m = b.forward(flow, chosen.addr, 0)
	if !found {
		m.Header.Age = b.retries.take(now, flow.Caller().Addr())
	}
	return m, reason
}

// firstToAsk returns the agent that ranks first for a flow that this balancer
// does not know, among those that seem to be there.
func (b *Balancer) firstToAsk(now time.Time, flow jasminemoor.FlowKey, route *jmdirectory.Route) (to netip.Addr, ok bool) {
	best, hash := math.Inf(-1), flow.Hash()
	for _, name := range holders(route) {
		service := b.snapshot.Services[name]
		if service == nil {
			continue
		}
		for _, u := range service.Upstreams {
			score := jmplacer.Rank(hash, u.Address.Addr())
			if u.IsGone || b.agents[b.indexOf(u.Address.Addr())].isSuspect(now) {
				score -= 1 // after all others
			}
			if score > best {
				best, to, ok = score, u.Address.Addr(), true
			}
		}
	}
	return to, ok
}

// HandleHolder takes an agent's word that it holds a flow.
func (b *Balancer) HandleHolder(now time.Time, from netip.Addr, flow jasminemoor.FlowKey) {
	if !b.isKnown(from) {
		b.Counts[ReasonStranger]++
		return
	}
	at := b.indexOf(from)
	b.hear(now, at)
	b.put(flow, balancerFlow{holder: at, isOpen: true})
}

// HandleReport takes an agent's report in.
func (b *Balancer) HandleReport(now time.Time, from netip.Addr, r *jmhop.Report) {
	if !b.isKnown(from) {
		b.Counts[ReasonStranger]++
		return
	}
	at := b.indexOf(from)
	if r.Incarnation < b.agents[at].report.Incarnation && now.Sub(b.agents[at].reported) < reorderTime {
		return
	}
	b.hear(now, at)
	b.agents[at].reported = now
	b.agents[at].report = *r
	b.agents[at].placed = 0
}

func (b *Balancer) hear(now time.Time, at uint32) {
	b.agents[at].heard = now
	b.agents[at].asked = time.Time{}
}

// Tick returns the agents to ask for a sign of life.
func (b *Balancer) Tick(now time.Time) (polls []netip.Addr) {
	b.retries.forget(now)
	for i := range b.agents {
		a := &b.agents[i]
		if a.isSuspect(now) && now.Sub(a.polled) >= pollInterval && b.isListed(a.addr) {
			a.polled = now
			polls = append(polls, a.addr)
		}
	}
	return polls
}

func (b *Balancer) isListed(agent netip.Addr) bool {
	return b.snapshot.View != nil && b.snapshot.Agents[agent] != nil
}

// isKnown reports whether an address is or was that of an agent.
func (b *Balancer) isKnown(addr netip.Addr) bool {
	_, found := b.byAddr[addr]
	return found || b.isListed(addr)
}

// Flows returns the number of flows that are remembered.
func (b *Balancer) Flows() int { return len(b.current) + len(b.previous) }

func (b *Balancer) indexOf(addr netip.Addr) uint32 {
	at, found := b.byAddr[addr]
	if found {
		return at
	}
	if b.byAddr == nil {
		b.byAddr = make(map[netip.Addr]uint32)
	}
	at = uint32(len(b.agents))
	b.agents = append(b.agents, agentState{addr: addr})
	b.byAddr[addr] = at
	return at
}

func (b *Balancer) find(flow jasminemoor.FlowKey) (known balancerFlow, found bool) {
	if known, found = b.current[flow]; found {
		return known, true
	}
	if known, found = b.previous[flow]; found {
		b.put(flow, known)
	}
	return known, found
}

func (b *Balancer) put(flow jasminemoor.FlowKey, known balancerFlow) {
	if b.current == nil {
		b.current = make(map[jasminemoor.FlowKey]balancerFlow)
	}
	if len(b.current) < maxFlows {
		b.current[flow] = known
	}
}

// rotate forgets the flows that were silent for a generation.
func (b *Balancer) rotate(now time.Time) {
	if now.Sub(b.rotated) < flowGeneration {
		return
	}
	b.rotated = now
	b.previous = b.current
	b.current = make(map[jasminemoor.FlowKey]balancerFlow, len(b.previous)/2)
}
