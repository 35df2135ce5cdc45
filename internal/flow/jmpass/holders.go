package jmpass

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmplacer"
)

// An agent takes a new flow only if its upstream is among the first candidateCount in
// rank, or the first one that is not evacuated (isOutOfRank). A search for a flow therefore
// asks only the agents whose upstreams can have been among them while the flow may have been
// opened (possibleHolders).

// isOutOfRank reports whether the own upstream is neither among the first candidateCount
// in rank for a flow nor the first that is not evacuated, by the own copy of the directory.
// It must not take the flow then, as a search would not find it: see possibleHoldersOf.
func (a *Agent) isOutOfRank(key jasminemoor.FlowKey) bool {
	service := a.snapshot.Services[a.Service]
	if service == nil {
		return false
	}
	hash, before, readyBefore := key.Hash(), 0, 0
	own := jmplacer.Score(hash, a.Self)
	for _, u := range service.Upstreams {
		if !u.IsInRank() || jmplacer.Score(hash, u.Address.Addr()) <= own {
			continue
		}
		before++
		if !u.IsEvacuated {
			readyBefore++
		}
	}
	if before < candidateCount {
		return false
	}
	// An agent whose upstream is not listed can't tell whether that is evacuated.
	u := a.snapshot.Upstreams[a.Upstream]
	return readyBefore > 0 || u == nil || !u.IsReady()
}

// possibleHolders returns the other agents that may hold a flow, service by service,
// and those of a service in the order of their rank.
func (a *Agent) possibleHolders(now time.Time, key jasminemoor.FlowKey) (agents []netip.Addr) {
	if a.snapshot.View == nil {
		return nil
	}
	route := a.snapshot.Routes[key.Service()]
	if route == nil {
		return nil
	}
	known := holderServices(route, a.oldestFlow(now))
	for i, name := range a.searchedServices(now, route) {
		mayHold := func(u *jmdirectory.Upstream) bool { return i < len(known) || !a.startedInKnownPast(u) }
		if service := a.snapshot.Services[name]; service != nil {
			for _, u := range a.possibleHoldersOf(now, key, service) {
				if mayHold(u) {
					agents = append(agents, u.Address.Addr())
				}
			}
		}
		for _, u := range a.snapshot.Unplaced[name] {
			if mayHold(u) && a.mayHoldFlows(now, u) && !slices.Contains(agents, u.Address.Addr()) {
				agents = append(agents, u.Address.Addr())
			}
		}
	}
	return agents
}

// possibleHoldersOf returns the upstreams of a service, without the own one, that may hold
// a flow, in the order of their rank.
//
// An agent takes a flow only if its upstream is among the first candidateCount in rank
// by its own copy of the directory (see isOutOfRank). That copy has every upstream that
// was listed at the time. So an upstream can't hold the flow if candidateCount others
// rank before it that have been listed since before it started, or for longer than flows
// live, unless it may have been the first that was not evacuated. It was not if one of these
// is of its own data centre.
func (a *Agent) possibleHoldersOf(now time.Time, key jasminemoor.FlowKey, service *jmdirectory.Service) (holders []*jmdirectory.Upstream) {
	oldestFlow := a.oldestFlow(now)
	firstOf := make(map[string]time.Time) // the first ListedSince of those before, by data centre
	var listed []time.Time                // ListedSince of the candidateCount listed for longest of those before
	for _, r := range rankAll(key, service.Upstreams) {
		u := r.upstream
		flowsSince := u.StartedAfter
		if flowsSince.Before(oldestFlow) {
			flowsSince = oldestFlow
		}
		isBehind := len(listed) == candidateCount && !slices.MaxFunc(listed, time.Time.Compare).After(flowsSince)
		since, found := firstOf[u.DataCentre]
		isFirst := !found || since.After(flowsSince)
		if (!isBehind || isFirst) && a.mayHoldFlows(now, u) {
			holders = append(holders, u)
		}
		if u.ListedSince.IsZero() {
			continue
		}
		if !found || u.ListedSince.Before(since) {
			firstOf[u.DataCentre] = u.ListedSince
		}
		at, _ := slices.BinarySearchFunc(listed, u.ListedSince, time.Time.Compare)
		listed = slices.Insert(listed, at, u.ListedSince)
		listed = listed[:min(len(listed), candidateCount)]
	}
	return holders
}

// maxCopyLag is how far the copy of the directory by which an agent takes a flow may be
// behind. A copy that peers or the platform reach is behind by less than a second.
const maxCopyLag = 3 * time.Second

// mayHoldFlows reports whether another agent's upstream may hold flows.
func (a *Agent) mayHoldFlows(now time.Time, u *jmdirectory.Upstream) bool {
	return u.Address.Addr() != a.Self && !u.HasEnded && !hasLeft(now, u)
}

// hasLeft reports whether an upstream has ended in an orderly way: its entry was removed
// while it was leaving, and has not returned since. The entry of one that still runs may
// have lapsed during an outage of the platform's store.
func hasLeft(now time.Time, u *jmdirectory.Upstream) bool {
	return u.IsRemoved && u.State == jasminemoor.UpstreamLeaving && now.Sub(u.RemovedAt) >= lapseGrace
}

// isListComplete reports whether the view lists all upstreams that may hold a flow. It may
// not for a while after the platform was restored from a copy. The first view may lack entries that lapsed during an outage of the platform's store. Such
// upstreams return within lapseGrace. They hold no flows if all upstreams have just
// started, as after a power failure. The own one may have ended instead. If the past of the
// routes is not known, all services count, at most maxSearchedServices.
func (a *Agent) isListComplete(now time.Time, key jasminemoor.FlowKey) bool {
	services := a.searchedServices(now, a.snapshot.Routes[key.Service()])
	if len(services) > maxSearchedServices && !a.isPastKnown(now) {
		return false
	}
	if now.Before(a.snapshot.CompleteAt) {
		return false
	}
	if a.IsFirstStart || now.Sub(a.firstView) >= lapseGrace {
		return true
	}
	own := a.snapshot.Upstreams[a.Upstream]
	if !a.sawUpstreamDown && (own == nil || !a.hasJustStarted(own)) {
		return false
	}
	started, listed := 0, 0
	for _, name := range services {
		service := a.snapshot.Services[name]
		if service == nil {
			if len(a.snapshot.Unplaced[name]) == 0 {
				return false
			}
			listed += len(a.snapshot.Unplaced[name])
			continue
		}
		for _, u := range service.Upstreams {
			listed++
			if a.hasJustStarted(u) {
				started++
			}
		}
	}
	return 2*started > listed
}

// hasJustStarted reports whether an upstream started a short time before the agent.
func (a *Agent) hasJustStarted(u *jmdirectory.Upstream) bool {
	return u.StartedAfter.After(a.firstView.Add(-recentStart))
}

// recentStart is how long before the agent an upstream may have started to count as one
// that has just started. It is more than the uncertainty of Upstream.StartedAfter.
const recentStart = 15 * time.Second

// rankAll returns the upstreams in the order of their rank for a flow. The order is the
// same in every process.
func rankAll(key jasminemoor.FlowKey, upstreams []*jmdirectory.Upstream) []rankedUpstream {
	hash := key.Hash()
	ranked := make([]rankedUpstream, len(upstreams))
	for i, u := range upstreams {
		ranked[i] = rankedUpstream{upstream: u, score: jmplacer.Score(hash, u.Address.Addr())}
	}
	slices.SortFunc(ranked, func(x, y rankedUpstream) int { return cmp.Compare(y.score, x.score) })
	return ranked
}
