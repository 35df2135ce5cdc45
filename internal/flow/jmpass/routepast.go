package jmpass

import (
	"maps"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
)

// maxSearchedServices bounds the services whose agents a search asks while the past of the
// routes is not known. With more, it resets no flow until it is.
const maxSearchedServices = 8

// holderServices returns the services whose upstreams may hold flows of a route that were
// opened after since, as far as the past of the route is known: those that it has now, and
// those that it had then.
func holderServices(route *jmdirectory.Route, since time.Time) (services []string) {
	for _, s := range route.Shares {
		services = append(services, s.Service)
	}
	for _, f := range route.Former {
		if !route.Allows(f.Service) && !f.LeftAt.Before(since) {
			services = append(services, f.Service)
		}
	}
	return services
}

// oldestFlow returns a time before which no flow was opened that counts, less the lag of
// the copy of the directory by which an agent took it.
func (a *Agent) oldestFlow(now time.Time) time.Time { return now.Add(-a.maxFlowAge() - maxCopyLag) }

// isPastKnown reports whether the copy of the directory has had each version of the
// routes by which an open flow may have been taken.
func (a *Agent) isPastKnown(now time.Time) bool {
	return !a.snapshot.RoutesKnownSince.After(a.oldestFlow(now))
}

// searchedServices returns the services whose upstreams may hold flows of a route. Those
// that are known to be the route's come first. A flow from before the known past of the
// routes may be at any other as well.
func (a *Agent) searchedServices(now time.Time, route *jmdirectory.Route) (services []string) {
	services = holderServices(route, a.oldestFlow(now))
	if a.isPastKnown(now) {
		return services
	}
	others := slices.AppendSeq(slices.Sorted(maps.Keys(a.snapshot.Services)), maps.Keys(a.snapshot.Unplaced))
	slices.Sort(others)
	for _, name := range slices.Compact(others) {
		if !slices.Contains(services, name) {
			services = append(services, name)
		}
	}
	return services
}

// mayBeOfService reports whether the own upstream's service may have been among those of a
// flow's route when the flow was opened.
func (a *Agent) mayBeOfService(now time.Time, key jasminemoor.FlowKey) bool {
	route := a.snapshot.Routes[key.Service()]
	return route != nil && slices.ContainsFunc(a.searchedServices(now, route), func(service string) bool {
		return service == a.Service || slices.Contains(a.service.former, service)
	})
}

// isOfOtherService reports whether the own upstream's service was not among those of a
// flow's route while the flow may have been opened, by a recent copy of the directory.
func (a *Agent) isOfOtherService(now time.Time, key jasminemoor.FlowKey) bool {
	return a.snapshot.View != nil && a.snapshot.isFresh(now) && !a.isBehind(now) &&
		a.snapshot.Routes[key.Service()] != nil && !a.mayBeOfService(now, key)
}

// startedInKnownPast reports whether an upstream started so late that it has only taken
// flows by versions of the routes that are known.
func (a *Agent) startedInKnownPast(u *jmdirectory.Upstream) bool {
	return !a.snapshot.RoutesKnownSince.After(u.StartedAfter.Add(-maxCopyLag))
}
