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

// TestRoute checks how route handles each kind of datagram, and that it counts
// each one.
func TestRoute(t *testing.T) {
	sink := listenUDP(t)
	b, open := newTestBalancer(t, sink)
	foreignCodec, err := jmconnid.New(
		[]jmconnid.Key{{Number: 1, Secret: [16]byte{9}, IsSealing: true}},
		[]jmconnid.Prefix{{Number: 1, Prefix: netip.MustParsePrefix("127.0.0.0/8")}},
	)
	require.NoError(t, err)
	foreignID, err := foreignCodec.Seal(jmconnid.Route{Service: 7, Agent: addrOf(sink)})
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
		"open flow":                               {benchLocal, open, true, b.Counters.Forwarded.Load},
		"open flow, address without a service":    {other, open, true, b.Counters.Forwarded.Load},
		"first flight":                            {benchLocal, first, true, b.Counters.Placed.Load},
		"first flight, address without a service": {other, first, false, b.Counters.NoUpstream.Load},
		"first flight, too short":                 {benchLocal, first[:minFirstSize-1], false, b.Counters.TooShort.Load},
		"forged ID":                               {benchLocal, foreign, false, b.Counters.Forged.Load},
		"handshake with a random ID":              {benchLocal, handshake, false, b.Counters.Forged.Load},
		"empty":                                   {benchLocal, nil, false, b.Counters.NotQUIC.Load},
		"not QUIC":                                {benchLocal, []byte("GET / HTTP/1.0"), false, b.Counters.NotQUIC.Load},
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

// FuzzRoute checks that route doesn't panic on any datagram, and returns a valid
// address for each one that it routes.
func FuzzRoute(f *testing.F) {
	b, open := newTestBalancer(f, listenUDP(f))
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
	b, open := newTestBalancer(t, listenUDP(t))
	f := forwarder{balancer: b, local: benchLocal}
	buffer := append(make([]byte, jmdatagram.HeaderSize), open...)
	from := netip.MustParseAddrPort("198.51.100.1:5000")
	require.Zero(t, testing.AllocsPerRun(100, func() { f.route(buffer, from) }))
}

// TestSilentAgent checks that unanswered first flights make an agent silent, and
// that an answer or the end of the quarantine ends this.
func TestSilentAgent(t *testing.T) {
	agent := netip.MustParseAddrPort("127.0.0.1:7100")
	var detector silenceDetector
	detector.recordFirstFlight(agent)
	require.False(t, detector.update(time.Now()), "an unknown agent is not counted")
	detector.setAgents(map[netip.AddrPort]jmtree.UpstreamRef{agent: {}})

	for range silenceThreshold {
		detector.recordFirstFlight(agent)
	}
	require.False(t, detector.update(time.Now()), "too soon")
	later := time.Now().Add(silenceTime)
	require.True(t, detector.update(later))
	require.True(t, detector.isSilent(agent))
	require.False(t, detector.update(later), "no change")
	detector.recordAnswer(agent)
	require.True(t, detector.update(later))
	require.False(t, detector.isSilent(agent))

	for range silenceThreshold {
		detector.recordFirstFlight(agent)
	}
	detector.recordAnswer(agent)
	require.False(t, detector.update(time.Now().Add(time.Minute)), "answered")
	for range silenceThreshold {
		detector.recordFirstFlight(agent)
	}
	later = time.Now().Add(silenceTime)
	require.True(t, detector.update(later))
	require.True(t, detector.update(later.Add(quarantineTime)), "quarantine has ended")
	require.False(t, detector.isSilent(agent))
}

// TestSilentPath checks that a silent path makes the balancer use the spare port,
// and that it returns to the fleet port if the spare port's path is silent as well.
func TestSilentPath(t *testing.T) {
	agent := netip.MustParseAddrPort("127.0.0.1:7100")
	var detector silenceDetector
	detector.setAgents(map[netip.AddrPort]jmtree.UpstreamRef{agent: {}})
	forward := func(count int) (usesSparePort bool) {
		for range count {
			usesSparePort = detector.recordForward(agent)
		}
		return usesSparePort
	}
	require.False(t, forward(pathSilenceThreshold))
	detector.update(time.Now())
	require.False(t, forward(1), "too soon")
	detector.recordAnswer(agent)
	detector.update(time.Now().Add(pathSilenceTime))
	require.False(t, forward(pathSilenceThreshold), "the agent has answered")
	detector.update(time.Now().Add(pathSilenceTime))
	require.True(t, forward(pathSilenceThreshold))
	detector.update(time.Now().Add(pathSilenceTime))
	require.False(t, forward(1))
}

// TestNewTableKeepsCandidates checks that a service always has candidates, even if
// all its upstreams seem suspect or dead, unless all of them are leaving.
func TestNewTableKeepsCandidates(t *testing.T) {
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
