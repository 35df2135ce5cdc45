package jmdirectory

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// View is an immutable snapshot of a process's copy of the directory.
type View struct {
	Revision jasminemoor.Revision
	// Version is that of the configuration of the routes, 0 before the first.
	Version     uint64
	IdleTimeout time.Duration
	Routes      map[netip.AddrPort]*Route
	// RoutesKnownSince is a time since when this process, or a peer that it has learnt from,
	// has had each version of the routes. Before that, a route may have had any service. The
	// zero value says that all versions are known.
	RoutesKnownSince time.Time
	Services         map[string]*Service
	// CompleteAt is from when the view lists all upstreams that live: their entries may have
	// been lost as the platform was restored. It is zero if the platform never was.
	CompleteAt time.Time
	// Upstreams holds the newest entry of each address.
	Upstreams map[netip.AddrPort]*Upstream
	// Unplaced holds, by service, the upstreams that get no new flows but may hold open ones:
	// a newer entry of another service has their address, or the configuration does not name
	// their service.
	Unplaced map[string][]*Upstream
	// Agents holds the newest entry of each agent's address.
	Agents map[netip.Addr]*Upstream
	// EndingCount grows with each upstream that was found to have ended.
	EndingCount uint64
	// Unnamed holds the services of the entries that are left out because the configuration
	// does not name these, by the entries' keys.
	Unnamed map[string]string
	// Evacuated are the data centres that are being evacuated, in alphabetical order.
	Evacuated []string
}

// WithRevision returns a view that differs only in its revision.
func (v *View) WithRevision(revision jasminemoor.Revision) *View {
	next := *v
	next.Revision = revision
	return &next
}

// Route is a route and the services that may hold its flows.
type Route struct {
	jasminemoor.Route
	// Former are services of earlier versions, which may still hold open flows.
	Former []FormerService
}

// Allows reports whether new flows of the route may go to a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s jasminemoor.Share) bool { return s.Service == service })
}

// Pick returns the service for a new flow by the weights of the route's shares.
// All processes with the same route pick the same service. A single share is picked
// whatever its weight; otherwise Pick returns "" if the weights add up to 0.
func (r *Route) Pick(flow jasminemoor.FlowKey) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := uint64(0)
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return ""
	}
	at := flow.Hash() % total
	for _, s := range r.Shares {
		if at < uint64(s.Weight) {
			return s.Service
		}
		at -= uint64(s.Weight)
	}
	return ""
}

// Service is the upstreams of one service.
type Service struct {
	Name string
	// Upstreams are all that may hold flows, in the order of their addresses.
	Upstreams []*Upstream
	// ColdRate is how many new flows a second an upstream bears while it warms up, 0 if
	// there is no limit. A service that has a limit is in the view also without upstreams.
	ColdRate float64
}

// Upstream is the entry of an upstream with state from the entry's history.
type Upstream struct {
	jasminemoor.ListedUpstream
	Revision jasminemoor.Revision
	// WarmAt is when the upstream is at full speed.
	WarmAt time.Time
	// IsRemoved is set while an upstream stays in the view after the removal of its
	// entry. It gets no new flows, but may still be alive unless it left in an
	// orderly way.
	IsRemoved bool
	// RemovedAt is when this process learnt of the removal.
	RemovedAt time.Time
	// ListedSince is a time since when every view has had an upstream at this address
	// that is in rank. It is zero if this one is not.
	ListedSince time.Time
	// StartedAfter is a time before which the upstream had not started, zero if none is
	// known. Its flows were opened later.
	StartedAfter time.Time
	// HasEnded is set if an agent has found the upstream's process to have ended, so that
	// it holds no flows.
	HasEnded bool
	// IsEvacuated is set while the upstream's data centre is being evacuated. Its open
	// flows go on.
	IsEvacuated bool
	// ReturnedAt is when this process learnt that the last evacuation of the data centre
	// had ended, zero if there was none lately.
	ReturnedAt time.Time
}

// IsReady reports whether new flows may go to the upstream.
func (u *Upstream) IsReady() bool { return u.IsInRank() && !u.IsEvacuated }

// IsInRank reports whether the upstream counts among the first in rank for a new flow: it
// is ready, or would be if its data centre were not being evacuated.
func (u *Upstream) IsInRank() bool { return !u.IsRemoved && u.State == jasminemoor.UpstreamReady }

// view builds a view of the copy.
func (r *replica) view(now time.Time) *View {
	v := &View{
		Revision:    r.revision,
		Version:     r.version,
		IdleTimeout: r.idleTimeout,
		Unnamed:     make(map[string]string),
		Evacuated:   r.evacuated(now),
		EndingCount: r.endings.count,

		RoutesKnownSince: r.routesKnownSince,
		CompleteAt:       r.completeAt,
		Routes:           make(map[netip.AddrPort]*Route, len(r.routes)),
		Services:         make(map[string]*Service),
		Upstreams:        make(map[netip.AddrPort]*Upstream, len(r.upstreams)),
		Unplaced:         make(map[string][]*Upstream),
	}
	for addr, known := range r.routes {
		if known.route != nil {
			v.Routes[addr] = &Route{Route: *known.route, Former: known.former}
		}
	}
	v.Agents = make(map[netip.Addr]*Upstream, len(r.upstreams))
	for key, known := range r.upstreams {
		u := known.view(now)
		if u == nil {
			continue
		}
		r.addEvacuation(now, u)
		r.addHistory(u)
		u.HasEnded = r.endings.has(&u.ListedUpstream)
		if r.isNamed(u.Service) {
			v.add(u)
			continue
		}
		v.Unplaced[u.Service] = append(v.Unplaced[u.Service], u)
		if !u.IsRemoved {
			v.Unnamed[key] = u.Service
		}
	}
	v.addUnnamedAgents()
	v.addLimits()
	for _, u := range v.Upstreams {
		s := v.Services[u.Service]
		if s == nil {
			s = &Service{Name: u.Service}
			v.Services[u.Service] = s
		}
		s.Upstreams = append(s.Upstreams, u)
	}
	for _, s := range v.Services {
		slices.SortFunc(s.Upstreams, compareUpstreams)
	}
	for _, upstreams := range v.Unplaced {
		slices.SortFunc(upstreams, compareUpstreams)
	}
	return v
}

// view returns the upstream's form in views, or nil if it was removed more than
// viewRetention ago.
func (k *knownUpstream) view(now time.Time) *Upstream {
	u := &Upstream{Revision: k.revision, WarmAt: k.warmAt}
	switch {
	case k.upstream != nil:
		u.ListedUpstream = *k.upstream
	case k.isMissing(now):
		u.ListedUpstream = *k.last
	case k.last == nil || now.Sub(k.changedAt) > viewRetention:
		return nil
	default:
		u.ListedUpstream, u.IsRemoved, u.RemovedAt = *k.last, true, k.changedAt
	}
	return u
}

// add adds an upstream to Upstreams and to Agents, except where a newer one has the
// same address. The older one is unplaced, unless the newer one follows it in the same service.
func (v *View) add(u *Upstream) {
	if other := v.Agents[u.Address.Addr()]; other == nil || isNewer(u, other) {
		v.Agents[u.Address.Addr()] = u
	}
	if other := v.Upstreams[u.Address]; other != nil {
		if isNewer(other, u) {
			u, other = other, u
		}
		if other.Service != u.Service {
			v.Unplaced[other.Service] = append(v.Unplaced[other.Service], other)
		}
	}
	v.Upstreams[u.Address] = u
}

// addUnnamedAgents adds the agents of unplaced upstreams at addresses without another one.
func (v *View) addUnnamedAgents() {
	for _, upstreams := range v.Unplaced {
		for _, u := range upstreams {
			addr := u.Address.Addr()
			if other := v.Agents[addr]; other == nil || v.Upstreams[other.Address] != other && isNewer(u, other) {
				v.Agents[addr] = u
			}
		}
	}
}

func compareUpstreams(a, b *Upstream) int {
	return cmp.Or(a.Address.Compare(b.Address), strings.Compare(a.ID, b.ID))
}

// isNewer reports whether u replaces other at an address that both have: a new
// upstream may take over an address before the former one's entry expires.
func isNewer(u, other *Upstream) bool {
	if u.IsRemoved != other.IsRemoved {
		return other.IsRemoved
	}
	if u.Born != other.Born {
		return u.Born > other.Born
	}
	if u.Revision != other.Revision {
		return u.Revision > other.Revision
	}
	return strings.Compare(u.ID, other.ID) > 0
}
