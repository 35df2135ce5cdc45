package jmplacer

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

const (
	// choiceLifetime is how long the choice for a first flight is kept.
	choiceLifetime = 15 * time.Second
	// maxFirstFlights bounds the number of choices that are kept.
	maxFirstFlights = 1 << 16
	// MaxHops is how many agents may hand over one datagram.
	MaxHops = 2
	// maxConnectionID is the size of the longest connection ID, in bytes.
	maxConnectionID = 20
)

// Margins of a handover, in per mille of load: an agent hands over a new flow if its
// load exceeds the other agent's by more than the margin.
const (
	LocalMargin  = 100 // to an agent in the same data centre
	RemoteMargin = 400 // to one across a link between data centres
)

// Bounds of a handover between agents whose loads differ by no more than the margin:
// an agent hands over a new flow if its density of flows exceeds this percentage of
// the other's.
const (
	localDensityPercent  = 105
	remoteDensityPercent = 130
)

// Choice is an agent's decision on the first flight of a flow.
type Choice struct {
	// HandTo is the agent that the flow is handed over to. It is invalid if this agent
	// keeps or drops the flow.
	HandTo netip.AddrPort
	// IsDropped says that this agent neither accepts the flow nor can hand it over.
	IsDropped bool
	Reason    string
}

// Situation is what an agent knows when a first flight arrives: the input of Choose.
type Situation struct {
	// Hops counts the agents that handed over the datagram before.
	Hops uint8
	// IsClosed says that this agent accepts no new flows.
	IsClosed bool
	Own      jasminemoor.Load
	// Second is the other candidate that the balancer named, if any.
	Second Peer
	// Others are the remaining agents of the service. They are considered if this agent
	// is closed.
	Others []Peer
}

// Peer is another agent with what this agent knows of it.
type Peer struct {
	Agent    netip.AddrPort
	IsUsable bool // alive and not leaving
	IsLocal  bool // in this agent's data centre
	HasLoad  bool // Load is recent enough to be used
	Load     jasminemoor.Load
}

// Choose decides on a new first flight by the power of two choices: between this
// agent, by its exact load, and the second candidate, by its last report.
func Choose(s *Situation) Choice {
	if s.IsClosed {
		return chooseReplacement(s)
	}
	if s.Hops >= MaxHops {
		return Choice{Reason: "last hop"}
	}
	// An open agent keeps a flow that was handed over to it, or two agents could hand
	// it back and forth.
	if s.Hops > 0 {
		return Choice{Reason: "handed over"}
	}
	if s.Second.IsUsable && s.Second.HasLoad && isHandoverWorthwhile(&s.Own, &s.Second) {
		return Choice{HandTo: s.Second.Agent, Reason: "second candidate has less load"}
	}
	return Choice{Reason: "first candidate"}
}

// isHandoverWorthwhile compares the mean loads, since a flow outlives its requests. If
// these differ by no more than the margin, it compares the densities of flows.
func isHandoverWorthwhile(own *jasminemoor.Load, second *Peer) bool {
	margin, densityPercent := uint64(LocalMargin), uint64(localDensityPercent)
	if !second.IsLocal {
		margin, densityPercent = RemoteMargin, remoteDensityPercent
	}
	ownMean, otherMean := uint64(own.Mean), uint64(second.Load.Mean)
	switch {
	case ownMean > otherMean+margin:
		return true
	case otherMean > ownMean+margin:
		return false
	}
	return uint64(own.Density)*100 > uint64(second.Load.Density)*densityPercent
}

// cost is the load of a peer plus the margin for its distance.
func (p *Peer) cost() uint64 {
	if p.IsLocal {
		return uint64(p.Load.Mean) + LocalMargin
	}
	return uint64(p.Load.Mean) + RemoteMargin
}

// chooseReplacement chooses the agent that gets a flow in place of a closed one.
func chooseReplacement(s *Situation) Choice {
	if s.Hops >= MaxHops {
		return Choice{IsDropped: true, Reason: "closed after the last hop"}
	}
	best := s.Second
	if !best.IsUsable {
		best = Peer{}
	}
	for _, p := range s.Others {
		if p.IsUsable && isBetter(&p, &best) {
			best = p
		}
	}
	if !best.Agent.IsValid() {
		return Choice{IsDropped: true, Reason: "closed, and no other agent is usable"}
	}
	return Choice{HandTo: best.Agent, Reason: "closed"}
}

// isBetter reports whether p is preferred to best. A peer with a known load is
// preferred to one without.
func isBetter(p, best *Peer) bool {
	if !best.Agent.IsValid() {
		return true
	}
	if p.HasLoad != best.HasLoad {
		return p.HasLoad
	}
	return p.cost() < best.cost()
}

// FirstFlights keeps the choices for flows whose handshake is in progress, so that
// all packets of a handshake reach the same agent. The zero value is empty. One
// goroutine owns it.
type FirstFlights struct {
	choices map[flightKey]flightEntry
	order   []flightKey // the oldest first
}

// flightKey is the caller's first connection ID.
type flightKey struct {
	id     [maxConnectionID]byte
	length uint8
}

type flightEntry struct {
	choice Choice
	at     time.Time
}

// Find returns the choice for the flow whose caller chose id as its first connection
// ID, unless it has expired.
func (f *FirstFlights) Find(id []byte, now time.Time) (c Choice, found bool) {
	e, found := f.choices[keyOf(id)]
	if !found || now.Sub(e.at) > choiceLifetime {
		return Choice{}, false
	}
	return e.choice, true
}

// Put stores the choice for a flow, and evicts expired choices and the oldest ones
// beyond maxFirstFlights.
func (f *FirstFlights) Put(id []byte, c Choice, now time.Time) {
	if f.choices == nil {
		f.choices = make(map[flightKey]flightEntry)
	}
	f.evictOld(now)
	key := keyOf(id)
	if _, found := f.choices[key]; !found {
		f.order = append(f.order, key)
	}
	f.choices[key] = flightEntry{choice: c, at: now}
}

func (f *FirstFlights) evictOld(now time.Time) {
	for len(f.order) > 0 {
		oldest := f.order[0]
		isOld := now.Sub(f.choices[oldest].at) > choiceLifetime
		if !isOld && len(f.order) < maxFirstFlights {
			return
		}
		delete(f.choices, oldest)
		f.order = f.order[1:]
	}
}

func keyOf(id []byte) (key flightKey) {
	key.length = uint8(copy(key.id[:], id))
	return key
}
