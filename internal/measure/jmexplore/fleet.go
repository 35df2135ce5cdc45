// Package jmexplore is a model checker for pass-through flows. It runs the real decisions
// of balancers and agents in small fleets, with simulated callers, upstreams and a simulated
// directory, through every order of their steps up to a bound, and through long random ones.
package jmexplore

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/measure/jmflows"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	tickInterval = 25 * time.Millisecond
	// maxDelay is how long a datagram between instances may be late. It is lost after that.
	maxDelay = 300 * time.Millisecond
	// maxLag is how far a process that has a copy of the directory falls behind the others.
	// The product rests on a bound of 3 s.
	maxLag = 2500 * time.Millisecond
	// entryLapse is how long the directory lists an upstream at least that has ended, and
	// viewRetention how long views keep it after that.
	entryLapse    = 4 * time.Second
	viewRetention = 6 * time.Second
	// drainTime is how long an upstream keeps its port open at least once it is listed as leaving.
	drainTime = 3 * time.Second
	// maxLocalDelay is how long an upstream may take to read a packet and answer it, or its agent to
	// read the answer.
	maxLocalDelay = 100 * time.Millisecond
	// maxTime bounds the time of a run, as flows are dropped by the idle timeout of 30 s.
	maxTime = 25 * time.Second
	// recoveryTime is how long after the last fault a lost flow may go without a reset.
	recoveryTime = 8 * time.Second
	// retransmitDelay is the time between two packets of a caller without an answer, once
	// there are no more faults.
	retransmitDelay = 400 * time.Millisecond
)

// Fleet describes the processes and flows of a fleet, and bounds its steps.
type Fleet struct {
	Name string
	// Balancers is the number of balancers.
	Balancers int
	// Nodes has the service of each upstream. One with a name in Joining starts later.
	Nodes []string
	// Joining are the indexes of the nodes that are down at the start.
	Joining []int
	// Flows has the service of each flow's route at the start.
	Flows []string
	// Services are those that a node may be started for, or a route moved to, beside its own.
	Services []string
	// Prefix are the steps that lead to the first state. They don't count as faults.
	Prefix []Step
	// IsInStep has each revision of the directory reach all processes at once, but for those
	// that have no copy.
	IsInStep bool
	// NeedsReset requires a lost flow to be reset also while its service has no upstream at all.
	NeedsReset bool
	// CanLeave has upstreams leave in an orderly way. Packets between an agent and its upstream are
	// late by maxLocalDelay at most then.
	CanLeave bool
	// Without are kinds of step that are left out.
	Without []StepKind
	// MaxFaults and MaxSends bound the faults, and the packets that callers send, where all
	// orders are explored. In random walks there may be walkFactor times as many.
	MaxFaults, MaxSends int

	// wrapAgent, if not nil, replaces an agent.
	wrapAgent func(a *jmpass.Agent) jmflows.Agent
}

// world is a state of a fleet.
type world struct {
	fleet     *Fleet
	now       time.Time
	processes []*process // balancers first, then the agents with their upstreams
	wire      []datagram
	callers   []*caller
	directory directory
	faults    int
	sends     int
	maxFaults int
	maxSends  int
	violation string
	// recovery is how long recover took.
	recovery time.Duration
	// isTraced makes every datagram a line of trace.
	isTraced bool
	trace    []string
}

// process is a balancer, or an agent with its upstream.
type process struct {
	addr     netip.Addr
	service  string
	isUp     bool
	starts   int
	balancer *jmpass.Balancer
	agent    jmflows.Agent
	copy     directoryCopy
	upstream *upstream
}

// datagram is a message on its way.
type datagram struct {
	at   time.Time
	kind datagramKind
	from netip.Addr
	to   int // index of the process or of the caller
	msg  jmpass.Message
	body string
}

type datagramKind uint8

const (
	toProcess datagramKind = iota
	toCaller
	toUpstream   // on one instance: neither lost nor doubled, and in order
	fromUpstream // the same
)

func (d *datagram) isLocal() bool { return d.kind >= toUpstream }

func (d *datagram) String() string {
	what := ""
	switch d.kind {
	case toCaller:
		return fmt.Sprintf("to caller %d: %s", d.to, d.body)
	case toUpstream:
		return fmt.Sprintf("to the upstream of %s: %s", d.from, d.body)
	case fromUpstream:
		return fmt.Sprintf("from the upstream of %s: %s", d.from, d.body)
	}
	h := &d.msg.Header
	switch h.Kind {
	case jmhop.KindForward:
		what = fmt.Sprintf("forward(flags %d, hops %d)", h.Flags, h.Hops)
	case jmhop.KindAsk:
		what = "ask"
	case jmhop.KindAbsent:
		what = "absent"
	case jmhop.KindHolder:
		what = "holder"
	case jmhop.KindReport:
		r := *d.msg.Report
		return fmt.Sprintf("%s to %s: report %+v", d.from, d.msg.To, r)
	case jmhop.KindPoll:
		what = "poll"
	case jmhop.KindFlowReset:
		what = "flow reset"
	}
	if d.msg.Flow != (jasminemoor.FlowKey{}) {
		what += " of " + d.msg.Flow.String()
	}
	return fmt.Sprintf("%s to %s: %s, revision %d, age %s, wait %s: %s", d.from, d.msg.To, what, h.Revision, h.Age, h.Wait, d.body)
}

// startTime can be any fixed time, as the decisions only compare times.
var startTime = time.Unix(1_700_000_000, 0)

func newWorld(f *Fleet) *world {
	w := &world{fleet: f, now: startTime, maxFaults: f.MaxFaults, maxSends: f.MaxSends}
	for i := range f.Balancers {
		w.processes = append(w.processes, &process{addr: netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)})})
	}
	for i, service := range f.Nodes {
		p := &process{addr: netip.AddrFrom4([4]byte{10, 2, 0, byte(i + 1)}), service: service}
		p.upstream = &upstream{}
		w.processes = append(w.processes, p)
		if !slices.Contains(f.Joining, i) {
			p.upstream.start(service)
		}
	}
	for i, service := range f.Flows {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, byte(i + 1)}), 1025)
		w.callers = append(w.callers, &caller{key: jasminemoor.NewFlowKey(from, routeAddr(i)), sequence: callerSequence})
		w.directory.routes = append(w.directory.routes, []string{service})
	}
	w.publish()
	for i, p := range w.processes {
		if i >= f.Balancers && !p.upstream.isUp {
			continue
		}
		w.startProcess(p, true)
		w.giveCopy(p, 0, true)
	}
	for _, s := range f.Prefix {
		w.step(s)
	}
	w.faults, w.sends = 0, 0
	return w
}

// startProcess starts a balancer or an agent without a copy of the directory.
func (w *world) startProcess(p *process, isFirstStart bool) {
	p.starts++
	p.isUp, p.copy = true, directoryCopy{}
	if p.upstream == nil {
		p.balancer = &jmpass.Balancer{Self: p.addr, DataCentre: dataCentre}
		return
	}
	a := &jmpass.Agent{
		Self: p.addr, Upstream: netip.AddrPortFrom(p.addr, upstreamPort), Service: p.service, IsFirstStart: isFirstStart,
		Incarnation: jasminemoor.Incarnation(p.starts),
	}
	p.agent = a
	if w.fleet.wrapAgent != nil {
		p.agent = w.fleet.wrapAgent(a)
	}
}

// stopProcess ends a balancer or an agent. What it was to get from its upstream is lost.
func (w *world) stopProcess(p *process) {
	p.isUp, p.balancer, p.agent = false, nil, nil
	w.dropLocal(p, fromUpstream)
}

func (w *world) dropLocal(p *process, kind datagramKind) {
	w.wire = slices.DeleteFunc(w.wire, func(d datagram) bool { return d.kind == kind && d.from == p.addr })
}

// fail records the first violation of a property.
func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
		w.note("VIOLATION: %s", w.violation)
	}
}

func (w *world) note(format string, args ...any) {
	if w.isTraced {
		w.trace = append(w.trace, fmt.Sprintf("  %6s  ", w.now.Sub(startTime))+fmt.Sprintf(format, args...))
	}
}

// push puts a datagram on its way.
func (w *world) push(d datagram) {
	d.at = w.now
	w.wire = append(w.wire, d)
	if w.isTraced {
		w.note("sent: %s", d.String())
	}
}

// tick advances the time by one tick and runs the timers of all processes.
func (w *world) tick() {
	w.now = w.now.Add(tickInterval)
	w.wire = slices.DeleteFunc(w.wire, func(d datagram) bool { return !d.isLocal() && w.now.Sub(d.at) > maxDelay })
	if w.fleet.CanLeave {
		w.deliverLocal()
	}
	for _, p := range w.processes {
		if !p.isUp {
			continue
		}
		w.refreshCopy(p)
		if p.balancer != nil {
			for _, to := range p.balancer.Tick(w.now) {
				w.send(p, []jmpass.Message{{Kind: jmpass.ToPeer, To: to, Header: jmhop.Header{Kind: jmhop.KindPoll, Origin: p.addr}}}, "")
			}
			continue
		}
		out, shouldProbe := p.agent.Tick(w.now)
		w.send(p, out, "")
		if !shouldProbe {
			continue
		}
		result := jmpass.ProbeRefused
		if p.upstream.isUp && !p.upstream.isClosed {
			result = jmpass.ProbeAccepted
		}
		w.note("probe of %s: %s", p.addr, result)
		w.send(p, p.agent.HandleProbe(w.now, result), "")
	}
}

// send sends the messages of a balancer or an agent. They are ordered by flow, as the order
// in which a process goes through its flows differs from run to run.
func (w *world) send(p *process, out []jmpass.Message, body string) {
	out = slices.Clone(out)
	slices.SortStableFunc(out, func(a, b jmpass.Message) int { return slices.Compare(a.Flow[:], b.Flow[:]) })
	for _, m := range out {
		packet := body
		if m.Packet != nil {
			packet = string(m.Packet)
		}
		m.Packet = nil
		switch m.Kind {
		case jmpass.ToUpstream:
			w.push(datagram{kind: toUpstream, from: p.addr, to: w.indexOf(p.addr), body: restore(packet)})
		case jmpass.ToCaller:
			w.push(datagram{kind: toCaller, from: p.addr, to: w.callerOf(m.Flow), body: packet})
		case jmpass.Reset:
			w.checkReset(p, m.Flow)
			reset := jasminemoor.Packet{Source: m.Flow.Service(), Destination: m.Flow.Caller(), Flags: jasminemoor.FlagReset, Sequence: m.Sequence}
			w.push(datagram{kind: toCaller, from: p.addr, to: w.callerOf(m.Flow), body: encode(&reset)})
		case jmpass.ToPeer:
			if to := w.indexOf(m.To); to >= 0 {
				if !m.HasPacket {
					packet = ""
				}
				if m.Report != nil {
					r := *m.Report
					m.Report = &r
				}
				w.push(datagram{kind: toProcess, from: p.addr, to: to, msg: m, body: restore(packet)})
			}
		}
	}
}

func (w *world) indexOf(addr netip.Addr) int {
	return slices.IndexFunc(w.processes, func(p *process) bool { return p.addr == addr })
}

func (w *world) callerOf(key jasminemoor.FlowKey) int {
	return slices.IndexFunc(w.callers, func(c *caller) bool { return c.key == key })
}

// deliver gives a datagram to its receiver.
func (w *world) deliver(d datagram) {
	if w.isTraced {
		w.note("got: %s", d.String())
	}
	if d.kind == toCaller {
		w.callers[d.to].receive(decode(d.body))
		return
	}
	p := w.processes[d.to]
	if d.kind == toUpstream {
		if p.upstream.isUp {
			w.upstreamReceive(p, decode(d.body))
		}
		return
	}
	if !p.isUp {
		return
	}
	if d.kind == fromUpstream {
		w.agentReceive(p, &d)
		return
	}
	if p.balancer != nil {
		w.balancerReceive(p, &d)
		return
	}
	h := &d.msg.Header
	switch h.Kind {
	case jmhop.KindHolder:
		p.agent.HandleHolder(w.now, d.msg.Flow)
	case jmhop.KindAbsent:
		w.send(p, p.agent.HandleAbsent(w.now, d.from, h, d.msg.Flow), "")
	case jmhop.KindPoll:
		w.send(p, p.agent.HandlePoll(w.now, d.from), "")
	case jmhop.KindForward, jmhop.KindAsk:
		out, reason := p.agent.HandlePeer(w.now, d.from, h, decode(d.body), []byte(d.body))
		w.note("%s: %s", p.addr, reason)
		w.send(p, out, d.body)
	}
}

// agentReceive gives an agent a packet of its upstream.
func (w *world) agentReceive(p *process, d *datagram) {
	packet := decode(d.body)
	out, _ := p.agent.HandleUpstream(w.now, packet, []byte(d.body), false)
	w.send(p, out, d.body)
}

func (w *world) balancerReceive(p *process, d *datagram) {
	switch d.msg.Header.Kind {
	case jmhop.KindReport:
		p.balancer.HandleReport(w.now, d.from, d.msg.Report)
	case jmhop.KindHolder:
		p.balancer.HandleHolder(w.now, d.from, d.msg.Flow)
	case jmhop.KindFlowReset:
		p.balancer.HandleFlowReset(w.now, d.from, d.msg.Flow, d.msg.Header.Age)
	}
}

// settle delivers all datagrams in the order in which they were sent, also those that
// result.
func (w *world) settle() {
	for len(w.wire) > 0 && w.violation == "" {
		d := w.wire[0]
		w.wire = slices.Delete(w.wire, 0, 1)
		w.deliver(d)
	}
}

// deliverLocal delivers the packets between agents and their upstreams that are late.
func (w *world) deliverLocal() {
	isLate := func(d datagram) bool { return d.isLocal() && w.now.Sub(d.at) >= maxLocalDelay }
	for at := slices.IndexFunc(w.wire, isLate); at >= 0 && w.violation == ""; at = slices.IndexFunc(w.wire, isLate) {
		d := w.wire[at]
		w.wire = slices.Delete(w.wire, at, at+1)
		w.deliver(d)
	}
}

// recover ends all faults, and checks that each lost flow is reset and any other is served
// within recoveryTime.
func (w *world) recover() {
	w.note("no more faults")
	for _, p := range w.processes {
		if !p.isUp && p.starts > 0 {
			w.startProcess(p, false)
		}
		if p.isUp {
			w.giveCopy(p, len(w.directory.history)-1, false)
		}
	}
	served := make([]int, len(w.callers))
	for i, c := range w.callers {
		served[i] = c.served
	}
	lost := w.lost(served)
	for at := time.Duration(0); at <= recoveryTime && len(lost) > 0 && w.violation == ""; at += tickInterval {
		for _, c := range lost {
			if at%retransmitDelay == 0 {
				w.callerSend(c, int(at/retransmitDelay)%w.fleet.Balancers)
			}
		}
		w.settle()
		w.tick()
		lost = w.lost(served)
		w.recovery = at + tickInterval
	}
	for _, c := range lost {
		w.fail("flow %s was neither reset nor served within %s of the last fault", c.key, recoveryTime)
	}
}

// lost returns the callers whose flows are lost, as far as is known.
func (w *world) lost(served []int) (lost []*caller) {
	for i, c := range w.callers {
		if w.isLost(c, served[i]) {
			lost = append(lost, c)
		}
	}
	return lost
}

// isLost reports whether an open flow was neither reset nor served since it had served
// requests. Unless the fleet needs resets, one of a service without upstreams doesn't count; see
// Fleet.NeedsReset.
func (w *world) isLost(c *caller, served int) bool {
	if !c.isOpen || c.isEnded || c.served > served {
		return false
	}
	if w.fleet.NeedsReset {
		return true
	}
	newest := w.directory.newest()
	service := newest.routes[w.callerOf(c.key)]
	return slices.ContainsFunc(newest.entries, func(e entry) bool { return e.isListed && e.service == service })
}
