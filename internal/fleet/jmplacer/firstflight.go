package jmplacer

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
)

const (
	// handshakeMemory is how long a choice for a first flight is remembered.
	handshakeMemory = 15 * time.Second
	// maxFirstFlights bounds the remembered choices.
	maxFirstFlights = 1 << 16
	// MaxHops is how many agents may hand one datagram on.
	MaxHops = 2
	maxKey  = 20
)

// Bounds of a hand-over, in per mille of load: how much more loaded than
// another agent an agent must be before it hands a new flow on.
const (
	LocalMargin  = 100 // to an agent in the same data centre
	RemoteMargin = 400 // to one across a link between data centres
)

// Bounds of a hand-over between agents whose loads are alike, in per cent of
// the other's density of flows.
const (
	localDensity  = 105
	remoteDensity = 130
)

// Choice is an agent's decision on the first flight of a flow.
type Choice struct {
	// HandTo is the agent that gets the flow. It is invalid if this agent keeps it.
	HandTo netip.AddrPort
	// IsDropped says that nobody can take the flow now.
	IsDropped bool
	Reason    string
}

// Situation is what an agent knows when a first flight arrives.
type Situation struct {
	// Hops counts the agents that handed the datagram on.
	Hops uint8
	// IsClosed says that this agent takes no new work.
	IsClosed bool
	Own      jasminemoor.Load
	// Second is the other candidate that the balancer named, if any.
	Second Peer
	// Others are this service's other agents, for when this agent is closed.
	Others []Peer
}

// Peer is another agent as this one sees it.
type Peer struct {
	Agent    netip.AddrPort
	IsUsable bool // alive and not leaving
	IsLocal  bool // in the own data centre
	HasLoad  bool // the load is recent enough to act on
	Load     jasminemoor.Load
}

// Choose decides on a new first flight: power of two choices between this
// agent, with its exact load, and the second candidate, with a recent one.
func Choose(s *Situation) Choice {
	if s.IsClosed {
		return chooseOther(s)
	}
	if s.Hops >= MaxHops {
		return Choice{Reason: "last hop"}
	}
	// A flow that was handed here stays, or two agents could pass it to and fro.
	if s.Hops > 0 {
		return Choice{Reason: "handed over"}
	}
	if s.Second.IsUsable && s.Second.HasLoad && isWorthHandingOn(&s.Own, &s.Second) {
		return Choice{HandTo: s.Second.Agent, Reason: "second candidate has less load"}
	}
	return Choice{Reason: "first candidate"}
}

// isWorthHandingOn compares the mean loads, since a flow lives longer than any
// request, and among agents with like loads the densities of flows.
func isWorthHandingOn(own *jasminemoor.Load, second *Peer) bool {
	bound, density := uint64(LocalMargin), uint64(localDensity)
	if !second.IsLocal {
		bound, density = RemoteMargin, remoteDensity
	}
	ownMean, otherMean := uint64(own.Mean), uint64(second.Load.Mean)
	switch {
	case ownMean > otherMean+bound:
		return true
	case otherMean > ownMean+bound:
		return false
	}
	return uint64(own.Density)*100 > uint64(second.Load.Density)*density
}

// cost is the load of a peer with the price of the way there.
func (p *Peer) cost() uint64 {
	if p.IsLocal {
		return uint64(p.Load.Mean) + LocalMargin
	}
	return uint64(p.Load.Mean) + RemoteMargin
}

// chooseOther finds the agent that takes a flow in place of a closed one.
func chooseOther(s *Situation) Choice {
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

// isBetter reports whether p is a better place than best. A known load goes
// before an unknown one.
func isBetter(p, best *Peer) bool {
	if !best.Agent.IsValid() {
		return true
	}
	if p.HasLoad != best.HasLoad {
		return p.HasLoad
	}
	return p.cost() < best.cost()
}

// FirstFlights remembers the choices for flows whose handshake is under way,
// so that all their packets go one way. The zero value is empty. One goroutine
// owns it.
type FirstFlights struct {
	choices map[firstKey]firstEntry
	order   []firstKey // by age
}

type firstKey struct {
	id     [maxKey]byte
	length uint8
}

type firstEntry struct {
	choice Choice
	at     time.Time
}

// Find returns the choice for the flow with the caller's first connection ID.
func (f *FirstFlights) Find(id []byte, now time.Time) (c Choice, found bool) {
	e, found := f.choices[keyOf(id)]
	if !found || now.Sub(e.at) > handshakeMemory {
		return Choice{}, false
	}
	return e.choice, true
}

// Put remembers a choice.
func (f *FirstFlights) Put(id []byte, c Choice, now time.Time) {
	if f.choices == nil {
		f.choices = make(map[firstKey]firstEntry)
	}
	f.forgetOld(now)
	key := keyOf(id)
	if _, found := f.choices[key]; !found {
		f.order = append(f.order, key)
	}
	f.choices[key] = firstEntry{choice: c, at: now}
}

func (f *FirstFlights) forgetOld(now time.Time) {
	for len(f.order) > 0 {
		oldest := f.order[0]
		isOld := now.Sub(f.choices[oldest].at) > handshakeMemory
		if !isOld && len(f.order) < maxFirstFlights {
			return
		}
		delete(f.choices, oldest)
		f.order = f.order[1:]
	}
}

func keyOf(id []byte) (key firstKey) {
	key.length = uint8(copy(key.id[:], id))
	return key
}
