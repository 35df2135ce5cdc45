package jmmodel

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
)

// relayCandidates is how many peers a full agent offers a request to.
const relayCandidates = 2

// Policy is a way to place flows and requests.
type Policy struct {
	Name string
	// isHashed places by the hash modulo the upstreams, as a five-tuple hash.
	isHashed bool
	// ignoresWeights ranks all upstreams alike.
	ignoresWeights bool
	// hasTwoChoices lets the first agent hand a flow to the second candidate.
	hasTwoChoices bool
	// hasRelay lets a full agent relay requests.
	hasRelay bool

	table *jmplacer.Table
}

// Policies returns the naive policy, the steps between, and the one in use.
func Policies() []Policy {
	return []Policy{
		{Name: "five-tuple hash", isHashed: true},
		{Name: "plain rendezvous", ignoresWeights: true},
		{Name: "weighted rendezvous"},
		{Name: "weighted, two choices", hasTwoChoices: true},
		{Name: "weighted, two choices, relays", hasTwoChoices: true, hasRelay: true},
	}
}

func (p *Policy) prepare(w *world) {
	candidates := make([]jmplacer.Candidate, 0, len(w.upstreams))
	for _, u := range w.upstreams {
		c := jmplacer.Candidate{Agent: u.agent, Weight: u.weight}
		if p.ignoresWeights {
			c.Weight = 1
		}
		candidates = append(candidates, c)
	}
	w.policy.table = jmplacer.NewTable(candidates)
}

func (p *Policy) place(w *world, id []byte) *upstream {
	if p.isHashed {
		return w.upstreams[xxhash.Sum64(id)%uint64(len(w.upstreams))]
	}
	firstAgent, secondAgent := p.table.Pick(id)
	first, second := w.find(firstAgent), w.find(secondAgent)
	if !p.hasTwoChoices || second == nil {
		return first
	}
	choice := jmplacer.Choose(&jmplacer.Situation{
		Own: first.load(),
		Second: jmplacer.Peer{
			Agent:    secondAgent,
			IsUsable: true,
			IsLocal:  first.dataCentre == second.dataCentre,
			HasLoad:  true,
			Load:     second.reported,
		},
	})
	if choice.HandTo.IsValid() {
		return second
	}
	return first
}

// relay returns where a request that came to an agent is run: there, or while
// the agent has no free slot, at the peer that last reported the least load.
func (p *Policy) relay(w *world, u *upstream) *upstream {
	if !p.hasRelay || u.running < u.slots {
		return u
	}
	for _, other := range p.relayOrder(w, u) {
		// The real agent offers the stream, and a full peer refuses it.
		if other.running < other.slots {
			return other
		}
	}
	return u
}

// relayOrder returns the peers that a full agent offers a request to.
func (p *Policy) relayOrder(w *world, u *upstream) (order []*upstream) {
	for _, other := range w.upstreams {
		if other != u && other.reported.Now < jmload.PerMille {
			order = append(order, other)
		}
	}
	slices.SortStableFunc(order, func(a, b *upstream) int { return cmp.Compare(cost(u, a), cost(u, b)) })
	return order[:min(len(order), relayCandidates)]
}

func cost(from, to *upstream) uint32 {
	if from.dataCentre == to.dataCentre {
		return to.reported.Now + jmplacer.LocalMargin
	}
	return to.reported.Now + jmplacer.RemoteMargin
}

func (w *world) find(agent netip.AddrPort) *upstream {
	for _, u := range w.upstreams {
		if u.agent == agent {
			return u
		}
	}
	return nil
}
