package jmlab_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLoadsAreReported checks that each agent receives the loads of its peers. It
// guards against an agent that never reports its load because its view was
// requested before it ran.
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
			}, 5*time.Second, 20*time.Millisecond, "%s has the load of %s", u.Name, peer.Name)
		}
	}
}
