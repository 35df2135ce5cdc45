package jmagent

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmcontrol"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmconnid"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

var (
	ownAddress = netip.MustParseAddrPort("127.0.0.1:17100")
	peerAgent  = netip.MustParseAddrPort("127.0.0.1:17101")
	balancer   = netip.MustParseAddrPort("127.0.0.1:17000")
	caller     = netip.MustParseAddrPort("198.51.100.1:5000")
	fleetKey   = jmdatagram.Key{1}
)

// newTestAgent returns an agent of service 7 with one peer. Nothing reads its
// socket.
func newTestAgent(t testing.TB) (a *Agent, c *packetConn) {
	t.Helper()
	codec, err := jmconnid.New(
		[]jmconnid.Key{{Number: 1, IsSealing: true}},
		[]jmconnid.Prefix{{Number: 1, Prefix: netip.MustParsePrefix("127.0.0.0/8")}},
	)
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	a = &Agent{Identity: jasminemoor.Identity{Agent: ownAddress, Incarnation: 5}, Node: &jmnode.Node{Log: log}, Log: log}
	a.udp, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = a.udp.Close() })
	upstreams := []jmtree.Upstream{{Name: "own", Agent: ownAddress, Weight: 1}, {Name: "peer", Agent: peerAgent, Weight: 1}}
	a.view.Store(&view{
		node:           &jmcontrol.View{},
		codec:          codec,
		keys:           []jmdatagram.Key{fleetKey},
		service:        &jmtree.Service{Number: 7, Upstreams: upstreams},
		upstream:       upstreams[0],
		isConfigured:   true,
		relativeWeight: 1,
		peers:          upstreams[1:],
	})
	c = newPacketConn(a)
	a.conn = c
	return a, c
}

// encapsulate returns a caller's datagram with its encapsulation, as an agent
// receives it.
func encapsulate(t testing.TB, key jmdatagram.Key, header jmdatagram.Header, payload []byte) *receivedDatagram {
	t.Helper()
	sealer, err := jmdatagram.NewSealer([]jmdatagram.Key{key})
	require.NoError(t, err)
	r := &receivedDatagram{size: jmdatagram.HeaderSize + len(payload)}
	copy(r.buffer[jmdatagram.HeaderSize:], payload)
	sealer.Marshal(r.buffer[:r.size], &header)
	return r
}

// TestHandle checks what handle does with each kind of datagram, and that it
// counts each one.
func TestHandle(t *testing.T) {
	a, c := newTestAgent(t)
	codec := a.view.Load().codec
	openFlow := func(service jasminemoor.ServiceNumber, agent netip.AddrPort, incarnation uint16) []byte {
		id, err := codec.Seal(jmconnid.Route{Service: service, Agent: agent, Incarnation: incarnation})
		require.NoError(t, err)
		return append(append([]byte{0x40}, id[:]...), "rest of the packet"...)
	}
	first := make([]byte, 1200)
	copy(first, []byte{0xC0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	random := append([]byte{0x40}, make([]byte, 40)...)
	forward := jmdatagram.Header{Kind: jmdatagram.KindForward, Service: 7, Caller: caller, Other: peerAgent}
	otherService := forward
	otherService.Service = 8
	answer := forward
	answer.Kind = jmdatagram.KindReturn
	lastHop := forward
	lastHop.Hops = 2

	cases := map[string]struct {
		key        jmdatagram.Key
		header     jmdatagram.Header
		payload    []byte
		isDraining bool
		isQueued   bool
		count      func() uint64
	}{
		"open flow":                            {fleetKey, forward, openFlow(7, ownAddress, a.Identity.Incarnation.Short()), false, true, a.Counters.Delivered.Load},
		"open flow of an earlier run":          {fleetKey, forward, openFlow(7, ownAddress, 1), false, true, a.Counters.Delivered.Load},
		"open flow while leaving":              {fleetKey, forward, openFlow(7, ownAddress, 5), true, true, a.Counters.Delivered.Load},
		"flow of another service":              {fleetKey, forward, openFlow(8, ownAddress, 5), false, false, a.Counters.Foreign.Load},
		"flow of another agent":                {fleetKey, forward, openFlow(7, peerAgent, 5), false, false, a.Counters.Foreign.Load},
		"first flight":                         {fleetKey, forward, first, false, true, a.Counters.Delivered.Load},
		"first flight of another service":      {fleetKey, otherService, first, false, false, a.Counters.Foreign.Load},
		"unknown short packet":                 {fleetKey, forward, random, false, false, a.Counters.Forged.Load},
		"key of another fleet":                 {jmdatagram.Key{9}, forward, first, false, false, a.Counters.Forged.Load},
		"answer for a balancer":                {fleetKey, answer, first, false, false, a.Counters.Foreign.Load},
		"no payload":                           {fleetKey, forward, nil, false, false, a.Counters.Forged.Load},
		"first flight while leaving, last hop": {fleetKey, lastHop, append([]byte{0xC0, 0, 0, 0, 1, 8, 9}, first[7:]...), true, false, a.Counters.Refused.Load},
		"first flight while leaving":           {fleetKey, forward, append([]byte{0xC0, 0, 0, 0, 1, 8, 8}, first[7:]...), true, false, a.Counters.HandedOver.Load},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a.isDraining.Store(tc.isDraining)
			before := tc.count()
			isQueued := c.handle(t.Context(), encapsulate(t, tc.key, tc.header, tc.payload), balancer)
			require.Equal(t, tc.isQueued, isQueued)
			require.Equal(t, before+1, tc.count())
			if !isQueued {
				return
			}
			buffer := make([]byte, 1500)
			n, from, err := c.ReadFrom(buffer)
			require.NoError(t, err)
			require.Equal(t, tc.payload, buffer[:n])
			require.Equal(t, caller.String(), from.String())
			_, _, found := a.returnPaths.Choose(caller, nil, time.Now())
			require.True(t, found)
		})
	}
}

// FuzzHandle checks that handle either drops or queues any datagram at the fleet
// socket, and doesn't panic.
func FuzzHandle(f *testing.F) {
	_, c := newTestAgent(f)
	f.Add([]byte{byte(jmdatagram.KindForward)})
	f.Add([]byte{byte(jmdatagram.KindControl), 0x80})
	f.Add(encapsulate(f, fleetKey, jmdatagram.Header{Kind: jmdatagram.KindForward}, []byte{0x40}).buffer[:100])
	f.Fuzz(func(t *testing.T, datagram []byte) {
		r := &receivedDatagram{}
		r.size = copy(r.buffer[:], datagram)
		if c.handle(t.Context(), r, balancer) {
			<-c.queue
		}
	})
}

func TestPacketConnClose(t *testing.T) {
	_, c := newTestAgent(t)
	require.NoError(t, c.Close())
	require.NoError(t, c.Close())
	_, _, err := c.ReadFrom(nil)
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = c.WriteTo([]byte("x"), net.UDPAddrFromAddrPort(caller))
	require.ErrorIs(t, err, errNoReturnPath)
}
