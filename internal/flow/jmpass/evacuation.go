package jmpass

import (
	"slices"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
)

// An evacuation changes no ranks: upstreams of the data centre still count among the first
// candidateCount, and get no new flows. If all of these are evacuated, the first upstream
// in rank that is not takes the flow. Searches thus need no history of evacuations: an
// upstream can't have taken a flow as that first one if another of its own data centre
// ranks before it.

// withoutEvacuated removes the evacuated ones from the first upstreams in rank. If all
// are, it returns the first in rank of the service that is not. The result uses the
// memory of first.
func withoutEvacuated(flow jasminemoor.FlowKey, first []rankedUpstream, service *jmdirectory.Service) []rankedUpstream {
	isListed := len(first) > 0
	first = slices.DeleteFunc(first, func(c rankedUpstream) bool { return c.upstream.IsEvacuated })
	if len(first) > 0 || !isListed {
		return first
	}
	hash, best := flow.Hash(), rankedUpstream{}
	for _, u := range service.Upstreams {
		if !u.IsReady() {
			continue
		}
		if score := jmplacer.Score(hash, u.Address.Addr()); best.upstream == nil || score > best.score {
			best = rankedUpstream{upstream: u, score: score}
		}
	}
	if best.upstream != nil {
		first = append(first, best)
	}
	return first
}

// isEvacuated reports whether the directory says that the own upstream is evacuated.
func (a *Agent) isEvacuated() bool {
	own := a.snapshot.Upstreams[a.Upstream]
	return own != nil && own.IsEvacuated
}
