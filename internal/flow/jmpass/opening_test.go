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

// urgent is the address of a second route of the shop, with a higher priority.
var urgent = netip.MustParseAddrPort("198.18.0.3:8443")

func withUrgentRoute(v *jmdirectory.View) {
	route := *v.Routes[shop]
	route.Address, route.Priority = urgent, 1
	v.Routes[urgent] = &route
	v.Routes[shop].Priority = 2
}

// TestRefusalInVain opens a flow at an agent whose queue is filled with urgent requests.
func TestRefusalInVain(t *testing.T) {
	const tooMany = 300 // they take 7.5 s on two slots, and the route's timeout is 3 s
	cases := map[string]struct {
		queued    int
		flags     uint8
		copyAge   time.Duration // of the opening packet
		queuedFor time.Duration // how much earlier the others came
		age       time.Duration // of the request
		route     netip.AddrPort
		reason    Reason
	}{
		"in vain":                       {queued: tooMany, flags: jmhop.FlagFull, route: shop, reason: ReasonInVain},
		"in vain, since it is old":      {queued: 100, flags: jmhop.FlagFull, age: 2 * time.Second, route: shop, reason: ReasonInVain},
		"as many, but it is new":        {queued: 100, flags: jmhop.FlagFull, route: shop, reason: ReasonHeld},
		"the others expire first":       {queued: tooMany, flags: jmhop.FlagFull, queuedFor: time.Second, route: shop, reason: ReasonHeld},
		"another upstream has room":     {queued: tooMany, route: shop, reason: ReasonHeld},
		"the queue is short":            {queued: 20, flags: jmhop.FlagFull, route: shop, reason: ReasonHeld},
		"goes before most of the queue": {queued: tooMany, flags: jmhop.FlagFull, queuedFor: -time.Second, route: urgent, reason: ReasonHeld},
		"a later copy":                  {queued: tooMany, flags: jmhop.FlagFull, copyAge: 200 * time.Millisecond, route: shop, reason: ReasonHeld},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgent(true, snapshot(1, withUrgentRoute))
			a.table.capacity.estimate.Record(startTime, urgent, 50*time.Millisecond)
			for i := range tc.queued {
				source := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.8"), uint16(2000+i))
				r := &request{flow: jasminemoor.NewFlowKey(source, urgent), arrived: startTime.Add(-tc.queuedFor)}
				a.setTimes(r)
				a.queue.push(r)
			}
			h := forwardHeader(0)
			h.Flags, h.Age = tc.flags, tc.age
			syn := openingPacket(tc.route)
			syn.Age = tc.copyAge
			out, reason := a.HandlePeer(startTime, balancerAddr, h, syn, nil)
			require.Equal(t, tc.reason, reason)
			require.Equal(t, tc.reason == ReasonInVain, find(out, Reset) != nil)
			require.Equal(t, tc.reason == ReasonHeld, find(out, ToUpstream) != nil)
		})
	}
}

// TestBalancerSaysThatAllAreFull places a flow by the reports of two agents.
func TestBalancerSaysThatAllAreFull(t *testing.T) {
	full := jmhop.Report{Wait: 4 * time.Second, Room: jmhop.NoLimit}
	cases := map[string]struct {
		reports []jmhop.Report
		after   time.Duration
		flags   uint8
	}{
		"both are full":        {[]jmhop.Report{full, full}, 0, jmhop.FlagFull},
		"one has room":         {[]jmhop.Report{full, {Wait: time.Second, Room: jmhop.NoLimit}}, 0, 0},
		"one says nothing":     {[]jmhop.Report{full, {Room: jmhop.NoLimit}}, 0, 0},
		"one has not reported": {[]jmhop.Report{full}, 0, 0},
		"the reports are old":  {[]jmhop.Report{full, full}, time.Second, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{Self: balancerAddr, DataCentre: "a"}
			b.SetSnapshot(snapshot(2))
			for i := range tc.reports {
				b.HandleReport(startTime, agentAddr(i+1), &tc.reports[i])
			}
			m, reason := b.Handle(startTime.Add(tc.after), openingPacket(shop))
			require.Equal(t, ReasonPlaced, reason)
			require.Equal(t, tc.flags, m.Header.Flags)
		})
	}
}
