package jmflows_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/measure/jmflows"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

// TestOverlappingRollsBreakNoFlow restarts agents in an orderly way, and balancers, in series that
// overlap: two or three of seven agents are down at a time. Packets of open flows may hardly reach
// upstreams that don't hold them, and never while their own gets none for two seconds.
func TestOverlappingRollsBreakNoFlow(t *testing.T) {
	const (
		down     = 300 * time.Millisecond
		gap      = time.Second
		leastRun = 4 // seeds
		// maxStrays is for a run of 7,000 requests. Agents that give each packet of a flow that
		// they don't know to their upstreams have 6,400 to 7,400.
		maxStrays = 400
	)
	s := loadScenario(t, "roll-both")
	s.Faults = nil
	roll := func(kind jmflows.FaultKind, first, every time.Duration) {
		for at := first; at < 20*time.Second; at += every {
			s.Faults = append(s.Faults, jmflows.Fault{Kind: kind, At: jmtree.Duration(at), For: jmtree.Duration(down), Gap: jmtree.Duration(gap)})
		}
	}
	roll(jmflows.FaultLeaveAgents, 2*time.Second, 2*time.Second)
	roll(jmflows.FaultRollBalancer, 2100*time.Millisecond, 4*time.Second)
	for seed := range uint64(max(*flowSeeds, leastRun)) {
		r, err := jmflows.Run(s, jmflows.Product, seed+1)
		require.NoError(t, err)
		t.Logf("seed %d: worth %.3f, worst windows %.3f, failed %d, late %d of %d; strays %d, strayed %d", seed+1,
			r.Worth, r.Worst, r.Failed, r.Late, r.Asked, r.Strays, r.Strayed)
		require.Zero(t, r.Strayed)
		require.Less(t, r.Strays, maxStrays)
	}
}
