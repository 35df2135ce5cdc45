package jmbalancer

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

const (
	// silenceThreshold is the number of unanswered datagrams of first flights that
	// make an agent silent.
	silenceThreshold = 3
	// silenceTime is how long ago the first of them must have been sent.
	silenceTime = 600 * time.Millisecond
	// quarantineTime is how long a silent agent counts as suspect, unless it
	// answers before.
	quarantineTime = 5 * time.Second

	// The path to an agent is silent after pathSilenceThreshold datagrams of open
	// flows without any answer over pathSilenceTime. The balancer then changes from
	// the fleet port to the spare port, or back.
	pathSilenceThreshold = 20
	pathSilenceTime      = time.Second
)

// silenceDetector detects agents that answer no first flights, sooner than the
// probes between members do. It also detects silent paths to agents: a device on
// the path may have lost its state for one pair of ports while new pairs work. It
// counts per agent, never per flow. The zero value has no agents. It is safe for
// concurrent use.
type silenceDetector struct {
	agents atomic.Pointer[map[netip.AddrPort]*agentState]
}

// agentState counts the datagrams sent to one agent since its last answer. Times
// are in nanoseconds since the Unix epoch.
type agentState struct {
	unanswered      atomic.Int64 // datagrams of first flights since the last answer
	unansweredSince atomic.Int64 // when the first of them was sent, 0 if there is none
	silentUntil     atomic.Int64 // end of the quarantine, 0 if the agent isn't silent

	forwarded      atomic.Int64 // datagrams of open flows since the last answer
	forwardedSince atomic.Int64 // when the first of them was sent
	usesSparePort  atomic.Bool
}

// setAgents replaces the set of known agents, and keeps the state of those that
// are in both sets.
func (d *silenceDetector) setAgents(agents map[netip.AddrPort]jmtree.UpstreamRef) {
	next := make(map[netip.AddrPort]*agentState, len(agents))
	for agent := range agents {
		s := d.lookup(agent)
		if s == nil {
			s = &agentState{}
		}
		next[agent] = s
	}
	d.agents.Store(&next)
}

// lookup returns the state of an agent, or nil if the agent is unknown.
func (d *silenceDetector) lookup(agent netip.AddrPort) *agentState {
	if agents := d.agents.Load(); agents != nil {
		return (*agents)[agent]
	}
	return nil
}

// recordFirstFlight records a datagram of a first flight sent to an agent.
func (d *silenceDetector) recordFirstFlight(agent netip.AddrPort) {
	s := d.lookup(agent)
	if s == nil {
		return
	}
	s.unanswered.Add(1)
	s.unansweredSince.CompareAndSwap(0, time.Now().UnixNano())
}

// recordForward records a datagram of an open flow sent to an agent, and reports
// whether it must be sent from the spare port.
func (d *silenceDetector) recordForward(agent netip.AddrPort) (usesSparePort bool) {
	s := d.lookup(agent)
	if s == nil {
		return false
	}
	if s.forwarded.Add(1) == 1 {
		s.forwardedSince.Store(time.Now().UnixNano())
	}
	return s.usesSparePort.Load()
}

// recordAnswer records an answer of an agent to any datagram.
func (d *silenceDetector) recordAnswer(agent netip.AddrPort) {
	s := d.lookup(agent)
	if s == nil {
		return
	}
	s.forwarded.Store(0)
	if s.unansweredSince.Load() != 0 {
		s.unanswered.Store(0)
		s.unansweredSince.Store(0)
	}
	if s.silentUntil.Load() != 0 {
		s.silentUntil.Store(1) // in the past, so that update ends the quarantine
	}
}

// update updates the state of all agents, and reports whether any agent has become
// silent or has ceased to be silent.
func (d *silenceDetector) update(now time.Time) (hasChanged bool) {
	agents := d.agents.Load()
	if agents == nil {
		return false
	}
	for _, s := range *agents {
		hasChanged = s.update(now) || hasChanged
	}
	return hasChanged
}

// update switches the port if the path to the agent is silent, and begins or ends
// the agent's quarantine. It reports whether the quarantine has changed.
func (s *agentState) update(now time.Time) (hasChanged bool) {
	isPathSilent := s.forwarded.Load() >= pathSilenceThreshold && now.UnixNano()-s.forwardedSince.Load() >= int64(pathSilenceTime)
	if isPathSilent {
		s.usesSparePort.Store(!s.usesSparePort.Load())
		s.forwarded.Store(0)
	}
	if until := s.silentUntil.Load(); until != 0 {
		if until > now.UnixNano() {
			return false
		}
		s.silentUntil.Store(0)
		s.unansweredSince.Store(0)
		s.unanswered.Store(0)
		return true
	}
	first := s.unansweredSince.Load()
	isSilent := first != 0 && s.unanswered.Load() >= silenceThreshold && now.UnixNano()-first >= int64(silenceTime)
	if isSilent {
		s.silentUntil.Store(now.Add(quarantineTime).UnixNano())
	}
	return isSilent
}

// isSilent reports whether an agent is in quarantine.
func (d *silenceDetector) isSilent(agent netip.AddrPort) bool {
	s := d.lookup(agent)
	return s != nil && s.silentUntil.Load() != 0
}
