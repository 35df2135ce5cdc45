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
		balancer := &Balancer{Self: front, DataCentre: "a"}
		balancer.SetSnapshot(snapshot(7))
		before := heap()
		p := opening(shop)
		for i := range flows {
			p.Source = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 16), byte(i >> 8)}), uint16(i))
			balancer.Handle(begun, p)
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
			p := opening(shop)
			p.Source = netip.AddrPortFrom(callers.Addr(), uint16(i))
			_, _ = a.HandlePeer(begun, front, forwardHeader(0), p, nil)
			answer := fromUpstream(jasminemoor.FlagOpen|jasminemoor.FlagAck, 0)
			answer.Destination = p.Source
			_, _ = a.HandleUpstream(begun, answer, nil, false)
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
