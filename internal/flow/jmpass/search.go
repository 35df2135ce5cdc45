package jmpass

import (
	"bytes"
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	// initialAskCount is how many agents a search asks at first. New flows are placed
	// among the first candidateCount in rank, which other processes may list otherwise.
	// After that it asks all that may hold the flow.
	initialAskCount = 12
	// askInterval is the delay after which a search first asks again the agents that
	// have not answered. The delay doubles each time, since they may be down and
	// there may be many searches.
	askInterval = 100 * time.Millisecond
	// unlikelyDelay is after which time upstreams get the packet of a search that are not likely
	// to hold its flow. An agent that is restarted in an orderly way runs again earlier.
	unlikelyDelay = 1200 * time.Millisecond
	// askRate bounds the packets per second with which an agent asks others, and
	// askBurst the size of a burst. Each packet costs the other agent and its
	// upstream four datagrams, and after a power failure every agent asks.
	askRate  = 1000
	askBurst = 200
	// askChunk is how many agents of a search are asked at a time if the budget is short.
	askChunk = 50
	// searchTimeout is how long a search lasts. The caller retransmits its packet
	// after 1.6 s at the latest, which starts another search.
	searchTimeout = 1700 * time.Millisecond
	// maxSearches bounds the searches, each of which keeps a packet.
	maxSearches = 4096
	// flowProbeTimeout is how long an upstream may take to refuse a packet. Agent and
	// upstream are on one instance. An upstream that does not refuse a packet may have
	// crashed or may not run, so it is not known to hold the flow.
	flowProbeTimeout = 40 * time.Millisecond
	// flowProbeTTL is how long a flow probe waits for a packet of the upstream.
	flowProbeTTL = searchTimeout
	// maxFlowProbes bounds the flow probes.
	maxFlowProbes = 4096
	// handOnCount is how many agents a search is handed on to. One of them may be leaving
	// as well.
	handOnCount = 2
	// refusedTTL is how long an upstream's refusal of a flow counts.
	refusedTTL = 20 * time.Second
	// lostFlowTTL is how long packets of a flow without a holder are answered with a
	// reset and without another search.
	lostFlowTTL = 5 * time.Second
)

// search is a search for a flow's holder among the other agents of the services
// that its route has or had.
type search struct {
	balancer netip.Addr
	hops     uint8 // how many agents have handed the packet on
	packet   []byte
	ack      uint32
	hasData  bool // whether the packet has data
	started  time.Time
	next     time.Time     // when the next step is due
	backoff  time.Duration // delay between two rounds, in which agents that have not answered are asked again
	hasAsked bool          // whether any other agent was asked
	asksAll  bool          // whether all agents are asked, not only the first in rank
	// unlikely are the agents that are not likely to hold the flow, and have not tried their
	// upstreams. They are asked to once triesUnlikely is set, and the own upstream is tried if it
	// isn't likely to hold the flow either.
	unlikely      map[netip.Addr]bool
	triesUnlikely bool
	// round are the agents that are still to be asked until the next backoff.
	round []netip.Addr
	// initialAnswers counts the answers until asksAll is set.
	initialAnswers int
	// remaining are the agents that may hold the flow and have not answered that they
	// don't, in the order of possibleHolders. revision is that of the view from which
	// they are listed.
	remaining     []netip.Addr
	revision      jasminemoor.Revision
	isInitialized bool // whether remaining is set
	notHolders    map[netip.Addr]bool
}

// startSearch searches for the holder of a flow, or replaces the packet of a search
// that is under way. If there are maxSearches already, it starts no other. An agent that
// is leaving hands the search on.
func (a *Agent) startSearch(now time.Time, key jasminemoor.FlowKey, balancer netip.Addr, hops uint8, p *jasminemoor.Packet, packet []byte) {
	s := a.searches[key]
	if s == nil {
		if len(a.searches) >= maxSearches {
			return
		}
		s = &search{started: now, notHolders: make(map[netip.Addr]bool)}
		a.searches[key] = s
	}
	s.balancer, s.hops, s.ack, s.hasData = balancer, hops, p.Acknowledged, p.Length > 0
	s.packet = append(s.packet[:0], packet...)
	switch {
	case a.isLeaving:
		a.handOnSearch(now, key, s)
	case !s.hasAsked:
		a.ask(now, key, s)
	case s.triesUnlikely:
		a.resetIfLost(now, key, s) // the own upstream may have answered last
	}
}

// isProbed reports whether a packet of a flow was sent to the own upstream, which has not
// returned it.
func (a *Agent) isProbed(key jasminemoor.FlowKey) bool {
	_, isProbing := a.flowProbes[key]
	return isProbing
}

// HandOnSearches hands the searches of an agent that is leaving on to other agents, as
// their callers may not send another packet before the next agent runs.
func (a *Agent) HandOnSearches(now time.Time) []Message {
	a.begin(now)
	for _, key := range sortedFlows(a.searches) {
		a.handOnSearch(now, key, a.searches[key])
	}
	return a.out
}

// handOnSearch hands a search on to other agents that run, and ends it here. Those that
// have answered that they don't hold the flow, or aren't likely to, are preferred, as they need not
// ask their upstreams.
func (a *Agent) handOnSearch(now time.Time, key jasminemoor.FlowKey, s *search) {
	delete(a.searches, key)
	if s.hops >= maxHops {
		return
	}
	to := slices.DeleteFunc(a.possibleHolders(now, key), func(agent netip.Addr) bool { return !s.notHolders[agent] && !s.unlikely[agent] })
	if a.lastPeer.IsValid() && !slices.Contains(to, a.lastPeer) {
		to = append(to, a.lastPeer)
	}
	header := jmhop.Header{
		Kind: jmhop.KindForward, Origin: s.balancer, DataCentre: a.dataCentreOf(s.balancer), Hops: s.hops + 1, Revision: a.revision(),
	}
	for _, agent := range to[:min(len(to), handOnCount)] {
		a.out = append(a.out, Message{Kind: ToPeer, Flow: key, To: agent, Header: header, HasPacket: true, Packet: s.packet})
	}
}

// ask takes the next step of a search. If the own upstream may hold the flow, it is
// probed, but later if it isn't likely to. If no agent holds the flow, it is reset. Otherwise, and
// if the own upstream sends nothing, the agents that have not answered are asked, within
// searchBudget.
func (a *Agent) ask(now time.Time, key jasminemoor.FlowKey, s *search) {
	if a.mayHold(now, key) && !a.isUnlikely() {
		a.probeFlow(now, key, s)
		if !a.isUpstreamQuiet(now) {
			s.next = now.Add(askInterval)
			return
		}
	}
	if s.hasAsked && len(s.round) == 0 {
		s.isInitialized = false // upstreams may have left since the last round
	}
	if a.resetIfLost(now, key, s) {
		return
	}
	if len(s.round) == 0 {
		s.asksAll = s.asksAll || s.hasAsked && s.hasTriedUnlikely()
		a.tryUnlikely(now, key, s)
		s.round = append(s.round, s.asked()...)
	}
	a.askRound(now, key, s)
}

// asked returns the agents that are asked in a round.
func (s *search) asked() []netip.Addr {
	if s.asksAll {
		return s.remaining
	}
	return s.remaining[:min(len(s.remaining), initialAskCount)]
}

// hasTriedUnlikely reports whether no agent was left out of the last round.
func (s *search) hasTriedUnlikely() bool { return s.triesUnlikely || len(s.unlikely) == 0 }

// tryUnlikely has upstreams get the packet that are not likely to hold the flow: if all agents
// that were asked have answered, or after unlikelyDelay. The holder's agent may be restarting
// until then. It reports whether that is new.
func (a *Agent) tryUnlikely(now time.Time, key jasminemoor.FlowKey, s *search) bool {
	if s.triesUnlikely || !a.isUnlikely() && len(s.unlikely) == 0 {
		return false
	}
	hasSilent := slices.ContainsFunc(s.asked(), func(agent netip.Addr) bool { return !s.unlikely[agent] })
	if (hasSilent || !s.isInitialized) && now.Sub(s.started) < unlikelyDelay {
		return false
	}
	s.triesUnlikely = true
	if a.mayHold(now, key) {
		a.probeFlow(now, key, s)
	}
	return true
}

// askRound asks the agents of a search's round, as many as searchBudget has room for.
func (a *Agent) askRound(now time.Time, key jasminemoor.FlowKey, s *search) {
	s.round = slices.DeleteFunc(s.round, func(agent netip.Addr) bool {
		return s.notHolders[agent] || s.unlikely[agent] && !s.triesUnlikely
	})
	header := jmhop.Header{Kind: jmhop.KindAsk, Origin: s.balancer, DataCentre: a.dataCentreOf(s.balancer), Revision: a.revision()}
	if !s.triesUnlikely {
		header.Flags = jmhop.FlagIfLikely
	}
	for len(s.round) > 0 {
		count := min(len(s.round), askChunk)
		if !a.searchBudget.allow(now, count, askRate, askBurst) {
			// The budget is used up. Go on soon.
			s.next = now.Add(askInterval / 4)
			return
		}
		for _, agent := range s.round[:count] {
			a.out = append(a.out, Message{Kind: ToPeer, Flow: key, To: agent, Header: header, HasPacket: true, Packet: s.packet})
		}
		s.round = s.round[count:]
		s.hasAsked = true
	}
	s.backoff = min(max(2*s.backoff, askInterval), searchTimeout)
	s.next = now.Add(s.backoff)
}

// updateRemaining computes the agents that remain to be asked, if the view has
// changed.
func (a *Agent) updateRemaining(now time.Time, key jasminemoor.FlowKey, s *search) {
	if s.isInitialized && s.revision == a.snapshot.Revision {
		return
	}
	s.isInitialized, s.revision = true, a.snapshot.Revision
	s.remaining = slices.DeleteFunc(a.possibleHolders(now, key), func(agent netip.Addr) bool { return s.notHolders[agent] })
}

// probeFlow sends the packet of a search to the own upstream, which was not probed
// for the flow when the search began.
func (a *Agent) probeFlow(now time.Time, key jasminemoor.FlowKey, s *search) {
	if _, isProbing := a.flowProbes[key]; isProbing {
		return
	}
	a.addFlowProbe(key, flowProbe{at: now, balancer: s.balancer, hops: s.hops})
	a.markUnanswered(now)
	a.out = append(a.out, Message{Kind: ToUpstream, Flow: key, Packet: s.packet})
}

// addFlowProbe records that a packet is sent to the own upstream. If there are
// maxFlowProbes already, it does nothing.
func (a *Agent) addFlowProbe(key jasminemoor.FlowKey, probe flowProbe) {
	if _, isProbing := a.flowProbes[key]; isProbing || len(a.flowProbes) < maxFlowProbes {
		a.flowProbes[key] = probe
	}
}

// isUpstreamQuiet reports whether the own upstream has sent nothing for flowProbeTimeout
// although it has got packets.
func (a *Agent) isUpstreamQuiet(now time.Time) bool {
	since := a.upstream.unansweredSince
	return !since.IsZero() && now.Sub(since) >= flowProbeTimeout
}

// resetIfLost resets a flow, which ends the search, if every agent that could hold it
// has answered that it does not, the view from which these agents are listed is
// recent and lacks none, and the own upstream does not hold the flow. It reports whether
// it did.
func (a *Agent) resetIfLost(now time.Time, key jasminemoor.FlowKey, s *search) bool {
	if a.snapshot.View == nil || a.snapshot.Routes[key.Service()] == nil {
		return false
	}
	a.updateRemaining(now, key, s)
	if len(s.remaining) > 0 || !a.snapshot.isFresh(now) || a.isBehind(now) || !a.isListComplete(now, key) || !a.isNotHeld(now, key, s.ack) {
		return false
	}
	delete(a.searches, key)
	a.lostFlows[key] = now
	if s.hasData {
		a.sendFlowReset(now, key, s.balancer, a.lostRequestAge(now, now.Sub(s.started)))
	}
	a.out = append(a.out, Message{Kind: Reset, Flow: key, Sequence: s.ack})
	a.Counts[ReasonAbsentEverywhere]++
	return true
}

// isNotHeld reports whether the own upstream is known not to hold a flow, whose caller
// has last acknowledged the sequence number ack.
func (a *Agent) isNotHeld(now time.Time, key jasminemoor.FlowKey, ack uint32) bool {
	if _, isRefused := a.refused[key]; isRefused || a.upstream.isDown {
		return true
	}
	f := a.table.get(key)
	if !a.isTableComplete(now) {
		return f == nil && a.isOfOtherService(now, key)
	}
	// The caller has not acknowledged the reply of this upstream, but that of another one.
	isHalfOpen := f != nil && !f.isOpen && f.hasOpenReply && ack != f.openReply+1
	return f == nil || isHalfOpen
}

// handleAsk decides on a packet of a flow whose holder another agent searches for.
func (a *Agent) handleAsk(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) Reason {
	key := p.Key()
	a.lastPeer = from
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
	a.lastPeer = from
	s := a.searches[key]
	if s == nil || s.notHolders[from] {
		return a.out
	}
	if h.Flags&jmhop.FlagUnlikely != 0 {
		if s.unlikely == nil {
			s.unlikely = make(map[netip.Addr]bool)
		}
		s.unlikely[from] = true
	} else {
		s.notHolders[from] = true
		s.remaining = slices.DeleteFunc(s.remaining, func(agent netip.Addr) bool { return agent == from })
		if a.resetIfLost(now, key, s) {
			return a.out
		}
	}
	if a.tryUnlikely(now, key, s) {
		s.round = append(s.round[:0], s.asked()...)
		a.askRound(now, key, s)
		return a.out
	}
	if s.asksAll || h.Flags&jmhop.FlagUnlikely != 0 {
		return a.out
	}
	if s.initialAnswers++; s.initialAnswers >= initialAskCount {
		s.asksAll = true
		s.round = append(s.round[:0], s.remaining...)
		a.askRound(now, key, s)
	}
	return a.out
}

// HandleHolder handles an agent's answer that it holds a flow, which ends the search.
func (a *Agent) HandleHolder(now time.Time, key jasminemoor.FlowKey) {
	a.begin(now)
	delete(a.searches, key)
}

// expireFlowProbes ends the flow probes to which the upstream has sent nothing within
// flowProbeTTL.
func (a *Agent) expireFlowProbes(now time.Time) {
	for key, probe := range a.flowProbes {
		if now.Sub(probe.at) >= flowProbeTTL {
			delete(a.flowProbes, key)
		}
	}
}

// endFlowProbes ends all flow probes, as the upstream's process has ended, and informs the
// agents that asked.
func (a *Agent) endFlowProbes() {
	for _, key := range sortedFlows(a.flowProbes) {
		if asker := a.flowProbes[key].asker; asker.IsValid() {
			a.sendAbsent(asker, key, 0)
		}
	}
	clear(a.flowProbes)
}

// dueSearch is a search with its flow.
type dueSearch struct {
	*search
	key jasminemoor.FlowKey
}

// compare returns a negative number if s goes before other.
func (s dueSearch) compare(other dueSearch) int {
	if s.hasAsked != other.hasAsked {
		if s.hasAsked {
			return 1
		}
		return -1
	}
	return cmp.Or(s.started.Compare(other.started), compareFlows(s.key, other.key))
}

// advanceSearches ends the searches that have timed out, and takes the next step of those
// for which it is due. searchBudget may not have room for all: those that have asked nobody
// go first, as their first round is short, then the oldest ones, whose callers give up first.
func (a *Agent) advanceSearches(now time.Time) {
	due := a.dueSearches[:0]
	for key, s := range a.searches {
		if !now.Before(s.next) || now.Sub(s.started) > searchTimeout {
			due = append(due, dueSearch{search: s, key: key})
		}
	}
	slices.SortFunc(due, dueSearch.compare)
	for _, s := range due {
		if now.Sub(s.started) <= searchTimeout {
			a.ask(now, s.key, s.search)
			continue
		}
		delete(a.searches, s.key)
		if a.OnSearchTimeout != nil {
			a.OnSearchTimeout(s.key, s.remaining)
		}
	}
	clear(due)
	a.dueSearches = due
}

// sortedFlows returns the flows of a map in a fixed order, so that the same inputs lead to
// the same messages.
func sortedFlows[V any](m map[jasminemoor.FlowKey]V) []jasminemoor.FlowKey {
	return slices.SortedFunc(maps.Keys(m), compareFlows)
}

func compareFlows(x, y jasminemoor.FlowKey) int { return bytes.Compare(x[:], y[:]) }
