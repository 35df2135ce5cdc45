package jmtree

import (
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// Config holds the settings of all subtrees in force. It is immutable.
type Config struct {
	Fleet *Fleet
	// Services maps the number of each service in force to the service.
	Services map[jasminemoor.ServiceNumber]*Service
	// Agents maps each agent's address to its upstream.
	Agents map[netip.AddrPort]UpstreamRef
	// Revisions holds the revision in force of each subtree, 0 if none is.
	Revisions map[string]uint64
	// Faults lists the faults that keep newer revisions from coming into force, the
	// conflicts that keep services out because another team has the same number,
	// address, server name or agent, and the certificates that have expired.
	Faults []Fault
}

// UpstreamRef locates an agent's upstream: its service, and its index there.
type UpstreamRef struct {
	Service *Service
	Index   int // in Service.Upstreams
}

// ServiceOf returns the upstream beside an agent and that upstream's service.
func (c *Config) ServiceOf(agent netip.AddrPort) (s *Service, u Upstream, found bool) {
	ref, found := c.Agents[agent]
	if !found {
		return nil, Upstream{}, false
	}
	return ref.Service, ref.Service.Upstreams[ref.Index], true
}

// BalancerNamed returns the balancer with the given name.
func (c *Config) BalancerNamed(name string) (b Balancer, found bool) {
	for _, b = range c.Fleet.Balancers {
		if b.Name == name {
			return b, true
		}
	}
	return Balancer{}, false
}

// Tree keeps two revisions of each subtree: the newest one, and the newest one
// without faults, which is in force. It is not safe for concurrent use: one
// goroutine owns it. The zero value is an empty tree.
type Tree struct {
	entries map[string]*treeEntry // by path
}

// treeEntry holds the revisions of one subtree, with the content of the good one.
type treeEntry struct {
	newest jasminemoor.Subtree
	faults []Fault // of newest, while it is not in force

	good     jasminemoor.Subtree // the revision in force
	fleet    *Fleet              // in the fleet's entry
	services []*Service          // in a team's entry
}

// Put adds a revision of a subtree and reports whether it changed the tree. It
// ignores paths that name no subtree, and revision 0. The revisions never go back:
// the newest one is kept even if it has faults, so that it is not fetched again,
// and the newest one without faults is in force. A process that gets a faulty
// revision first still accepts an older good one.
func (t *Tree) Put(s jasminemoor.Subtree) (hasChanged bool) {
	if !IsSubtreePath(s.Path) || s.Revision == 0 {
		return false
	}
	if t.entries == nil {
		t.entries = make(map[string]*treeEntry)
	}
	e := t.entries[s.Path]
	if e == nil {
		e = &treeEntry{}
		t.entries[s.Path] = e
	}
	if s.Revision <= e.good.Revision || s.Revision == e.newest.Revision {
		return false
	}
	isNewest := s.Revision > e.newest.Revision
	faults := e.apply(s)
	if isNewest {
		e.newest, e.faults = s, faults
	}
	return isNewest || len(faults) == 0
}

// apply parses a subtree, and puts it in force unless it has faults.
func (e *treeEntry) apply(s jasminemoor.Subtree) (faults []Fault) {
	if s.Path == FleetPath {
		fleet, faults := ParseFleet(s)
		if len(faults) == 0 {
			e.fleet, e.good = fleet, s
		}
		return faults
	}
	services, faults := ParseTeam(s)
	if len(faults) == 0 {
		e.services, e.good = services, s
	}
	return faults
}

// IsSubtreePath reports whether path names a subtree.
func IsSubtreePath(path string) bool {
	if path == FleetPath {
		return true
	}
	team, found := strings.CutPrefix(path, TeamPrefix)
	return found && team != "" && !strings.Contains(team, "/")
}

// Revision holds the revisions of a subtree that one process knows.
type Revision struct {
	Newest uint64 // the newest revision, which may have faults
	Good   uint64 // the newest one without faults, which is in force
}

// Revisions maps the path of each subtree to its known revisions.
func (t *Tree) Revisions() map[string]Revision {
	revisions := make(map[string]Revision, len(t.entries))
	for path, e := range t.entries {
		revisions[path] = Revision{Newest: e.newest.Revision, Good: e.good.Revision}
	}
	return revisions
}

// Subtrees returns the revisions of a subtree that are newer than those of a peer:
// the good revision, the newest one, both or none.
func (t *Tree) Subtrees(path string, peer Revision) (subtrees []jasminemoor.Subtree) {
	e := t.entries[path]
	if e == nil {
		return nil
	}
	if e.good.Revision > peer.Good {
		subtrees = append(subtrees, e.good)
	}
	if e.newest.Revision > peer.Newest && e.newest.Revision != e.good.Revision {
		subtrees = append(subtrees, e.newest)
	}
	return subtrees
}

// Config composes the settings from the subtrees in force. It returns nil until a
// fleet subtree without faults is known. If two teams claim the same number,
// address, server name or agent, the service that sorts first by team and name gets
// it, on every process alike, and the other one is left out.
func (t *Tree) Config() *Config {
	fleet := t.entries[FleetPath]
	if fleet == nil || fleet.fleet == nil {
		return nil
	}
	c := &Config{
		Fleet:     fleet.fleet,
		Services:  make(map[jasminemoor.ServiceNumber]*Service),
		Agents:    make(map[netip.AddrPort]UpstreamRef),
		Revisions: make(map[string]uint64, len(t.entries)),
	}
	claimed := newClaims()
	for _, path := range sortedKeys(t.entries) {
		e := t.entries[path]
		c.Faults = append(c.Faults, e.faults...)
		c.Revisions[path] = e.good.Revision
		for _, s := range e.services {
			conflicts := claimed.add(s)
			if s.Certificate.HasExpired(time.Now()) {
				c.Faults = append(c.Faults, expiryFault(path, s))
			}
			for _, cause := range conflicts {
				c.Faults = append(c.Faults, Fault{Path: path + "/" + s.Name, Cause: cause})
			}
			if len(conflicts) == 0 {
				c.add(s)
			}
		}
	}
	return c
}

// expiryFault returns the fault of a service whose certificate has expired.
func expiryFault(path string, s *Service) Fault {
	until := s.Certificate.Parsed().Leaf.NotAfter.Format(time.RFC3339)
	return Fault{Path: path + "/" + s.Name, Pointer: "/Certificate/Chain", Cause: "certificate expired at " + until}
}

// add puts a service and its agents in force.
func (c *Config) add(s *Service) {
	c.Services[s.Number] = s
	for i, u := range s.Upstreams {
		c.Agents[u.Agent] = UpstreamRef{Service: s, Index: i}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
