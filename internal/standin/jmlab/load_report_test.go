package jmlab_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLoadsAreReported checks that each agent hears of its peers' loads. A view
// that was asked for before the agent ran once kept it from reporting any.
func TestLoadsAreReported(t *testing.T) {
	lab := startLab(t, 17)
	service := lab.Layout.Services[0]
	for _, u := range service.Upstreams {
		for _, peer := range service.Upstreams {
			if peer == u {
				continue
			}
			require.Eventually(t, func() bool {
				_, found := lab.Agents[u.Name].Node.Loads.Recent(peer.Agent, time.Now())
				return found
			}, 5*time.Second, 20*time.Millisecond, "%s of %s", u.Name, peer.Name)
		}
	}
}
