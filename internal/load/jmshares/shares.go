// Package jmshares divides the work of an upstream fairly among those who compete for
// it: the routes, and the client accounts of each route. It knows nothing of packets.
//
// The division is start-time fair queueing by work, not by count, inside each priority.
// It answers a load in which one competitor asks for more than its share while others
// wait. A share that is not used is lent to the others.
package jmshares

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

// Competitor is what a request competes as.
type Competitor struct {
	Priority int // competitors of another priority don't compete with it
	Route    netip.AddrPort
	Caller   netip.Addr
}

// Shares divides the work of one upstream. The zero value has no accounts: each caller's
// address is one of its own. Shares is not safe for concurrent use.
type Shares struct {
	// accounts is replaced by SetAccounts.
	accounts []jasminemoor.ClientAccount
	routes   map[routeKey]*queue
	groups   map[int]*clock // of the routes, by priority
	waiting  int
}

// routeKey identifies the queue of a route. A configuration may change the priority.
type routeKey struct {
	priority int
	route    netip.AddrPort
}

// clock is the virtual time of those who compete with each other, in seconds of work
// for a weight of 1.
type clock struct{ now float64 }

// entry is the account of the work that one competitor has received.
type entry struct {
	clock   *clock
	weight  float64
	finish  float64 // virtual time when its work so far is paid for
	waiting int
}

// start returns the virtual time at which the competitor's next request is due.
func (e *entry) start() float64 { return max(e.clock.now, e.finish) }

func (e *entry) serve(work time.Duration) {
	e.clock.now = e.start()
	e.finish = e.clock.now + work.Seconds()/e.weight
}

// queue is a route and those who compete for the route's share.
type queue struct {
	entry
	callers map[accountKey]*entry
	clock   clock // of callers
}

// accountKey identifies an account by its name, or a caller without one by its address.
type accountKey struct {
	name   string
	caller netip.Addr
}

// Claim is the place of a request that waits. The zero value is that of a request that
// does not compete.
type Claim struct {
	route  *queue
	caller *entry
}

// SetAccounts replaces the accounts. Requests that wait keep their places.
func (s *Shares) SetAccounts(accounts []jasminemoor.ClientAccount) { s.accounts = accounts }

// Account returns the first account that has a network with the caller's address, nil if
// there is none.
func (s *Shares) Account(caller netip.Addr) *jasminemoor.ClientAccount {
	for i := range s.accounts {
		for _, network := range s.accounts[i].Networks {
			if network.Contains(caller) {
				return &s.accounts[i]
			}
		}
	}
	return nil
}

// Join adds a request that begins to wait.
func (s *Shares) Join(c Competitor) Claim {
	if s.routes == nil {
		s.routes, s.groups = make(map[routeKey]*queue), make(map[int]*clock)
	}
	group := s.groups[c.Priority]
	if group == nil {
		group = &clock{}
		s.groups[c.Priority] = group
	}
	q := s.routes[routeKey{c.Priority, c.Route}]
	if q == nil {
		q = &queue{entry: entry{clock: group, weight: 1}, callers: make(map[accountKey]*entry)}
		s.routes[routeKey{c.Priority, c.Route}] = q
	}
	key, weight := s.keyOf(c.Caller)
	e := q.callers[key]
	if e == nil {
		e = &entry{clock: &q.clock}
		q.callers[key] = e
	}
	e.weight = weight
	q.waiting++
	e.waiting++
	s.waiting++
	return Claim{route: q, caller: e}
}

func (s *Shares) keyOf(caller netip.Addr) (key accountKey, weight float64) {
	account := s.Account(caller)
	switch {
	case account == nil:
		return accountKey{caller: caller}, 1
	case account.Weight <= 0:
		return accountKey{name: account.Name}, 1
	}
	return accountKey{name: account.Name}, account.Weight
}

// Serve removes a request that begins to run, which takes the given time of work.
func (s *Shares) Serve(c Claim, work time.Duration) {
	if c.route == nil {
		return
	}
	c.route.serve(work)
	c.caller.serve(work)
	s.Leave(c)
}

// Leave removes a request that no longer waits and has not run. Once none waits, nobody
// has received more than others want, so that all begin anew.
func (s *Shares) Leave(c Claim) {
	if c.route == nil {
		return
	}
	c.route.waiting--
	c.caller.waiting--
	if s.waiting--; s.waiting == 0 {
		clear(s.routes)
		clear(s.groups)
	}
}

// HasRoom reports whether one more request of a caller may wait, by the limit of its
// account.
func (s *Shares) HasRoom(caller netip.Addr) bool {
	account := s.Account(caller)
	if account == nil || account.MaxWaiting <= 0 {
		return true
	}
	waiting := 0
	for _, q := range s.routes {
		if e := q.callers[accountKey{name: account.Name}]; e != nil {
			waiting += e.waiting
		}
	}
	return waiting < account.MaxWaiting
}

// Compare returns a negative number if c is to be served before other, a positive one if
// after it, and 0 if neither has received more than its share. Both must be of the same
// priority.
func (c *Claim) Compare(other *Claim) int {
	if c.route == nil || other.route == nil {
		return 0
	}
	if c.route != other.route {
		return cmp.Compare(c.route.start(), other.route.start())
	}
	return cmp.Compare(c.caller.start(), other.caller.start())
}
