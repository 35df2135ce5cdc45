package jmdirectory

import (
	"net/netip"
	"reflect"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// maxPassedVersions bounds the versions that a copy remembers to have had. A peer with an
// older one gets all routes.
const maxPassedVersions = 64

// routing is the configuration of the routes in a copy.
type routing struct {
	version         uint64
	versionRevision jasminemoor.Revision // of the configuration's entry
	idleTimeout     time.Duration
	routes          map[netip.AddrPort]*knownRoute
	// services are those that the configuration lists, nil if that is not known.
	services []string
	// named are the services whose upstreams can be used, nil for all: see updateNamed.
	named map[string]bool
	// passed are the versions that the copy has had, the latest last. What was removed
	// since these is known.
	passed []uint64
	// routesKnownSince is a time since when the copy has had each version of the routes, zero
	// before the first copy.
	routesKnownSince time.Time
}

type knownRoute struct {
	version  uint64               // of the last change, as far as the copy knows
	revision jasminemoor.Revision // of the configuration with it
	route    *jasminemoor.Route   // nil after its removal
	former   []FormerService      // see Route.Former
}

// hasHad reports whether the copy has had a version. All have had version 0, which has no
// routes.
func (r *routing) hasHad(version uint64) bool {
	return version == 0 || slices.Contains(r.passed, version)
}

// announcement returns the item that tells peers with an older version to pull the routes.
func (r *routing) announcement() Item {
	return Item{Revision: r.versionRevision, Common: &CommonItem{Version: r.version, IdleTimeout: r.idleTimeout}, Since: r.version}
}

// applyRouting applies a configuration if its version is newer than the copy's, and returns
// the items that differ.
func (r *routing) applyRouting(now time.Time, e *jasminemoor.Entry) (changed []Item) {
	c := e.Routing
	if c.Version <= r.version {
		return nil
	}
	changed = []Item{{
		Revision: e.Revision, Common: &CommonItem{Version: c.Version, IdleTimeout: c.IdleTimeout},
		Since: r.version, Services: serviceNames(c.Services),
	}}
	listed := make(map[netip.AddrPort]bool, len(c.Routes))
	for i := range c.Routes {
		route := withLimits(&c.Routes[i], c.Services)
		listed[route.Address] = true
		known := r.routes[route.Address]
		if known != nil && known.route != nil && reflect.DeepEqual(known.route, route) {
			continue
		}
		changed = append(changed, Item{Revision: e.Revision, Route: &RouteItem{Address: route.Address, Route: route}})
	}
	for addr, known := range r.routes {
		if known.route != nil && !listed[addr] {
			changed = append(changed, Item{Revision: e.Revision, Route: &RouteItem{Address: addr}})
		}
	}
	r.applyVersion(now, changed, &changed[0])
	return changed
}

// commonOf returns the item with the common part of a configuration, or nil.
func commonOf(items []Item) *Item {
	at := slices.IndexFunc(items, func(i Item) bool { return i.Common != nil })
	if at < 0 {
		return nil
	}
	return &items[at]
}

// configurations splits the items of a peer into parts with one configuration each. The routes
// of a configuration follow its common part.
func configurations(items []Item) (parts [][]Item) {
	hasCommon, start := false, 0
	for i := range items {
		if items[i].Common == nil {
			continue
		}
		if hasCommon {
			parts, start = append(parts, items[start:i]), i
		}
		hasCommon = true
	}
	return append(parts, items[start:])
}

// canApplyRoutes reports whether the routes among the items of a beacon, if they are of newer
// versions, are the changes since this copy's.
func (r *routing) canApplyRoutes(items []Item) bool {
	version := r.version
	for _, part := range configurations(items) {
		common := commonOf(part)
		if common == nil || common.Common.Version <= version {
			continue
		}
		if common.Since != 0 && common.Since != version {
			return false
		}
		version = common.Common.Version
	}
	return true
}

// mergeRoutes applies the routes among a peer's items whose version is newer than the copy's,
// and reports whether there were any. They must be all of the peer's or those that have
// changed since this copy's version.
func (r *routing) mergeRoutes(now time.Time, items []Item, isWhole bool) (isNew bool) {
	for _, part := range configurations(items) {
		isNew = r.mergeConfiguration(now, part, isWhole) || isNew
	}
	return isNew
}

func (r *routing) mergeConfiguration(now time.Time, items []Item, isWhole bool) (isNew bool) {
	common := commonOf(items)
	if common == nil || common.Common.Version <= r.version {
		return r.mergeLimits(items)
	}
	if isWhole {
		items = append(slices.Clone(items), r.unlistedRoutes(items, common.Revision)...)
	}
	r.applyVersion(now, items, common)
	return true
}

// unlistedRoutes returns the removals of the routes that a peer's full copy does not name.
func (r *routing) unlistedRoutes(items []Item, revision jasminemoor.Revision) (removals []Item) {
	listed := make(map[netip.AddrPort]bool)
	for i := range items {
		if items[i].Route != nil {
			listed[items[i].Route.Address] = true
		}
	}
	for addr, known := range r.routes {
		if !listed[addr] && known.route != nil {
			removals = append(removals, Item{Revision: revision, Route: &RouteItem{Address: addr}})
		}
	}
	return removals
}

// mergeLimits adds services and limits that this copy's configuration lacks, since a process
// of an earlier release has passed it on without.
func (r *routing) mergeLimits(items []Item) (isNew bool) {
	if common := commonOf(items); common != nil && common.Common.Version == r.version && common.Services != nil && r.services == nil {
		r.services, isNew = common.Services, true
	}
	for i := range items {
		item := items[i].Route
		if item == nil || !hasLimits(item.Route) {
			continue
		}
		if known := r.routes[item.Address]; known != nil && known.revision == items[i].Revision && !hasLimits(known.route) {
			known.route, isNew = item.Route, true
		}
	}
	return isNew
}

// applyVersion puts the routes among the items in force as a new version, of which common is
// the item with the common part.
func (r *routing) applyVersion(now time.Time, items []Item, common *Item) {
	r.version, r.versionRevision, r.idleTimeout = common.Common.Version, common.Revision, common.Common.IdleTimeout
	r.services = common.Services
	r.passed = append(r.passed, r.version)
	if len(r.passed) > maxPassedVersions {
		r.passed = r.passed[1:]
	}
	for i := range items {
		if items[i].Route != nil {
			r.applyRoute(now, items[i].Revision, items[i].Route)
		}
	}
}

func (r *routing) applyRoute(now time.Time, revision jasminemoor.Revision, item *RouteItem) {
	known := r.routes[item.Address]
	if known == nil {
		known = &knownRoute{}
		r.routes[item.Address] = known
	}
	known.version, known.revision = r.version, revision
	if known.route != nil {
		known.leave(now, known.route.Shares)
	}
	known.route = item.Route
}

// deltaRoutes returns the routes that a peer's copy lacks, or all of them.
func (r *routing) deltaRoutes(request *PullRequest, isWhole bool) (items []Item) {
	lacks := func(version uint64, revision jasminemoor.Revision) bool {
		if request.HasVersion {
			return version > request.Version
		}
		return revision > request.Since
	}
	if r.version > 0 && (isWhole || lacks(r.version, r.versionRevision)) {
		common := &CommonItem{Version: r.version, IdleTimeout: r.idleTimeout}
		items = append(items, Item{Revision: r.versionRevision, Common: common, Services: r.services})
	}
	for addr, known := range r.routes {
		if known.version > 0 && (isWhole || lacks(known.version, known.revision)) {
			items = append(items, Item{Revision: known.revision, Route: &RouteItem{Address: addr, Route: known.route}})
		}
	}
	return items
}
