package jmpass

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	// firstAsked is how many agents a search asks at first, those that rank first
	// for the flow; then it asks all. New flows are placed at one of the first
	// placeWidth in rank.
	firstAsked = 12
	// askInterval is when a search first asks those again that have not answered.
	// It doubles each time: they may be dark, and there may be many searches.
	askInterval = 100 * time.Millisecond
	// askRate bounds the packets that an agent asks others with in a second, and
	// askBurst how many at once. Each costs the other agent and its upstream four
	// datagrams, and after a power failure every agent asks.
	askRate  = 1000
	askBurst = 200
	// searchTime is how long a search lasts. The caller repeats its packet, at
	// the latest after 1.6 s, and that begins another one.
	searchTime = 1700 * time.Millisecond
	// maxSearches bounds the searches, each of which keeps a packet.
	maxSearches = 4096
	// testTime is how long an upstream may take to refuse a packet. Agent and
	// upstream are on one instance.
	testTime = 40 * time.Millisecond
	// absentMemory is how long an upstream's refusal of a flow counts.
	absentMemory = 20 * time.Second
	// goneMemory is how long a flow that nobody holds is refused at once.
	goneMemory = 5 * time.Second
)

// search asks the other agents of a flow's services who holds it.
type search struct {
	balancer netip.Addr
	packet   []byte
	ack      uint32
	hasData  bool // the packet has data
	started  time.Time
	asked    time.Time
	again    time.Duration // until those are asked that have not answered
	hasAsked bool          // others were asked
	isWide   bool          // all are asked, not only the first in rank
	// firstAnswered counts the answers until then.
	firstAnswered int
	// left are the agents that may hold the flow and have not said that they
	// don't, by the view of a revision. The first in rank come first.
	left     []netip.Addr
	revision uint64
	isListed bool // left was worked out
	absent   map[netip.Addr]bool
}

func (a *Agent) startSearch(now time.Time, key jasminemoor.FlowKey, balancer netip.Addr, p *jasminemoor.Packet, packet []byte) {
	s := a.searches[key]
	if s == nil {
		if len(a.searches) >= maxSearches {
			return
		}
		s = &search{started: now, absent: make(map[netip.Addr]bool)}
		a.searches[key] = s
	}
	s.balancer, s.ack, s.hasData = balancer, p.Acknowledged, p.Length > 0
	s.packet = append(s.packet[:0], packet...)
	if !s.hasAsked {
		a.ask(now, key, s)
	}
}

// ask asks the agents that have not answered.
func (a *Agent) ask(now time.Time, key jasminemoor.FlowKey, s *search) {
	if a.mayHold(now, key) {
		s.asked, s.again = now, askInterval
		a.testOwn(now, key, s)
		return
	}
	if a.endIfGone(now, key, s) {
		return
	}
	s.isWide = s.isWide || s.hasAsked
	count := len(s.left)
	if !s.isWide {
		count = min(count, firstAsked)
	}
	if !a.asks.take(now, count, askRate, askBurst) {
		// Others are being asked for other flows; this one's turn comes soon.
		s.asked, s.again = now, askInterval/4
		return
	}
	s.asked, s.again = now, min(max(2*s.again, askInterval), searchTime)
	header := jmhop.Header{Kind: jmhop.KindAsk, Origin: s.balancer, DataCentre: a.dataCentreOf(s.balancer), Revision: a.revision()}
	for _, agent := range s.left[:count] {
		a.out = append(a.out, Message{Kind: ToPeer, Flow: key, To: agent, Header: header, HasPacket: true, Packet: s.packet})
	}
	s.hasAsked = true
}

// list works out who is left to ask, if the view has changed.
func (a *Agent) list(key jasminemoor.FlowKey, s *search) {
	if s.isListed && s.revision == a.snapshot.Revision {
		return
	}
	s.isListed, s.revision = true, a.snapshot.Revision
	s.left = slices.DeleteFunc(a.candidates(key), func(agent netip.Addr) bool { return s.absent[agent] })
}

// testOwn gives the packet of a search to the own upstream, which was not asked
// yet when the search began.
func (a *Agent) testOwn(now time.Time, key jasminemoor.FlowKey, s *search) {
	if _, isTesting := a.tests[key]; isTesting {
		return
	}
	a.tests[key] = test{at: now, balancer: s.balancer}
	a.noteUnanswered(now)
	a.out = append(a.out, Message{Kind: ToUpstream, Flow: key, Packet: s.packet})
}

// candidates returns the other agents that may hold a flow, the first in rank
// first.
func (a *Agent) candidates(key jasminemoor.FlowKey) (agents []netip.Addr) {
	if a.snapshot.View == nil {
		return nil
	}
	route := a.snapshot.Routes[key.Service()]
	if route == nil {
		return nil
	}
	for _, name := range holders(route) {
		if service := a.snapshot.Services[name]; service != nil {
			agents = append(agents, rankedAgents(key, service.Upstreams, a.mayBeAt)...)
		}
	}
	return agents
}

// mayBeAt reports whether an upstream may hold flows: not the own one, and not
// one that left in an orderly way.
func (a *Agent) mayBeAt(u *jmdirectory.Upstream) bool {
	hasLeft := u.IsGone && u.State == jasminemoor.UpstreamLeaving
	return u.Address.Addr() != a.Self && !hasLeft
}

// endIfGone resets a flow if every agent that could hold it said that it does
// not, the list of those is recent, and no peer has a newer one.
func (a *Agent) endIfGone(now time.Time, key jasminemoor.FlowKey, s *search) bool {
	if a.snapshot.View == nil || a.snapshot.Routes[key.Service()] == nil {
		return false
	}
	a.list(key, s)
	if len(s.left) > 0 || !a.snapshot.isFresh(now) || a.isBehind(now) || !a.isOwnAbsent(now, key) {
		return false
	}
	delete(a.searches, key)
	a.gone[key] = now
	if s.hasData {
		a.tellGone(now, key, s.balancer, a.ageOfLost(now, now.Sub(s.started)))
	}
	a.out = append(a.out, Message{Kind: Reset, Flow: key, Sequence: s.ack})
	a.Counts[ReasonAbsentEverywhere]++
	return true
}

// isOwnAbsent reports whether the own upstream is known not to hold a flow.
func (a *Agent) isOwnAbsent(now time.Time, key jasminemoor.FlowKey) bool {
	_, isAbsent := a.absent[key]
	return isAbsent || a.upstream.isDown || a.isComplete(now) && a.table.get(key) == nil
}

// handleAsk decides on a packet of a flow that another agent searches for.
func (a *Agent) handleAsk(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) Reason {
	key := p.Key()
	if f := a.held(key, p); f != nil {
		if a.upstream.isDown {
			a.resetFlow(now, key, f, p.Length > 0)
			a.tellAbsent(from, key)
			return ReasonUpstreamDown
		}
		f.balancer = a.noteBalancer(now, h) + 1
		reason := a.offer(now, key, f, p, packet)
		a.tellHolder(h.Origin, key)
		a.tellHolder(from, key)
		return reason
	}
	if a.mayHold(now, key) {
		if _, isTesting := a.tests[key]; !isTesting {
			a.tests[key] = test{at: now, balancer: h.Origin, asker: from}
			a.giveUpstream(now, key)
		}
		return ReasonTested
	}
	if !a.isOwnAbsent(now, key) {
		return ReasonUpstreamDown // not known: no answer is better than a wrong one
	}
	a.tellAbsent(from, key)
	return ReasonNotHeld
}

func (a *Agent) tellAbsent(asker netip.Addr, key jasminemoor.FlowKey) {
	header := jmhop.Header{Kind: jmhop.KindAbsent, Origin: a.Self, Revision: a.revision()}
	a.out = append(a.out, Message{Kind: ToPeer, Flow: key, To: asker, Header: header})
}

// HandleAbsent takes an agent's word that it does not hold a flow.
func (a *Agent) HandleAbsent(now time.Time, from netip.Addr, h *jmhop.Header, key jasminemoor.FlowKey) []Message {
	a.begin(now)
	a.noteRevision(now, h)
	s := a.searches[key]
	if s == nil || s.absent[from] {
		return a.out
	}
	s.absent[from] = true
	s.left = slices.DeleteFunc(s.left, func(agent netip.Addr) bool { return agent == from })
	if a.endIfGone(now, key, s) || s.isWide {
		return a.out
	}
	if s.firstAnswered++; s.firstAnswered >= firstAsked {
		s.isWide = true
		a.ask(now, key, s)
	}
	return a.out
}

// HandleHolder takes an agent's word that it holds a flow.
func (a *Agent) HandleHolder(now time.Time, key jasminemoor.FlowKey) {
	a.begin(now)
	delete(a.searches, key)
}

// driveTests takes it that the upstream holds the flows whose packets it has
// not refused.
func (a *Agent) driveTests(now time.Time) {
	for key, t := range a.tests {
		if now.Sub(t.at) < testTime {
			continue
		}
		if a.upstream.isDown || a.upstream.isSilent {
			delete(a.tests, key)
			continue
		}
		if a.table.get(key) == nil {
			a.table.add(key, &flow{opened: now, used: now, isOpen: true, balancer: a.indexOf(t.balancer) + 1})
		}
		a.endTest(key, t)
	}
}

func (a *Agent) driveSearches(now time.Time) {
	for key, s := range a.searches {
		if now.Sub(s.started) > searchTime {
			delete(a.searches, key)
			continue
		}
		if now.Sub(s.asked) >= s.again {
			a.ask(now, key, s)
		}
	}
}

// rankedAgents returns the agents of some upstreams in a flow's order, which is
// the same in every process.
func rankedAgents(key jasminemoor.FlowKey, upstreams []*jmdirectory.Upstream, isWanted func(*jmdirectory.Upstream) bool) (agents []netip.Addr) {
	hash := key.Hash()
	ranks := make(map[netip.Addr]float64, len(upstreams))
	for _, u := range upstreams {
		if isWanted(u) {
			agent := u.Address.Addr()
			agents = append(agents, agent)
			ranks[agent] = jmplacer.Rank(hash, agent)
		}
	}
	slices.SortFunc(agents, func(x, y netip.Addr) int { return cmp.Compare(ranks[y], ranks[x]) })
	return agents
}
