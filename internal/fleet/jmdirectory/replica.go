// Package jmdirectory replicates the platform's directory of routes and
// upstreams to every process. One agent, the reader, watches the platform. With
// each answer it gossips a beacon with the age of its copy and the changes. If no
// recent beacon arrives, another agent reads in its place as a deputy.
//
// The machine has no sockets and no goroutines. Revisions and versions only
// grow.
package jmdirectory

import (
	"cmp"
	"net/netip"
	"reflect"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// viewRetention is how long a removed upstream stays in the view. Entries that
// expired during an outage of the platform's store are back within two seconds
// of its return.
const viewRetention = 6 * time.Second

// Item is one replicated part of the directory. Exactly one of Route, Upstream and
// Common is set.
type Item struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Revision uint64
	Route    *RouteItem
	Upstream *UpstreamItem
	Common   *CommonItem
}

// RouteItem is a route, or the removal of one if Route is nil.
type RouteItem struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Address  netip.AddrPort
	Route    *jasminemoor.Route
}

// UpstreamItem is an upstream, or the removal of one if Upstream is nil.
type UpstreamItem struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Key      string
	Upstream *jasminemoor.ListedUpstream
}

// CommonItem is the part of a configuration that applies to all routes.
type CommonItem struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Version     uint64
	IdleTimeout time.Duration
}

// replica is the copy of the directory.
type replica struct {
	// revision is the platform's revision up to which the copy is complete.
	revision uint64
	// removalsSince is the lowest revision after which the copy has all removals.
	removalsSince   uint64
	version         uint64
	versionRevision uint64 // revision of the configuration in force
	idleTimeout     time.Duration
	routes          map[netip.AddrPort]*knownRoute
	upstreams       map[string]*knownUpstream
	histories       map[netip.AddrPort]*history
	// asOf is the latest time at which the copy is known to have been complete, zero
	// before the first copy.
	asOf time.Time
}

type knownRoute struct {
	revision uint64
	route    *jasminemoor.Route // nil after its removal
	former   []string           // see Route.Former
}

type knownUpstream struct {
	revision  uint64
	upstream  *jasminemoor.ListedUpstream // nil after its removal
	last      *jasminemoor.ListedUpstream // before its removal
	changedAt time.Time
	warmAt    time.Time
	isExpired bool // its removal was so long ago that views omit it
}

func (r *replica) init() {
	if r.routes == nil {
		r.routes = make(map[netip.AddrPort]*knownRoute)
		r.upstreams = make(map[string]*knownUpstream)
		r.histories = make(map[netip.AddrPort]*history)
	}
}

// applyEntries applies an answer of the platform and returns the changed items.
// If isWhole is set, the answer lists all entries.
func (r *replica) applyEntries(now time.Time, c *jasminemoor.DirectoryChanges, isWhole bool) (changed []Item) {
	r.init()
	if isWhole {
		// Removals come first: the address of a removed upstream was not listed until that
		// of an added one, as far as a listing tells.
		listed := make(map[string]bool)
		for i := range c.Entries {
			listed[c.Entries[i].Key] = true
		}
		changed = r.removeOthers(now, c.Revision, listed)
	}
	for i := range c.Entries {
		e := &c.Entries[i]
		if e.Routing != nil {
			changed = append(changed, r.applyRouting(now, e)...)
			continue
		}
		item := Item{Revision: e.Revision, Upstream: &UpstreamItem{Key: e.Key, Upstream: e.Upstream}}
		if r.apply(now, &item) {
			changed = append(changed, item)
		}
	}
	if isWhole {
		// The listing omits entries that were added and removed since the last
		// revision, so their removals are unknown here.
		r.removalsSince = max(r.removalsSince, c.Revision)
	}
	r.revision = max(r.revision, c.Revision)
	if r.asOf.IsZero() {
		r.recordFirstCopy(now)
	}
	return changed
}

// removeOthers removes the upstreams that a full listing does not name, and
// returns the removals.
func (r *replica) removeOthers(now time.Time, revision uint64, listed map[string]bool) (removals []Item) {
	for key, known := range r.upstreams {
		if listed[key] || known.upstream == nil || known.revision >= revision {
			continue
		}
		item := Item{Revision: revision, Upstream: &UpstreamItem{Key: key}}
		if r.apply(now, &item) {
			removals = append(removals, item)
		}
	}
	return removals
}

// applyRouting splits a configuration into items, applies those that differ from
// the copy and returns them.
func (r *replica) applyRouting(now time.Time, e *jasminemoor.Entry) (changed []Item) {
	c := e.Routing
	if c.Version <= r.version || e.Revision <= r.versionRevision {
		return nil
	}
	items := []Item{{Revision: e.Revision, Common: &CommonItem{Version: c.Version, IdleTimeout: c.IdleTimeout}}}
	listed := make(map[netip.AddrPort]bool, len(c.Routes))
	for i := range c.Routes {
		route := withLimits(&c.Routes[i], c.Services)
		listed[route.Address] = true
		known := r.routes[route.Address]
		if known != nil && known.route != nil && reflect.DeepEqual(known.route, route) {
			continue
		}
		items = append(items, Item{Revision: e.Revision, Route: &RouteItem{Address: route.Address, Route: route}})
	}
	for addr, known := range r.routes {
		if known.route != nil && !listed[addr] {
			items = append(items, Item{Revision: e.Revision, Route: &RouteItem{Address: addr}})
		}
	}
	for i := range items {
		if r.apply(now, &items[i]) {
			changed = append(changed, items[i])
		}
	}
	return changed
}

// apply applies one item and reports whether it was newer than the copy's.
func (r *replica) apply(now time.Time, item *Item) (isNew bool) {
	r.init()
	switch {
	case item.Common != nil:
		if item.Revision <= r.versionRevision || item.Common.Version < r.version {
			return false
		}
		r.versionRevision, r.version, r.idleTimeout = item.Revision, item.Common.Version, item.Common.IdleTimeout
		return true
	case item.Route != nil:
		return r.applyRoute(item.Revision, item.Route)
	case item.Upstream != nil:
		return r.applyUpstream(now, item.Revision, item.Upstream)
	}
	return false
}

func (r *replica) applyRoute(revision uint64, item *RouteItem) (isNew bool) {
	known := r.routes[item.Address]
	if known == nil {
		known = &knownRoute{}
		r.routes[item.Address] = known
	}
	if revision == known.revision && hasLimits(item.Route) && !hasLimits(known.route) {
		// A process of an earlier version has passed the route on without its limits.
		known.route = item.Route
		return true
	}
	if revision <= known.revision {
		return false
	}
	if known.route != nil {
		for _, s := range known.route.Shares {
			if !slices.Contains(known.former, s.Service) {
				known.former = append(known.former, s.Service)
			}
		}
	}
	known.revision, known.route = revision, item.Route
	if item.Route == nil {
		// Flows of a removed route may be discarded.
		known.former = nil
	}
	return true
}

func (r *replica) applyUpstream(now time.Time, revision uint64, item *UpstreamItem) (isNew bool) {
	known := r.upstreams[item.Key]
	if known == nil {
		known = &knownUpstream{}
		r.upstreams[item.Key] = known
	}
	if revision <= known.revision {
		return false
	}
	r.recordHistory(now, item.Key, known.upstream, item.Upstream)
	if known.upstream != nil {
		known.last = known.upstream
	}
	known.revision, known.upstream, known.changedAt, known.isExpired = revision, item.Upstream, now, false
	if item.Upstream != nil {
		known.warmAt = now.Add(item.Upstream.WarmIn)
	}
	return true
}

// delta returns the items that changed after a revision. If the removals after
// it are no longer all known, it returns all items and sets isWhole.
func (r *replica) delta(since uint64) (items []Item, isWhole bool) {
	isWhole = since < r.removalsSince
	if isWhole {
		since = 0
	}
	if r.versionRevision > since {
		items = append(items, Item{Revision: r.versionRevision, Common: &CommonItem{Version: r.version, IdleTimeout: r.idleTimeout}})
	}
	for addr, known := range r.routes {
		if known.revision > since {
			items = append(items, Item{Revision: known.revision, Route: &RouteItem{Address: addr, Route: known.route}})
		}
	}
	for key, known := range r.upstreams {
		if known.revision > since {
			items = append(items, Item{Revision: known.revision, Upstream: &UpstreamItem{Key: key, Upstream: known.upstream}})
		}
	}
	return items, isWhole
}

// merge applies items of a peer whose copy is complete up to revision, and
// reports whether any was new. The items must be the peer's full copy or all
// that changed after a revision up to which this copy is complete.
func (r *replica) merge(now time.Time, items []Item, revision uint64, isWhole bool) (isNew bool) {
	r.init()
	if isWhole && revision > r.revision {
		listed := make(map[string]bool)
		for i := range items {
			if items[i].Upstream != nil {
				listed[items[i].Upstream.Key] = true
			}
		}
		isNew = len(r.removeOthers(now, revision, listed)) > 0
	}
	// The histories of addresses depend on the order of the changes.
	items = slices.SortedFunc(slices.Values(items), func(x, y Item) int { return cmp.Compare(x.Revision, y.Revision) })
	for i := range items {
		isNew = r.apply(now, &items[i]) || isNew
	}
	if isWhole && revision > r.revision {
		isNew = r.removeOtherRoutes(items, revision) || isNew
		r.removalsSince = max(r.removalsSince, revision)
	}
	r.revision = max(r.revision, revision)
	if r.asOf.IsZero() {
		r.recordFirstCopy(now)
	}
	return isNew
}

func (r *replica) removeOtherRoutes(items []Item, revision uint64) (isNew bool) {
	listed := make(map[netip.AddrPort]bool)
	for i := range items {
		if items[i].Route != nil {
			listed[items[i].Route.Address] = true
		}
	}
	for addr, known := range r.routes {
		if !listed[addr] && known.route != nil && known.revision < revision {
			isNew = r.applyRoute(revision, &RouteItem{Address: addr}) || isNew
		}
	}
	return isNew
}

// expire takes removed upstreams out of the view after viewRetention, and drops
// their tombstones after tombstoneRetention. It reports whether the view has
// changed.
func (r *replica) expire(now time.Time) (hasChanged bool) {
	for key, known := range r.upstreams {
		if known.upstream != nil {
			continue
		}
		if !known.isExpired && now.Sub(known.changedAt) > viewRetention {
			known.isExpired, hasChanged = true, true
		}
		if now.Sub(known.changedAt) > tombstoneRetention {
			r.removalsSince = max(r.removalsSince, known.revision)
			delete(r.upstreams, key)
		}
	}
	r.expireHistories(now)
	return hasChanged
}

// tombstoneRetention is how long the tombstones of removed upstreams are kept. A
// peer that lacks an older removal gets the full copy.
const tombstoneRetention = time.Minute
