package jmflows_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/measure/jmflows"
)

// TestBoundsCountLostFlows checks that a bound gives up the requests that no system could
// answer, those that may have run on flows that were lost with the power, and no others.
func TestBoundsCountLostFlows(t *testing.T) {
	for _, name := range []string{"booking-power-off", "forecast-power-off", "power-off"} {
		t.Run(name, func(t *testing.T) {
			product, alone, central, err := jmflows.Bounds(loadScenario(t, name), 1)
			require.NoError(t, err)
			t.Logf("failed %d, alone %d, central %d; worth %.3f, %.3f, %.3f; worst windows %.3f, %.3f, %.3f", product.Failed, alone.Failed, central.Failed,
				product.Worth, alone.Worth, central.Worth, product.Worst, alone.Worst, central.Worst)
			require.LessOrEqual(t, alone.Failed, product.Failed)
			require.LessOrEqual(t, product.Worst, alone.Worst)
			for class, c := range product.ByClass {
				require.LessOrEqual(t, c.Earned, alone.ByClass[class].Earned, class)
			}
			if name == "booking-power-off" {
				require.Greater(t, alone.Failed, product.Failed*9/10, "callers may not send these requests again")
			}
		})
	}
}
