package jmexplore

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
	"github.com/jasminemoor/jasminemoor/internal/measure/jmflows"
)

// TestFleetsKeepProperties explores each fleet up to a small bound, and takes random walks.
func TestFleetsKeepProperties(t *testing.T) {
	for _, f := range Fleets() {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			e := Explorer{Fleet: f, MaxDepth: 8, MaxStates: 2000}
			r := e.Explore()
			requireNothingFound(t, f, &r)
			require.GreaterOrEqual(t, r.States, e.MaxStates)
			e.MaxDepth = 30
			r = e.Walk(1, 200)
			requireNothingFound(t, f, &r)
		})
	}
}

func requireNothingFound(t *testing.T, f *Fleet, r *Result) {
	t.Helper()
	if r.Found != nil {
		_, trace := Replay(f, r.Found.Steps)
		require.Fail(t, r.Found.Violation, "%s\n%s", FormatSteps(r.Found.Steps), strings.Join(trace, "\n"))
	}
}

// TestRunsAreRepeatable has the same steps lead to the same state, in whatever order maps are
// gone through, and workers find the same states.
func TestRunsAreRepeatable(t *testing.T) {
	for _, f := range Fleets() {
		steps := mustParse(t, "send 0 0; restart 2; settle; kill 3; send 0 0; wait 225; copy 2; pass 2100")
		first := newWorld(f)
		first.run(steps)
		for range 10 {
			w := newWorld(f)
			w.run(steps)
			require.Equal(t, first.hash(), w.hash(), f.Name)
		}
	}
	one := Explorer{Fleet: fleet("three"), MaxDepth: 2, MaxStates: 1000}
	two := one
	two.Workers = 2
	require.Equal(t, one.Explore(), two.Explore())
}

// TestWalksReachDecisions has random walks reach the decisions that the properties rest on.
func TestWalksReachDecisions(t *testing.T) {
	var agents []*jmpass.Agent
	for _, f := range Fleets() {
		f.wrapAgent = func(a *jmpass.Agent) jmflows.Agent {
			agents = append(agents, a)
			return a
		}
		e := Explorer{Fleet: f, MaxDepth: 30}
		r := e.Walk(1, 200)
		requireNothingFound(t, f, &r)
	}
	var counts [jmpass.ReasonCount]uint64
	for _, a := range agents {
		for reason, count := range a.Counts {
			counts[reason] += count
		}
	}
	for _, reason := range []jmpass.Reason{
		jmpass.ReasonNoView, jmpass.ReasonHeld, jmpass.ReasonNotHeld, jmpass.ReasonProbed, jmpass.ReasonRefusedByUpstream,
		jmpass.ReasonUpstreamDown, jmpass.ReasonSearched, jmpass.ReasonAbsentEverywhere, jmpass.ReasonOtherService,
	} {
		require.Positive(t, counts[reason], reason.Text())
	}
	t.Log(counts)
}

func fleet(name string) *Fleet {
	for _, f := range Fleets() {
		if f.Name == name {
			return f
		}
	}
	return nil
}

func mustParse(t *testing.T, text string) []Step {
	t.Helper()
	steps, err := ParseSteps(text)
	require.NoError(t, err)
	require.Equal(t, text, FormatSteps(steps))
	return steps
}

func TestParseStepsRejectsWords(t *testing.T) {
	_, err := ParseSteps("send 0 1; lose x")
	require.ErrorContains(t, err, `"lose x"`)
}
