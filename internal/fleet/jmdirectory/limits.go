package jmdirectory

import (
	"slices"

	"github.com/jasminemoor/jasminemoor"
)

// The limits of services are replicated with the routes, as fields of their shares:
// earlier versions ignore them there, but can't read an Item or a CommonItem that has
// more fields than theirs.

// withLimits returns a route with the limits of its services, which is the same one if
// there are none.
func withLimits(route *jasminemoor.Route, services []jasminemoor.ServiceLimits) *jasminemoor.Route {
	limited := *route
	limited.Shares = slices.Clone(route.Shares)
	for i := range limited.Shares {
		for _, s := range services {
			if s.Service == limited.Shares[i].Service {
				limited.Shares[i].ColdRate = s.ColdRate
			}
		}
	}
	if !hasLimits(&limited) {
		return route
	}
	return &limited
}

// hasLimits reports whether a service of the route, which may be nil, has limits.
func hasLimits(route *jasminemoor.Route) bool {
	return route != nil && slices.ContainsFunc(route.Shares, func(s jasminemoor.Share) bool { return s.ColdRate > 0 })
}

// addLimits adds the services that have limits.
func (v *View) addLimits() {
	for _, route := range v.Routes {
		for _, s := range route.Shares {
			if s.ColdRate > 0 {
				v.Services[s.Service] = &Service{Name: s.Service, ColdRate: s.ColdRate}
			}
		}
	}
}
