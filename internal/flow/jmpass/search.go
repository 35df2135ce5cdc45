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
	// handOnCount is how many agents a search is handed on to. One of them may be leaving
	// as well.
	handOnCount = 2
)

// searches are an agent's searches for the holders of flows that it doesn't know.
type searches struct {
	agent  searcher
	byFlow map[jasminemoor.FlowKey]*search
	// budget limits the rate of packets that ask other agents for a flow's holder.
	budget   tokenBucket
	lastPeer netip.Addr  // the agent that asked or answered last
	due      []dueSearch // scratch space of advance
}

// searcher is what searches need of the agent that they belong to.
type searcher interface {
	// mayHold reports whether the own upstream may hold a flow that the agent doesn't know, and
	// isUnlikely whether it isn't likely to.
	mayHold(now time.Time, key jasminemoor.FlowKey) bool
	isUnlikely() bool
	// probeFlow gives the packet of a search to the own upstream, and isUpstreamQuiet reports
	// whether that sends nothing.
	probeFlow(now time.Time, key jasminemoor.FlowKey, s *search)
	isUpstreamQuiet(now time.Time) bool
	// viewOf returns the revision of the agent's view of the directory. ok is false if there is
	// none, or it has no route for a flow.
	viewOf(key jasminemoor.FlowKey) (r jasminemoor.Revision, ok bool)
	possibleHolders(now time.Time, key jasminemoor.FlowKey) []netip.Addr
	// passOn sends the packet of a search to another agent.
	passOn(to netip.Addr, key jasminemoor.FlowKey, s *search, header jmhop.Header)
	// resetLost resets a flow that no other agent holds. It reports false if the own upstream may
	// hold the flow, or the view may lack its holder.
	resetLost(now time.Time, key jasminemoor.FlowKey, s *search) bool
}

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

// start searches for the holder of a flow, or replaces the packet of a search
// that is under way. If there are maxSearches already, it starts no other. An agent that
// is leaving hands the search on.
func (c *searches) start(now time.Time, key jasminemoor.FlowKey, balancer netip.Addr, hops uint8, p *jasminemoor.Packet, packet []byte, isLeaving bool) {
	s := c.byFlow[key]
	if s == nil {
		if len(c.byFlow) >= maxSearches {
			return
		}
		s = &search{started: now, notHolders: make(map[netip.Addr]bool)}
		c.byFlow[key] = s
	}
	s.balancer, s.hops, s.ack, s.hasData = balancer, hops, p.Acknowledged, p.Length > 0
	s.packet = append(s.packet[:0], packet...)
	switch {
	case isLeaving:
		c.handOn(now, key, s)
	case !s.hasAsked:
		c.ask(now, key, s)
	case s.triesUnlikely:
		c.resetIfLost(now, key, s) // the own upstream may have answered last
	}
}

// handOnAll hands all searches on.
func (c *searches) handOnAll(now time.Time) {
	for _, key := range sortedFlows(c.byFlow) {
		c.handOn(now, key, c.byFlow[key])
	}
}

// handOn hands a search on to other agents that run, and ends it here. Those that
// have answered that they don't hold the flow, or aren't likely to, are preferred, as they need not
// ask their upstreams.
func (c *searches) handOn(now time.Time, key jasminemoor.FlowKey, s *search) {
	delete(c.byFlow, key)
	if s.hops >= maxHops {
		return
	}
	to := slices.DeleteFunc(c.agent.possibleHolders(now, key), func(agent netip.Addr) bool { return !s.notHolders[agent] && !s.unlikely[agent] })
	if c.lastPeer.IsValid() && !slices.Contains(to, c.lastPeer) {
		to = append(to, c.lastPeer)
	}
	for _, agent := range to[:min(len(to), handOnCount)] {
		c.agent.passOn(agent, key, s, jmhop.Header{Kind: jmhop.KindForward, Hops: s.hops + 1})
	}
}

// ask takes the next step of a search. If the own upstream may hold the flow, it is
// probed, but later if it isn't likely to. If no agent holds the flow, it is reset. Otherwise, and
// if the own upstream sends nothing, the agents that have not answered are asked, within
// budget.
func (c *searches) ask(now time.Time, key jasminemoor.FlowKey, s *search) {
	if c.agent.mayHold(now, key) && !c.agent.isUnlikely() {
		c.agent.probeFlow(now, key, s)
		if !c.agent.isUpstreamQuiet(now) {
			s.next = now.Add(askInterval)
			return
		}
	}
	if s.hasAsked && len(s.round) == 0 {
		s.isInitialized = false // upstreams may have left since the last round
	}
	if c.resetIfLost(now, key, s) {
		return
	}
	if len(s.round) == 0 {
		s.asksAll = s.asksAll || s.hasAsked && s.hasTriedUnlikely()
		c.tryUnlikely(now, key, s)
		s.round = append(s.round, s.asked()...)
	}
	c.askRound(now, key, s)
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
func (c *searches) tryUnlikely(now time.Time, key jasminemoor.FlowKey, s *search) bool {
	if s.triesUnlikely || !c.agent.isUnlikely() && len(s.unlikely) == 0 {
		return false
	}
	hasSilent := slices.ContainsFunc(s.asked(), func(agent netip.Addr) bool { return !s.unlikely[agent] })
	if (hasSilent || !s.isInitialized) && now.Sub(s.started) < unlikelyDelay {
		return false
	}
	s.triesUnlikely = true
	if c.agent.mayHold(now, key) {
		c.agent.probeFlow(now, key, s)
	}
	return true
}

// askRound asks the agents of a search's round, as many as budget has room for.
func (c *searches) askRound(now time.Time, key jasminemoor.FlowKey, s *search) {
	s.round = slices.DeleteFunc(s.round, func(agent netip.Addr) bool {
		return s.notHolders[agent] || s.unlikely[agent] && !s.triesUnlikely
	})
	header := jmhop.Header{Kind: jmhop.KindAsk}
	if !s.triesUnlikely {
		header.Flags = jmhop.FlagIfLikely
	}
	for len(s.round) > 0 {
		count := min(len(s.round), askChunk)
		if !c.budget.allow(now, count, askRate, askBurst) {
			// The budget is used up. Go on soon.
			s.next = now.Add(askInterval / 4)
			return
		}
		for _, agent := range s.round[:count] {
			c.agent.passOn(agent, key, s, header)
		}
		s.round = s.round[count:]
		s.hasAsked = true
	}
	s.backoff = min(max(2*s.backoff, askInterval), searchTimeout)
	s.next = now.Add(s.backoff)
}

// updateRemaining computes the agents that remain to be asked, if the view has
// changed.
func (c *searches) updateRemaining(now time.Time, key jasminemoor.FlowKey, s *search, r jasminemoor.Revision) {
	if s.isInitialized && s.revision == r {
		return
	}
	s.isInitialized, s.revision = true, r
	s.remaining = slices.DeleteFunc(c.agent.possibleHolders(now, key), func(agent netip.Addr) bool { return s.notHolders[agent] })
}

// resetIfLost resets a flow, which ends the search, if every agent that could hold it
// has answered that it does not, and so has the own upstream. It reports whether it did.
func (c *searches) resetIfLost(now time.Time, key jasminemoor.FlowKey, s *search) bool {
	revision, ok := c.agent.viewOf(key)
	if !ok {
		return false
	}
	c.updateRemaining(now, key, s, revision)
	if len(s.remaining) > 0 || !c.agent.resetLost(now, key, s) {
		return false
	}
	delete(c.byFlow, key)
	return true
}

// recordAbsent records an agent's answer that it does not hold a flow, or that it isn't likely to,
// and takes the next step of the search.
func (c *searches) recordAbsent(now time.Time, from netip.Addr, flags uint8, key jasminemoor.FlowKey) {
	c.lastPeer = from
	s := c.byFlow[key]
	if s == nil || s.notHolders[from] {
		return
	}
	if flags&jmhop.FlagUnlikely != 0 {
		if s.unlikely == nil {
			s.unlikely = make(map[netip.Addr]bool)
		}
		s.unlikely[from] = true
	} else {
		s.notHolders[from] = true
		s.remaining = slices.DeleteFunc(s.remaining, func(agent netip.Addr) bool { return agent == from })
		if c.resetIfLost(now, key, s) {
			return
		}
	}
	if c.tryUnlikely(now, key, s) {
		s.round = append(s.round[:0], s.asked()...)
		c.askRound(now, key, s)
		return
	}
	if s.asksAll || flags&jmhop.FlagUnlikely != 0 {
		return
	}
	if s.initialAnswers++; s.initialAnswers >= initialAskCount {
		s.asksAll = true
		s.round = append(s.round[:0], s.remaining...)
		c.askRound(now, key, s)
	}
}

// end ends the search for a flow, and returns it, nil if there is none.
func (c *searches) end(key jasminemoor.FlowKey) *search {
	s := c.byFlow[key]
	delete(c.byFlow, key)
	return s
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

// advance takes the next step of the searches for which it is due, and ends those that have timed
// out, of which it calls onTimeout with the agents that have not answered. The budget may not have
// room for all: those that have asked nobody go first, as their first round is short, then the
// oldest ones, whose callers give up first.
func (c *searches) advance(now time.Time, onTimeout func(flow jasminemoor.FlowKey, unanswered []netip.Addr)) {
	due := c.due[:0]
	for key, s := range c.byFlow {
		if !now.Before(s.next) || now.Sub(s.started) > searchTimeout {
			due = append(due, dueSearch{search: s, key: key})
		}
	}
	slices.SortFunc(due, dueSearch.compare)
	for _, s := range due {
		if now.Sub(s.started) <= searchTimeout {
			c.ask(now, s.key, s.search)
			continue
		}
		delete(c.byFlow, s.key)
		if onTimeout != nil {
			onTimeout(s.key, s.remaining)
		}
	}
	clear(due)
	c.due = due
}

// leaveOut has the searches that wait for agents whose upstreams have ended take their next step
// with the next advance.
func (c *searches) leaveOut(hasEnded func(agent netip.Addr) bool) {
	for _, s := range c.byFlow {
		if slices.ContainsFunc(s.remaining, hasEnded) {
			s.remaining, s.round = slices.DeleteFunc(s.remaining, hasEnded), slices.DeleteFunc(s.round, hasEnded)
			if len(s.remaining) == 0 {
				s.next = time.Time{}
			}
		}
	}
}

// sortedFlows returns the flows of a map in a fixed order, so that the same inputs lead to
// the same messages.
func sortedFlows[V any](m map[jasminemoor.FlowKey]V) []jasminemoor.FlowKey {
	return slices.SortedFunc(maps.Keys(m), compareFlows)
}

func compareFlows(x, y jasminemoor.FlowKey) int { return bytes.Compare(x[:], y[:]) }
