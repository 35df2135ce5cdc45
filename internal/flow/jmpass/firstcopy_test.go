package jmpass

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmdirectory"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmhop"
)

func newStartingAgent() *Agent {
	return &Agent{Self: agentAddr(1), Upstream: upstreamAddr(1), Service: "shop"}
}

// TestFlowBeforeFirstCopy sends the opening packet of a flow to an agent that has no copy of the
// directory yet. Nothing goes to the upstream before the copy says that the flow is for it.
func TestFlowBeforeFirstCopy(t *testing.T) {
	withoutRoutes := func(v *jmdirectory.View) { v.Version, v.Routes = 0, nil }
	cases := map[string]struct {
		to     netip.AddrPort
		copy   Snapshot
		after  time.Duration
		want   Kind       // of the message with the packet, Dropped for none
		wantTo netip.Addr // of ToPeer
	}{
		"own service":                 {to: shop, copy: snapshot(2), after: 50 * time.Millisecond, want: ToUpstream},
		"other service":               {to: desk, copy: snapshot(2), after: 50 * time.Millisecond, want: ToPeer, wantTo: agentAddr(9)},
		"own service, leaving":        {to: shop, copy: snapshot(2, leaving(1)), after: 50 * time.Millisecond, want: ToPeer, wantTo: agentAddr(2)},
		"no copy":                     {to: shop, after: time.Hour},
		"a copy without routes":       {to: shop, copy: snapshot(2, withoutRoutes), after: 50 * time.Millisecond},
		"after the caller's next try": {to: shop, copy: snapshot(2), after: openingWait},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newStartingAgent()
			out, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingPacket(tc.to), []byte("opening"))
			require.Equal(t, ReasonNoView, reason)
			require.Equal(t, []Kind{ToPeer}, kinds(out))
			require.Equal(t, jmhop.ReportStarting, out[0].Report.State)
			a.SetSnapshot(tc.copy)
			out, _ = a.Tick(startTime.Add(tc.after))
			got := Message{}
			for i := range out {
				if string(out[i].Packet) == "opening" {
					got = out[i]
				}
				require.NotEqual(t, Reset, out[i].Kind)
			}
			require.Equal(t, tc.want, got.Kind)
			require.Equal(t, tc.wantTo, got.To)
			out, _ = a.Tick(startTime.Add(tc.after + time.Second))
			require.Nil(t, find(out, ToUpstream), "released once")
		})
	}
}

// TestOpeningsWithoutDirectory sends opening packets to an agent that has started, with its
// upstream, while the store fails. It does not know the service of any flow, nor the rate of
// its own: its upstream gets none, whatever the settings.
func TestOpeningsWithoutDirectory(t *testing.T) {
	for name, limits := range map[string]struct{ overrun, slack float64 }{
		"limits": {overrun: 1.5, slack: 5}, "no slack": {overrun: 1.5}, "defaults": {overrun: 1}, "no setting": {},
	} {
		t.Run(name, func(t *testing.T) {
			a := newStartingAgent()
			a.ColdOverrun, a.ColdSlack = limits.overrun, limits.slack
			for i := range 100 {
				now := startTime.Add(time.Duration(i) * 9 * time.Millisecond)
				out, _ := a.Tick(now)
				require.Nil(t, find(out, ToUpstream))
				out, _ = a.HandlePeer(now, balancerAddr, forwardHeader(0), openingFrom(i), nil)
				require.Nil(t, find(out, ToUpstream))
			}
		})
	}
}

// TestKeptOpeningsAreBounded sends more opening packets than an agent keeps, for longer than it
// keeps them: those that came last are released.
func TestKeptOpeningsAreBounded(t *testing.T) {
	a := newStartingAgent()
	now := startTime
	for i := range 4 * maxKeptOpenings {
		if i == 2*maxKeptOpenings {
			now = now.Add(openingWait)
			a.Tick(now)
		}
		a.HandlePeer(now, balancerAddr, forwardHeader(0), openingFrom(i), nil)
	}
	a.SetSnapshot(snapshot(2))
	out, _ := a.Tick(now)
	count := 0
	for i := range out {
		if out[i].Kind == ToUpstream {
			count++
		}
	}
	require.Equal(t, maxKeptOpenings, count)
}

// TestStartingAgentGetsNoNewFlows has a balancer place flows by the report of an agent that has
// no copy of the directory, as long as there is another one.
func TestStartingAgentGetsNoNewFlows(t *testing.T) {
	b := &Balancer{Self: balancerAddr, DataCentre: "a"}
	b.SetSnapshot(snapshot(2))
	report := jmhop.Report{State: jmhop.ReportStarting}
	b.HandleReport(startTime, agentAddr(1), &report)
	for i := range 20 {
		m, _ := b.Handle(startTime, openingFrom(i))
		require.Equal(t, agentAddr(2), m.To)
	}
	b.HandleReport(startTime, agentAddr(2), &report)
	m, reason := b.Handle(startTime, openingFrom(100))
	require.Equal(t, ReasonPlaced, reason)
	require.Zero(t, m.Header.Flags&jmhop.FlagFull)
}

// TestRouteThatOnlyPeersKnow sends an agent the opening packet of a flow whose route its copy
// lacks. It must not reset the flow while a peer has a newer copy.
func TestRouteThatOnlyPeersKnow(t *testing.T) {
	const older, newer = 4, 5
	withRoute := snapshot(2)
	withRoute.Revision = newer
	withoutRoute := snapshot(2, func(v *jmdirectory.View) { delete(v.Routes, shop) })
	withoutRoute.Revision = older
	removed := snapshot(2, func(v *jmdirectory.View) { delete(v.Routes, shop) })
	removed.Revision = newer
	cases := map[string]struct {
		revision jmhop.RevisionCode
		peer     jmhop.RevisionCode // seen in an earlier datagram of another process
		next     Snapshot
		at, want Kind // right away, and with the next copy
	}{
		"sender is ahead, new route":      {revision: newer, next: withRoute, want: ToUpstream},
		"sender is ahead, no route":       {revision: newer, next: removed, want: Reset},
		"sender is ahead, no news":        {revision: newer, next: withoutRoute},
		"another peer is ahead":           {revision: older, peer: newer, next: withRoute},
		"no peer is ahead":                {revision: older, next: withRoute, at: Reset},
		"sender is behind, no peer ahead": {revision: older - 1, next: withRoute, at: Reset},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgent(true, withoutRoute)
			a.recordPeerRevision(startTime, &jmhop.Header{Revision: tc.peer})
			h := forwardHeader(0)
			h.Revision = tc.revision
			outcome := func(out []Message) Kind {
				for _, kind := range []Kind{ToUpstream, Reset} {
					if find(out, kind) != nil {
						return kind
					}
				}
				return Dropped
			}
			out, _ := a.HandlePeer(startTime, balancerAddr, h, openingPacket(shop), []byte("opening"))
			require.Equal(t, tc.at, outcome(out))
			a.SetSnapshot(tc.next)
			out, _ = a.Tick(startTime.Add(50 * time.Millisecond))
			require.Equal(t, tc.want, outcome(out))
		})
	}
}

// TestServiceOfUpstreamChanges gives an agent another service, as its settings may do while it
// runs. Its upstream gets no new flow of the former one, and open flows go on.
func TestServiceOfUpstreamChanges(t *testing.T) {
	a := newAgent(false, snapshot(2))
	openFlow(t, a)
	a.SetService("desk")
	p := openingFrom(1)
	out, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, nil)
	require.Equal(t, ReasonOtherService, reason)
	require.Nil(t, find(out, ToUpstream))
	p.Destination = desk
	out, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, nil)
	require.NotNil(t, find(out, ToUpstream))
	out, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(jmhop.FlagKnown), dataPacket(callerSequence+1, 10), nil)
	require.NotNil(t, find(out, ToUpstream))
	// The upstream may hold flows from before the agent's start.
	p = dataPacket(callerSequence+1, 10)
	p.Source = netip.MustParseAddrPort("100.64.0.8:1025")
	_, reason = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, []byte("packet"))
	require.Equal(t, ReasonProbed, reason)
}
