package jmmodel

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmload"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
)

// relayCandidates is the number of peers to which an agent without a free slot
// tries to relay a request.
const relayCandidates = 2

// Policy is a way to place flows and requests.
type Policy struct {
	Name string
	// isHashed places a flow by the hash of its id modulo the number of upstreams,
	// as balancers with a five-tuple hash do.
	isHashed bool
	// ignoresWeights gives all upstreams the same weight.
	ignoresWeights bool
	// hasTwoChoices lets the first candidate's agent hand a new flow over to the
	// second candidate, depending on the loads of both.
	hasTwoChoices bool
	// hasRelay lets an agent without a free slot relay requests to its peers.
	hasRelay bool

	table *jmplacer.Table
}

// Policies returns the policies to compare, from the naive one to that of the
// product, in steps of one mechanism each.
func Policies() []Policy {
	return []Policy{
		{Name: "five-tuple hash", isHashed: true},
		{Name: "plain rendezvous", ignoresWeights: true},
		{Name: "weighted rendezvous"},
		{Name: "weighted, two choices", hasTwoChoices: true},
		{Name: "weighted, two choices, relays", hasTwoChoices: true, hasRelay: true},
	}
}

// prepare builds the candidate table of rendezvous hashing for the world's policy.
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

// place returns the upstream that gets a new flow.
func (p *Policy) place(w *world, id []byte) *upstream {
	if p.isHashed {
		return w.upstreams[xxhash.Sum64(id)%uint64(len(w.upstreams))]
	}
	firstAgent, secondAgent := p.table.Pick(id)
	first, second := w.upstreamOf(firstAgent), w.upstreamOf(secondAgent)
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

// relay returns the upstream that gets a request of a flow at u: u itself if it has
// a free slot, else the first relay candidate with a free slot, else u.
func (p *Policy) relay(w *world, u *upstream) *upstream {
	if !p.hasRelay || u.running < u.slots {
		return u
	}
	for _, other := range p.relayOrder(w, u) {
		// A peer without a free slot refuses the relayed stream.
		if other.running < other.slots {
			return other
		}
	}
	return u
}

// relayOrder returns the relay candidates of u: the peers with free capacity in
// their last report, the cheapest first.
func (p *Policy) relayOrder(w *world, u *upstream) (order []*upstream) {
	for _, other := range w.upstreams {
		if other != u && other.reported.Now < jmload.PerMille {
			order = append(order, other)
		}
	}
	slices.SortStableFunc(order, func(a, b *upstream) int { return cmp.Compare(relayCost(u, a), relayCost(u, b)) })
	return order[:min(len(order), relayCandidates)]
}

// relayCost returns the reported load of a peer plus a margin for the relay, which
// is larger to another data centre.
func relayCost(from, to *upstream) uint32 {
	if from.dataCentre == to.dataCentre {
		return to.reported.Now + jmplacer.LocalMargin
	}
	return to.reported.Now + jmplacer.RemoteMargin
}

func (w *world) upstreamOf(agent netip.AddrPort) *upstream {
	for _, u := range w.upstreams {
		if u.agent == agent {
			return u
		}
	}
	return nil
}
