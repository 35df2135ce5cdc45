package jmpass

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

// TestHandshakeEndsLate delivers a flow's first packet after the opening one late: the
// processes on the way were down, and the upstream keeps the flow half-open.
func TestHandshakeEndsLate(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 12 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			a := newAgent(true, snapshot(1))
			openFlow(t, a)
			now := tickUntil(a, startTime.Add(pause))
			out, reason := a.HandlePeer(now, balancerAddr, forwardHeader(0), dataPacket(callerSequence+1, 10), []byte("packet"))
			require.Equal(t, ReasonHeld, reason)
			require.NotContains(t, kinds(out), Reset)
			require.Contains(t, kinds(out), ToUpstream)
		})
	}
}

// tickUntil ticks an agent with a view that stays recent.
func tickUntil(a *Agent, end time.Time) (now time.Time) {
	for now = startTime; now.Before(end); {
		now = now.Add(100 * time.Millisecond)
		s := a.snapshot
		s.AsOf = now
		a.SetSnapshot(s)
		_, _ = a.Tick(now)
	}
	return now
}

// TestHalfOpenFlowElsewhere asks an agent for a flow whose opening packet its upstream
// has answered, but whose caller has accepted the answer of another upstream.
func TestHalfOpenFlowElsewhere(t *testing.T) {
	a := newAgent(true, snapshot(2))
	openFlow(t, a)
	ask := &jmhop.Header{Kind: jmhop.KindAsk, Origin: balancerAddr}
	p := dataPacket(callerSequence+1, 10)
	p.Acknowledged = 77
	out, reason := a.HandlePeer(startTime, agentAddr(2), ask, p, []byte("packet"))
	require.Equal(t, ReasonNotHeld, reason)
	require.Equal(t, jmhop.KindAbsent, out[0].Header.Kind)
	p.Acknowledged = upstreamSequence + 1
	_, reason = a.HandlePeer(startTime, agentAddr(2), ask, p, []byte("packet"))
	require.Equal(t, ReasonHeld, reason)
}

// TestPortsUsedAgain opens a flow with the ports of one that both ends have closed. The
// new flow's first request counts as load.
func TestPortsUsedAgain(t *testing.T) {
	a := newAgent(true, snapshot(1))
	openFlow(t, a)
	request := dataPacket(callerSequence+1, 10)
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), request, []byte("packet"))
	_, _ = a.HandleUpstream(startTime, upstreamPacket(jasminemoor.FlagAck|jasminemoor.FlagEnd, 100), nil, false)
	end := dataPacket(callerSequence+11, 0)
	end.Flags |= jasminemoor.FlagEnd
	_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), end, []byte("packet"))
	openFlow(t, a)
	_, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), request, []byte("packet"))
	require.Equal(t, ReasonHeld, reason)
	_, inFlight := a.Flows()
	require.Equal(t, 1, inFlight)
}

// TestFlowOfHolderThatMayBeGone sends a packet of an open flow whose recorded agent is
// silent. The balancer resets the flow only if that agent had confirmed the flow and
// its upstream has left. Otherwise it asks the first in rank.
func TestFlowOfHolderThatMayBeGone(t *testing.T) {
	unlisted := func(v *jmdirectory.View) {
		delete(v.Agents, agentAddr(1))
		delete(v.Upstreams, upstreamAddr(1))
		v.Services["shop"].Upstreams = v.Services["shop"].Upstreams[1:]
	}
	cases := map[string]struct {
		isConfirmed bool
		after       Snapshot
		reason      Reason
	}{
		"confirmed, upstream left":       {true, snapshot(2, leaving(1), removed(1)), ReasonUpstreamGone},
		"placed only, upstream left":     {false, snapshot(2, leaving(1), removed(1)), ReasonUnknown},
		"confirmed, not listed":          {true, snapshot(2, unlisted), ReasonUnknown},
		"placed only, not listed":        {false, snapshot(2, unlisted), ReasonUnknown},
		"confirmed, no upstream at all":  {true, snapshot(1, unlisted), ReasonNoUpstream},
		"confirmed, entry has lapsed":    {true, snapshot(2, removed(1)), ReasonKnown},
		"confirmed, upstream is leaving": {true, snapshot(2, leaving(1)), ReasonKnown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{Self: balancerAddr, DataCentre: "a"}
			b.SetSnapshot(snapshot(1))
			b.Handle(startTime, openingPacket(shop))
			p := dataPacket(callerSequence+1, 10)
			if tc.isConfirmed {
				b.HandleHolder(startTime, agentAddr(1), p.Key())
			}
			b.SetSnapshot(tc.after)
			m, reason := b.Handle(startTime.Add(silenceTimeout+time.Millisecond), p)
			require.Equal(t, tc.reason, reason)
			switch reason {
			case ReasonUpstreamGone:
				require.Equal(t, Reset, m.Kind)
				require.Equal(t, agentAddr(1), m.Holder)
				require.True(t, m.IsConfirmed)
			case ReasonUnknown:
				require.Equal(t, agentAddr(2), m.To)
				require.Zero(t, m.Header.Flags)
				require.Equal(t, agentAddr(1), m.Holder)
				require.Equal(t, tc.isConfirmed, m.IsConfirmed)
			case ReasonNoUpstream:
				require.Zero(t, m.Kind)
			}
		})
	}
}

// TestFlowAgeOfSettings has an agent that was restarted ask its upstream about flows for
// as long as the settings let a flow live.
func TestFlowAgeOfSettings(t *testing.T) {
	a := newAgent(false, snapshot(1))
	a.MaxFlowAge = 5 * time.Minute
	now := tickUntil(a, startTime.Add(defaultMaxFlowAge+time.Second))
	_, reason := a.HandlePeer(now, balancerAddr, forwardHeader(0), dataPacket(callerSequence, 10), []byte("packet"))
	require.Equal(t, ReasonProbed, reason)
}

// TestFlowsAreKeptForTheIdleTimeout has a balancer keep idle flows for as long as the
// settings say.
func TestFlowsAreKeptForTheIdleTimeout(t *testing.T) {
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(3, func(v *jmdirectory.View) { v.IdleTimeout = time.Minute }))
	b.Handle(startTime, openingPacket(shop))
	other := openingPacket(shop)
	other.Source = netip.AddrPortFrom(callerAddr.Addr(), 9)
	for at := time.Duration(0); at <= time.Minute; at += time.Second {
		b.Handle(startTime.Add(at), other)
	}
	_, reason := b.Handle(startTime.Add(time.Minute), dataPacket(callerSequence+1, 10))
	require.Equal(t, ReasonKnown, reason)
}
