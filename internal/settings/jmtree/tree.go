package jmtree

import (
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// Config is one view of the whole tree. It is immutable.
type Config struct {
	Fleet *Fleet
	// Services holds the services in force by their number.
	Services map[jasminemoor.ServiceNumber]*Service
	// Agents holds the place of each agent.
	Agents map[netip.AddrPort]Place
	// Revisions holds the revision in force of each subtree.
	Revisions map[string]uint64
	// Faults lists what is wrong with newer revisions that are not in force,
	// services left out because another team claims the same, and certificates
	// that have expired.
	Faults []Fault
}

// Place is an agent's upstream in its service.
type Place struct {
	Service *Service
	Index   int // in the service's upstreams
}

// ServiceOf returns the service and the upstream beside an agent.
func (c *Config) ServiceOf(agent netip.AddrPort) (s *Service, u Upstream, found bool) {
	place, found := c.Agents[agent]
	if !found {
		return nil, Upstream{}, false
	}
	return place.Service, place.Service.Upstreams[place.Index], true
}

// BalancerNamed returns a balancer of the fleet.
func (c *Config) BalancerNamed(name string) (b Balancer, found bool) {
	for _, b = range c.Fleet.Balancers {
		if b.Name == name {
			return b, true
		}
	}
	return Balancer{}, false
}

// Tree keeps the newest subtrees and the last good content of each. It has no
// locks: one goroutine owns it. The zero value is an empty tree.
type Tree struct {
	entries map[string]*treeEntry
}

type treeEntry struct {
	newest jasminemoor.Subtree
	faults []Fault // of newest, while it is not in force

	good     jasminemoor.Subtree
	fleet    *Fleet
	services []*Service
}

// Put takes a subtree and reports whether it changed what is known. It never
// goes back: the newest revision is remembered even if it has faults, so that
// it is not fetched again, and the newest good one is in force. A process that
// learns of a faulty revision first still takes the older good one.
func (t *Tree) Put(s jasminemoor.Subtree) (isNew bool) {
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

// apply puts a subtree in force unless it has faults.
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

// Revision is how far one process knows a subtree.
type Revision struct {
	Newest uint64 // the newest revision heard of
	Good   uint64 // the newest one without faults, which is in force
}

// Revisions returns the known revisions of each subtree.
func (t *Tree) Revisions() map[string]Revision {
	revisions := make(map[string]Revision, len(t.entries))
	for path, e := range t.entries {
		revisions[path] = Revision{Newest: e.newest.Revision, Good: e.good.Revision}
	}
	return revisions
}

// Subtrees returns what a peer with the given revision of a subtree lacks:
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

// Config composes the subtrees in force. It returns nil before a good fleet
// subtree is known. Where two teams claim the same number, address, server
// name or agent, the team and service that sort first get it, on every
// process alike.
func (t *Tree) Config() *Config {
	fleet := t.entries[FleetPath]
	if fleet == nil || fleet.fleet == nil {
		return nil
	}
	c := &Config{
		Fleet:     fleet.fleet,
		Services:  make(map[jasminemoor.ServiceNumber]*Service),
		Agents:    make(map[netip.AddrPort]Place),
		Revisions: make(map[string]uint64, len(t.entries)),
	}
	taken := newClaims()
	for _, path := range sortedKeys(t.entries) {
		e := t.entries[path]
		c.Faults = append(c.Faults, e.faults...)
		c.Revisions[path] = e.good.Revision
		for _, s := range e.services {
			conflicts := taken.add(s)
			if s.Certificate.HasExpired(time.Now()) {
				c.Faults = append(c.Faults, expiry(path, s))
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

func expiry(path string, s *Service) Fault {
	until := s.Certificate.Parsed().Leaf.NotAfter.Format(time.RFC3339)
	return Fault{Path: path + "/" + s.Name, Pointer: "/Certificate/Chain", Cause: "certificate expired at " + until}
}

func (c *Config) add(s *Service) {
	c.Services[s.Number] = s
	for i, u := range s.Upstreams {
		c.Agents[u.Agent] = Place{Service: s, Index: i}
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
