package jmflows

import (
	"bytes"
	"encoding/json"
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

type jmpassMessage = jmpass.Message

// Scenario is an installation, its load and what happens to it. Scenarios are
// kept in files, JSON with comments.
type Scenario struct {
	Name        string
	Balancers   int
	Upstreams   int
	DataCentres int
	Slots       int
	Length      time.Duration `json:"-"`
	// Lasts is Length as it is written.
	Lasts   jmtree.Duration
	Classes []Class
	Faults  []Fault
}

// Class is a kind of request.
type Class struct {
	Name       string
	Idempotent bool
	// IsLong says that callers keep a flow open for many requests.
	IsLong    bool
	Callers   int // of long flows
	PerSecond float64
	Work      jmtree.Duration // mean time at an upstream
	Target    jmtree.Duration
	Deadline  jmtree.Duration
	Priority  int
	Worth     float64
	Late      float64 // worth of an answer after the target

	at netip.AddrPort
}

func (c *Class) address(i int) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr(), address.Port()+uint16(i))
}

// FaultKind says what happens.
type FaultKind string

// The kinds of fault.
const (
	FaultBurst        FaultKind = "Burst"        // the load is multiplied by Factor
	FaultPowerOff     FaultKind = "PowerOff"     // all processes and upstreams
	FaultKillAll      FaultKind = "KillAll"      // all processes, upstreams go on
	FaultZoneOff      FaultKind = "ZoneOff"      // power of one data centre, upstreams as well
	FaultReplace      FaultKind = "Replace"      // each upstream leaves for a while and is replaced, with Gap between
	FaultShift        FaultKind = "Shift"        // all callers move to one data centre
	FaultFlap         FaultKind = "Flap"         // a share of the upstreams is down and up by turns, each for Gap
	FaultCrash        FaultKind = "Crash"        // a share of the upstreams
	FaultSlow         FaultKind = "Slow"         // a share of the upstreams is slower by Factor
	FaultBreak        FaultKind = "Break"        // a share of the upstreams breaks off Factor of its requests
	FaultRollAgents   FaultKind = "RollAgents"   // each agent is restarted in turn, with Gap between
	FaultRollBalancer FaultKind = "RollBalancer" // each balancer in turn
)

// Fault is one event of a scenario.
type Fault struct {
	Kind   FaultKind
	At     jmtree.Duration
	For    jmtree.Duration
	Share  float64
	Factor float64
	Gap    jmtree.Duration
}

// loadNow is the factor of the load.
func (w *World) loadNow() float64 {
	factor := 1.0
	for i := range w.Faults {
		if f := &w.Faults[i]; f.Kind == FaultBurst && w.isUnderWay(f) {
			factor *= f.Factor
		}
	}
	return factor
}

func (w *World) isUnderWay(f *Fault) bool {
	since := w.now.Sub(w.begun) - time.Duration(f.At)
	return since >= 0 && since < time.Duration(f.For)
}

// zoneOf returns the number of the data centre where a caller is.
func (w *World) zoneOf(c *caller) int {
	for i := range w.Faults {
		if f := &w.Faults[i]; f.Kind == FaultShift && w.isUnderWay(f) {
			return 0
		}
	}
	return c.zone
}

func (w *World) strike(f Fault) {
	down := time.Duration(f.For)
	switch f.Kind {
	case FaultBurst, FaultShift:
	case FaultFlap:
		w.flap(f)
	case FaultPowerOff:
		for _, n := range w.nodes() {
			n.restart(down+startTime, n.upstream != nil)
		}
	case FaultKillAll:
		for _, n := range w.nodes() {
			n.restart(down+startTime, false)
		}
	case FaultZoneOff:
		for _, n := range w.zone(0) {
			n.restart(down+startTime, n.upstream != nil)
		}
	case FaultRollAgents, FaultRollBalancer:
		nodes := w.agents
		if f.Kind == FaultRollBalancer {
			nodes = w.balancers
		}
		for i, n := range nodes {
			w.after(time.Duration(i)*time.Duration(f.Gap), func() { n.restart(down+startTime, false) })
		}
	default:
		w.strikeUpstreams(f)
	}
}

func (w *World) strikeUpstreams(f Fault) {
	down := time.Duration(f.For)
	switch f.Kind {
	case FaultReplace:
		for i, n := range w.agents {
			w.after(time.Duration(i)*time.Duration(f.Gap), func() { n.replaceUpstream(down) })
		}
	case FaultCrash:
		for _, n := range w.share(f) {
			n.crashUpstream(down)
		}
	case FaultSlow:
		for _, n := range w.share(f) {
			n.upstream.speed = f.Factor
			w.after(down, func() { n.upstream.speed = 1 })
		}
	case FaultBreak:
		for _, n := range w.share(f) {
			n.upstream.failing = f.Factor
			w.after(down, func() { n.upstream.failing = 0 })
		}
	}
}

// flap crashes upstreams for a while, again and again.
func (w *World) flap(f Fault) {
	gap := time.Duration(f.Gap)
	for at := time.Duration(0); at < time.Duration(f.For); at += 2 * gap {
		w.after(at, func() {
			for _, n := range w.share(f) {
				n.crashUpstream(gap)
			}
		})
	}
}

// zone returns the processes of a data centre.
func (w *World) zone(i int) (nodes []*node) {
	for _, n := range w.nodes() {
		if n.dataCentre == w.dataCentre(i) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (w *World) share(f Fault) []*node { return w.agents[:int(float64(len(w.agents))*f.Share+0.5)] }

// restart ends a process, and its upstream as well if the instance loses power.
func (n *node) restart(down time.Duration, withUpstream bool) {
	w := n.world
	n.isUp = false
	if withUpstream {
		n.crashUpstream(down - startTime)
	}
	w.after(down, func() { n.start(false) })
}

// replaceUpstream has an upstream leave, ending each flow with its next answer,
// and starts another in its place.
func (n *node) replaceUpstream(leaving time.Duration) {
	w, u := n.world, n.upstream
	u.isLeaving = true
	w.publish()
	w.after(leaving, func() {
		u.stop()
		u.start(true)
		w.publish()
	})
}

// crashUpstream ends an upstream for a time. Its entry lapses if that is long.
func (n *node) crashUpstream(down time.Duration) {
	w, u := n.world, n.upstream
	u.stop()
	run := u.starts
	w.after(lapseTime, func() {
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

// routed returns the balancer that the routers send a flow's packets to.
func (w *World) routed(f *callerFlow) *node {
	var zone, all []*node
	for _, n := range w.balancers {
		if !n.isUp {
			continue
		}
		all = append(all, n)
		if n.dataCentre == w.dataCentre(w.zoneOf(f.caller)) {
			zone = append(zone, n)
		}
	}
	if len(zone) > 0 {
		all = zone
	}
	if len(all) == 0 {
		return nil
	}
	best := all[0]
	for _, n := range all[1:] {
		if routerScore(f.key, n.addr) > routerScore(f.key, best.addr) {
			best = n
		}
	}
	return best
}

func routerScore(key jasminemoor.FlowKey, addr netip.Addr) uint64 {
	x := key.Hash() ^ uint64(addr.As4()[3])*0x9E3779B97F4A7C15
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
	return s.checkClasses()
}

func (s *Scenario) checkClasses() error {
	for _, c := range s.Classes {
		if c.PerSecond <= 0 || c.Deadline <= 0 || c.Target <= 0 || c.Work <= 0 || c.IsLong && c.Callers < 1 {
			return eris.Errorf("class %q needs PerSecond, Work, Target, Deadline, and Callers if it IsLong", c.Name)
		}
	}
	return nil
}

// maxNodes bounds the processes of a kind.
const maxNodes = 250

// Run plays a scenario with a policy and a seed.
func Run(s *Scenario, p Policy, seed uint64) (r *Result, err error) {
	w := &World{Scenario: *s, Policy: p, Rand: rand.New(rand.NewPCG(seed, seed))}
	w.Classes = slices.Clone(s.Classes)
	return w.Run()
}
