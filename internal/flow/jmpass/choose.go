package jmpass

import (
	"math"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
	"github.com/jasminemoor/jasminemoor/internal/load/jmcapacity"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// Parameters of the cost of placing a flow at an upstream. The cost is the time, in
// seconds, that the answer to the flow's first request is expected to take.
const (
	// crossingTime is how much earlier an answer must be expected from another data centre
	// for the flow to go there. It is chosen for callers: a round trip between data centres
	// takes a few milliseconds, and the rest is the price of the bytes, for which nobody
	// would notice a shorter wait.
	crossingTime = 10 * time.Millisecond
	// tieBreakTime, multiplied by the score, spreads flows over upstreams of equal cost.
	tieBreakTime = time.Millisecond
	// assumedWork is the mean time of a request's work while no candidate has reported
	// any. All candidates are then alike in it.
	assumedWork = 50 * time.Millisecond
	// assumedFlowRate is how many requests a second a long-lived flow is taken to ask, if
	// its agent has not measured them.
	assumedFlowRate = 1.0
	// defaultSlots is the number of slots of an upstream that lists none.
	defaultSlots = 5
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
// false if there is no candidate, and isFull is set if none could answer in time.
func (b *Balancer) choose(now time.Time, flow jasminemoor.FlowKey, route *jmdirectory.Route, service *jmdirectory.Service, avoid netip.Addr) (at uint32, ok, isFull bool) {
	if service == nil {
		return 0, false, false
	}
	best := 0.0
	candidates := b.placementCandidates(now, flow, service)
	usualWork, timeout := b.usualWork(now, candidates), b.snapshot.timeout(flow)
	for _, c := range candidates {
		agent := &b.agents[c.agent]
		cost := b.cost(now, c.upstream, agent, usualWork, timeout) + tieBreakTime.Seconds()*c.score
		if service.ColdRate > 0 && agent.hasNoRoom(now) {
			cost += noRoomPenalty
		}
		if agent.addr == avoid {
			cost += suspectPenalty
		}
		if !ok || cost < best {
			best, at, ok = cost, c.agent, true
		}
	}
	return at, ok, b.isFull(now, route, candidates)
}

// rankedUpstream is an upstream with its rendezvous score for a flow.
type rankedUpstream struct {
	upstream *jmdirectory.Upstream
	score    float64
	agent    uint32 // index into Balancer.agents, set by usualWork
}

// lapseGrace is how long entries may be missing that lapsed during an outage of the
// platform's store: they are back within about two seconds.
const lapseGrace = 2 * time.Second

// placementCandidates returns the upstreams that may get a new flow, in no particular
// order: the ready ones of the first in rank, or if they are all evacuated, the first one
// that is not.
func (b *Balancer) placementCandidates(now time.Time, flow jasminemoor.FlowKey, service *jmdirectory.Service) []rankedUpstream {
	first := b.topRanked(flow, service, (*jmdirectory.Upstream).IsInRank)
	isListed := len(first) > 0
	first = withoutEvacuated(flow, first, service)
	if !isListed {
		// The entries may have lapsed during an outage of the store. Use the entries
		// that lapsed recently before the whole service counts as down.
		first = b.topRanked(flow, service, func(u *jmdirectory.Upstream) bool {
			return u.IsRemoved && u.State == jasminemoor.UpstreamReady && !u.IsEvacuated && now.Sub(u.RemovedAt) < lapseGrace
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

// usualWork returns the mean of the work times that the candidates' agents have reported,
// and sets the agents' indexes.
func (b *Balancer) usualWork(now time.Time, candidates []rankedUpstream) time.Duration {
	sum, n := time.Duration(0), time.Duration(0)
	for i := range candidates {
		candidates[i].agent = b.indexOf(candidates[i].upstream.Address.Addr())
		if a := &b.agents[candidates[i].agent]; a.isMeasured(now) {
			sum += a.report.Work
			n++
		}
	}
	if n == 0 {
		return assumedWork
	}
	return sum / n
}

// isMeasured reports whether an agent's report has the times of its upstream, and is
// recent enough for them to count.
func (a *agentState) isMeasured(now time.Time) bool {
	return a.report.Wait > 0 && a.report.Work > 0 && now.Sub(a.reported) < jmcapacity.Memory
}

// cost returns the cost of placing one more flow at an upstream. usualWork is the mean
// work time of upstreams whose own is not known, and timeout how long the caller waits.
func (b *Balancer) cost(now time.Time, u *jmdirectory.Upstream, a *agentState, usualWork, timeout time.Duration) float64 {
	slots := float64(u.Slots)
	if slots <= 0 {
		slots = defaultSlots
	}
	requests, work := float64(a.placed), usualWork.Seconds()
	cost := work
	if a.isMeasured(now) {
		cost, work = a.report.Wait.Seconds(), a.report.Work.Seconds()
	} else {
		requests += float64(a.report.Waiting) + float64(a.report.Flows)*assumedFlowRate*work
	}
	cost += requests * work / slots
	if u.DataCentre != b.DataCentre {
		cost += crossingTime.Seconds()
	}
	// Right after an evacuation an upstream counts as one request a slot behind the others.
	cost += work * (1 - u.ReturnShare(now))
	failures := float64(a.report.Failures) / perMille * math.Exp2(-now.Sub(a.lastSeen).Seconds()/failureHalfLife.Seconds())
	cost += failureTime(failures, timeout).Seconds()
	switch {
	case u.HasEnded:
		cost += stoppedPenalty
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
