package jmexplore

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
)

// directory is what the platform has: the routes, and an entry for each upstream.
type directory struct {
	routes  [][]string // services that each flow's route has had, the present one last
	history []publication
}

// publication is one revision of the directory.
type publication struct {
	at      time.Time
	version uint64
	routes  []string // service of each flow's route
	entries []entry
}

// entry is the entry of a node's upstream.
type entry struct {
	isListed  bool
	isLeaving bool
	service   string
	born      time.Time
	removed   time.Time // zero if it never was
}

// directoryCopy is a process's copy of the directory.
type directoryCopy struct {
	isPresent bool
	revision  int       // index into the history
	first     int       // revision of the first copy
	since     time.Time // of the first copy
	isWhole   bool      // the process has had each revision from the first
	view      *viewOf   // of that revision
}

// viewOf is a view, which is built anew if the copy has changed or may drop an entry.
type viewOf struct {
	revision int
	isFinal  bool
	*jmdirectory.View
}

// hadService reports whether a flow's route has had a service in any configuration.
func (d *directory) hadService(flow int, service string) bool {
	return slices.Contains(d.routes[flow], service)
}

// publish adds a revision to the directory's history, with the present routes and upstreams.
// The entry of an upstream that has ended stays until it lapses.
func (w *world) publish(lapsed ...int) {
	next := publication{at: w.now, version: uint64(1)}
	for _, services := range w.directory.routes {
		next.routes = append(next.routes, services[len(services)-1])
		next.version += uint64(len(services) - 1)
	}
	for i, n := range w.nodes() {
		e := entry{}
		if len(w.directory.history) > 0 {
			e = w.directory.newest().entries[i]
		}
		if u := n.upstream; u.isUp && u.starts != u.listed {
			e, u.listed = entry{isListed: true, service: u.service, born: w.now}, u.starts
		}
		e.isLeaving = e.isLeaving || n.upstream.isUp && !n.upstream.left.IsZero()
		if slices.Contains(lapsed, i) {
			e.isListed, e.removed = false, w.now
		}
		next.entries = append(next.entries, e)
	}
	w.directory.history = append(w.directory.history, next)
	for _, p := range w.processes {
		if w.fleet.IsInStep && p.isUp && p.copy.isPresent {
			w.giveCopy(p, len(w.directory.history)-1, false)
		}
	}
}

func (d *directory) newest() *publication { return &d.history[len(d.history)-1] }

// nodes returns the agents, each with its upstream.
func (w *world) nodes() []*process { return w.processes[w.fleet.Balancers:] }

// giveCopy gives a process a revision of the directory.
func (w *world) giveCopy(p *process, revision int, isWhole bool) {
	c := &p.copy
	if !c.isPresent {
		*c = directoryCopy{isPresent: true, first: revision, since: w.now, isWhole: isWhole}
	}
	c.revision = revision
	w.refreshCopy(p)
}

// refreshCopy brings a copy that is maxLag behind up to date, and tells its process how old
// it is.
func (w *world) refreshCopy(p *process) {
	c := &p.copy
	if !c.isPresent {
		return
	}
	last := len(w.directory.history) - 1
	if c.revision < last && w.now.Sub(w.directory.history[c.revision+1].at) >= maxLag {
		c.revision = last
	}
	asOf := w.now
	if c.revision < last {
		asOf = w.directory.history[c.revision+1].at
	}
	if c.view == nil || c.view.revision != c.revision || !c.view.isFinal {
		c.view = w.view(c)
	}
	s := jmpass.Snapshot{View: c.view.View, AsOf: asOf}
	if p.balancer != nil {
		p.balancer.SetSnapshot(s)
	} else {
		p.agent.SetSnapshot(s)
	}
}

// view returns a copy's view. It knows of the past what the process has seen.
func (w *world) view(c *directoryCopy) *viewOf {
	now := &w.directory.history[c.revision]
	v := &jmdirectory.View{
		Revision: jasminemoor.Revision(c.revision + 1), Version: now.version,
		Routes:    make(map[netip.AddrPort]*jmdirectory.Route),
		Services:  make(map[string]*jmdirectory.Service),
		Upstreams: make(map[netip.AddrPort]*jmdirectory.Upstream),
		Agents:    make(map[netip.Addr]*jmdirectory.Upstream),
	}
	if !c.isWhole {
		v.RoutesKnownSince = c.since
	}
	for i, service := range now.routes {
		r := &jmdirectory.Route{Route: jasminemoor.Route{
			Address: routeAddr(i), Shares: []jasminemoor.Share{{Service: service, Weight: 1}},
			Timeout: 3 * time.Second, Target: 200 * time.Millisecond,
		}}
		for at := c.first + 1; at <= c.revision; at++ {
			if former := w.directory.history[at-1].routes[i]; former != w.directory.history[at].routes[i] {
				// The process learnt of it maxLag later at most.
				left := w.directory.history[at].at.Add(maxLag)
				r.Former = append(r.Former, jmdirectory.FormerService{Service: former, LeftAt: left})
			}
		}
		v.Routes[r.Address] = r
		w.addService(v, service)
	}
	isFinal := true
	for i := range now.entries {
		e := &now.entries[i]
		isFinal = isFinal && e.removed.IsZero()
		if !e.isListed && (e.removed.IsZero() || w.now.Sub(e.removed) > viewRetention) {
			continue
		}
		addr := w.nodes()[i].addr
		u := &jmdirectory.Upstream{
			ListedUpstream: jasminemoor.ListedUpstream{
				ID: fmt.Sprintf("%s-%d", addr, e.born.Sub(startTime)), Service: e.service, Address: netip.AddrPortFrom(addr, upstreamPort),
				DataCentre: dataCentre, Slots: 2, Born: e.born.UnixMilli(),
			},
			IsRemoved: !e.isListed, RemovedAt: e.removed,
		}
		if e.isLeaving {
			u.State = jasminemoor.UpstreamLeaving
		}
		if e.born.After(w.directory.history[c.first].at) {
			u.StartedAfter = e.born.Add(-startUncertainty)
		}
		v.Upstreams[u.Address], v.Agents[addr] = u, u
		w.addService(v, e.service)
		v.Services[e.service].Upstreams = append(v.Services[e.service].Upstreams, u)
	}
	return &viewOf{c.revision, isFinal, v}
}

// startUncertainty is how exactly the directory tells when an upstream has started.
const startUncertainty = 6 * time.Second

func (w *world) addService(v *jmdirectory.View, name string) {
	if v.Services[name] == nil {
		v.Services[name] = &jmdirectory.Service{Name: name}
	}
}
