package jmflows

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

// message is a message that a balancer or an agent sends.
type message = jmpass.Message

// Scenario describes an installation, its load and the faults injected into it.
// Scenarios are stored in files, as JSON with comments.
type Scenario struct {
	Name        string
	Balancers   int
	Upstreams   int
	DataCentres int
	Slots       int
	// FairShares is set if agents divide their upstream's work fairly among routes.
	FairShares bool
	// ColdRate is how many new flows a second an upstream bears while it warms up, 0 if
	// there is no limit. Run fails if an upstream gets more than that times coldOverrun
	// plus coldSlack opening packets in any second.
	ColdRate float64
	Length   time.Duration `json:"-"`
	// Lasts is Length as the file has it.
	Lasts   jmtree.Duration
	Classes []Class
	Faults  []Fault
	// Speeds are the speeds of the upstreams of each data centre, in turn. Work takes
	// its time divided by the speed. Without any, all have speed 1.
	Speeds []float64
	Wave   Wave
	// Loss is the share of packets lost between processes, and between callers and
	// processes. If it is not set, defaultLoss is used.
	Loss float64
	// Joining are upstreams that start empty while the load lasts. See Joining.
	Joining Joining
}

// Wave has the load rise and fall.
type Wave struct {
	Swing  float64 // the load's largest difference from its mean, as a share of it
	Period jmtree.Duration
}

// Class describes the requests of one kind. Each class has a route of its own.
type Class struct {
	Name       string
	Idempotent bool
	// IsLong is set if a caller sends many requests on one flow. Otherwise each
	// request has a flow of its own.
	IsLong    bool
	Callers   int     // number of callers, if IsLong
	PerSecond float64 // requests a second, of all callers together
	// FlowLasts is the mean time after which a caller opens a new flow for its next
	// request, if IsLong. If it is not set, a flow lasts until it is lost or a request on
	// it fails.
	FlowLasts jmtree.Duration
	Work      jmtree.Duration // mean time at an upstream
	// Tail is the share of the requests that take TailFactor times as long as the others.
	Tail       float64
	TailFactor float64
	Target     jmtree.Duration // latency objective
	Deadline   jmtree.Duration // after which the caller gives up
	Priority   int
	Worth      float64 // worth of an answer within the target
	Late       float64 // worth of an answer after the target

	serviceAddr netip.AddrPort
}

// address returns the service address of the class with the index i.
func (c *Class) address(i int) netip.AddrPort {
	return netip.AddrPortFrom(firstAddress.Addr(), firstAddress.Port()+uint16(i))
}

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of fault.
const (
	FaultBurst        FaultKind = "Burst"        // the load of Class, or all of it, is multiplied by Factor
	FaultPowerOff     FaultKind = "PowerOff"     // all instances lose power; see Fault.Share
	FaultKillAll      FaultKind = "KillAll"      // all processes are killed, upstreams keep running
	FaultZoneOff      FaultKind = "ZoneOff"      // the instances of one data centre lose power
	FaultReplace      FaultKind = "Replace"      // each upstream drains for For and is replaced; the next one begins after Gap
	FaultShift        FaultKind = "Shift"        // all callers are routed to one data centre
	FaultFlap         FaultKind = "Flap"         // Share of the upstreams is alternately down and up, for Gap each
	FaultCrash        FaultKind = "Crash"        // Share of the upstreams crashes
	FaultSlow         FaultKind = "Slow"         // Share of the upstreams takes Factor times as long
	FaultBreak        FaultKind = "Break"        // Share of the upstreams answers a share Factor of the requests with a reset
	FaultRollAgents   FaultKind = "RollAgents"   // the agents are restarted one by one, one each Gap
	FaultRollBalancer FaultKind = "RollBalancer" // the balancers are restarted one by one, one each Gap
)

// Fault is a fault that a scenario injects at a given time.
type Fault struct {
	Kind FaultKind
	At   jmtree.Duration // since the start of the run
	For  jmtree.Duration
	// Share is the share of the upstreams that is affected. After PowerOff these, which were
	// leaving, don't start again; their agents do, and end after Gap.
	Share  float64
	Factor float64
	Gap    jmtree.Duration
	Class  string // of a burst; all classes if it is not set
}

// loadFactor returns the factor by which the active bursts and the wave change the load of
// a class.
func (w *World) loadFactor(c *Class) float64 {
	factor := 1.0
	for i := range w.Faults {
		if f := &w.Faults[i]; f.Kind == FaultBurst && w.isActive(f) && (f.Class == "" || f.Class == c.Name) {
			factor *= f.Factor
		}
	}
	if period := float64(w.Wave.Period); period > 0 {
		factor *= 1 + w.Wave.Swing*math.Sin(2*math.Pi*float64(w.now.Sub(w.startedAt))/period)
	}
	return factor
}

// speedOf returns the speed of the upstream with the index i. See Scenario.Speeds.
func (s *Scenario) speedOf(i int) float64 {
	if len(s.Speeds) == 0 {
		return 1
	}
	return s.Speeds[i/max(s.DataCentres, 1)%len(s.Speeds)]
}

// isActive reports whether a fault has begun and has not ended.
func (w *World) isActive(f *Fault) bool {
	since := w.now.Sub(w.startedAt) - time.Duration(f.At)
	return since >= 0 && since < time.Duration(f.For)
}

// dataCentreOf returns the index of the data centre that a caller is routed to.
func (w *World) dataCentreOf(c *caller) int {
	for i := range w.Faults {
		if f := &w.Faults[i]; f.Kind == FaultShift && w.isActive(f) {
			return 0
		}
	}
	return c.dataCentre
}

// inject starts a fault. Bursts and shifts need no action: loadFactor and
// dataCentreOf read them from the scenario.
func (w *World) inject(f Fault) {
	down := time.Duration(f.For)
	switch f.Kind {
	case FaultBurst, FaultShift:
	case FaultFlap:
		w.flap(f)
	case FaultPowerOff:
		w.powerOff(f)
	case FaultKillAll:
		for _, n := range w.nodes() {
			n.restart(down+startupTime, false)
		}
	case FaultZoneOff:
		for _, n := range w.nodesIn(0) {
			n.restart(down+startupTime, n.upstream != nil)
		}
	case FaultRollAgents, FaultRollBalancer:
		nodes := w.agents
		if f.Kind == FaultRollBalancer {
			nodes = w.balancers
		}
		for i, n := range nodes {
			w.after(time.Duration(i)*time.Duration(f.Gap), func() { n.restart(down+startupTime, false) })
		}
	default:
		w.injectUpstreamFault(f)
	}
}

// injectUpstreamFault starts a fault of single upstreams.
func (w *World) injectUpstreamFault(f Fault) {
	down := time.Duration(f.For)
	switch f.Kind {
	case FaultReplace:
		for i, n := range w.agents {
			w.after(time.Duration(i)*time.Duration(f.Gap), func() { n.replaceUpstream(down) })
		}
	case FaultCrash:
		for _, n := range w.affectedAgents(f) {
			n.crashUpstream(down)
		}
	case FaultSlow:
		for _, n := range w.affectedAgents(f) {
			n.upstream.slowdown = f.Factor
			w.after(down, func() { n.upstream.slowdown = 1 })
		}
	case FaultBreak:
		for _, n := range w.affectedAgents(f) {
			n.upstream.breakShare = f.Factor
			w.after(down, func() { n.upstream.breakShare = 0 })
		}
	}
}

// flap crashes the affected upstreams periodically: they are down for a gap, then
// up for a gap.
func (w *World) flap(f Fault) {
	gap := time.Duration(f.Gap)
	for at := time.Duration(0); at < time.Duration(f.For); at += 2 * gap {
		w.after(at, func() {
			for _, n := range w.affectedAgents(f) {
				n.crashUpstream(gap)
			}
		})
	}
}

// nodesIn returns the processes of the data centre with the index i.
func (w *World) nodesIn(i int) (nodes []*node) {
	for _, n := range w.nodes() {
		if n.dataCentre == w.dataCentreName(i) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// affectedAgents returns the agents whose upstreams a fault affects.
func (w *World) affectedAgents(f Fault) []*node {
	return w.agents[:int(float64(len(w.agents))*f.Share+0.5)]
}

// restart stops a process and starts it again after a time. With withUpstream, its
// upstream stops as well, and starts again startupTime before the process.
func (n *node) restart(down time.Duration, withUpstream bool) {
	w := n.world
	n.isUp = false
	if withUpstream {
		n.crashUpstream(down - startupTime)
	}
	w.after(down, func() { n.start(false) })
}

// replaceUpstream drains an upstream, which ends each flow with its next answer,
// and then starts a new one in its place.
func (n *node) replaceUpstream(drainTime time.Duration) {
	w, u := n.world, n.upstream
	u.isLeaving = true
	w.publish()
	w.after(drainTime, func() {
		u.stop()
		u.start(true)
		w.publish()
	})
}

// crashUpstream stops an upstream and starts it again after a time. If it stays
// down for evictionDelay, it is not listed in the directory until it starts.
func (n *node) crashUpstream(down time.Duration) {
	w, u := n.world, n.upstream
	u.stop()
	run := u.starts
	w.after(evictionDelay, func() {
		if u.starts == run {
			u.isListed = false
			w.publish()
		}
	})
	w.after(down, func() {
		u.start(true)
		w.publish()
	})
}

// balancerFor returns the balancer that the routers send a flow's packets to: one
// of the caller's data centre, or of any if none runs there. It returns nil if no
// balancer runs.
func (w *World) balancerFor(f *callerFlow) *node {
	var local, candidates []*node
	for _, n := range w.balancers {
		if !n.isUp {
			continue
		}
		candidates = append(candidates, n)
		if n.dataCentre == w.dataCentreName(w.dataCentreOf(f.caller)) {
			local = append(local, n)
		}
	}
	if len(local) > 0 {
		candidates = local
	}
	if len(candidates) == 0 {
		return nil
	}
	best := candidates[0]
	for _, n := range candidates[1:] {
		if routerScore(f.key, n.addr) > routerScore(f.key, best.addr) {
			best = n
		}
	}
	return best
}

// routerScore returns a balancer's score for a flow in the routers' rendezvous
// hashing.
func routerScore(key jasminemoor.FlowKey, addr netip.Addr) uint64 {
	raw := addr.As4()
	x := key.Hash() ^ uint64(binary.BigEndian.Uint16(raw[2:]))*0x9E3779B97F4A7C15
	x ^= x >> 31
	return x * 0xBF58476D1CE4E5B9
}

// Parse reads a scenario from JSON with comments.
func Parse(text []byte) (s *Scenario, err error) {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, err
	}
	s = &Scenario{}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(s); err != nil {
		return nil, err
	}
	s.Length = time.Duration(s.Lasts)
	return s, s.check()
}

// Scaled returns the scenario with the installation and its load multiplied by a factor.
// Faults that go from one process to the next last as long as before.
func (s *Scenario) Scaled(factor float64) (scaled *Scenario, err error) {
	multiply := func(n int) int { return max(int(math.Round(float64(n)*factor)), 1) }
	c := *s
	c.Balancers, c.Upstreams = multiply(s.Balancers), multiply(s.Upstreams)
	c.Classes = slices.Clone(s.Classes)
	for i := range c.Classes {
		c.Classes[i].PerSecond *= factor
		if c.Classes[i].IsLong {
			c.Classes[i].Callers = multiply(c.Classes[i].Callers)
		}
	}
	c.Faults = slices.Clone(s.Faults)
	for i := range c.Faults {
		switch f := &c.Faults[i]; f.Kind {
		case FaultReplace, FaultRollAgents, FaultRollBalancer:
			f.Gap = jmtree.Duration(float64(f.Gap) / factor)
		}
	}
	return &c, c.check()
}

// check returns an error if a setting is missing or out of range.
func (s *Scenario) check() error {
	switch {
	case s.Balancers < 1 || s.Balancers > maxNodes || s.Upstreams < 1 || s.Upstreams > maxNodes:
		return eris.Errorf("scenario %q needs 1 to %d Balancers and Upstreams", s.Name, maxNodes)
	case s.Slots < 1:
		return eris.Errorf("scenario %q needs Slots", s.Name)
	case s.Length <= 0:
		return eris.Errorf("scenario %q needs Lasts", s.Name)
	case len(s.Classes) == 0:
		return eris.Errorf("scenario %q needs Classes", s.Name)
	}
	for _, f := range s.Faults {
		if f.Kind == FaultFlap && f.Gap <= 0 {
			return eris.Errorf("fault %q needs Gap", f.Kind)
		}
	}
	return errors.Join(s.checkSpeeds(), s.checkJoining(), s.checkClasses())
}

func (s *Scenario) checkSpeeds() error {
	for _, speed := range s.Speeds {
		if speed <= 0 {
			return eris.Errorf("scenario %q needs Speeds above 0", s.Name)
		}
	}
	if s.Wave.Swing < 0 || s.Wave.Swing >= 1 || s.Wave.Swing > 0 && s.Wave.Period <= 0 {
		return eris.Errorf("the Wave of scenario %q needs a Swing from 0 to less than 1, and a Period", s.Name)
	}
	return nil
}

func (s *Scenario) checkClasses() error {
	for _, c := range s.Classes {
		if c.PerSecond <= 0 || c.Deadline <= 0 || c.Target <= 0 || c.Work <= 0 || c.IsLong && c.Callers < 1 {
			return eris.Errorf("class %q needs PerSecond, Work, Target, Deadline, and Callers if it IsLong", c.Name)
		}
		if c.Tail < 0 || c.Tail > 1 || c.Tail > 0 && c.TailFactor < 1 {
			return eris.Errorf("class %q needs a Tail from 0 to 1, and a TailFactor of at least 1", c.Name)
		}
	}
	return nil
}

// maxNodes is the largest number of balancers, and of upstreams.
const maxNodes = 5000

// Run simulates a scenario with a policy and a seed. It fails as World.Run does.
func Run(s *Scenario, p Policy, seed uint64) (r *Result, err error) {
	w := &World{Scenario: *s, Policy: p, Rand: rand.New(rand.NewPCG(seed, seed))}
	w.Classes = slices.Clone(s.Classes)
	return w.Run()
}
