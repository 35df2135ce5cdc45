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

var (
	startTime    = time.Unix(1_700_000_000, 0)
	shop         = netip.MustParseAddrPort("198.18.0.1:8443")
	desk         = netip.MustParseAddrPort("198.18.0.2:8443")
	balancerAddr = netip.MustParseAddr("10.1.0.1")
	callerAddr   = netip.MustParseAddrPort("100.64.0.7:1025")
)

func agentAddr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}) }

func upstreamAddr(i int) netip.AddrPort { return netip.AddrPortFrom(agentAddr(i), 8080) }

// snapshot lists upstreams 1 to n of the shop and upstream 9 of the desk.
func snapshot(n int, change ...func(v *jmdirectory.View)) Snapshot {
	v := &jmdirectory.View{
		Revision: 1, Version: 1,
		Routes:    make(map[netip.AddrPort]*jmdirectory.Route),
		Services:  make(map[string]*jmdirectory.Service),
		Upstreams: make(map[netip.AddrPort]*jmdirectory.Upstream),
		Agents:    make(map[netip.Addr]*jmdirectory.Upstream),
	}
	for name, addr := range map[string]netip.AddrPort{"shop": shop, "desk": desk} {
		v.Routes[addr] = &jmdirectory.Route{Route: jasminemoor.Route{
			Address: addr, Shares: []jasminemoor.Share{{Service: name, Weight: 1}},
			Timeout: 3 * time.Second, Target: 200 * time.Millisecond,
		}}
		v.Services[name] = &jmdirectory.Service{Name: name}
	}
	add := func(name string, i int) {
		u := &jmdirectory.Upstream{ListedUpstream: jasminemoor.ListedUpstream{Service: name, Address: upstreamAddr(i), Slots: 2, DataCentre: "a"}}
		v.Upstreams[u.Address] = u
		v.Agents[u.Address.Addr()] = u
		v.Services[name].Upstreams = append(v.Services[name].Upstreams, u)
	}
	for i := range n {
		add("shop", i+1)
	}
	add("desk", 9)
	for _, each := range change {
		each(v)
	}
	return Snapshot{View: v, AsOf: startTime}
}

func leaving(i int) func(v *jmdirectory.View) {
	return func(v *jmdirectory.View) { v.Upstreams[upstreamAddr(i)].State = jasminemoor.UpstreamLeaving }
}

func removed(i int) func(v *jmdirectory.View) {
	return func(v *jmdirectory.View) {
		v.Upstreams[upstreamAddr(i)].IsRemoved, v.Upstreams[upstreamAddr(i)].RemovedAt = true, startTime.Add(-lapseGrace)
	}
}

// justStarted has all upstreams start a moment before the agents.
func justStarted(v *jmdirectory.View) {
	for _, u := range v.Upstreams {
		u.StartedAfter = startTime.Add(-entryLapse)
	}
}

// entryLapse is how long the directory may list an upstream that has ended.
const entryLapse = 6 * time.Second

// newAgent returns the agent of the first upstream.
func newAgent(isFirstStart bool, s Snapshot) *Agent {
	a := &Agent{Self: agentAddr(1), Upstream: upstreamAddr(1), Service: "shop", IsFirstStart: isFirstStart}
	a.SetSnapshot(s)
	return a
}

const (
	callerSequence   = 1000
	upstreamSequence = 5000
)

func openingPacket(to netip.AddrPort) *jasminemoor.Packet {
	return &jasminemoor.Packet{Source: callerAddr, Destination: to, Flags: jasminemoor.FlagOpen, Sequence: callerSequence}
}

func dataPacket(sequence uint32, length int) *jasminemoor.Packet {
	return &jasminemoor.Packet{
		Source: callerAddr, Destination: shop, Flags: jasminemoor.FlagAck, Sequence: sequence,
		Acknowledged: upstreamSequence + 1, Length: length,
	}
}

func upstreamPacket(flags jasminemoor.PacketFlags, length int) *jasminemoor.Packet {
	return &jasminemoor.Packet{Source: shop, Destination: callerAddr, Flags: flags, Sequence: upstreamSequence, Length: length}
}

func forwardHeader(flags uint8) *jmhop.Header {
	return &jmhop.Header{Kind: jmhop.KindForward, Flags: flags, Origin: balancerAddr}
}

// openFlow opens a flow at the agent's upstream.
func openFlow(t *testing.T, a *Agent) {
	t.Helper()
	out, reason := a.HandlePeer(startTime, balancerAddr, forwardHeader(0), openingPacket(shop), nil)
	require.Equal(t, ReasonHeld, reason)
	require.Contains(t, kinds(out), ToUpstream)
	out, _ = a.HandleUpstream(startTime, upstreamPacket(jasminemoor.FlagOpen|jasminemoor.FlagAck, 0), nil, false)
	require.Equal(t, []Kind{ToCaller}, kinds(out))
}

func kinds(out []Message) (kinds []Kind) {
	for i := range out {
		kinds = append(kinds, out[i].Kind)
	}
	return kinds
}

func find(out []Message, kind Kind) *Message {
	for i := range out {
		if out[i].Kind == kind {
			return &out[i]
		}
	}
	return nil
}
