package jmlab_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmfabric"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmlab"
)

// newWorkLimit bounds how long a leaving upstream may still get new requests.
const newWorkLimit = 3 * time.Second

// awaitDone waits for done to be closed, and fails the test after the limit.
func awaitDone(t *testing.T, done <-chan struct{}, limit time.Duration, what string) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(limit):
		require.Fail(t, "not done in time", what)
	}
}

// TestAgentLeaves has the busiest agent leave: it gets no new requests, keeps its open
// feeds, and is drained after they end.
func TestAgentLeaves(t *testing.T) {
	lab := startLab(t, 11)
	l := startLoad(t, lab, lab.Layout.Services[0], 12, 6)
	time.Sleep(time.Second)

	leaving := l.busiest()
	require.Positive(t, l.feedsOf(leaving))
	leftAt := time.Now()
	agent := lab.Agents[leaving.Name]
	agent.Leave()
	time.Sleep(newWorkLimit + time.Second)
	require.Less(t, l.lastAnswerOf(leaving).Sub(leftAt), newWorkLimit, "a new request reached the leaving upstream")
	select {
	case <-agent.Drained():
		require.Fail(t, "the agent is drained with open feeds")
	default:
	}
	l.finish()
	awaitDone(t, agent.Drained(), 15*time.Second, "agent drained after its feeds have ended")
}

// TestUpstreamLeavesBySettings marks an upstream as leaving in the settings: it gets no
// new requests and keeps its open feeds.
func TestUpstreamLeavesBySettings(t *testing.T) {
	lab := startLab(t, 12)
	service := lab.Layout.Services[0]
	l := startLoad(t, lab, service, 12, 6)
	time.Sleep(time.Second)

	leaving := l.busiest()
	for i := range service.Upstreams {
		service.Upstreams[i].Leaving = service.Upstreams[i].Name == leaving.Name
	}
	leftAt := time.Now()
	putService(t, lab, service)
	time.Sleep(newWorkLimit + time.Second)
	require.Less(t, l.lastAnswerOf(leaving).Sub(leftAt), newWorkLimit, "a new request reached the leaving upstream")
	l.finish()
}

// putService publishes the current document of a service.
func putService(t *testing.T, lab *jmlab.Lab, service *jmtree.Service) {
	t.Helper()
	documents, err := lab.Layout.Documents()
	require.NoError(t, err)
	path := jmtree.TeamPrefix + service.Team
	lab.Platform.Put(path, service.Name, documents[path][service.Name])
}

// TestBalancersReplaced replaces all balancers one after another under load. A
// balancer must not be drained before the fabric stops using it.
func TestBalancersReplaced(t *testing.T) {
	lab := startLab(t, 13)
	l := startLoad(t, lab, lab.Layout.Services[0], 12, 6)
	for _, spec := range lab.Layout.Fleet.Balancers {
		b := lab.Balancers[spec.Name]
		b.Leave()
		time.Sleep(time.Second)
		select {
		case <-b.Drained():
			require.Fail(t, "the balancer is drained while the fabric still uses it")
		default:
		}
		lab.SetFabrics(jmfabric.Settings{}, spec.Name)
		awaitDone(t, b.Drained(), 5*time.Second, "balancer drained")
		b.Kill()
		lab.StartBalancer(spec)
		require.NoError(t, lab.AwaitReady(t.Context()))
		time.Sleep(500 * time.Millisecond)
		lab.SetFabrics(jmfabric.Settings{})
	}
	time.Sleep(500 * time.Millisecond)
	l.finish()
}
