package jmdirectory

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// FormerService is a service that a route had, whose upstreams may hold flows of it.
type FormerService struct {
	Service string
	// LeftAt is a time after which the route did not have the service: when this copy, or
	// that of the peer that told of it, had the change. The service may be back since.
	LeftAt time.Time
}

// RouteHistory is what a copy knows of the past of the routes. A process that has started
// after a change of the routes learns it from a peer, since the platform tells only the
// present routes. Times are ages, as processes share no clock.
type RouteHistory struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	// KnownFor is for how long the copy has had each version of the routes.
	KnownFor time.Duration
	Former   []FormerItem
}

// FormerItem is a service that a route had.
type FormerItem struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Route    netip.AddrPort
	Service  string
	LeftFor  time.Duration
}

const (
	// historyAsks is how many peers a process asks at most for the history of the routes.
	// After a power failure none knows more than it does.
	historyAsks = 3
	// historyAskInterval is the delay between two of these.
	historyAskInterval = 300 * time.Millisecond
	// wantedHistory is how far back the history has to go for no peer to be asked.
	wantedHistory = 2 * time.Minute
)

// leave records that a route no longer has the services that it had, or may have them no
// longer.
func (k *knownRoute) leave(now time.Time, shares []jasminemoor.Share) {
	for _, s := range shares {
		k.addFormer(FormerService{Service: s.Service, LeftAt: now})
	}
}

// addFormer adds a former service, and reports whether that changed anything. Former is
// replaced, not changed, as views share it.
func (k *knownRoute) addFormer(f FormerService) (hasChanged bool) {
	at := slices.IndexFunc(k.former, func(other FormerService) bool { return other.Service == f.Service })
	if at >= 0 && !f.LeftAt.After(k.former[at].LeftAt) {
		return false
	}
	former := slices.Clone(k.former)
	if at >= 0 {
		former[at] = f
	} else {
		former = append(former, f)
	}
	k.former = former
	return true
}

// recordMissed updates routesKnownSince after a change that may have left out versions of
// the routes: a listing of the platform, or a peer's answer, which have the newest one only.
// Watches and the news in beacons leave out none. The numbers of versions grow by any steps,
// so only two that follow each other have none in between.
func (r *replica) recordMissed(now time.Time, before uint64) {
	if r.version > before+1 {
		r.routesKnownSince = now
	}
}

// routeHistory returns what the copy knows of the past of the routes.
func (r *replica) routeHistory(now time.Time) *RouteHistory {
	h := &RouteHistory{KnownFor: now.Sub(r.routesKnownSince)}
	for addr, known := range r.routes {
		for _, f := range known.former {
			h.Former = append(h.Former, FormerItem{Route: addr, Service: f.Service, LeftFor: now.Sub(f.LeftAt)})
		}
	}
	slices.SortFunc(h.Former, func(x, y FormerItem) int {
		return cmp.Or(x.Route.Compare(y.Route), cmp.Compare(x.Service, y.Service))
	})
	return h
}

// mergeRouteHistory adds the history of a peer whose changes were just merged, nil if the
// peer sent none. ownSince and ownUntil are the time during which this copy had each
// version of the routes before the merge, both zero for the first copy. It reports whether
// the history has changed.
func (r *replica) mergeRouteHistory(now time.Time, h *RouteHistory, ownSince, ownUntil time.Time) (hasChanged bool) {
	if h == nil || h.KnownFor < 0 {
		return false
	}
	for i := range h.Former {
		f := &h.Former[i]
		known := r.routes[f.Route]
		if known == nil {
			known = &knownRoute{}
			r.routes[f.Route] = known
		}
		hasChanged = known.addFormer(FormerService{Service: f.Service, LeftAt: now.Add(-max(f.LeftFor, 0))}) || hasChanged
	}
	if hasChanged {
		r.updateNamed(now)
	}
	since := now.Add(-h.KnownFor)
	isJoined := !ownUntil.IsZero() && !since.After(ownUntil)
	if isJoined && ownSince.Before(since) {
		since = ownSince
	}
	if since.Before(r.routesKnownSince) {
		r.routesKnownSince, hasChanged = since, true
	}
	return hasChanged
}

// historyPeer returns the peer to ask now for the history of the routes, which a copy that
// came from the platform lacks.
func (m *Machine) historyPeer(now time.Time) (peer netip.Addr, found bool) {
	if !m.isLoaded || len(m.agents) == 0 || m.historyAsked >= historyAsks || now.Sub(m.replica.routesKnownSince) >= wantedHistory {
		return peer, false
	}
	isStale := now.Sub(m.replica.asOf) >= askPeerAfter // peerToAsk asks then
	if isStale || now.Sub(m.lastHistoryAsk) < historyAskInterval || now.Sub(m.pullBegun) <= pullTimeout {
		return peer, false
	}
	m.historyAsked++
	m.lastHistoryAsk, m.pullBegun, m.pendingBeacon = now, now, nil
	return m.agents[m.Rand.IntN(len(m.agents))], true
}
