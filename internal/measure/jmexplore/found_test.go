package jmexplore

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The tests of this file replay counterexamples that were found with real agents. The fleets
// of Fleets leave them out.

// TestResetByListThatLags has an upstream join and take a flow, whose next packet comes by a
// balancer that does not know of the upstream yet, to an agent that does not either. Neither
// copy is old. The agent must not reset the flow.
func TestResetByListThatLags(t *testing.T) {
	f := *fleet("joined")
	f.IsInStep = false
	f.Prefix = nil
	requireNoViolation(t, &f, "join 2; copy 0; copy 2; send 0 0; settle; send 0 0; settle; send 0 1; settle")
}

// TestLostFlowOfServiceWithoutUpstreams has the only upstream of a service make room for
// another service. Its flow must be reset by a balancer that does not know the flow.
func TestLostFlowOfServiceWithoutUpstreams(t *testing.T) {
	f := *fleet("moved")
	f.NeedsReset = true
	requireNoViolation(t, &f, "restart 0; reuse 2 1")
}

// TestLostFlowWithCopyOfOpening has the copy of a flow's opening packet wait at an agent that
// has just started, and reach its upstream after the caller has opened the flow elsewhere. That
// upstream crashes. The flow must be reset although the other one has replied to the copy.
func TestLostFlowWithCopyOfOpening(t *testing.T) {
	f := *fleet("opening")
	f.NeedsReset = true
	requireNoViolation(t, &f, "send 0 0; restart 2; send 0 0; settle; kill 1; stop 1")
}

// TestHeldFlowOfRestartedAgent has an agent start again while its upstream's reply to an opening
// packet and its answer to the flow's request are on their way. The agent must go on giving the
// flow's packets to its upstream, which holds the flow.
func TestHeldFlowOfRestartedAgent(t *testing.T) {
	f := *fleet("opening")
	f.NeedsReset = true
	requireNoViolation(t, &f, "kill 1; stop 1; start 1; restart 2; send 0 0; send 0 0; settle; stop 2; revive 1; copy 1; send 0 0; "+
		"settle; wait 50; restart 1; send 0 0; oldcopy 1; settle")
}

func requireNoViolation(t *testing.T, f *Fleet, text string) {
	t.Helper()
	steps := mustParse(t, text)
	require.Equal(t, steps, newWorld(f).run(steps), "steps that are possible")
	violation, trace := Replay(f, steps)
	require.Empty(t, violation, strings.Join(trace, "\n"))
}
