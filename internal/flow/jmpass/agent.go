package jmpass

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/load/jmoverload"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	// maxHops is how many agents may forward an opening packet.
	maxHops = 3
	// sweepInterval is the time between two evictions of old flows and other
	// entries that have expired.
	sweepInterval = time.Second
)

// Agent decides on the packets of one upstream. It is not safe for concurrent
// use. The exported fields are set before use.
type Agent struct {
	Self netip.Addr
	// Upstream is the address of the agent's own upstream, on the same instance.
	Upstream    netip.AddrPort
	Service     string
	Incarnation jasminemoor.Incarnation
	// IsFirstStart is set if the upstreams start together with the agents, so that
	// the agent sees every flow of its upstream from the beginning.
	IsFirstStart bool
	// CanReadSettings is set if the settings are read again when NeedsSettings reports so. If not,
	// Service is that of every upstream at the address.
	CanReadSettings bool
	// MaxFlowAge is the age from which a flow may be lost. Once the agent has run for
	// as long, a flow that its table lacks counts as not held. If it is not set,
	// defaultMaxFlowAge is used.
	MaxFlowAge time.Duration
	// DrainTime is how long an upstream serves at least after the directory has listed it as
	// leaving. If it is not set, defaultDrainTime is used.
	DrainTime time.Duration
	// ReportsRefusals is set if HandleRefusedPacket is called for a packet that no process takes.
	// Then packets that are only unanswered don't show that the upstream has ended.
	ReportsRefusals bool
	// ColdOverrun and ColdSlack bound the new flows that the upstream gets in any second
	// while it warms up: the rate of its service times ColdOverrun plus ColdSlack. A
	// ColdOverrun of 0 counts as 1.
	ColdOverrun, ColdSlack float64
	// Counts counts decisions by their reason.
	Counts [ReasonCount]uint64
	// OnAnswer, if not nil, is called with the time to the first byte of each answer.
	OnAnswer func(took time.Duration)
	// OnSearchTimeout, if not nil, is called with the agents that may hold a flow and have
	// not answered by the end of a search for it.
	OnSearchTimeout func(flow jasminemoor.FlowKey, unanswered []netip.Addr)
	// OnRelease, if not nil, is called with each decision on an opening packet that has waited
	// for a copy of the directory. m is the last message that results, nil for none.
	OnRelease func(now time.Time, reason Reason, p *jasminemoor.Packet, packet []byte, m *Message)
	// OnEnd, if not nil, is called when the upstream's process is found to have ended, with the
	// proof, the time since its port was found closed and the age of the copy of the directory.
	OnEnd func(proof EndProof, closedFor, age time.Duration)
	// OnOverload, if not nil, is called with nil when an overload of the upstream begins,
	// and with what became of its requests when it ends.
	OnOverload func(episode *jmoverload.Episode)

	snapshot   Snapshot
	service    serviceState
	peers      peerRevision
	table      table
	refused    map[jasminemoor.FlowKey]time.Time // when the upstream refused each flow
	flowProbes map[jasminemoor.FlowKey]flowProbe
	searches   searches
	lostFlows  map[jasminemoor.FlowKey]time.Time // when each flow was found to have no holder
	handedOn   map[jasminemoor.FlowKey]nextHop
	// openings are the opening packets that wait for the first copy of the directory.
	openings []keptOpening
	// inheritance is what is known from the agent before this one.
	inheritance inheritance
	// hasReportedStarting is set while balancers may know that there is no copy.
	hasReportedStarting bool
	// reportBudget limits the rate of reports to balancers that send no new flows.
	// nextReport is the index of the balancer at which the round robin of these
	// reports continues.
	reportBudget tokenBucket
	nextReport   int
	balancers    []balancerState
	byAddr       map[netip.Addr]uint32
	started      time.Time
	firstView    time.Time // when the agent first had a view of the directory
	freshSince   time.Time // since when the view has been fresh, zero if it is not
	// sawUpstreamDown is set if the upstream's process was found, since the agent
	// started, to have ended. The upstream then holds no flow from
	// before the agent's start.
	sawUpstreamDown bool
	swept           time.Time
	isLeaving       bool
	upstream        upstreamState
	queue           requestQueue
	overload        jmoverload.Detector
	failureRate     failureRate
	cold            coldState
	out             []Message
}

// SetSnapshot replaces the agent's view of the directory.
func (a *Agent) SetSnapshot(s Snapshot) {
	before := a.snapshot.View
	a.snapshot = s
	if before != nil && s.View != nil && s.EndingCount != before.EndingCount {
		a.applyEndings()
	}
}

// HandlePeer decides on a caller's packet that a balancer or another agent
// forwarded.
func (a *Agent) HandlePeer(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) (out []Message, reason Reason) {
	a.begin(now)
	a.peers.record(now, h, a.revision())
	a.noteKeeper(now, h.Origin)
	switch {
	case h.Kind == jmhop.KindAsk && !p.Flags.Has(jasminemoor.FlagOpen):
		reason = a.handleAsk(now, from, h, p, packet)
	case p.Flags.Has(jasminemoor.FlagOpen):
		reason = a.handleOpen(now, from, h, p, packet)
	default:
		reason = a.handleForward(now, h, p, packet)
	}
	a.Counts[reason]++
	return a.out, reason
}

// begin clears the output of the previous input. On the first call it records
// the agent's start.
func (a *Agent) begin(now time.Time) {
	a.out = a.out[:0]
	a.table.capacity.begin(now, a.slots())
	if a.started.IsZero() {
		a.started = now
		a.refused = make(map[jasminemoor.FlowKey]time.Time)
		a.lostFlows = make(map[jasminemoor.FlowKey]time.Time)
		a.handedOn = make(map[jasminemoor.FlowKey]nextHop)
		a.flowProbes = make(map[jasminemoor.FlowKey]flowProbe)
		a.searches = searches{agent: a, byFlow: make(map[jasminemoor.FlowKey]*search)}
	}
	if a.firstView.IsZero() && a.snapshot.View != nil {
		a.firstView = now
	}
	a.recordFreshness(now)
}

// handleOpen decides on an opening packet. If the own upstream must not get the
// flow, the packet is forwarded to another agent. It waits for a copy of the directory
// that has its route, and for the service of an upstream that may be another one.
func (a *Agent) handleOpen(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) Reason {
	at := a.recordBalancer(now, h)
	a.balancers[at].isDue = true
	if h.Origin == from && now.Sub(a.balancers[at].reported) >= reportInterval {
		a.sendReport(now, &a.balancers[at])
	}
	if reason := a.waitReason(h, p); reason != ReasonNone {
		a.keepOpening(now, from, h, p, packet)
		return reason
	}
	key := p.Key()
	if reason := a.refusalReason(p); reason != ReasonNone {
		a.forwardOpening(now, key, p, h, nil)
		return reason
	}
	f := a.table.get(key)
	if f == nil && a.refuseOverLimit(key, h, p) {
		return ReasonOverLimit
	}
	if f == nil && a.refuseInVain(now, key, h, p) {
		return ReasonInVain
	}
	if f == nil && a.handOnIfBusy(now, from, key, h) {
		return ReasonBusy
	}
	if reason, isRefused := a.handleColdOpening(now, from, key, p, h); isRefused {
		return reason
	}
	delete(a.handedOn, key)
	delete(a.refused, key)
	delete(a.lostFlows, key)
	if f == nil || f.ended == bothEnded {
		// A closed flow's ports are used again.
		a.drop(key)
		f = &flow{opened: now.Add(-max(p.Age, h.Age))}
		a.table.add(key, f)
	}
	f.balancer, f.hops, f.lastUsed = at+1, h.Hops, now
	a.sendToUpstream(now, key)
	if h.Hops > 0 {
		a.sendHolder(h.Origin, key)
	}
	return ReasonHeld
}

// refusalReason returns why a new flow must not go to the own upstream, ReasonNone
// if it may.
func (a *Agent) refusalReason(p *jasminemoor.Packet) Reason {
	route := a.snapshot.Routes[p.Destination]
	if route == nil || !route.Allows(a.Service) {
		return ReasonOtherService
	}
	own := a.snapshot.Upstreams[a.Upstream]
	if own != nil && !own.IsRemoved && own.Service != a.Service {
		return ReasonOtherService
	}
	if a.hasLeft(own) {
		return ReasonLeaving
	}
	if a.isEvacuated() {
		return ReasonEvacuated
	}
	if !a.upstream.takesFlows() || own != nil && own.HasEnded {
		return ReasonUpstreamDown
	}
	if a.isOutOfRank(p.Key()) {
		return ReasonOutOfRank
	}
	return ReasonNone
}

// forwardOpening forwards an opening packet to another agent, at most maxHops
// times. If the directory is recent, no peer has a newer one, and it has no route for the
// packet, the flow is reset.
func (a *Agent) forwardOpening(now time.Time, key jasminemoor.FlowKey, p *jasminemoor.Packet, h *jmhop.Header, packet []byte) {
	if !a.knowsRoutes() || h.Hops >= maxHops {
		return
	}
	route := a.snapshot.Routes[p.Destination]
	if route == nil {
		if a.snapshot.isFresh(now) && !a.isBehind(now) {
			a.out = append(a.out, Message{Kind: Reset, Flow: key, Sequence: p.Acknowledged})
		}
		return
	}
	to, ok := a.nextAgent(key, route, int(h.Hops))
	if !ok {
		return
	}
	header := *h
	header.Wait = 0
	a.handOn(now, key, to, header, packet)
}

// nextAgent returns another agent for a flow, whose upstream is ready. It skips the
// first agents in rank, as many as the packet has hops, so that the packet is less
// likely to return to an agent. ok is false if there is no other agent.
func (a *Agent) nextAgent(key jasminemoor.FlowKey, route *jmdirectory.Route, skip int) (to netip.Addr, ok bool) {
	service := a.snapshot.Services[route.Pick(key)]
	if service == nil {
		return to, false
	}
	var others []netip.Addr
	for _, r := range rankAll(key, service.Upstreams) {
		if r.upstream.IsReady() && !r.upstream.HasEnded && r.upstream.Address.Addr() != a.Self {
			others = append(others, r.upstream.Address.Addr())
		}
	}
	if len(others) == 0 {
		return to, false
	}
	return others[skip%len(others)], true
}

// handleForward decides on a packet of an open flow. The packet goes to the own
// upstream if that holds the flow, or may hold it although the table lacks it. If the
// upstream is quiet then, the other agents are asked as well. A flow whose upstream is
// down, or that was found to have no holder, is reset. A flow that was handed on a moment
// ago is followed. For any other flow, the other agents are asked.
func (a *Agent) handleForward(now time.Time, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) Reason {
	key := p.Key()
	at := a.recordBalancer(now, h)
	if f := a.heldFlow(key, p); f != nil {
		f.balancer = at + 1
		if h.Flags&jmhop.FlagKnown == 0 {
			a.sendHolder(h.Origin, key)
		}
		if a.upstream.isDown {
			a.resetFlow(now, key, f, p.Length > 0)
			return ReasonUpstreamDown
		}
		return a.admit(now, key, f, p, packet)
	}
	if lostAt, found := a.lostFlows[key]; found && now.Sub(lostAt) < lostFlowTTL {
		if p.Length > 0 {
			a.sendFlowReset(now, key, h.Origin, now.Sub(lostAt))
		}
		a.out = append(a.out, Message{Kind: Reset, Flow: key, Sequence: p.Acknowledged})
		return ReasonAbsentEverywhere
	}
	if next, found := a.handedOn[key]; found && h.Hops < maxHops {
		a.handOn(now, key, next.to, *h, nil)
		return ReasonHandedOn
	}
	if a.mayHold(now, key) && (!a.isUnlikely() || h.Flags&jmhop.FlagKnown != 0 || a.isProbed(key)) {
		isQuiet := a.isUpstreamQuiet(now)
		if _, isProbing := a.flowProbes[key]; !isProbing {
			a.addFlowProbe(key, flowProbe{at: now, balancer: h.Origin, hops: h.Hops})
		}
		a.sendToUpstream(now, key)
		if isQuiet {
			a.startSearch(now, key, h.Origin, h.Hops, p, packet)
		}
		return ReasonProbed
	}
	a.startSearch(now, key, h.Origin, h.Hops, p, packet)
	return ReasonSearched
}

// startSearch searches for the holder of a flow among the other agents, or replaces the packet of a
// search that is under way.
func (a *Agent) startSearch(now time.Time, key jasminemoor.FlowKey, balancer netip.Addr, hops uint8, p *jasminemoor.Packet, packet []byte) {
	a.searches.start(now, key, balancer, hops, p, packet, a.isLeaving)
}

// handleAsk decides on a packet of a flow whose holder another agent searches for.
func (a *Agent) handleAsk(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) Reason {
	key := p.Key()
	a.searches.lastPeer = from
	if f := a.heldFlow(key, p); f != nil {
		if a.upstream.isDown {
			a.resetFlow(now, key, f, p.Length > 0)
			a.sendAbsent(from, key, 0)
			return ReasonUpstreamDown
		}
		f.balancer = a.recordBalancer(now, h) + 1
		reason := a.admit(now, key, f, p, packet)
		a.sendHolder(h.Origin, key)
		a.sendHolder(from, key)
		return reason
	}
	if a.mayHold(now, key) {
		if h.Flags&jmhop.FlagIfLikely != 0 && a.isUnlikely() {
			a.sendAbsent(from, key, jmhop.FlagUnlikely)
			return ReasonNotHeld
		}
		if probe, isProbing := a.flowProbes[key]; !isProbing || now.Sub(probe.at) >= flowProbeTimeout {
			a.addFlowProbe(key, flowProbe{at: now, balancer: h.Origin, asker: from})
			a.sendToUpstream(now, key)
		}
		return ReasonProbed
	}
	if !a.isNotHeld(now, key, p.Acknowledged) {
		return ReasonUpstreamDown // not known, and a wrong answer could reset an open flow
	}
	a.sendAbsent(from, key, 0)
	return ReasonNotHeld
}

// heldFlow returns the flow of a packet if the own upstream is known to hold it, nil
// if not.
func (a *Agent) heldFlow(key jasminemoor.FlowKey, p *jasminemoor.Packet) *flow {
	f := a.table.get(key)
	if f == nil {
		return nil
	}
	if f.isOpen {
		return f
	}
	// A copy of the opening packet may have gone to another agent, whose upstream
	// replied as well. The caller acknowledges the reply that it has accepted.
	if f.hasOpenReply && p.Flags.Has(jasminemoor.FlagAck) && p.Acknowledged == f.openReply+1 {
		return f
	}
	return nil
}

// deliver updates a flow that the upstream holds, and sends the packet at hand to the
// upstream.
func (a *Agent) deliver(now time.Time, key jasminemoor.FlowKey, f *flow, p *jasminemoor.Packet) {
	f.isOpen = true
	a.table.recordCaller(now, f, p)
	if p.Length > 0 {
		a.markUnanswered(now)
	}
	a.out = append(a.out, Message{Kind: ToUpstream, Flow: key})
}

// mayHold reports whether the upstream may hold a flow whose beginning the agent has not
// seen, or of which it has seen a copy of the opening packet only. The upstream's refusal is the proof that it does not, unless the flow's route is
// known not to have had the service.
func (a *Agent) mayHold(now time.Time, key jasminemoor.FlowKey) bool {
	if f := a.table.get(key); a.isTableComplete(now) || f != nil && f.isOpen || a.upstream.isDown {
		return false
	}
	if _, isRefused := a.refused[key]; isRefused {
		return false
	}
	return a.snapshot.View != nil && a.mayBeOfService(now, key)
}

// isTableComplete reports whether the table has every flow of the upstream.
func (a *Agent) isTableComplete(now time.Time) bool {
	return a.IsFirstStart || a.sawUpstreamDown || now.Sub(a.started) > a.maxFlowAge()
}

// defaultMaxFlowAge is used where MaxFlowAge is not set.
const defaultMaxFlowAge = time.Minute

func (a *Agent) maxFlowAge() time.Duration {
	if a.MaxFlowAge > 0 {
		return a.MaxFlowAge
	}
	return defaultMaxFlowAge
}

// sendToUpstream sends the packet at hand to the upstream.
func (a *Agent) sendToUpstream(now time.Time, key jasminemoor.FlowKey) {
	a.markUnanswered(now)
	a.out = append(a.out, Message{Kind: ToUpstream, Flow: key})
}

// sendHolder informs a balancer or an agent that this agent holds a flow.
func (a *Agent) sendHolder(to netip.Addr, key jasminemoor.FlowKey) {
	if to.IsValid() {
		header := jmhop.Header{Kind: jmhop.KindHolder, Origin: a.Self, Revision: a.revision()}
		a.out = append(a.out, Message{Kind: ToPeer, Flow: key, To: to, Header: header})
	}
}

// resetFlow removes a flow that the upstream no longer holds and, unless both ends
// have closed it, sends its caller a reset. If a request is lost with the flow, it
// announces the reset to balancers. hasRequest is set if the packet at hand has data.
func (a *Agent) resetFlow(now time.Time, key jasminemoor.FlowKey, f *flow, hasRequest bool) {
	if f.ended != bothEnded {
		r := a.queue.find(key)
		switch {
		case r != nil:
			a.sendFlowReset(now, key, a.balancerOf(f), now.Sub(r.arrived))
		case f.hasRequestInFlight:
			a.sendFlowReset(now, key, a.balancerOf(f), now.Sub(f.requestedAt))
		case hasRequest:
			a.sendFlowReset(now, key, a.balancerOf(f), 0)
		}
		a.out = append(a.out, Message{Kind: Reset, Flow: key, Sequence: f.lastAck})
	}
	a.drop(key)
}

// drop removes a flow and its queued request.
func (a *Agent) drop(key jasminemoor.FlowKey) {
	a.table.remove(key)
	a.queue.remove(key)
}

// sendAbsent informs an agent that asked that the own upstream does not hold a flow, or with
// jmhop.FlagUnlikely, that it isn't likely to.
func (a *Agent) sendAbsent(asker netip.Addr, key jasminemoor.FlowKey, flags uint8) {
	header := jmhop.Header{Kind: jmhop.KindAbsent, Flags: flags, Origin: a.Self, Revision: a.revision()}
	a.out = append(a.out, Message{Kind: ToPeer, Flow: key, To: asker, Header: header})
}

// HandleAbsent handles an agent's answer that it does not hold a flow.
func (a *Agent) HandleAbsent(now time.Time, from netip.Addr, h *jmhop.Header, key jasminemoor.FlowKey) []Message {
	a.begin(now)
	a.peers.record(now, h, a.revision())
	a.searches.recordAbsent(now, from, h.Flags, key)
	return a.out
}

// HandleHolder handles an agent's answer that it holds a flow, which ends the search.
func (a *Agent) HandleHolder(now time.Time, key jasminemoor.FlowKey) {
	a.begin(now)
	a.searches.end(key)
}

// HandOnSearches hands the searches of an agent that is leaving on to other agents, as
// their callers may not send another packet before the next agent runs.
func (a *Agent) HandOnSearches(now time.Time) []Message {
	a.begin(now)
	a.searches.handOnAll(now)
	return a.out
}

// Tick sends the reports that are due, ends old flow probes, resets the flows of an upstream
// that has ended, advances the searches, admits queued requests and evicts old entries. It is
// called several times in each reportInterval. If shouldProbe is set, the upstream's port is
// to be probed and the result passed to HandleProbe.
func (a *Agent) Tick(now time.Time) (out []Message, shouldProbe bool) {
	a.begin(now)
	a.table.stall.recordTick(now)
	a.advanceCold(now)
	a.releaseOpenings(now)
	a.recall(now)
	a.sendDueReports(now)
	a.expireFlowProbes(now)
	a.checkSilence(now)
	a.searches.advance(now, a.OnSearchTimeout)
	if len(a.queue.requests) > 0 {
		a.failOverdueRequests(now)
		a.admitQueued(now)
	}
	a.updateOverload(now)
	if now.Sub(a.swept) >= sweepInterval {
		a.sweep(now)
	}
	return a.out, a.shouldProbe(now)
}

// sweep ends overdue requests, and evicts old flows and other entries that have
// expired.
func (a *Agent) sweep(now time.Time) {
	a.swept = now
	idle := time.Duration(0)
	if a.snapshot.View != nil {
		idle = a.snapshot.IdleTimeout
	}
	a.failOverdueRequests(now)
	a.table.evict(now, idle)
	for key, at := range a.refused {
		if now.Sub(at) > refusedTTL {
			delete(a.refused, key)
		}
	}
	for key, at := range a.lostFlows {
		if now.Sub(at) > lostFlowTTL {
			delete(a.lostFlows, key)
		}
	}
	for key, next := range a.handedOn {
		if now.Sub(next.at) > handOnTTL {
			delete(a.handedOn, key)
		}
	}
}

// Flows returns the number of flows, and of requests in flight at the upstream.
func (a *Agent) Flows() (flows, inFlight int) { return len(a.table.flows), a.table.inFlight }
