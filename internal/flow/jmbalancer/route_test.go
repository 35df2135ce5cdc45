package jmbalancer

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/fleet/jmcontrol"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmmember"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmconnid"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// TestRoute takes every kind of datagram through the decision, and checks the
// counter of each drop.
func TestRoute(t *testing.T) {
	sink := listenUDP(t)
	b, open := newBench(t, sink)
	strangers, err := jmconnid.New(
		[]jmconnid.Key{{Number: 1, Secret: [16]byte{9}, IsSealing: true}},
		[]jmconnid.Prefix{{Number: 1, Prefix: netip.MustParsePrefix("127.0.0.0/8")}},
	)
	require.NoError(t, err)
	foreignID, err := strangers.Seal(jmconnid.Route{Service: 7, Agent: addrOf(sink)})
	require.NoError(t, err)
	foreign := append([]byte{0x40}, foreignID[:]...)
	first := make([]byte, minFirstSize)
	copy(first, []byte{0xC0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	handshake := bytes.Clone(first)
	handshake[0] = 0xE0
	other := netip.MustParseAddrPort("192.0.2.9:443")

	cases := map[string]struct {
		local    netip.AddrPort
		datagram []byte
		isRouted bool
		count    func() uint64
	}{
		"open flow":                  {benchLocal, open, true, b.Counters.Forwarded.Load},
		"open flow, moved address":   {other, open, true, b.Counters.Forwarded.Load},
		"first flight":               {benchLocal, first, true, b.Counters.Placed.Load},
		"first flight, no service":   {other, first, false, b.Counters.NoUpstream.Load},
		"first flight, too short":    {benchLocal, first[:minFirstSize-1], false, b.Counters.TooShort.Load},
		"forged ID":                  {benchLocal, foreign, false, b.Counters.Forged.Load},
		"handshake with a random ID": {benchLocal, handshake, false, b.Counters.Forged.Load},
		"empty":                      {benchLocal, nil, false, b.Counters.NotQUIC.Load},
		"not QUIC":                   {benchLocal, []byte("GET / HTTP/1.0"), false, b.Counters.NotQUIC.Load},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := forwarder{balancer: b, local: tc.local}
			before := tc.count()
			buffer := append(make([]byte, jmdatagram.HeaderSize), tc.datagram...)
			to, ok := f.route(buffer, netip.MustParseAddrPort("198.51.100.1:5000"))
			require.Equal(t, tc.isRouted, ok)
			require.Equal(t, before+1, tc.count())
			if !tc.isRouted {
				return
			}
			require.Equal(t, addrOf(sink), to)
			sealer, err := jmdatagram.NewSealer([]jmdatagram.Key{{1}})
			require.NoError(t, err)
			var header jmdatagram.Header
			require.NoError(t, sealer.Unmarshal(buffer, &header))
			require.Equal(t, "198.51.100.1:5000", header.Caller.String())
			require.Equal(t, tc.local, header.Local)
			require.EqualValues(t, 7, header.Service)
		})
	}
}

// FuzzRoute checks that no datagram is worse than a counted drop.
func FuzzRoute(f *testing.F) {
	b, open := newBench(f, listenUDP(f))
	f.Add(open)
	f.Add([]byte{0xC0, 0, 0, 0, 1, 20})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		r := forwarder{balancer: b, local: benchLocal}
		buffer := append(make([]byte, jmdatagram.HeaderSize), datagram...)
		if to, ok := r.route(buffer, netip.MustParseAddrPort("198.51.100.1:5000")); ok {
			require.True(t, to.IsValid())
		}
	})
}

func TestRouteDoesNotAllocate(t *testing.T) {
	b, open := newBench(t, listenUDP(t))
	f := forwarder{balancer: b, local: benchLocal}
	buffer := append(make([]byte, jmdatagram.HeaderSize), open...)
	from := netip.MustParseAddrPort("198.51.100.1:5000")
	require.Zero(t, testing.AllocsPerRun(100, func() { f.route(buffer, from) }))
}

// TestSilence takes one agent through unanswered first flights and back.
func TestSilence(t *testing.T) {
	agent := netip.MustParseAddrPort("127.0.0.1:7100")
	var table silenceTable
	table.sent(agent)
	require.False(t, table.judge(time.Now()), "an unknown agent is not counted")
	table.setAgents(map[netip.AddrPort]jmtree.Place{agent: {}})

	for range silenceCount {
		table.sent(agent)
	}
	require.False(t, table.judge(time.Now()), "too soon")
	later := time.Now().Add(silenceTime)
	require.True(t, table.judge(later))
	require.True(t, table.isSilent(agent))
	require.False(t, table.judge(later), "no change")
	table.heard(agent)
	require.True(t, table.judge(later))
	require.False(t, table.isSilent(agent))

	for range silenceCount {
		table.sent(agent)
	}
	table.heard(agent)
	require.False(t, table.judge(time.Now().Add(time.Minute)), "answered")
	for range silenceCount {
		table.sent(agent)
	}
	later = time.Now().Add(silenceTime)
	require.True(t, table.judge(later))
	require.True(t, table.judge(later.Add(silenceHold)), "tried again after a while")
	require.False(t, table.isSilent(agent))
}

// TestSilentPath takes the path to an agent to the spare port, and back again
// if that is silent as well.
func TestSilentPath(t *testing.T) {
	agent := netip.MustParseAddrPort("127.0.0.1:7100")
	var table silenceTable
	table.setAgents(map[netip.AddrPort]jmtree.Place{agent: {}})
	pass := func(count int) (usesSparePort bool) {
		for range count {
			usesSparePort = table.passedOn(agent)
		}
		return usesSparePort
	}
	require.False(t, pass(pathCount))
	table.judge(time.Now())
	require.False(t, pass(1), "too soon")
	table.heard(agent)
	table.judge(time.Now().Add(pathTime))
	require.False(t, pass(pathCount), "it was heard")
	table.judge(time.Now().Add(pathTime))
	require.True(t, pass(pathCount))
	table.judge(time.Now().Add(pathTime))
	require.False(t, pass(1))
}

// TestNeverAllOut is the floor of the ejection: whatever is believed of the
// upstreams, a service keeps some, unless all of them leave.
func TestNeverAllOut(t *testing.T) {
	agents := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.2:1")}
	service := &jmtree.Service{Upstreams: []jmtree.Upstream{{Agent: agents[0], Weight: 1}, {Agent: agents[1], Weight: 1}}}
	state := func(l jmmember.Liveness, isLeaving bool) jmmember.State {
		return jmmember.State{Liveness: l, IsLeaving: isLeaving}
	}
	cases := map[string]struct {
		first, second jmmember.State
		count         int
	}{
		"both alive":             {state(jmmember.Alive, false), state(jmmember.Alive, false), 2},
		"one suspect":            {state(jmmember.Suspect, false), state(jmmember.Alive, false), 1},
		"both suspect":           {state(jmmember.Suspect, false), state(jmmember.Suspect, false), 2},
		"one suspect, one dead":  {state(jmmember.Suspect, false), state(jmmember.Dead, false), 1},
		"both dead":              {state(jmmember.Dead, false), state(jmmember.Dead, false), 2},
		"one leaving, one dead":  {state(jmmember.Alive, true), state(jmmember.Dead, false), 1},
		"one leaving, one alive": {state(jmmember.Alive, true), state(jmmember.Alive, false), 1},
		"both leaving":           {state(jmmember.Alive, true), state(jmmember.Alive, true), 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{}
			node := &jmcontrol.View{States: map[netip.AddrPort]jmmember.State{agents[0]: tc.first, agents[1]: tc.second}}
			require.Equal(t, tc.count, b.newTable(node, service).Len())
		})
	}
}
