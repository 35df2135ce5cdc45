package jmbalancer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// silenceCount first flights without any answer make an agent silent.
	silenceCount = 3
	// silenceTime is how long they must have gone unanswered.
	silenceTime = 600 * time.Millisecond
	// silenceHold is how long a silent agent gets no new flows, unless it is
	// heard of first.
	silenceHold = 5 * time.Second
)

// silenceTable finds agents that answer no first flights, sooner than the
// probing does. It counts by agent, never by flow. The zero value is empty.
type silenceTable struct {
	agents sync.Map // of *silenceEntry by netip.AddrPort
}

type silenceEntry struct {
	unanswered  atomic.Int64
	firstSent   atomic.Int64 // nanoseconds since the Unix epoch, 0 if none is unanswered
	silentUntil atomic.Int64
}

func (t *silenceTable) entry(agent netip.AddrPort) *silenceEntry {
	if e, found := t.agents.Load(agent); found {
		return e.(*silenceEntry)
	}
	e, _ := t.agents.LoadOrStore(agent, &silenceEntry{})
	return e.(*silenceEntry)
}

// sent records a first flight sent to an agent.
func (t *silenceTable) sent(agent netip.AddrPort) {
	e := t.entry(agent)
	e.unanswered.Add(1)
	e.firstSent.CompareAndSwap(0, time.Now().UnixNano())
}

// heard records any answer of an agent.
func (t *silenceTable) heard(agent netip.AddrPort) {
	e := t.entry(agent)
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
	t.agents.Range(func(_, value any) bool {
		e := value.(*silenceEntry)
		if until := e.silentUntil.Load(); until != 0 && until <= now.UnixNano() {
			e.silentUntil.Store(0)
			e.firstSent.Store(0)
			e.unanswered.Store(0)
			hasChanged = true
			return true
		}
		first := e.firstSent.Load()
		isSilent := first != 0 && e.unanswered.Load() >= silenceCount && now.UnixNano()-first >= int64(silenceTime)
		if isSilent && e.silentUntil.CompareAndSwap(0, now.Add(silenceHold).UnixNano()) {
			hasChanged = true
		}
		return true
	})
	return hasChanged
}

func (t *silenceTable) isSilent(agent netip.AddrPort) bool {
	e, found := t.agents.Load(agent)
	return found && e.(*silenceEntry).silentUntil.Load() != 0
}
