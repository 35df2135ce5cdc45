package jmpassnode

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSilentAgents counts searches by the agents that they waited for, at most once a
// second.
func TestSilentAgents(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	addr := func(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}) }
	var s silentAgents
	searches, _ := s.take(now)
	require.Zero(t, searches)
	s.add([]netip.Addr{addr(1), addr(2)})
	s.add([]netip.Addr{addr(2), addr(3), addr(4), addr(5)})
	searches, agents := s.take(now)
	require.Equal(t, 2, searches)
	require.Equal(t, []string{"10.2.0.2 2", "10.2.0.1 1", "10.2.0.3 1", "10.2.0.4 1"}, agents)
	s.add([]netip.Addr{addr(1)})
	searches, _ = s.take(now.Add(silentInterval / 2))
	require.Zero(t, searches)
	searches, agents = s.take(now.Add(silentInterval))
	require.Equal(t, 1, searches)
	require.Equal(t, []string{"10.2.0.1 1"}, agents)
}
