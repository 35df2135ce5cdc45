package jmflows_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/measure/jmflows"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
)

const (
	rollDown = 300 * time.Millisecond // after which a process is started
	rollGap  = time.Second            // between the restarts of two processes
)

// overlappingRolls returns a scenario with restarts of agents in an orderly way, and of balancers,
// in series that overlap: two or three of seven agents are down at a time.
func overlappingRolls(t *testing.T) *jmflows.Scenario {
	t.Helper()
	s := loadScenario(t, "roll-both")
	s.Faults = nil
	addRolls(s, jmflows.FaultLeaveAgents, 2*time.Second, 2*time.Second)
	addRolls(s, jmflows.FaultRollBalancer, 2100*time.Millisecond, 4*time.Second)
	return s
}

func addRolls(s *jmflows.Scenario, kind jmflows.FaultKind, first, every time.Duration) {
	for at := first; at < 20*time.Second; at += every {
		s.Faults = append(s.Faults, jmflows.Fault{Kind: kind, At: jmtree.Duration(at), For: jmtree.Duration(rollDown), Gap: jmtree.Duration(rollGap)})
	}
}

// TestOverlappingRollsBreakNoFlow checks that packets of open flows hardly reach upstreams that don't
// hold them while processes are restarted, and never while their own gets none for two seconds.
func TestOverlappingRollsBreakNoFlow(t *testing.T) {
	const (
		leastRun = 4 // seeds
		// maxStrays is for a run of 7,000 requests. Agents that give each packet of a flow that
		// they don't know to their upstreams have 6,400 to 7,400.
		maxStrays = 400
	)
	s := overlappingRolls(t)
	for seed := range uint64(max(*flowSeeds, leastRun)) {
		r, err := jmflows.Run(s, jmflows.Product, seed+1)
		require.NoError(t, err)
		t.Logf("seed %d: worth %.3f, worst windows %.3f, failed %d, late %d of %d; strays %d, strayed %d", seed+1,
			r.Worth, r.Worst, r.Failed, r.Late, r.Asked, r.Strays, r.Strayed)
		require.Zero(t, r.Strayed)
		require.Less(t, r.Strays, maxStrays)
	}
}

// TestHandedListsResetNoHeldFlow has agents killed and upstreams crash while agents are restarted in an
// orderly way, so that lists of flows are out of date. Run fails if a flow is reset that an upstream
// holds.
func TestHandedListsResetNoHeldFlow(t *testing.T) {
	const leastRun = 4 // seeds
	s := overlappingRolls(t)
	addRolls(s, jmflows.FaultRollAgents, 2500*time.Millisecond, 3*time.Second)
	for at := 3 * time.Second; at < 20*time.Second; at += 1700 * time.Millisecond {
		s.Faults = append(s.Faults, jmflows.Fault{Kind: jmflows.FaultCrash, At: jmtree.Duration(at), For: jmtree.Duration(200 * time.Millisecond), Share: 0.3})
	}
	for seed := range uint64(max(*flowSeeds, leastRun)) {
		r, err := jmflows.Run(s, jmflows.Product, seed+1)
		require.NoError(t, err)
		require.NotZero(t, r.LostFlows)
		t.Logf("seed %d: worth %.3f, failed %d of %d; %d lost flows reset, 0.9 quantile %.0f ms, longest %.0f ms, %d abandoned", seed+1,
			r.Worth, r.Failed, r.Asked, r.LostFlows, r.ResetP90, r.ResetMax, r.Abandoned)
	}
}
