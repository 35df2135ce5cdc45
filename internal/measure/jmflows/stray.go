package jmflows

import (
	"net/netip"
	"time"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

const (
	// strayLimit packets of an open flow at upstreams that don't hold it, from the first to the
	// last over strayPeriod, break the flow if its own upstream gets none meanwhile.
	strayLimit  = 3
	strayPeriod = 2 * time.Second
	// leaveGrace is how long an agent goes on that leaves.
	leaveGrace = 30 * time.Millisecond
)

// leaver is an agent that can leave in an orderly way. See jmpass.Agent.
type leaver interface {
	Leave(now time.Time) []jmpass.Message
	HandOnSearches(now time.Time) []jmpass.Message
	AdmitBeforeLeaving(now time.Time) []jmpass.Message
}

// heir is an agent that takes over the flows of the one before it. See jmpass.Agent.
type heir interface {
	HandOverFlows(now time.Time) []jmpass.Message
	Recall(now time.Time) []jmpass.Message
	HandleFlows(now time.Time, from netip.Addr, l *jmhop.FlowList)
}

// keeper is a balancer that keeps the lists of flows of agents that leave. See
// jmpass.Balancer.
type keeper interface {
	HandleFlows(now time.Time, from netip.Addr, incarnation jasminemoor.Incarnation, part []byte)
	HandlePoll(now time.Time, from netip.Addr) []jmpass.Message
}

// restartOrderly has an agent leave, and starts it again after a time. It does nothing if the
// agent is leaving or down.
func (n *node) restartOrderly(down time.Duration) {
	if !n.isUp || n.isLeaving {
		return
	}
	n.isLeaving = true
	if a, ok := n.agent.(leaver); ok {
		now := n.world.now
		n.send(a.Leave(now), nil)
		n.send(a.HandOnSearches(now), nil)
		n.send(a.AdmitBeforeLeaving(now), nil)
	}
	n.world.after(leaveGrace, func() {
		n.isLeaving = false
		if a, ok := n.agent.(heir); ok && n.isUp {
			n.send(a.HandOverFlows(n.world.now), nil)
		}
		n.restart(down, false)
	})
}

// recall has an agent ask for the flows of the one before it.
func (n *node) recall() {
	if a, ok := n.agent.(heir); ok {
		n.send(a.Recall(n.world.now), nil)
	}
}

// receiveFlows handles a message of an agent's list of flows.
func (n *node) receiveFlows(from netip.Addr, m *jmpass.Message) {
	var l jmhop.FlowList
	if err := l.Unmarshal(m.Body); err != nil {
		n.world.reportViolation("list of flows can't be decoded: %v", err)
		return
	}
	if k, ok := n.balancer.(keeper); ok {
		k.HandleFlows(n.world.now, from, l.Incarnation, m.Body)
	} else if a, ok := n.agent.(heir); ok {
		a.HandleFlows(n.world.now, from, &l)
	}
}

// receivePoll handles a request for a report of an agent, or for a list that a balancer keeps.
func (n *node) receivePoll(from netip.Addr) {
	if n.agent != nil {
		n.send(n.agent.HandlePoll(n.world.now, from), nil)
	} else if k, ok := n.balancer.(keeper); ok {
		n.send(k.HandlePoll(n.world.now, from), nil)
	}
}

// strays are the packets of an open flow that reached other upstreams since one last reached
// its own.
type strays struct {
	first     time.Time
	count     int
	isCounted bool // in Result.Strayed
}

// holderOf returns the upstream that holds a flow open, nil if none does.
func (w *World) holderOf(key jasminemoor.FlowKey) *upstream {
	for _, n := range w.agents {
		if held := n.upstream.flows[key]; n.upstream.isUp && held != nil && held.isOpen {
			return n.upstream
		}
	}
	return nil
}

// countArrival records that a packet of a flow has reached an upstream.
func (w *World) countArrival(u *upstream, key jasminemoor.FlowKey) {
	if w.strays == nil {
		return
	}
	holder := w.holderOf(key)
	if holder == nil {
		return
	}
	s := w.strays[key]
	if s == nil {
		s = &strays{}
		w.strays[key] = s
	}
	if holder == u {
		s.count = 0
		return
	}
	w.result.Strays++
	if s.count++; s.count == 1 {
		s.first = w.now
	}
	if s.count >= strayLimit && w.now.Sub(s.first) >= strayPeriod && !s.isCounted {
		s.isCounted = true
		w.result.Strayed++
	}
}
