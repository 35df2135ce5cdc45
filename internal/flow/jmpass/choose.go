package jmpass

import (
	"math"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// Parameters of the cost of placing a flow at an upstream. The cost is in requests per
// slot.
const (
	// flowWeight is the number of requests that a long-lived flow counts as: callers
	// send about one request a second, which takes about 45 ms.
	flowWeight = 0.05
	// remotePenalty is added for an upstream in another data centre.
	remotePenalty = 0.15
	// coldFactor is the speed of an upstream that has just started, as a share of
	// its full speed.
	coldFactor = 0.6
	// defaultSlots is the number of slots of an upstream that lists none.
	defaultSlots = 5
	// tieBreak is the weight of the score, which spreads flows over upstreams of equal
	// cost.
	tieBreak = 0.02
	// failureWeight, multiplied by the square of the failure rate, keeps new flows
	// from failing upstreams. If all fail alike, it does not change the choice.
	failureWeight = 8
	// suspectPenalty puts agents that don't answer after those that do.
	suspectPenalty = 1000
	// noRoomPenalty puts upstreams that warm up and can take no more new flows at present
	// after those that can.
	noRoomPenalty = 500
	// stoppedPenalty puts agents that take no new flows last.
	stoppedPenalty = 2000
)

// candidateCount is the number of candidate upstreams of a new flow, which are those
// that rank first for it by rendezvous hashing. It keeps searches cheap: any process
// finds the holder by asking a few agents, however many upstreams a service has.
const candidateCount = 8

// choose returns the agent, as an index into b.agents, of the candidate upstream
// with the least cost for a new flow. The agent to avoid gets suspectPenalty. ok is
// false if there is no candidate.
func (b *Balancer) choose(now time.Time, flow jasminemoor.FlowKey, service *jmdirectory.Service, avoid netip.Addr) (at uint32, ok bool) {
	if service == nil {
		return 0, false
	}
	best := 0.0
	for _, c := range b.placementCandidates(now, flow, service) {
		agent := c.upstream.Address.Addr()
		index := b.indexOf(agent)
		cost := b.cost(now, c.upstream, &b.agents[index]) + tieBreak*c.score
		if service.ColdRate > 0 && b.agents[index].hasNoRoom(now) {
			cost += noRoomPenalty
		}
		if agent == avoid {
			cost += suspectPenalty
		}
		if !ok || cost < best {
			best, at, ok = cost, index, true
		}
	}
	return at, ok
}

// rankedUpstream is an upstream with its rendezvous score for a flow.
type rankedUpstream struct {
	upstream *jmdirectory.Upstream
	score    float64
}

// lapseGrace is how long entries may be missing that lapsed during an outage of the
// platform's store: they are back within about two seconds.
const lapseGrace = 2 * time.Second

// placementCandidates returns the ready upstreams that rank first for a flow, in no
// particular order.
func (b *Balancer) placementCandidates(now time.Time, flow jasminemoor.FlowKey, service *jmdirectory.Service) []rankedUpstream {
	first := b.topRanked(flow, service, (*jmdirectory.Upstream).IsReady)
	if len(first) == 0 {
		// The entries may have lapsed during an outage of the store. Use the entries
		// that lapsed recently before the whole service counts as down.
		first = b.topRanked(flow, service, func(u *jmdirectory.Upstream) bool {
			return u.IsRemoved && u.State == jasminemoor.UpstreamReady && now.Sub(u.RemovedAt) < lapseGrace
		})
	}
	b.scratch = first
	return first
}

// topRanked returns the wanted upstreams that rank first for a flow, at most
// candidateCount. The result uses b.scratch.
func (b *Balancer) topRanked(flow jasminemoor.FlowKey, service *jmdirectory.Service, isWanted func(*jmdirectory.Upstream) bool) []rankedUpstream {
	hash := flow.Hash()
	first := b.scratch[:0]
	for _, u := range service.Upstreams {
		if !isWanted(u) {
			continue
		}
		c := rankedUpstream{upstream: u, score: jmplacer.Score(hash, u.Address.Addr())}
		if len(first) < candidateCount {
			first = append(first, c)
			continue
		}
		least := 0
		for i := range first {
			if first[i].score < first[least].score {
				least = i
			}
		}
		if c.score > first[least].score {
			first[least] = c
		}
	}
	return first
}

// cost returns the cost of placing one more flow at an upstream.
func (b *Balancer) cost(now time.Time, u *jmdirectory.Upstream, a *agentState) float64 {
	slots := float64(u.Slots)
	if slots <= 0 {
		slots = defaultSlots
	}
	if now.Before(u.WarmAt) {
		slots *= coldFactor
	}
	requests := float64(a.report.Waiting) + float64(a.placed) + 1
	cost := (requests + flowWeight*float64(a.report.Flows)) / slots
	if u.DataCentre != b.DataCentre {
		cost += remotePenalty
	}
	failures := float64(a.report.Failures) / perMille * math.Exp2(-now.Sub(a.lastSeen).Seconds()/failureHalfLife.Seconds())
	cost += failureWeight * failures * failures
	switch {
	case a.report.State != jmhop.ReportOpen && now.Sub(a.lastSeen) < stoppedTTL:
		cost += stoppedPenalty
	case a.isSuspect(now):
		cost += suspectPenalty
	}
	return cost
}

// stoppedTTL is how long after an agent's last message its report counts that it takes
// no new flows.
const stoppedTTL = 3 * time.Second

// holderServices returns the services whose upstreams may hold flows of a route:
// those that it has now, and those that it had before.
func holderServices(route *jmdirectory.Route) (services []string) {
	for _, s := range route.Shares {
		services = append(services, s.Service)
	}
	for _, name := range route.Former {
		if !route.Allows(name) {
			services = append(services, name)
		}
	}
	return services
}
