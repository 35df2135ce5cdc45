package jmflows_test

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/measure/jmflows"
)

// TestDrain has all instances lose power for 1.3 s. No policy answers meanwhile, and each
// has drained the requests that have gathered within two seconds of the start.
func TestDrain(t *testing.T) {
	product, alone, central, err := jmflows.Bounds(loadScenario(t, "forecast-power-off"), 1)
	require.NoError(t, err)
	at := func(r *jmflows.Result, at time.Duration) int { return r.Unanswered[at/jmflows.DrainStep] }
	for _, r := range []*jmflows.Result{product, alone, central} {
		before, off, after := at(r, 5*time.Second), at(r, 7500*time.Millisecond), at(r, 9500*time.Millisecond)
		t.Logf("%s: %d before, %d without power, %d after; %v", r.Policy, before, off, after, r.Unanswered[58:96])
		require.Less(t, before, 100)
		require.Greater(t, off, 1500, "about 1,463 requests a second for 1.5 s")
		require.Less(t, after, 100)
		require.LessOrEqual(t, slices.Max(r.Unanswered), 2400)
	}
	var b bytes.Buffer
	require.NoError(t, jmflows.PlotDrain(&b, []*jmflows.Result{product, alone, central, {Scenario: "empty"}}))
	require.Contains(t, b.String(), "<polyline")
	require.Contains(t, b.String(), "</svg>")
}
