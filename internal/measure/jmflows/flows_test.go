package jmflows_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/measure/jmflows"
)

var flowSeeds = flag.Int("flow-seeds", 1, "number of seeds to run each load pattern with")

func loadScenario(t testing.TB, name string) *jmflows.Scenario {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "load", name+".json"))
	require.NoError(t, err)
	s, err := jmflows.Parse(text)
	require.NoError(t, err)
	return s
}

// TestLoadPatterns runs each load pattern with the product's policy and with the
// naive one. The product must reach the users' target, and Run must return no error:
// it returns one if an open flow is reset while its upstream holds it, or if a request
// that is not idempotent runs twice. Where a pattern has faults that the naive policy
// doesn't handle, the product must also beat it.
func TestLoadPatterns(t *testing.T) {
	const (
		quietTarget = 0.95 // the users' target for quiet days
		faultTarget = 0.90 // their target for days with faults
		// unevenTarget is above what placement by the number of requests reaches.
		unevenTarget = 0.978
	)
	cases := map[string]struct {
		worth float64
		// beatsNaive requires a higher worth than the naive policy's, unless the
		// naive policy's run fails.
		beatsNaive bool
	}{
		"calm":           {quietTarget, false},
		"burst":          {quietTarget, false},
		"power-off":      {faultTarget, true},
		"power-off-cold": {faultTarget, false}, // the naive policy has no limit
		"kill-all":       {faultTarget, true},
		"half-gone":      {faultTarget, true},
		"slow":           {faultTarget, true},
		"broken":         {faultTarget, true},
		"grey":           {faultTarget, true},
		"roll-agents":    {quietTarget, true},
		"roll-balancers": {quietTarget, false},
		"roll-both":      {quietTarget, true},
		"zone-off":       {faultTarget, true},
		"replace":        {quietTarget, false},
		"shift":          {quietTarget, false},
		"flap":           {quietTarget, true},
		"uneven":         {unevenTarget, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := loadScenario(t, name)
			for seed := range uint64(*flowSeeds) {
				product, err := jmflows.Run(s, jmflows.Product, seed+1)
				require.NoError(t, err, "seed %d", seed+1)
				naive, naiveErr := jmflows.Run(s, jmflows.Naive, seed+1)
				t.Logf("seed %d: worth %.3f worst %.3f failed %d of %d; naive %.3f %.3f %d of %d %v", seed+1, product.Worth,
					product.Worst, product.Failed, product.Asked, naive.Worth, naive.Worst, naive.Failed, naive.Asked, naiveErr)
				require.GreaterOrEqual(t, product.Worth, tc.worth, "seed %d", seed+1)
				if tc.beatsNaive && naiveErr == nil {
					require.Greater(t, product.Worth, naive.Worth, "seed %d", seed+1)
					require.Greater(t, product.Worst, naive.Worst, "seed %d", seed+1)
				}
			}
		})
	}
}

// TestColdLimitCostsLittle runs load patterns in which upstreams start beside warm ones, or
// agents start alone, with a limit for cold upstreams and without. Run returns an error if
// an upstream gets more than the limit.
func TestColdLimitCostsLittle(t *testing.T) {
	const difference = 0.01 // of worth
	for _, name := range []string{"replace", "flap", "zone-off", "roll-agents", "kill-all"} {
		t.Run(name, func(t *testing.T) {
			without := loadScenario(t, name)
			with := *without
			with.ColdRate = 20
			for seed := range uint64(*flowSeeds) {
				a, err := jmflows.Run(without, jmflows.Product, seed+1)
				require.NoError(t, err, "seed %d", seed+1)
				b, err := jmflows.Run(&with, jmflows.Product, seed+1)
				require.NoError(t, err, "seed %d", seed+1)
				t.Logf("seed %d: worth %.3f, with the limit %.3f", seed+1, a.Worth, b.Worth)
				require.GreaterOrEqual(t, b.Worth, a.Worth-difference, "seed %d", seed+1)
			}
		})
	}
}

// TestSizeCostsNothing runs load patterns of a large installation, and the same at a tenth
// of the size. The callers are served alike.
func TestSizeCostsNothing(t *testing.T) {
	const (
		difference    = 0.02 // of worth and of the worst windows
		maxQuestions  = 16   // for each lost flow
		maxResetDelay = 300  // milliseconds, for nine of ten lost flows
	)
	cases := map[string]struct{ losesFlows bool }{
		"power-off-large": {true},
		"kill-all-large":  {},
		"slow-large":      {},
		"broken-large":    {},
		"burst-large":     {},
		"shift-large":     {},
		"replace-large":   {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			large := loadScenario(t, name)
			small, err := large.Scaled(0.1)
			require.NoError(t, err)
			var results []*jmflows.Result
			for _, s := range []*jmflows.Scenario{small, large} {
				r, err := jmflows.Run(s, jmflows.Product, 1)
				require.NoError(t, err)
				t.Logf("%d upstreams: worth %.3f worst %.3f failed %d of %d, %d questions for %d lost flows, 0.9 of them reset in %.0f ms",
					s.Upstreams, r.Worth, r.Worst, r.Failed, r.Asked, r.Questions, r.LostFlows, r.ResetP90)
				if tc.losesFlows {
					require.NotZero(t, r.LostFlows)
					require.LessOrEqual(t, r.Questions, maxQuestions*r.LostFlows)
					require.LessOrEqual(t, r.ResetP90, float64(maxResetDelay))
				}
				results = append(results, r)
			}
			require.GreaterOrEqual(t, results[1].Worth, results[0].Worth-difference)
			require.GreaterOrEqual(t, results[1].Worst, results[0].Worst-difference)
		})
	}
}

// TestPowerOffDuringRelease has some upstreams not start again after all power was off,
// and their agents end soon after their start. What these found is known to all others,
// so that the lost flows are reset all the same.
func TestPowerOffDuringRelease(t *testing.T) {
	const (
		maxResetDelay = 300  // milliseconds, for nine of ten lost flows
		maxLastReset  = 4000 // milliseconds, for all
		// cutOffShares bounds the flows that can't be reset, as their callers send one more
		// packet only: of it, its forwarding and the reset one in 333 gets lost.
		cutOffShares = 100
	)
	small := loadScenario(t, "power-off-release")
	large := loadScenario(t, "power-off-release-large")
	tenth, err := large.Scaled(0.1)
	require.NoError(t, err)
	for _, s := range []*jmflows.Scenario{small, tenth, large} {
		for seed := range uint64(*flowSeeds) {
			r, err := jmflows.Run(s, jmflows.Product, seed+1)
			require.NoError(t, err)
			t.Logf("%d upstreams: worth %.3f worst %.3f failed %d of %d, %d questions, %d lost flows, reset in %.0f ms (0.9) and %.0f ms, %d not, %d cut off",
				s.Upstreams, r.Worth, r.Worst, r.Failed, r.Asked, r.Questions, r.LostFlows, r.ResetP90, r.ResetMax, r.Abandoned, r.CutOff)
			require.NotZero(t, r.LostFlows)
			require.LessOrEqual(t, r.ResetP90, float64(maxResetDelay))
			require.LessOrEqual(t, r.ResetMax, float64(maxLastReset))
			require.Zero(t, r.Abandoned)
			require.LessOrEqual(t, r.CutOff, r.LostFlows/cutOffShares)
		}
	}
}

// TestLossIsNoMissingReset has ten times the usual loss. Many callers send a single packet
// between the return of the power and their deadline. Where the network loses it, or the
// reset that follows, agents can't reset the flow. All other lost flows are reset.
func TestLossIsNoMissingReset(t *testing.T) {
	s := loadScenario(t, "power-off-release")
	s.Loss = 0.01
	const maxCutOff = 0.05 // share of the lost flows, each of which depends on three packets
	cutOff := 0
	for seed := range uint64(5) {
		r, err := jmflows.Run(s, jmflows.Product, seed+1)
		require.NoError(t, err, "seed %d", seed+1)
		require.Zero(t, r.Abandoned, "seed %d", seed+1)
		require.LessOrEqual(t, float64(r.CutOff), maxCutOff*float64(r.LostFlows), "seed %d", seed+1)
		cutOff += r.CutOff
	}
	require.NotZero(t, cutOff)
}

// TestSameSeedSameResult runs one seed twice, so that what a seed has found can be played
// again. Nothing that agents decide may depend on the order of a map.
func TestSameSeedSameResult(t *testing.T) {
	for _, name := range []string{"calm", "power-off-release", "power-off", "flap", "roll-agents", "kill-all"} {
		t.Run(name, func(t *testing.T) {
			s := loadScenario(t, name)
			var results []string
			for range 2 {
				r, err := jmflows.Run(s, jmflows.Product, 3)
				require.NoError(t, err)
				text, err := json.Marshal(r)
				require.NoError(t, err)
				results = append(results, string(text))
			}
			require.Equal(t, results[0], results[1])
		})
	}
}

func TestParseRefuses(t *testing.T) {
	good := map[string]any{
		"Name": "x", "Balancers": 1, "Upstreams": 1, "Slots": 1, "Lasts": "1s",
		"Classes": []any{map[string]any{"Name": "c", "PerSecond": 1, "Work": "1ms", "Target": "1s", "Deadline": "1s"}},
	}
	for name, change := range map[string]func(m map[string]any){
		"Upstreams": func(m map[string]any) { m["Upstreams"] = 0 },
		"Slots":     func(m map[string]any) { delete(m, "Slots") },
		"Lasts":     func(m map[string]any) { delete(m, "Lasts") },
		"Classes":   func(m map[string]any) { delete(m, "Classes") },
		"Unknown":   func(m map[string]any) { m["Unknown"] = 1 },
		"Target":    func(m map[string]any) { m["Classes"] = []any{map[string]any{"Name": "c"}} },
	} {
		t.Run(name, func(t *testing.T) {
			changed := make(map[string]any)
			for key, value := range good {
				changed[key] = value
			}
			change(changed)
			text, err := json.Marshal(changed)
			require.NoError(t, err)
			_, err = jmflows.Parse(text)
			require.ErrorContains(t, err, name)
		})
	}
}

func TestPlot(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, jmflows.Plot(&b, []*jmflows.Result{
		{Scenario: "x", Policy: "product", Windows: []jmflows.Window{{Earned: 1, Owed: 2}}},
		{Scenario: "x", Policy: "naive", Windows: []jmflows.Window{{}}},
	}))
	require.Contains(t, b.String(), "<polyline")
	require.Contains(t, b.String(), "</svg>")
}

// TestBurstOfOneRoute multiplies the load of one route until the upstreams can't answer it.
// The other route, which asks for less than its share, is served as on a quiet day if work
// is divided fairly.
func TestBurstOfOneRoute(t *testing.T) {
	const quietTarget = 0.95 // the users' target for quiet days
	s := loadScenario(t, "burst-one-route")
	for _, scale := range []float64{1, 4} {
		scaled, err := s.Scaled(scale)
		require.NoError(t, err)
		for _, isFair := range []bool{false, true} {
			scaled.FairShares = isFair
			r, err := jmflows.Run(scaled, jmflows.Product, 1)
			require.NoError(t, err)
			other := r.ByClass["warning"]
			worth := other.Earned / other.Owed
			t.Logf("%d upstreams, fair %v: worth %.3f, of the other route %.3f", scaled.Upstreams, isFair, r.Worth, worth)
			if isFair {
				require.GreaterOrEqual(t, worth, quietTarget)
			}
		}
	}
}
