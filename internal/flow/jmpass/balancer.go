package jmpass

import (
	"math"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/load/jmopening"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	// defaultFlowGeneration is the life of one generation of flows where the settings
	// have no idle timeout.
	defaultFlowGeneration = 15 * time.Second
	// maxFlows bounds the flows of one generation.
	maxFlows = 1 << 18
	// reportTimeout is how long an agent may take to send a report after a new flow
	// before it is suspect. A round trip between data centres takes up to 20 ms, and
	// to a slow instance several times that.
	reportTimeout = 120 * time.Millisecond
	// pollInterval is the least time between two polls of a suspect agent.
	pollInterval = 150 * time.Millisecond
	// silenceTimeout is how long an agent must have been silent for the removal of
	// its upstream's entry to count as the end of its flows.
	silenceTimeout = time.Second
	// leavingTTL is how long an agent that has said that it is leaving counts as gone. After
	// that the next agent may run there.
	leavingTTL = time.Second
	// reorderTime is how long a datagram may be delayed at most. After that, a
	// report with a lower incarnation is of a newer run of the agent, which started
	// after its clock was set back.
	reorderTime = 300 * time.Millisecond
)

// Balancer decides on the packets of callers. It is not safe for concurrent use.
// The exported fields are set before use.
type Balancer struct {
	Self       netip.Addr
	DataCentre string
	// Counts counts decisions by their reason.
	Counts [ReasonCount]uint64

	snapshot       Snapshot
	peers          peerRevision
	firstDecision  time.Time // when the first packet came for which there was a view
	current        map[jasminemoor.FlowKey]balancerFlow
	previous       map[jasminemoor.FlowKey]balancerFlow
	rotated        time.Time
	agents         []agentState
	byAddr         map[netip.Addr]uint32
	scratch        []rankedUpstream
	reports        []jmopening.Report // scratch space of isFull
	retries        retries
	kept           map[netip.Addr]*keptList // lists that agents have handed over
	dataCentreCode uint8                    // code of DataCentre
}

// balancerFlow is the entry of a flow. It has no pointers, so that the garbage
// collector need not scan the maps of flows.
type balancerFlow struct {
	holder uint32 // index into agents
	isOpen bool   // the caller has sent more than its opening packet
	// isConfirmed is set if the agent has said that it holds the flow. If it is not,
	// the flow was only placed there, and another agent may hold it.
	isConfirmed bool
}

// agentState is a balancer's state of an agent.
type agentState struct {
	addr   netip.Addr
	report jmhop.Report
	// reported is when the report arrived, and lastSeen when the last message of
	// any kind did.
	reported time.Time
	lastSeen time.Time
	// unansweredSince is when the first new flow was sent since the agent's last
	// message, zero if there is none.
	unansweredSince time.Time
	polled          time.Time
	// placed counts the new flows that were sent since the last report.
	placed uint32
}

// isSuspect reports whether an agent has left a new flow without an answer for
// longer than reportTimeout.
func (a *agentState) isSuspect(now time.Time) bool {
	return !a.unansweredSince.IsZero() && now.Sub(a.unansweredSince) > reportTimeout
}

// isLeaving reports whether an agent has said lately that it is leaving.
func (a *agentState) isLeaving(now time.Time) bool {
	return a.report.State == jmhop.ReportLeaving && now.Sub(a.reported) < leavingTTL
}

// SetSnapshot replaces the balancer's view of the directory.
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
	if b.firstDecision.IsZero() {
		b.firstDecision = now
		b.dataCentreCode = jmhop.DataCentreCode(b.DataCentre)
	}
	b.rotate(now)
	flow := p.Key()
	route := b.snapshot.Routes[p.Destination]
	known, found := b.find(flow)
	if route == nil {
		if !found && !p.Flags.Has(jasminemoor.FlagOpen) {
			// The copy may lack the route by which another balancer has placed the flow.
			return m, ReasonNoRoute
		}
		return b.refuse(now, flow, p), ReasonNoRoute
	}
	if p.Flags.Has(jasminemoor.FlagOpen) {
		return b.place(now, flow, p, route, known, found)
	}
	if found {
		return b.forwardKnown(now, flow, p, route, known)
	}
	to, ok := b.firstInRank(now, flow, route)
	if !ok {
		return m, ReasonNoUpstream
	}
	return b.forward(flow, to, 0), ReasonUnknown
}

// refuse resets a flow that can't be served. If the view is stale, or an agent has a newer
// one, it drops the packet instead, since a newer view may have a route or an upstream for the
// flow. A reset is dropped as well.
func (b *Balancer) refuse(now time.Time, flow jasminemoor.FlowKey, p *jasminemoor.Packet) (m Message) {
	if !b.snapshot.isFresh(now) || b.isBehind(now) || p.Flags.Has(jasminemoor.FlagReset) {
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
			Kind: jmhop.KindForward, Flags: flags, Origin: b.Self, DataCentre: b.dataCentreCode, Revision: jmhop.NewRevisionCode(b.snapshot.Revision),
		},
	}
}

// forwardKnown forwards a packet of a flow whose holder is known. If the holder has
// left, the flow is reset, provided that the holder was confirmed. In any other case
// where the holder may be gone, the first in rank is asked for the flow.
func (b *Balancer) forwardKnown(now time.Time, flow jasminemoor.FlowKey, p *jasminemoor.Packet, route *jmdirectory.Route, known balancerFlow) (m Message, reason Reason) {
	holder := &b.agents[known.holder]
	switch state := b.holderState(now, holder); {
	case state == holderLeft && known.isConfirmed:
		m, reason = b.refuse(now, flow, p), ReasonUpstreamGone
	case state != holderPresent:
		to, ok := b.firstInRank(now, flow, route)
		if !ok {
			return m, ReasonNoUpstream
		}
		m, reason = b.forward(flow, to, 0), ReasonUnknown
	default:
		known.isOpen = true
		b.put(flow, known)
		return b.forward(flow, holder.addr, jmhop.FlagKnown), ReasonKnown
	}
	m.Holder, m.IsConfirmed = holder.addr, known.isConfirmed
	return m, reason
}

// holderState says whether the agent that a balancer has recorded for a flow still
// runs.
type holderState uint8

const (
	holderPresent holderState = iota
	// holderUnlisted is a silent agent whose upstream the copy of the directory does
	// not list. The copy may lack its entry after an outage of the platform's store.
	holderUnlisted
	// holderLeft is a silent agent whose upstream was removed while it was leaving, or was
	// found to have ended.
	holderLeft
)

// holderState returns the state of an agent, by its last message and a recent view.
func (b *Balancer) holderState(now time.Time, holder *agentState) holderState {
	if now.Sub(holder.lastSeen) < silenceTimeout || !b.snapshot.isFresh(now) {
		return holderPresent
	}
	u := b.snapshot.Agents[holder.addr]
	switch {
	case u == nil:
		return holderUnlisted
	case u.HasEnded || hasLeft(now, u):
		return holderLeft
	}
	return holderPresent
}

// place decides on an opening packet, and chooses the upstream of a new flow. If the
// flow is open already, the packet goes to its holder. Any other retransmitted opening
// packet goes to another upstream, since the first one should have replied long ago.
// The upstream whose reply the caller acknowledges becomes the holder.
func (b *Balancer) place(now time.Time, flow jasminemoor.FlowKey, p *jasminemoor.Packet, route *jmdirectory.Route, known balancerFlow, found bool) (m Message, reason Reason) {
	reason = ReasonPlaced
	avoid := netip.Addr{}
	if found {
		if known.isOpen && b.holderState(now, &b.agents[known.holder]) == holderPresent {
			return b.forward(flow, b.agents[known.holder].addr, jmhop.FlagKnown), ReasonKnown
		}
		avoid, reason = b.agents[known.holder].addr, ReasonRepeated
	}
	service := b.snapshot.Services[route.Pick(flow)]
	at, ok, isFull := b.choose(now, flow, route, service, avoid)
	if !ok {
		if now.Sub(b.firstDecision) < lapseGrace {
			// The list may not be complete yet. The caller retransmits its packet soon.
			return m, ReasonNoUpstream
		}
		return b.refuse(now, flow, p), ReasonNoUpstream
	}
	chosen := &b.agents[at]
	chosen.placed++
	if chosen.unansweredSince.IsZero() {
		chosen.unansweredSince = now
	}
	b.put(flow, balancerFlow{holder: at})
	m = b.forward(flow, chosen.addr, 0)
	if isFull {
		m.Header.Flags = jmhop.FlagFull
	}
	if !found {
		m.Header.Age = b.retries.claim(now, flow.Caller().Addr())
	}
	return m, reason
}

// firstInRank returns the agent that ranks first for a flow that this balancer does
// not know. Suspect and leaving agents, and those whose upstream has ended or whose entry
// was removed, rank after all others.
func (b *Balancer) firstInRank(now time.Time, flow jasminemoor.FlowKey, route *jmdirectory.Route) (to netip.Addr, ok bool) {
	best, hash := math.Inf(-1), flow.Hash()
	for _, name := range holderServices(route, time.Time{}) {
		service := b.snapshot.Services[name]
		if service == nil {
			continue
		}
		for _, u := range service.Upstreams {
			score := jmplacer.Score(hash, u.Address.Addr())
			agent := &b.agents[b.indexOf(u.Address.Addr())]
			if u.IsRemoved || u.HasEnded || agent.isSuspect(now) || agent.isLeaving(now) {
				score -= 1 // after all others, as scores are from 0 to 1
			}
			if score > best {
				best, to, ok = score, u.Address.Addr(), true
			}
		}
	}
	return to, ok
}

// HandleHolder handles an agent's message that it holds a flow.
func (b *Balancer) HandleHolder(now time.Time, from netip.Addr, flow jasminemoor.FlowKey) {
	if !b.isKnown(from) {
		b.Counts[ReasonUnknownSender]++
		return
	}
	at := b.indexOf(from)
	b.markSeen(now, at)
	b.put(flow, balancerFlow{holder: at, isOpen: true, isConfirmed: true})
}

// HandleReport handles an agent's report. It ignores a delayed report of an earlier
// run.
func (b *Balancer) HandleReport(now time.Time, from netip.Addr, r *jmhop.Report) {
	if !b.isKnown(from) {
		b.Counts[ReasonUnknownSender]++
		return
	}
	at := b.indexOf(from)
	if r.Incarnation < b.agents[at].report.Incarnation && now.Sub(b.agents[at].reported) < reorderTime {
		return
	}
	b.markSeen(now, at)
	b.peers.record(now, &jmhop.Header{Revision: jmhop.NewRevisionCode(r.Revision)}, b.snapshot.code())
	b.agents[at].reported = now
	b.agents[at].report = *r
	b.agents[at].placed = 0
}

// markSeen records that an agent has sent a message.
func (b *Balancer) markSeen(now time.Time, at uint32) {
	b.agents[at].lastSeen = now
	b.agents[at].unansweredSince = time.Time{}
}

// Tick returns the suspect agents to poll for a report.
func (b *Balancer) Tick(now time.Time) (polls []netip.Addr) {
	b.retries.expire(now)
	b.expireLists(now)
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

// isKnown reports whether an address is that of a present or former agent.
func (b *Balancer) isKnown(addr netip.Addr) bool {
	_, found := b.byAddr[addr]
	return found || b.isListed(addr)
}

// Flows returns the number of entries in both generations of flows. A flow with an
// entry in both counts twice.
func (b *Balancer) Flows() int { return len(b.current) + len(b.previous) }

// indexOf returns the index of an agent, which it adds if it is new.
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

// find returns the entry of a flow, and copies one of the previous generation into the
// current one.
func (b *Balancer) find(flow jasminemoor.FlowKey) (known balancerFlow, found bool) {
	if known, found = b.current[flow]; found {
		return known, true
	}
	if known, found = b.previous[flow]; found {
		b.put(flow, known)
	}
	return known, found
}

// put stores the entry of a flow in the current generation. It does nothing if that
// has maxFlows entries.
func (b *Balancer) put(flow jasminemoor.FlowKey, known balancerFlow) {
	if b.current == nil {
		b.current = make(map[jasminemoor.FlowKey]balancerFlow)
	}
	if len(b.current) < maxFlows {
		b.current[flow] = known
	}
}

// rotate starts a new generation after the idle timeout of flows, which evicts the
// flows that had no packet during the last one. A flow is thus kept for at least the
// idle timeout after its last packet, and for at most twice that.
func (b *Balancer) rotate(now time.Time) {
	generation := b.snapshot.IdleTimeout
	if generation <= 0 {
		generation = defaultFlowGeneration
	}
	if now.Sub(b.rotated) < generation {
		return
	}
	b.rotated = now
	b.previous = b.current
	b.current = make(map[jasminemoor.FlowKey]balancerFlow, len(b.previous)/2)
}
