package jmcontrol

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
)

// TestReplyBeforeFirstTick has a seed answer before the machine has had any other input.
func TestReplyBeforeFirstTick(t *testing.T) {
	m := &Machine{Rand: rand.New(rand.NewPCG(1, 1))}
	require.NotPanics(t, func() {
		m.HandleSyncReply(time.Unix(1_700_000_000, 0), netip.AddrPort{}, &SyncReply{Subtrees: []jasminemoor.Subtree{{Path: "Teams/rangla", Revision: 3}}})
	})
	require.Contains(t, m.SyncRequest().Revisions, "Teams/rangla")
}
