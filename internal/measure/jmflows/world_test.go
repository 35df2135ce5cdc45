package jmflows

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCallersHaveTheirOwnAddresses makes more callers than fit into 16 bits. Two with one
// address would share flows.
func TestCallersHaveTheirOwnAddresses(t *testing.T) {
	const callers = 1 << 18
	var w World
	seen := make(map[netip.Addr]bool, callers)
	for range callers {
		seen[w.newCaller().addr] = true
	}
	require.Len(t, seen, callers)
}
