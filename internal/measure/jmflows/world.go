// Package jmflows is a model of a whole installation of pass-through flows: the
// real decisions of balancers and agents, with callers, upstreams and links
// that are simulated. Load patterns and failures are replayed from a seed, and
// policies compared.
package jmflows

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// balancer and agent are what a policy provides.
type balancer interface {
	SetSnapshot(s jmpass.Snapshot)
	Handle(now time.Time, p *jasminemoor.Packet) (jmpass.Message, jmpass.Reason)
	HandleHolder(now time.Time, from netip.Addr, flow jasminemoor.FlowKey)
	HandleGone(now time.Time, from netip.Addr, flow jasminemoor.FlowKey, age time.Duration)
	HandleReport(now time.Time, from netip.Addr, r *jmhop.Report)
	Tick(now time.Time) []netip.Addr
}

type agent interface {
	SetSnapshot(s jmpass.Snapshot)
	HandlePeer(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) ([]jmpass.Message, jmpass.Reason)
	HandleUpstream(now time.Time, p *jasminemoor.Packet, packet []byte, isFailure bool) ([]jmpass.Message, jmpass.Reason)
	HandleAbsent(now time.Time, from netip.Addr, h *jmhop.Header, key jasminemoor.FlowKey) []jmpass.Message
	HandleHolder(now time.Time, key jasminemoor.FlowKey)
	HandlePoll(now time.Time, from netip.Addr) []jmpass.Message
	HandleProbe(now time.Time, result jmpass.Probe) []jmpass.Message
	Tick(now time.Time) ([]jmpass.Message, bool)
}

// Policy makes the deciding parts of a process.
type Policy struct {
	Name        string
	newBalancer func(self netip.Addr, dataCentre string) balancer
	newAgent    func(n *node, isFirst bool) agent
}

// Product is the policy that the product runs.
var Product = Policy{
	Name: "product",
	newBalancer: func(self netip.Addr, dataCentre string) balancer {
		return &jmpass.Balancer{Self: self, DataCentre: dataCentre}
	},
	newAgent: func(n *node, isFirst bool) agent {
		return &jmpass.Agent{
			Self: n.addr, Upstream: n.upstream.addr, Service: service, IsFirst: isFirst,
			Incarnation: jasminemoor.Incarnation(n.starts),
		}
	},
}

const (
	service  = "shop"
	tick     = 25 * time.Millisecond
	hopDelay = 3 * time.Millisecond // between data centres, one way
	ownDelay = 100 * time.Microsecond
	// startTime is how long a process takes to serve after its start.
	startTime = 250 * time.Millisecond
	// lapseTime is how long the directory keeps a silent upstream.
	lapseTime = 3600 * time.Millisecond
	lossRate  = 0.001
)

// address is the service's address.
var address = netip.MustParseAddrPort("198.18.0.1:8443")

// World is the state of one run.
type World struct {
	Scenario
	Policy Policy
	Rand   *rand.Rand

	now       time.Time
	begun     time.Time
	events    eventQueue
	sequence  uint64
	balancers []*node
	agents    []*node
	byAddr    map[netip.Addr]*node
	callers   []*caller
	revision  uint64
	version   uint64
	result    Result
	violation error
}

// node is a balancer's or an agent's process.
type node struct {
	world      *World
	addr       netip.Addr
	dataCentre string
	starts     int
	isUp       bool
	balancer   balancer
	agent      agent
	upstream   *upstream
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) } // only events are pushed
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (w *World) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.sequence, run: run})
}

// Run plays the scenario and returns what the callers saw. It fails if a
// promise was broken.
func (w *World) Run() (r *Result, err error) {
	w.begin()
	for w.events.Len() > 0 && w.violation == nil {
		e := heap.Pop(&w.events).(event) // only events are pushed
		if e.at.Sub(w.begun) > w.Length {
			break
		}
		w.now = e.at
		e.run()
	}
	w.result.finish(w)
	return &w.result, w.violation
}

func (w *World) violate(format string, args ...any) {
	if w.violation == nil {
		w.violation = eris.Errorf("after %s: "+format, append([]any{w.now.Sub(w.begun)}, args...)...)
	}
}

func (w *World) begin() {
	// Any fixed time does; the machines only compare times.
	w.begun = time.Unix(1_700_000_000, 0)
	w.now = w.begun
	w.byAddr = make(map[netip.Addr]*node)
	w.version = 1
	for i := range w.Balancers {
		n := &node{world: w, addr: netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), dataCentre: w.dataCentre(i)}
		w.balancers = append(w.balancers, n)
		w.byAddr[n.addr] = n
	}
	for i := range w.Upstreams {
		n := &node{world: w, addr: netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i + 1)}), dataCentre: w.dataCentre(i)}
		n.upstream = &upstream{node: n, addr: netip.AddrPortFrom(n.addr, 8080), speed: 1}
		w.agents = append(w.agents, n)
		w.byAddr[n.addr] = n
	}
	for _, n := range w.nodes() {
		if n.upstream != nil {
			n.upstream.start(false)
		}
		n.start(true)
	}
	w.publish()
	w.beginCallers()
	for _, f := range w.Faults {
		w.after(time.Duration(f.At), func() { w.strike(f) })
	}
}

func (w *World) dataCentre(i int) string { return string(rune('a' + i%max(w.DataCentres, 1))) }

// start starts a process.
func (n *node) start(isFirst bool) {
	n.starts++
	n.isUp = true
	run := n.starts
	if n.upstream == nil {
		n.balancer = n.world.Policy.newBalancer(n.addr, n.dataCentre)
	} else {
		n.agent = n.world.Policy.newAgent(n, isFirst)
	}
	n.setSnapshot()
	n.world.after(tick, func() { n.tick(run) })
}

func (n *node) tick(run int) {
	if !n.isUp || n.starts != run {
		return
	}
	w := n.world
	if n.balancer != nil {
		for _, to := range n.balancer.Tick(w.now) {
			w.toPeer(n, &jmpass.Message{To: to, Header: jmhop.Header{Kind: jmhop.KindPoll, Origin: n.addr}}, nil)
		}
	} else {
		out, shouldProbe := n.agent.Tick(w.now)
		n.send(out, nil)
		if shouldProbe {
			w.after(time.Millisecond, func() { n.probe(run) })
		}
	}
	w.after(tick, func() { n.tick(run) })
}

func (n *node) probe(run int) {
	if !n.isUp || n.starts != run {
		return
	}
	result := jmpass.ProbeRefused
	if n.upstream.isUp {
		result = jmpass.ProbeAccepted
	}
	n.send(n.agent.HandleProbe(n.world.now, result), nil)
}

// publish tells every process what the directory says now. The spreading of
// the directory has its own tests.
func (w *World) publish() {
	w.revision++
	for _, n := range w.nodes() {
		n.setSnapshot()
	}
}

// nodes returns all processes, always in the same order.
func (w *World) nodes() []*node { return append(slices.Clone(w.balancers), w.agents...) }

func (n *node) setSnapshot() {
	s := jmpass.Snapshot{View: n.world.view(), AsOf: n.world.now.Add(n.world.Length)}
	switch {
	case !n.isUp:
	case n.balancer != nil:
		n.balancer.SetSnapshot(s)
	default:
		n.agent.SetSnapshot(s)
	}
}

func (w *World) view() *jmdirectory.View {
	s := &jmdirectory.Service{Name: service}
	v := &jmdirectory.View{
		Revision:  w.revision,
		Version:   w.version,
		Routes:    make(map[netip.AddrPort]*jmdirectory.Route),
		Services:  map[string]*jmdirectory.Service{service: s},
		Upstreams: make(map[netip.AddrPort]*jmdirectory.Upstream),
		Agents:    make(map[netip.Addr]*jmdirectory.Upstream),
	}
	for i := range w.Classes {
		c := &w.Classes[i]
		route := jasminemoor.Route{
			Name: c.Name, Address: c.address(i), Shares: []jasminemoor.Share{{Service: service, Weight: 1}},
			Timeout: time.Duration(c.Deadline), Target: time.Duration(c.Target), Priority: c.Priority,
		}
		v.Routes[route.Address] = &jmdirectory.Route{Route: route}
	}
	for _, n := range w.agents {
		if !n.upstream.isListed {
			continue
		}
		u := &jmdirectory.Upstream{
			ListedUpstream: jasminemoor.ListedUpstream{
				ID: n.addr.String(), Service: service, Address: n.upstream.addr, DataCentre: n.dataCentre, Slots: w.Slots,
			},
			WarmAt: n.upstream.warmAt,
		}
		if n.upstream.isLeaving {
			u.State = jasminemoor.UpstreamLeaving
		}
		s.Upstreams = append(s.Upstreams, u)
		v.Upstreams[u.Address] = u
		v.Agents[n.addr] = u
	}
	return v
}

// send carries out an agent's messages.
func (n *node) send(out []jmpass.Message, packet []byte) {
	w := n.world
	for i := range out {
		m := out[i]
		body := packet
		if m.Packet != nil {
			body = m.Packet
		}
		switch m.Kind {
		case jmpass.ToUpstream:
			codec{}.Restore(body)
			n.upstream.deliver(clone(body))
		case jmpass.ToCaller:
			w.toCaller(m.Flow, clone(body), false)
		case jmpass.Reset:
			w.toCaller(m.Flow, codec{}.AppendReset(nil, m.Flow, m.Sequence), true)
		case jmpass.ToPeer:
			if m.HasPacket {
				codec{}.Restore(body)
			}
			w.toPeer(n, &m, clone(body))
		}
	}
}

func clone(b []byte) []byte { return append([]byte(nil), b...) }

// toPeer carries a message from one process to another.
func (w *World) toPeer(from *node, m *jmpass.Message, packet []byte) {
	to := w.byAddr[m.To]
	if to == nil || w.Rand.Float64() < lossRate {
		return
	}
	delay := ownDelay
	if to.dataCentre != from.dataCentre {
		delay = hopDelay
		w.result.Crossing += len(packet)
	}
	message := *m
	w.after(delay, func() { to.receive(from.addr, &message, packet) })
}

func (n *node) receive(from netip.Addr, m *jmpass.Message, packet []byte) {
	if !n.isUp {
		return
	}
	now := n.world.now
	switch m.Header.Kind {
	case jmhop.KindReport:
		if n.balancer != nil {
			n.balancer.HandleReport(now, from, m.Report)
		}
	case jmhop.KindHolder:
		if n.balancer != nil {
			n.balancer.HandleHolder(now, from, m.Flow)
		} else {
			n.agent.HandleHolder(now, m.Flow)
		}
	case jmhop.KindGone:
		n.balancer.HandleGone(now, from, m.Flow, m.Header.Age)
	case jmhop.KindAbsent:
		n.send(n.agent.HandleAbsent(now, from, &m.Header, m.Flow), nil)
	case jmhop.KindPoll:
		n.send(n.agent.HandlePoll(now, from), nil)
	case jmhop.KindForward, jmhop.KindAsk:
		var p jasminemoor.Packet
		if err := (codec{}).Decode(packet, &p); err != nil {
			n.world.violate("packet can't be decoded: %v", err)
			return
		}
		out, _ := n.agent.HandlePeer(now, from, &m.Header, &p, packet)
		n.send(out, packet)
	}
}

// codec is a packet format of the model's own.
type codec struct{}

const headSize = 2*18 + 1 + 4*4 + 8

func (codec) MaxSize() int { return headSize + 1200 }

func (codec) Decode(b []byte, p *jasminemoor.Packet) error {
	if len(b) < headSize {
		return eris.New("packet is cut short")
	}
	key := jasminemoor.FlowKey(b[:36])
	p.Source, p.Destination = key.Caller(), key.Service()
	p.Flags = jasminemoor.PacketFlags(b[36])
	p.Sequence = binary.BigEndian.Uint32(b[37:])
	p.Acknowledged = binary.BigEndian.Uint32(b[41:])
	p.Length = int(binary.BigEndian.Uint32(b[49:]))
	p.Age = time.Duration(binary.BigEndian.Uint64(b[53:]))
	return nil
}

func (codec) Restore(b []byte) {
	b[36] &^= byte(jasminemoor.FlagReturned)
}

func (codec) AppendReset(b []byte, flow jasminemoor.FlowKey, sequence uint32) []byte {
	p := jasminemoor.Packet{
		Source: flow.Service(), Destination: flow.Caller(), Flags: jasminemoor.FlagReset, Sequence: sequence,
	}
	return append(b, encode(&p)...)
}

func encode(p *jasminemoor.Packet) []byte {
	b := make([]byte, headSize)
	key := jasminemoor.NewFlowKey(p.Source, p.Destination)
	copy(b, key[:])
	b[36] = byte(p.Flags)
	binary.BigEndian.PutUint32(b[37:], p.Sequence)
	binary.BigEndian.PutUint32(b[41:], p.Acknowledged)
	binary.BigEndian.PutUint32(b[49:], uint32(p.Length))
	binary.BigEndian.PutUint64(b[53:], uint64(p.Age))
	return b
}
