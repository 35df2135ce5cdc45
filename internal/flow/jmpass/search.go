package jmpass

import (
	"net/netip"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	// firstAsked is how many agents a search asks at first; then it asks all.
	firstAsked = 8
	// askInterval is when a search first asks those again that have not answered.
	// It doubles each time: they may be dark, and there may be many searches.
	askInterval = 100 * time.Millisecond
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
	started  time.Time
	asked    time.Time
	again    time.Duration // until those are asked that have not answered
	isWide   bool          // all are asked, not only the first in rank
	pending  int           // of the first in rank, those that have not answered
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
	s.balancer, s.ack = balancer, p.Acknowledged
	s.packet = append(s.packet[:0], packet...)
	if s.asked.IsZero() {
		a.ask(now, key, s)
	}
}

// ask asks the agents that have not answered.
func (a *Agent) ask(now time.Time, key jasminemoor.FlowKey, s *search) {
	s.asked = now
	s.again = min(max(2*s.again, askInterval), searchTime)
	if a.mayHold(now, key) {
		a.testOwn(now, key, s)
		return
	}
	if a.endIfGone(now, key, s) {
		return
	}
	header := jmhop.Header{Kind: jmhop.KindAsk, Origin: s.balancer}
	isFirst := s.pending == 0 && !s.isWide
	s.isWide = !isFirst
	for _, agent := range a.candidates(key) {
		if s.absent[agent] {
			continue
		}
		if isFirst {
			if s.pending == firstAsked {
				return
			}
			s.pending++
		}
		a.out = append(a.out, Message{Kind: ToPeer, Flow: key, To: agent, Header: header, HasPacket: true, Packet: s.packet})
	}
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
// not, and the list of those is recent.
func (a *Agent) endIfGone(now time.Time, key jasminemoor.FlowKey, s *search) bool {
	if a.snapshot.View == nil || !a.snapshot.isFresh(now) || !a.isOwnAbsent(now, key) {
		return false
	}
	if a.snapshot.Routes[key.Service()] == nil {
		return false
	}
	for _, agent := range a.candidates(key) {
		if !s.absent[agent] {
			return false
		}
	}
	delete(a.searches, key)
	a.gone[key] = now
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
func (a *Agent) handleAsk(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet) Reason {
	key := p.Key()
	if f := a.held(key, p); f != nil {
		if a.upstream.isDown {
			a.resetFlow(key, f)
			a.tellAbsent(from, key)
			return ReasonUpstreamDown
		}
		f.balancer = a.noteBalancer(now, h.Origin) + 1
		a.deliver(now, key, f, p)
		a.tellHolder(h.Origin, key)
		a.tellHolder(from, key)
		return ReasonHeld
	}
	if a.mayHold(now, key) {
		if _, isTesting := a.tests[key]; !isTesting {
			a.tests[key] = test{at: now, balancer: h.Origin, asker: from}
			a.giveUpstream(now, key, 0)
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
	header := jmhop.Header{Kind: jmhop.KindAbsent, Origin: a.Self}
	a.out = append(a.out, Message{Kind: ToPeer, Flow: key, To: asker, Header: header})
}

// HandleAbsent takes an agent's word that it does not hold a flow.
func (a *Agent) HandleAbsent(now time.Time, from netip.Addr, key jasminemoor.FlowKey) []Message {
	a.begin(now)
	s := a.searches[key]
	if s == nil || s.absent[from] {
		return a.out
	}
	s.absent[from] = true
	if a.endIfGone(now, key, s) || s.isWide || s.pending == 0 {
		return a.out
	}
	if s.pending--; s.pending == 0 {
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
			a.table.add(key, &flow{opened: now, used: now, isOpen: true, balancer: a.noteBalancer(now, t.balancer) + 1})
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
	for _, u := range upstreams {
		if isWanted(u) {
			agents = append(agents, u.Address.Addr())
		}
	}
	slices.SortFunc(agents, func(x, y netip.Addr) int {
		switch rx, ry := rank(key, x), rank(key, y); {
		case rx > ry:
			return -1
		case rx < ry:
			return 1
		}
		return 0
	})
	return agents
}
