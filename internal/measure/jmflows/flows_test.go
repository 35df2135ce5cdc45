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

var flowSeeds = flag.Int("flow-seeds", 1, "seeds to play of each load pattern")

func load(t testing.TB, name string) *jmflows.Scenario {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "load", name+".json"))
	require.NoError(t, err)
	s, err := jmflows.Parse(text)
	require.NoError(t, err)
	return s
}

// TestLoadPatterns replays each pattern with the product's decisions and with
// the naive ones. No open flow may be reset while its upstream holds it, and no
// request that may not run twice may do so: Run fails then.
func TestLoadPatterns(t *testing.T) {
	const (
		goodWorth = 0.95 // the users' target for quiet days
		harsh     = 0.90 // and for days with trouble
	)
	cases := map[string]struct {
		worth float64
		// isBetter says that the naive policy has to lose against it.
		isBetter bool
	}{
		"calm":           {goodWorth, false},
		"burst":          {goodWorth, false},
		"power-off":      {harsh, true},
		"kill-all":       {harsh, true},
		"half-gone":      {harsh, true},
		"slow":           {harsh, true},
		"broken":         {harsh, true},
		"grey":           {harsh, true},
		"roll-agents":    {goodWorth, true},
		"roll-balancers": {goodWorth, false},
		"roll-both":      {goodWorth, true},
		"zone-off":       {harsh, true},
		"replace":        {goodWorth, false},
		"shift":          {goodWorth, false},
		"flap":           {goodWorth, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := load(t, name)
			for seed := range uint64(*flowSeeds) {
				product, err := jmflows.Run(s, jmflows.Product, seed+1)
				require.NoError(t, err, "seed %d", seed+1)
				naive, naiveErr := jmflows.Run(s, jmflows.Naive, seed+1)
				t.Logf("seed %d: worth %.3f worst %.3f failed %d of %d; naive %.3f %.3f %d of %d %v", seed+1, product.Worth,
					product.Worst, product.Failed, product.Asked, naive.Worth, naive.Worst, naive.Failed, naive.Asked, naiveErr)
				require.GreaterOrEqual(t, product.Worth, tc.worth, "seed %d", seed+1)
				if tc.isBetter && naiveErr == nil {
					require.Greater(t, product.Worth, naive.Worth, "seed %d", seed+1)
					require.Greater(t, product.Worst, naive.Worst, "seed %d", seed+1)
				}
			}
		})
	}
}

// TestRunRepeats plays one seed twice.
func TestRunRepeats(t *testing.T) {
	s := load(t, "calm")
	first, err := jmflows.Run(s, jmflows.Product, 3)
	require.NoError(t, err)
	second, err := jmflows.Run(s, jmflows.Product, 3)
	require.NoError(t, err)
	require.Equal(t, first.Windows, second.Windows)
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
