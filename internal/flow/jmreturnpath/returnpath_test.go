package jmreturnpath_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/flow/jmreturnpath"
)

var (
	start  = time.Unix(1000, 0)
	caller = netip.MustParseAddrPort("198.51.100.1:5000")
	local  = netip.MustParseAddrPort("192.0.2.1:443")
	b1     = netip.MustParseAddrPort("10.0.0.1:7000")
	b2     = netip.MustParseAddrPort("10.0.0.2:7000")
	b3     = netip.MustParseAddrPort("10.0.0.3:7000")
	all    = []netip.AddrPort{b1, b2, b3}
)

func choose(t *testing.T, table *jmreturnpath.Table, live []netip.AddrPort, after time.Duration) netip.AddrPort {
	t.Helper()
	balancer, gotLocal, found := table.Choose(caller, live, start.Add(after))
	require.True(t, found)
	require.Equal(t, local, gotLocal)
	return balancer
}

func TestChoose(t *testing.T) {
	var table jmreturnpath.Table
	_, _, found := table.Choose(caller, all, start)
	require.False(t, found, "caller is not in the table")

	table.Record(caller, local, b1, start)
	table.Record(caller, local, b2, start)
	require.Equal(t, b2, choose(t, &table, all, 0), "the balancer of the latest datagram")
	require.Equal(t, b1, choose(t, &table, []netip.AddrPort{b1, b3}, 0), "a balancer that is not live is skipped at once")
	require.Equal(t, b3, choose(t, &table, []netip.AddrPort{b3}, 0), "no balancer that the caller used is live")
	require.Equal(t, b2, choose(t, &table, nil, 0), "with no live balancer, the one of the latest datagram is used")
}

// TestSilentCaller has a caller that sends nothing, behind a balancer that has failed
// but still counts as live. Answers must go through all live balancers in turn.
func TestSilentCaller(t *testing.T) {
	var table jmreturnpath.Table
	table.Record(caller, local, b1, start)
	require.Equal(t, b1, choose(t, &table, all, 0))
	require.Equal(t, b1, choose(t, &table, all, jmreturnpath.SilenceLimit-1))
	tried := make(map[netip.AddrPort]bool)
	for i := range 3 {
		tried[choose(t, &table, all, jmreturnpath.SilenceLimit+time.Duration(i))] = true
	}
	require.Len(t, tried, 3)
	table.Record(caller, local, b3, start.Add(time.Second))
	require.Equal(t, b3, choose(t, &table, all, 2*time.Second), "the balancer of the latest datagram is used again")
}

func TestEvictsOldCallers(t *testing.T) {
	var table jmreturnpath.Table
	table.Record(caller, local, b1, start)
	other := netip.MustParseAddrPort("198.51.100.2:5000")
	table.Record(other, local, b1, start.Add(3*time.Minute))
	require.Equal(t, 1, table.Len())
}

func BenchmarkRecordAndChoose(b *testing.B) {
	var table jmreturnpath.Table
	b.ReportAllocs()
	for b.Loop() {
		table.Record(caller, local, b1, start)
		table.Choose(caller, all, start)
	}
}
