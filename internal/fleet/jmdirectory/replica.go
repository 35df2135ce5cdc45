// Package jmdirectory keeps a copy of the platform's directory in every
// process: routes and upstreams. A few readers watch the platform, and tell
// the others with each answer how recent the copy is and what has changed.
//
// The machine has no sockets and no goroutines. Revisions and versions only
// grow.
package jmdirectory

import (
	"net/netip"
	"reflect"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// goneMemory is how long a removed upstream is remembered. Entries that lapsed
// while the platform's store was away are back within two seconds of its return.
const goneMemory = 6 * time.Second

// Item is one replicated part of the directory. Exactly one part is set.
type Item struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Revision uint64
	Route    *RouteItem
	Upstream *UpstreamItem
	Common   *CommonItem
}

// RouteItem is a route, or the removal of one.
type RouteItem struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Address  netip.AddrPort
	Route    *jasminemoor.Route
}

// UpstreamItem is an upstream, or the removal of one.
type UpstreamItem struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Key      string
	Upstream *jasminemoor.ListedUpstream
}

// CommonItem is what all routes have in common.
type CommonItem struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Version     uint64
	IdleTimeout time.Duration
}

// replica is the copy itself.
type replica struct {
	// revision is the platform's count of changes up to which all is known.
	revision uint64
	// since is the least revision from which all removals are known.
	since       uint64
	version     uint64
	versionAt   uint64 // revision of the configuration in force
	idleTimeout time.Duration
	routes      map[netip.AddrPort]*knownRoute
	upstreams   map[string]*knownUpstream
}

type knownRoute struct {
	revision uint64
	route    *jasminemoor.Route // nil after its removal
	former   []string
}

type knownUpstream struct {
	revision uint64
	upstream *jasminemoor.ListedUpstream // nil after its removal
	last     *jasminemoor.ListedUpstream // before its removal
	changed  time.Time
	warmAt   time.Time
	isOver   bool // its removal was so long ago that it is in no view
}

func (r *replica) init() {
	if r.routes == nil {
		r.routes = make(map[netip.AddrPort]*knownRoute)
		r.upstreams = make(map[string]*knownUpstream)
	}
}

// applyEntries takes in what the platform told, and returns what was new.
func (r *replica) applyEntries(now time.Time, c *jasminemoor.DirectoryChanges, isWhole bool) (news []Item) {
	r.init()
	named := make(map[string]bool)
	for i := range c.Entries {
		e := &c.Entries[i]
		if e.Routing != nil {
			news = append(news, r.applyRouting(now, e)...)
			continue
		}
		item := Item{Revision: e.Revision, Upstream: &UpstreamItem{Key: e.Key, Upstream: e.Upstream}}
		named[e.Key] = true
		if r.apply(now, &item) {
			news = append(news, item)
		}
	}
	if isWhole {
		news = append(news, r.removeOthers(now, c.Revision, named)...)
		// What came and went since the last revision was never seen here.
		r.since = max(r.since, c.Revision)
	}
	r.revision = max(r.revision, c.Revision)
	return news
}

// removeOthers removes the upstreams that a whole listing does not name.
func (r *replica) removeOthers(now time.Time, revision uint64, named map[string]bool) (news []Item) {
	for key, known := range r.upstreams {
		if named[key] || known.upstream == nil || known.revision >= revision {
			continue
		}
		item := Item{Revision: revision, Upstream: &UpstreamItem{Key: key}}
		if r.apply(now, &item) {
			news = append(news, item)
		}
	}
	return news
}

// applyRouting breaks a configuration up into its routes.
func (r *replica) applyRouting(now time.Time, e *jasminemoor.Entry) (news []Item) {
	c := e.Routing
	if c.Version <= r.version || e.Revision <= r.versionAt {
		return nil
	}
	items := []Item{{Revision: e.Revision, Common: &CommonItem{Version: c.Version, IdleTimeout: c.IdleTimeout}}}
	named := make(map[netip.AddrPort]bool, len(c.Routes))
	for i := range c.Routes {
		route := &c.Routes[i]
		named[route.Address] = true
		known := r.routes[route.Address]
		if known != nil && known.route != nil && reflect.DeepEqual(known.route, route) {
			continue
		}
		items = append(items, Item{Revision: e.Revision, Route: &RouteItem{Address: route.Address, Route: route}})
	}
	for addr, known := range r.routes {
		if known.route != nil && !named[addr] {
			items = append(items, Item{Revision: e.Revision, Route: &RouteItem{Address: addr}})
		}
	}
	for i := range items {
		if r.apply(now, &items[i]) {
			news = append(news, items[i])
		}
	}
	return news
}

// apply takes one item in and reports whether it was new.
func (r *replica) apply(now time.Time, item *Item) (isNew bool) {
	r.init()
	switch {
	case item.Common != nil:
		if item.Revision <= r.versionAt || item.Common.Version < r.version {
			return false
		}
		r.versionAt, r.version, r.idleTimeout = item.Revision, item.Common.Version, item.Common.IdleTimeout
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
	if known.upstream != nil {
		known.last = known.upstream
	}
	known.revision, known.upstream, known.changed, known.isOver = revision, item.Upstream, now, false
	if item.Upstream != nil {
		known.warmAt = now.Add(item.Upstream.WarmIn)
	}
	return true
}

// delta returns what a peer lacks that knows all up to a revision, and whether
// that is the whole.
func (r *replica) delta(since uint64) (items []Item, isWhole bool) {
	isWhole = since < r.since
	if isWhole {
		since = 0
	}
	if r.versionAt > since {
		items = append(items, Item{Revision: r.versionAt, Common: &CommonItem{Version: r.version, IdleTimeout: r.idleTimeout}})
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

// merge takes in what a peer that knows all up to revision told, given that
// this process knows all up to since or that the items are the whole.
func (r *replica) merge(now time.Time, items []Item, revision uint64, isWhole bool) (isNew bool) {
	r.init()
	named := make(map[string]bool)
	for i := range items {
		isNew = r.apply(now, &items[i]) || isNew
		if items[i].Upstream != nil {
			named[items[i].Upstream.Key] = true
		}
	}
	if isWhole && revision > r.revision {
		isNew = len(r.removeOthers(now, revision, named)) > 0 || isNew
		isNew = r.removeOtherRoutes(items, revision) || isNew
		r.since = max(r.since, revision)
	}
	r.revision = max(r.revision, revision)
	return isNew
}

func (r *replica) removeOtherRoutes(items []Item, revision uint64) (isNew bool) {
	named := make(map[netip.AddrPort]bool)
	for i := range items {
		if items[i].Route != nil {
			named[items[i].Route.Address] = true
		}
	}
	for addr, known := range r.routes {
		if !named[addr] && known.route != nil && known.revision < revision {
			isNew = r.applyRoute(revision, &RouteItem{Address: addr}) || isNew
		}
	}
	return isNew
}

// forget drops removals that are too old for any peer to lack. It reports
// whether upstreams that were removed are no longer in the view.
func (r *replica) forget(now time.Time) (hasChanged bool) {
	for key, known := range r.upstreams {
		if known.upstream != nil {
			continue
		}
		if !known.isOver && now.Sub(known.changed) > goneMemory {
			known.isOver, hasChanged = true, true
		}
		if now.Sub(known.changed) > removalMemory {
			r.since = max(r.since, known.revision)
			delete(r.upstreams, key)
		}
	}
	return hasChanged
}

// removalMemory is how long removals are told to peers one by one. A peer that
// lacks older ones gets the whole.
const removalMemory = time.Minute
