package jmdirectory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// Only upstreams of services that the configuration names get new flows: those that it lists,
// and those that its routes have or, as far as this copy knows, had. Entries of other services
// are kept, since a later configuration may name them. In views they are unplaced.

func serviceNames(services []jasminemoor.ServiceLimits) (names []string) {
	if services == nil {
		return nil
	}
	names = make([]string, 0, len(services))
	for _, s := range services {
		names = append(names, s.Service)
	}
	return names
}

// isNamed reports whether the configuration names a service, or is not known.
func (r *routing) isNamed(service string) bool { return r.named == nil || r.named[service] }

// namedServices returns the services that the configuration names, nil if that is not known.
func (r *routing) namedServices() (named map[string]bool) {
	if r.version == 0 || r.services == nil {
		return nil
	}
	named = make(map[string]bool)
	for _, name := range r.services {
		named[name] = true
	}
	for _, known := range r.routes {
		if known.route != nil {
			for _, s := range known.route.Shares {
				named[s.Service] = true
			}
		}
		for _, f := range known.former {
			named[f.Service] = true
		}
	}
	return named
}

// updateNamed updates the named services after a change of the routes. The histories of
// addresses begin anew where that changes whose upstreams are in views.
func (r *replica) updateNamed(now time.Time) {
	named := r.namedServices()
	if (named == nil) == (r.named == nil) && maps.Equal(named, r.named) {
		return
	}
	r.named = named
	for addr, h := range r.histories {
		if !r.isNamed(h.service) {
			delete(r.histories, addr)
		}
	}
	var unrecorded []string
	for key, known := range r.upstreams {
		if u := known.upstream; u != nil && r.isNamed(u.Service) && r.histories[u.Address] == nil {
			unrecorded = append(unrecorded, key)
		}
	}
	slices.SortFunc(unrecorded, func(x, y string) int {
		return cmp.Or(cmp.Compare(r.upstreams[x].revision, r.upstreams[y].revision), cmp.Compare(x, y))
	})
	for _, key := range unrecorded {
		r.recordHistory(now, key, nil, r.upstreams[key].upstream)
	}
}

// applyRouting applies a configuration, and returns the items that differ.
func (r *replica) applyRouting(now time.Time, e *jasminemoor.Entry) (changed []Item) {
	if changed = r.routing.applyRouting(now, e); len(changed) > 0 {
		r.updateNamed(now)
	}
	return changed
}

// mergeRoutes merges the routes among a peer's items, and reports whether any were new.
func (r *replica) mergeRoutes(now time.Time, items []Item, isWhole bool) (isNew bool) {
	if isNew = r.routing.mergeRoutes(now, items, isWhole); isNew {
		r.updateNamed(now)
	}
	return isNew
}

// upstreamView returns an upstream's form in views, or nil if it is in none or its service is not
// named.
func (r *replica) upstreamView(now time.Time, known *knownUpstream) *Upstream {
	u := known.view(now)
	if u == nil || !r.isNamed(u.Service) {
		return nil
	}
	return u
}
