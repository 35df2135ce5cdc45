package jmpass

import (
	"net/netip"
	"runtime"
	"testing"

	"github.com/jasminemoor/jasminemoor"
)

// BenchmarkBalancerFlow reports the memory that a balancer keeps for a flow.
func BenchmarkBalancerFlow(b *testing.B) {
	const flows = 100_000
	for b.Loop() {
		balancer := &Balancer{Self: balancerAddr, DataCentre: "a"}
		balancer.SetSnapshot(snapshot(7))
		before := heap()
		p := openingPacket(shop)
		for i := range flows {
			p.Source = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 16), byte(i >> 8)}), uint16(i))
			balancer.Handle(startTime, p)
		}
		b.ReportMetric(float64(heap()-before)/flows, "B/flow")
		runtime.KeepAlive(balancer)
	}
}

// BenchmarkAgentFlow reports the memory that an agent keeps for a flow.
func BenchmarkAgentFlow(b *testing.B) {
	const flows = 20_000
	for b.Loop() {
		a := newAgent(true, snapshot(1))
		before := heap()
		for i := range flows {
			p := openingPacket(shop)
			p.Source = netip.AddrPortFrom(callerAddr.Addr(), uint16(i))
			_, _ = a.HandlePeer(startTime, balancerAddr, forwardHeader(0), p, nil)
			answer := upstreamPacket(jasminemoor.FlagOpen|jasminemoor.FlagAck, 0)
			answer.Destination = p.Source
			_, _ = a.HandleUpstream(startTime, answer, nil, false)
		}
		b.ReportMetric(float64(heap()-before)/flows, "B/flow")
		runtime.KeepAlive(a)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
