// Package jmplacer ranks the upstreams of a service for a new flow by weighted
// rendezvous hashing. Every process with the same view and weights gets the
// same ranking, and a change of one upstream moves only that upstream's flows.
package jmplacer

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an upstream that may take new flows.
type Candidate struct {
	Agent netip.AddrPort
	// Weight is the upstream's share of the flows, relative to the others. With a weight
	// of zero it gets none.
	Weight uint32
}

// Table ranks the candidates of one service. It is immutable.
type Table struct {
	entries []entry
}

type entry struct {
	agent  netip.AddrPort
	seed   uint64
	weight float64
}

// NewTable returns a table over the candidates with a weight above zero.
func NewTable(candidates []Candidate) *Table {
	t := &Table{}
	for _, c := range candidates {
		if c.Weight == 0 {
			continue
		}
		t.entries = append(t.entries, entry{agent: c.Agent, seed: seedOf(c.Agent), weight: float64(c.Weight)})
	}
	return t
}

// Len returns the number of candidates.
func (t *Table) Len() int { return len(t.entries) }

// Pick returns the two candidates with the highest scores for a key. The second is
// invalid if the table has only one candidate, and both are if it has none.
func (t *Table) Pick(key []byte) (first, second netip.AddrPort) {
	hash := xxhash.Sum64(key)
	best, next := math.Inf(-1), math.Inf(-1)
	for i := range t.entries {
		e := &t.entries[i]
		score := e.score(hash)
		if score > best {
			second, next = first, best
			first, best = e.agent, score
			continue
		}
		if score > next {
			second, next = e.agent, score
		}
	}
	return first, second
}

// score returns the weighted rendezvous score -w/ln(u), with u uniform in (0, 1).
func (e *entry) score(key uint64) float64 {
	return -e.weight / math.Log(uniform(mix(key^e.seed)))
}

func seedOf(agent netip.AddrPort) uint64 {
	raw := agent.Addr().As16()
	b := append(raw[:], byte(agent.Port()>>8), byte(agent.Port()))
	return xxhash.Sum64(b)
}

// Score returns the rendezvous score of an agent for a flow, in (0, 1). Flow is the
// flow's hash. Every process computes the same scores, and the agent with the
// highest comes first.
func Score(flow uint64, agent netip.Addr) float64 {
	raw := agent.As16()
	return uniform(mix(flow ^ xxhash.Sum64(raw[:])))
}

// uniform maps a hash to a number in (0, 1).
func uniform(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// mix is the finalizer of the 64-bit variant of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
