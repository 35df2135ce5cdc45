package jmflows_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/measure/jmflows"
)

// TestBounds checks that no policy earns more than the requests would alone, and that all
// bounds are of the same requests.
func TestBounds(t *testing.T) {
	for _, name := range []string{"calm", "power-off", "kill-all", "slow"} {
		t.Run(name, func(t *testing.T) {
			product, alone, central, err := jmflows.Bounds(loadScenario(t, name), 1)
			require.NoError(t, err)
			t.Logf("worth %.3f, alone %.3f, central %.3f; worst windows %.3f, %.3f, %.3f",
				product.Worth, alone.Worth, central.Worth, product.Worst, alone.Worst, central.Worst)
			require.Equal(t, product.Asked, alone.Asked)
			require.Equal(t, product.Asked, central.Asked)
			for _, r := range []*jmflows.Result{product, central} {
				require.LessOrEqual(t, r.Worth, alone.Worth)
				require.LessOrEqual(t, r.Worst, alone.Worst)
			}
		})
	}
}
