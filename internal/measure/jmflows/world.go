// Package jmflows simulates a whole installation for pass-through flows on a
// virtual clock, to compare policies. The decisions are made by the real code of
// balancers and agents, or by a naive policy. Callers, routers, upstreams and
// links are simulated. The load and the faults come from a scenario, and a seed
// makes a run repeatable.
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

// balancer is a policy's implementation of a balancer. See jmpass.Balancer.
type balancer interface {
	SetSnapshot(s jmpass.Snapshot)
	Handle(now time.Time, p *jasminemoor.Packet) (jmpass.Message, jmpass.Reason)
	HandleHolder(now time.Time, from netip.Addr, flow jasminemoor.FlowKey)
	HandleFlowReset(now time.Time, from netip.Addr, flow jasminemoor.FlowKey, age time.Duration)
	HandleReport(now time.Time, from netip.Addr, r *jmhop.Report)
	Tick(now time.Time) []netip.Addr
}

// Agent is a policy's implementation of an agent. See jmpass.Agent.
type Agent interface {
	SetSnapshot(s jmpass.Snapshot)
	HandlePeer(now time.Time, from netip.Addr, h *jmhop.Header, p *jasminemoor.Packet, packet []byte) ([]jmpass.Message, jmpass.Reason)
	HandleUpstream(now time.Time, p *jasminemoor.Packet, packet []byte, isFailure bool) ([]jmpass.Message, jmpass.Reason)
	HandleAbsent(now time.Time, from netip.Addr, h *jmhop.Header, key jasminemoor.FlowKey) []jmpass.Message
	HandleHolder(now time.Time, key jasminemoor.FlowKey)
	HandlePoll(now time.Time, from netip.Addr) []jmpass.Message
	HandleProbe(now time.Time, result jmpass.ProbeResult) []jmpass.Message
	HandleWatch(now time.Time, isHeld bool) []jmpass.Message
	Tick(now time.Time) ([]jmpass.Message, bool)
}

// Policy makes the balancers and agents that take part in a run.
type Policy struct {
	Name        string
	newBalancer func(self netip.Addr, dataCentre string) balancer
	newAgent    func(n *node, isFirstStart bool) Agent
}

// Product is the policy of the balancers and agents of jasminemoor.
var Product = Policy{
	Name: "product",
	newBalancer: func(self netip.Addr, dataCentre string) balancer {
		return &jmpass.Balancer{Self: self, DataCentre: dataCentre}
	},
	newAgent: func(n *node, isFirstStart bool) Agent {
		a := &jmpass.Agent{
			Self: n.addr, Upstream: n.upstream.addr, Service: service, IsFirstStart: isFirstStart,
			Incarnation: jasminemoor.Incarnation(n.starts), ColdOverrun: coldOverrun, ColdSlack: coldSlack,
		}
		a.SetShares(n.world.FairShares, nil)
		return a
	},
}

const (
	service      = "shop"
	tickInterval = 25 * time.Millisecond
	remoteDelay  = 3 * time.Millisecond   // between data centres, one way
	localDelay   = 100 * time.Microsecond // within a data centre or an instance, one way
	// startupTime is how long a process takes from its start until it serves.
	startupTime = 250 * time.Millisecond
	// evictionDelay is how long the directory keeps an upstream that is down.
	evictionDelay = 3600 * time.Millisecond
	// defaultLoss is the share of packets lost where the scenario sets none.
	defaultLoss = 0.001
)

// firstAddress is the service address of the first class. Each further class has
// the next port.
var firstAddress = netip.MustParseAddrPort("198.18.0.1:8443")

// World is the state of one run.
type World struct {
	Scenario
	Policy Policy
	Rand   *rand.Rand

	now       time.Time
	startedAt time.Time
	events    eventQueue
	scheduled uint64 // number of events scheduled so far
	balancers []*node
	agents    []*node
	byAddr    map[netip.Addr]*node
	callers   []*caller
	revision  jasminemoor.Revision // of the directory
	endings   uint64               // upstreams that are known to have ended
	version   uint64               // of the routes
	// isPublishing is set while the publication of a change is scheduled.
	isPublishing bool
	views        map[time.Time]*jmdirectory.View // of the present revision, by the time of the process's start
	result       Result
	violation    error                           // first violation of a guarantee
	strays       map[jasminemoor.FlowKey]*strays // nil if they aren't counted
}

// node is the process of a balancer, or of an agent with its upstream. Its
// balancer or agent is replaced at each start.
type node struct {
	world      *World
	addr       netip.Addr
	dataCentre string
	starts     int
	startedAt  time.Time
	isUp       bool
	isLeaving  bool
	balancer   balancer
	agent      Agent
	upstream   *upstream
	isJoining  bool // it starts at Joining.At
	// watched is which start of the upstream the agent holds a connection to, 0 if none.
	watched int
	// sawUpstreamDown is set if a probe of the agent has found that the upstream had ended.
	sawUpstreamDown bool
}

// event is a function to run at a virtual time.
type event struct {
	at    time.Time
	order uint64 // order of events at the same time, so that a run is repeatable
	run   func()
}

// eventQueue is a heap of events, the earliest first.
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

// after schedules a function to run when a time has passed.
func (w *World) after(d time.Duration, run func()) {
	w.scheduled++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.scheduled, run: run})
}

// Run simulates the scenario and returns its result. It stops with an error as
// soon as a guarantee is violated: an agent reset an open flow that an upstream
// held, a request that is not idempotent ran twice, or a packet was corrupted or
// sent to a wrong caller.
func (w *World) Run() (r *Result, err error) {
	w.setUp()
	for w.events.Len() > 0 && w.violation == nil {
		e := heap.Pop(&w.events).(event) // only events are pushed
		if e.at.Sub(w.startedAt) > w.Length {
			break
		}
		w.now = e.at
		e.run()
	}
	w.result.summarise(w)
	return &w.result, w.violation
}

// reportViolation records the violation of a guarantee, which ends the run.
func (w *World) reportViolation(format string, args ...any) {
	if w.violation == nil {
		w.violation = eris.Errorf("after %s: "+format, append([]any{w.now.Sub(w.startedAt)}, args...)...)
	}
}

// setUp starts all processes and upstreams, and schedules the load and the faults.
func (w *World) setUp() {
	// The start can be any fixed time, as the policies only compare times.
	w.startedAt = time.Unix(1_700_000_000, 0)
	w.now = w.startedAt
	w.byAddr = make(map[netip.Addr]*node)
	if slices.ContainsFunc(w.Faults, func(f Fault) bool { return f.Kind == FaultLeaveAgents }) {
		w.strays = make(map[jasminemoor.FlowKey]*strays)
	}
	w.version = 1
	for i := range w.Balancers {
		n := &node{world: w, addr: netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i + 1)}), dataCentre: w.dataCentreName(i)}
		w.balancers = append(w.balancers, n)
		w.byAddr[n.addr] = n
	}
	for i := range w.Upstreams {
		n := &node{world: w, addr: netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i + 1)}), dataCentre: w.dataCentreName(i)}
		n.upstream = &upstream{node: n, addr: netip.AddrPortFrom(n.addr, 8080), slowdown: 1, speed: w.speedOf(i)}
		w.agents = append(w.agents, n)
		w.byAddr[n.addr] = n
	}
	for _, n := range w.joiningAgents() {
		n.isJoining = true
	}
	for _, n := range w.nodes() {
		if n.isJoining {
			w.after(time.Duration(w.Joining.At), n.join)
			continue
		}
		if n.upstream != nil {
			n.upstream.start(false)
		}
		n.start(true)
	}
	w.publish()
	w.startCallers()
	for _, f := range w.Faults {
		w.after(time.Duration(f.At), func() { w.inject(f) })
	}
}

// dataCentreName returns the name of the data centre with the index i, modulo their
// number. The processes of each role are spread over the data centres in turn.
func (w *World) dataCentreName(i int) string { return string(rune('a' + i%max(w.DataCentres, 1))) }

// start starts a process with empty state.
func (n *node) start(isFirstStart bool) {
	n.starts++
	n.startedAt = n.world.now
	n.isUp = true
	n.watched = 0
	run := n.starts
	if n.upstream == nil {
		n.balancer = n.world.Policy.newBalancer(n.addr, n.dataCentre)
	} else {
		n.agent = n.world.Policy.newAgent(n, isFirstStart)
	}
	n.setSnapshot()
	n.world.after(tickInterval, func() { n.tick(run) })
}

// tick runs the timers of a process and schedules the next tick. It does nothing
// if the process is down or has been restarted since starts had the value run.
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
		if n.watched == 0 && n.upstream.isUp {
			n.watched = n.upstream.starts
			n.send(n.agent.HandleWatch(w.now, true), nil)
		}
	}
	w.after(tickInterval, func() { n.tick(run) })
}

// probe tests whether the upstream accepts a connection, and gives the agent the
// result.
func (n *node) probe(run int) {
	if !n.isUp || n.starts != run {
		return
	}
	result := jmpass.ProbeRefused
	if n.upstream.isUp {
		result = jmpass.ProbeAccepted
	}
	n.sawUpstreamDown = !n.upstream.isUp
	n.send(n.agent.HandleProbe(n.world.now, result), nil)
}

// endWatch ends the connection that an agent holds to its upstream.
func (n *node) endWatch() {
	if n.isUp && n.watched != 0 {
		n.watched = 0
		n.send(n.agent.HandleWatch(n.world.now, false), nil)
	}
}

// publish gives every process a snapshot of the directory, once for all changes of the
// same time. The replication of the directory has its own tests.
func (w *World) publish() {
	if w.isPublishing {
		return
	}
	w.isPublishing = true
	w.after(0, func() {
		w.isPublishing = false
		w.revision++
		w.views = nil
		for _, n := range w.nodes() {
			n.setSnapshot()
		}
	})
}

// nodes returns all processes, always in the same order.
func (w *World) nodes() []*node { return append(slices.Clone(w.balancers), w.agents...) }

// setSnapshot gives a process the directory as it is now, as a snapshot that stays
// fresh for the whole run.
func (n *node) setSnapshot() {
	s := jmpass.Snapshot{View: n.world.viewSince(n.startedAt), AsOf: n.world.now.Add(n.world.Length)}
	switch {
	case !n.isUp:
	case n.balancer != nil:
		n.balancer.SetSnapshot(s)
	default:
		n.agent.SetSnapshot(s)
	}
}

// viewSince returns the directory as it is now, as seen by a process with the given start.
// Processes that have started at the same time share a view.
func (w *World) viewSince(processStart time.Time) *jmdirectory.View {
	if w.views == nil {
		w.views = make(map[time.Time]*jmdirectory.View)
	}
	if w.views[processStart] == nil {
		w.views[processStart] = w.view(processStart)
	}
	return w.views[processStart]
}

func (w *World) view(processStart time.Time) *jmdirectory.View {
	s := &jmdirectory.Service{Name: service, ColdRate: w.ColdRate}
	v := &jmdirectory.View{
		Revision:  w.revision,
		Version:   w.version,
		Routes:    make(map[netip.AddrPort]*jmdirectory.Route),
		Services:  map[string]*jmdirectory.Service{service: s},
		Upstreams: make(map[netip.AddrPort]*jmdirectory.Upstream),
		Agents:    make(map[netip.Addr]*jmdirectory.Upstream),

		EndingCount: w.endings,
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
				Born: n.upstream.startedAt.UnixMilli(),
			},
			WarmAt:   n.upstream.warmAt,
			HasEnded: n.upstream.hasEnded,
		}
		u.ListedSince, u.StartedAfter = n.upstream.history(processStart)
		if n.upstream.isLeaving {
			u.State, u.ListedSince = jasminemoor.UpstreamLeaving, time.Time{}
		}
		s.Upstreams = append(s.Upstreams, u)
		v.Upstreams[u.Address] = u
		v.Agents[n.addr] = u
	}
	return v
}

// send sends the messages of a balancer or an agent. A message that has no packet
// of its own forwards the given one.
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
			w.result.countReset(w.now, m.Flow)
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

// lossRate returns the share of packets lost.
func (w *World) lossRate() float64 {
	if w.Loss > 0 {
		return w.Loss
	}
	return defaultLoss
}

// toPeer sends a message from one process to another.
func (w *World) toPeer(from *node, m *jmpass.Message, packet []byte) {
	to := w.byAddr[m.To]
	if to == nil {
		return
	}
	if w.Rand.Float64() < w.lossRate() {
		if from.balancer != nil && m.Header.Kind == jmhop.KindForward {
			w.result.countLoss(m.Flow)
		}
		return
	}
	delay := localDelay
	if to.dataCentre != from.dataCentre {
		delay = remoteDelay
		w.result.Crossing += len(packet)
	}
	if m.Header.Kind == jmhop.KindAsk {
		w.result.Questions++
	}
	message := *m
	w.after(delay, func() { to.receive(from.addr, &message, packet) })
}

// receive handles a message from another process.
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
	case jmhop.KindFlowReset:
		n.balancer.HandleFlowReset(now, from, m.Flow, m.Header.Age)
	case jmhop.KindAbsent:
		n.send(n.agent.HandleAbsent(now, from, &m.Header, m.Flow), nil)
	case jmhop.KindFlows:
		n.receiveFlows(from, m)
	case jmhop.KindPoll:
		n.receivePoll(from)
	case jmhop.KindForward, jmhop.KindAsk:
		var p jasminemoor.Packet
		if err := (codec{}).Decode(packet, &p); err != nil {
			n.world.reportViolation("packet can't be decoded: %v", err)
			return
		}
		out, reason := n.agent.HandlePeer(now, from, &m.Header, &p, packet)
		if m.Header.Kind == jmhop.KindForward && (reason == jmpass.ReasonProbed || reason == jmpass.ReasonSearched) {
			n.world.result.countSearch(now, p.Key())
		}
		n.send(out, packet)
		n.recall()
	}
}

// codec is the packet format of the simulation.
type codec struct{}

const headerSize = 2*18 + 1 + 4*4 + 8

func (codec) MaxSize() int { return headerSize + 1200 }

func (codec) Decode(b []byte, p *jasminemoor.Packet) error {
	if len(b) < headerSize {
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

// encode returns the header of a packet. Its data isn't simulated.
func encode(p *jasminemoor.Packet) []byte {
	b := make([]byte, headerSize)
	key := jasminemoor.NewFlowKey(p.Source, p.Destination)
	copy(b, key[:])
	b[36] = byte(p.Flags)
	binary.BigEndian.PutUint32(b[37:], p.Sequence)
	binary.BigEndian.PutUint32(b[41:], p.Acknowledged)
	binary.BigEndian.PutUint32(b[49:], uint32(p.Length))
	binary.BigEndian.PutUint64(b[53:], uint64(p.Age))
	return b
}
