package jmpass

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
)

// ended has the view say that the process of an upstream has ended.
func ended(i int) func(v *jmdirectory.View) {
	return func(v *jmdirectory.View) {
		v.Upstreams[upstreamAddr(i)].HasEnded = true
		v.EndingCount++
	}
}

// TestSearchEndsByEnding has a search wait for a silent agent, until the upstream of that
// one is known to have ended.
func TestSearchEndsByEnding(t *testing.T) {
	key := dataPacket(0, 0).Key()
	begin := func(s Snapshot) *Agent {
		a := newAgent(true, s)
		out, _ := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), dataPacket(callerSequence, 10), []byte("packet"))
		require.NotContains(t, kinds(out), Reset)
		require.Empty(t, a.HandleAbsent(startTime, agentAddr(2), absentHeader, key))
		return a
	}
	later := startTime.Add(20 * time.Millisecond) // before a question is due again
	t.Run("known during the search", func(t *testing.T) {
		a := begin(snapshot(3))
		out, _ := a.Tick(later)
		require.NotContains(t, kinds(out), Reset)
		a.SetSnapshot(snapshot(3, ended(3)))
		out, _ = a.Tick(later)
		requireReset(t, out)
	})
	t.Run("another is silent as well", func(t *testing.T) {
		a := begin(snapshot(4))
		a.SetSnapshot(snapshot(4, ended(3)))
		out, _ := a.Tick(later)
		require.NotContains(t, kinds(out), Reset)
		requireReset(t, a.HandleAbsent(later, agentAddr(4), absentHeader, key))
	})
	t.Run("known before", func(t *testing.T) {
		a := newAgent(true, snapshot(3, ended(3)))
		out, _ := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), dataPacket(callerSequence, 10), []byte("packet"))
		require.Len(t, out, 1)
		require.Equal(t, agentAddr(2), out[0].To, "the agent of the ended one is not asked")
		requireReset(t, a.HandleAbsent(startTime, agentAddr(2), absentHeader, key))
	})
	t.Run("silence alone", func(t *testing.T) {
		a := begin(snapshot(3))
		a.SetSnapshot(snapshot(3, ended(2)))
		for now := startTime; now.Sub(startTime) < 2*searchTimeout; now = now.Add(20 * time.Millisecond) {
			out, _ := a.Tick(now)
			require.NotContains(t, kinds(out), Reset)
		}
	})
}

// TestAgentOfEndedUpstreamResets restarts an agent after a power failure whose upstream
// did not start again, unlike the others. It knows as well as they do that the list lacks
// none.
func TestAgentOfEndedUpstreamResets(t *testing.T) {
	othersStarted := func(v *jmdirectory.View) {
		justStarted(v)
		v.Upstreams[upstreamAddr(1)].StartedAfter = time.Time{}
	}
	for name, tc := range map[string]struct {
		probe   ProbeResult
		change  func(v *jmdirectory.View)
		isReset bool
	}{
		"refused":                            {ProbeRefused, othersStarted, true},
		"silent":                             {ProbeSilent, othersStarted, false},
		"refused, the others run for longer": {ProbeRefused, func(*jmdirectory.View) {}, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAgent(false, snapshot(3, tc.change))
			_ = a.HandleProbe(startTime, tc.probe)
			_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), dataPacket(callerSequence, 10), []byte("packet"))
			_ = a.HandleAbsent(startTime, agentAddr(2), absentHeader, dataPacket(0, 0).Key())
			out := a.HandleAbsent(startTime, agentAddr(3), absentHeader, dataPacket(0, 0).Key())
			require.Equal(t, tc.isReset, find(out, Reset) != nil)
		})
	}
}

// TestBalancerAvoidsEnded sends packets of an unknown flow to another agent than the first
// in rank, whose upstream has ended, and resets the flow of a holder that has ended and
// is silent.
func TestBalancerAvoidsEnded(t *testing.T) {
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(3))
	m, reason := b.Handle(startTime, dataPacket(callerSequence, 10))
	require.Equal(t, ReasonUnknown, reason)
	first := m.To
	for i := range 3 {
		if agentAddr(i+1) == first {
			b.SetSnapshot(snapshot(3, ended(i+1)))
		}
	}
	m, _ = b.Handle(startTime, dataPacket(callerSequence, 10))
	require.NotEqual(t, first, m.To)
	require.NotEqual(t, netip.Addr{}, m.To)

	b.HandleHolder(startTime, first, dataPacket(0, 0).Key())
	m, _ = b.Handle(startTime, dataPacket(callerSequence, 10))
	require.Equal(t, first, m.To, "it was heard of")
	silent := startTime.Add(silenceTimeout)
	s := b.snapshot
	s.AsOf = silent
	b.SetSnapshot(s)
	m, reason = b.Handle(silent, dataPacket(callerSequence, 10))
	require.Equal(t, Reset, m.Kind)
	require.Equal(t, ReasonUpstreamGone, reason)
}

// TestEndedUpstreamGetsNoFlows keeps new flows from an address whose listed upstream has
// ended until the next one is listed there. Before that, a search by another agent would
// not find them.
func TestEndedUpstreamGetsNoFlows(t *testing.T) {
	a := newAgent(false, snapshot(3, ended(1)))
	_ = a.HandleProbe(startTime, ProbeAccepted) // the next one runs
	out, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	require.Equal(t, ReasonUpstreamDown, reason)
	require.NotContains(t, kinds(out), ToUpstream)
	a.SetSnapshot(snapshot(3))
	_, reason = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	require.Equal(t, ReasonHeld, reason, "the next one is listed")

	for i := 1; i <= 2; i++ {
		b := &Balancer{Self: balancerAddr, DataCentre: "a"}
		b.SetSnapshot(snapshot(2, ended(i)))
		m, _ := b.Handle(startTime, openingPacket(shop))
		require.Equal(t, agentAddr(3-i), m.To)
	}
	c := newAgent(true, snapshot(3, leaving(1), ended(2)))
	out, reason = c.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	require.Equal(t, ReasonLeaving, reason)
	require.Equal(t, agentAddr(3), out[len(out)-1].To, "handed on")
}
