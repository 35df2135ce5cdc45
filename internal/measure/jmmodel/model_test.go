package jmmodel_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/measure/jmmodel"
)

var load = jmmodel.Load{
	Seed:        1,
	Duration:    5 * time.Minute,
	Flows:       400,
	FlowLife:    time.Minute,
	Utilisation: 0.7,
}

// TestPlacementAgainstNaive compares the product's placement with the naive
// five-tuple hash and with plain rendezvous hashing under the same load.
func TestPlacementAgainstNaive(t *testing.T) {
	for _, site := range []jmmodel.Site{jmmodel.Rangla, jmmodel.Halloran} {
		t.Run(site.Name, func(t *testing.T) {
			results := make(map[string]jmmodel.Result)
			for _, p := range jmmodel.Policies() {
				results[p.Name] = jmmodel.Run(site, load, p)
				t.Logf("%+v", results[p.Name])
			}
			current := results["weighted, two choices, relays"]
			for _, name := range []string{"five-tuple hash", "plain rendezvous"} {
				naive := results[name]
				require.Greater(t, naive.PeakOverMean, 2.0, "the load must be able to show imbalance")
				require.Less(t, current.PeakOverMean-1, (naive.PeakOverMean-1)/4)
				require.Less(t, current.WaitP99, naive.WaitP99/3)
				require.Less(t, current.Refused, naive.Refused/10)
			}
			require.Less(t, current.Crossing, 0.2)
		})
	}
}

func TestSameSeedSameResult(t *testing.T) {
	policy := jmmodel.Policies()[4]
	first := jmmodel.Run(jmmodel.Rangla, load, policy)
	second := jmmodel.Run(jmmodel.Rangla, load, policy)
	require.Equal(t, first, second)
}

func BenchmarkRun(b *testing.B) {
	policy := jmmodel.Policies()[4]
	for b.Loop() {
		jmmodel.Run(jmmodel.Rangla, load, policy)
	}
}
