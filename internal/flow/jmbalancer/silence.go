package jmbalancer

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

const (
	// silenceCount first flights without any answer make an agent silent.
	silenceCount = 3
	// silenceTime is how long they must have gone unanswered.
	silenceTime = 600 * time.Millisecond
	// silenceHold is how long a silent agent gets no new flows, unless it is
	// heard of first.
	silenceHold = 5 * time.Second

	// pathCount datagrams of open flows without any answer, over pathTime, make
	// the path to an agent silent, so that another local port is used.
	pathCount = 20
	pathTime  = time.Second
)

// silenceTable finds agents that answer no first flights, sooner than the
// probing does, and paths to agents that have gone silent: something between
// the two ends may have lost track of a pair of ports while new ones work. It
// counts by agent, never by flow. The zero value knows no agents; it is safe
// for concurrent use.
type silenceTable struct {
	agents atomic.Pointer[map[netip.AddrPort]*silenceEntry]
}

type silenceEntry struct {
	unanswered  atomic.Int64
	firstSent   atomic.Int64 // nanoseconds since the Unix epoch, 0 if none is unanswered
	silentUntil atomic.Int64

	forwarded     atomic.Int64 // datagrams of open flows since the agent was heard
	firstForward  atomic.Int64 // when the first of them was sent, as firstSent
	usesSparePort atomic.Bool
}

// setAgents replaces the known agents. What is known of those that stay is kept.
func (t *silenceTable) setAgents(agents map[netip.AddrPort]jmtree.Place) {
	next := make(map[netip.AddrPort]*silenceEntry, len(agents))
	for agent := range agents {
		e := t.entry(agent)
		if e == nil {
			e = &silenceEntry{}
		}
		next[agent] = e
	}
	t.agents.Store(&next)
}

// entry returns what is known of an agent, or nil.
func (t *silenceTable) entry(agent netip.AddrPort) *silenceEntry {
	if agents := t.agents.Load(); agents != nil {
		return (*agents)[agent]
	}
	return nil
}

// sent records a first flight sent to an agent.
func (t *silenceTable) sent(agent netip.AddrPort) {
	e := t.entry(agent)
	if e == nil {
		return
	}
	e.unanswered.Add(1)
	e.firstSent.CompareAndSwap(0, time.Now().UnixNano())
}

// passedOn records a datagram of an open flow sent to an agent, and reports
// whether the spare port is to be used for it.
func (t *silenceTable) passedOn(agent netip.AddrPort) (usesSparePort bool) {
	e := t.entry(agent)
	if e == nil {
		return false
	}
	if e.forwarded.Add(1) == 1 {
		e.firstForward.Store(time.Now().UnixNano())
	}
	return e.usesSparePort.Load()
}

// heard records any answer of an agent.
func (t *silenceTable) heard(agent netip.AddrPort) {
	e := t.entry(agent)
	if e == nil {
		return
	}
	e.forwarded.Store(0)
	if e.firstSent.Load() != 0 {
		e.unanswered.Store(0)
		e.firstSent.Store(0)
	}
	if e.silentUntil.Load() != 0 {
		e.silentUntil.Store(1) // in the past, so that judge notices the change
	}
}

// judge finds the agents that have become silent, or are so no more, and
// reports whether there were any.
func (t *silenceTable) judge(now time.Time) (hasChanged bool) {
	agents := t.agents.Load()
	if agents == nil {
		return false
	}
	for _, e := range *agents {
		hasChanged = e.judge(now) || hasChanged
	}
	return hasChanged
}

func (e *silenceEntry) judge(now time.Time) (hasChanged bool) {
	isPathSilent := e.forwarded.Load() >= pathCount && now.UnixNano()-e.firstForward.Load() >= int64(pathTime)
	if isPathSilent {
		e.usesSparePort.Store(!e.usesSparePort.Load())
		e.forwarded.Store(0)
	}
	if until := e.silentUntil.Load(); until != 0 {
		if until > now.UnixNano() {
			return false
		}
		e.silentUntil.Store(0)
		e.firstSent.Store(0)
		e.unanswered.Store(0)
		return true
	}
	first := e.firstSent.Load()
	isSilent := first != 0 && e.unanswered.Load() >= silenceCount && now.UnixNano()-first >= int64(silenceTime)
	if isSilent {
		e.silentUntil.Store(now.Add(silenceHold).UnixNano())
	}
	return isSilent
}

func (t *silenceTable) isSilent(agent netip.AddrPort) bool {
	e := t.entry(agent)
	return e != nil && e.silentUntil.Load() != 0
}
