package jmlab_test

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor/client"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmlab"
)

// inForceLimit is the time in which a change must be in force everywhere, as the
// users require.
const inForceLimit = 5 * time.Second

// nodes returns the nodes of all agents and balancers.
func nodes(lab *jmlab.Lab) (all []*jmnode.Node) {
	for _, a := range lab.Agents {
		all = append(all, a.Node)
	}
	for _, b := range lab.Balancers {
		all = append(all, b.Node)
	}
	return all
}

// awaitRevision waits until the revision of a subtree, or a newer one, is in force at
// all nodes.
func awaitRevision(t *testing.T, lab *jmlab.Lab, path string, revision uint64) {
	t.Helper()
	start := time.Now()
	require.Eventually(t, func() bool {
		for _, n := range nodes(lab) {
			if n.View().Config.Revisions[path] < revision {
				return false
			}
		}
		return true
	}, inForceLimit, 10*time.Millisecond)
	t.Logf("revision %d of %s in force everywhere after %s", revision, path, time.Since(start))
}

// publish publishes the layout's documents and waits until their revisions are in
// force at all nodes.
func publish(t *testing.T, lab *jmlab.Lab) {
	t.Helper()
	documents, err := lab.Layout.Documents()
	require.NoError(t, err)
	for path, values := range documents {
		awaitRevision(t, lab, path, lab.Platform.PutAll(path, values))
	}
}

// TestKeyRotation rotates the keys under load in three steps: it adds the new keys,
// puts them to use, and removes the old datagram and control keys. The old
// connection-ID key stays.
func TestKeyRotation(t *testing.T) {
	lab := startLab(t, 50)
	l := startLoad(t, lab, lab.Layout.Services[0], 6, 3)
	keys := &lab.Layout.Fleet.Keys
	oldDatagram, oldControl := keys.Datagram[0], keys.Control[0]
	newDatagram, newControl := jmlab.NewSecret(16), jmlab.NewSecret(32)
	next := jmtree.ConnectionIDKey{Number: 2, Secret: jmlab.NewSecret(16)}
	time.Sleep(300 * time.Millisecond)

	keys.ConnectionID = append(keys.ConnectionID, next)
	keys.Datagram = []jmtree.Secret{oldDatagram, newDatagram}
	keys.Control = []jmtree.Secret{oldControl, newControl}
	publish(t, lab)
	keys.ConnectionID[0].Sealing, keys.ConnectionID[1].Sealing = false, true
	keys.Datagram = []jmtree.Secret{newDatagram, oldDatagram}
	keys.Control = []jmtree.Secret{newControl, oldControl}
	publish(t, lab)
	keys.Datagram = []jmtree.Secret{newDatagram}
	keys.Control = []jmtree.Secret{newControl}
	publish(t, lab)
	time.Sleep(500 * time.Millisecond)

	caller := lab.NewCaller(lab.Layout.Services[0])
	defer caller.Close()
	_, err := caller.Do(t.Context(), client.Request{Body: []byte("SHEET 10"), Idempotent: true})
	require.NoError(t, err)
	withNewKey := uint64(0)
	for _, b := range lab.Balancers {
		withNewKey += b.Counters.ForwardedByKey[2].Load()
	}
	require.Positive(t, withNewKey, "new flows use the new key")
	l.finish()
}

// TestAddressMoves swaps the addresses of two services while the balancers may still
// have the old settings: a caller that names a service is never answered by the
// other one.
func TestAddressMoves(t *testing.T) {
	lab := startLab(t, 51)
	shop, catalogue := lab.Layout.Services[0], lab.Layout.Services[1]
	l := startLoad(t, lab, shop, 4, 0)
	shop.Address, catalogue.Address = catalogue.Address, shop.Address
	documents, err := lab.Layout.Documents()
	require.NoError(t, err)
	lab.Platform.PutAll("Teams/rangla", documents["Teams/rangla"])

	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		caller := lab.NewCaller(shop)
		attempt, cancelAttempt := context.WithTimeout(ctx, 400*time.Millisecond)
		answer, err := caller.Do(attempt, client.Request{Body: []byte("BOOK order"), Idempotent: true})
		cancelAttempt()
		_ = caller.Close()
		if err == nil {
			require.Contains(t, string(answer.Body), "shop-floor-", "another service answered")
		}
	}
	caller := lab.NewCaller(shop)
	defer caller.Close()
	answer, err := caller.Do(ctx, client.Request{Body: []byte("BOOK order"), Idempotent: true})
	require.NoError(t, err)
	require.Contains(t, string(answer.Body), "shop-floor-")
	l.mu.Lock()
	failures := l.failures
	l.mu.Unlock()
	require.Empty(t, failures, "the open feeds go on at their service")
}

// TestWrongServiceNameRefused uses callers that trust any certificate, and so do not
// check which service answers. The service at the address answers a request for its
// own name; the agent refuses a request for the name of another service.
func TestWrongServiceNameRefused(t *testing.T) {
	lab := startLab(t, 52)
	shop, catalogue := lab.Layout.Services[0], lab.Layout.Services[1]
	unverified := &client.Caller{
		Address:    catalogue.Address,
		ServerName: catalogue.ServerName,
		TLS:        &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13},
	}
	defer unverified.Close()
	answer, err := unverified.Do(t.Context(), client.Request{Body: []byte("BOOK order")})
	require.NoError(t, err)
	require.NotContains(t, string(answer.Body), shop.Name)

	// The request names another service than the one at the address, so the agent
	// refuses it, and only the first request has run.
	wrong := &client.Caller{Address: catalogue.Address, ServerName: shop.ServerName, TLS: unverified.TLS}
	defer wrong.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = wrong.Do(ctx, client.Request{Body: []byte("BOOK order")})
	var refusal *client.Error
	require.ErrorAs(t, err, &refusal)
	require.Zero(t, lab.Upstreams["catalogue-1"].Runs()["order"]-1+lab.Upstreams["catalogue-2"].Runs()["order"])
}

// TestBadRevision publishes an invalid document: the last valid revision of the
// subtree stays in force, and a process that starts meanwhile gets it from its peers.
func TestBadRevision(t *testing.T) {
	lab := startLab(t, 53)
	l := startLoad(t, lab, lab.Layout.Services[0], 2, 2)
	lab.Platform.Put("Teams/rangla", "shop-floor", `{"Number": "seven"}`)
	require.Eventually(t, func() bool {
		for _, n := range nodes(lab) {
			if len(n.View().Config.Faults) == 0 {
				return false
			}
		}
		return true
	}, inForceLimit, 10*time.Millisecond, "every node reports the invalid document")
	spec := lab.Layout.Fleet.Balancers[2]
	lab.Balancers[spec.Name].Kill()
	b := lab.StartBalancer(spec)
	require.Eventually(t, func() bool {
		config := b.Node.View().Config
		return config != nil && len(config.Services) == 2
	}, inForceLimit, 10*time.Millisecond, "the restarted balancer has the last valid revision")
	l.finish()
}

// TestPlatformStale has the platform return an old revision after a change, and then
// fail: no process goes back to the old revision, and a process that starts gets the
// newest one from its peers.
func TestPlatformStale(t *testing.T) {
	lab := startLab(t, 54)
	service := lab.Layout.Services[0]
	lab.Platform.SetStale(true)
	service.Upstreams[0].Weight = 9
	documents, err := lab.Layout.Documents()
	require.NoError(t, err)
	lab.Platform.SetStale(false)
	revision := lab.Platform.Put("Teams/rangla", service.Name, documents["Teams/rangla"][service.Name])
	awaitRevision(t, lab, "Teams/rangla", revision)

	lab.Platform.Rewind("Teams/rangla", revision-1)
	spec := lab.Layout.Fleet.Balancers[0]
	lab.Balancers[spec.Name].Kill()
	lab.StartBalancer(spec)
	require.NoError(t, lab.AwaitReady(t.Context()))
	awaitRevision(t, lab, "Teams/rangla", revision)

	lab.Platform.SetDown(true)
	time.Sleep(time.Second)
	for _, n := range nodes(lab) {
		require.Equal(t, revision, n.View().Config.Revisions["Teams/rangla"])
	}
	l := startLoad(t, lab, service, 2, 2)
	time.Sleep(500 * time.Millisecond)
	l.finish()
}

// TestChangeAfterPlatformRestored restores the platform from a copy. A change after that comes
// into force, though its revision was given out before, and the lost one stays until then.
func TestChangeAfterPlatformRestored(t *testing.T) {
	lab := startLab(t, 57)
	service := lab.Layout.Services[0]
	change := func(weight uint32) uint64 {
		service.Upstreams[0].Weight = weight
		documents, err := lab.Layout.Documents()
		require.NoError(t, err)
		return lab.Platform.Put("Teams/rangla", service.Name, documents["Teams/rangla"][service.Name])
	}
	inForce := func(weight uint32) bool {
		for _, n := range nodes(lab) {
			s, found := n.View().Config.Services[service.Number]
			if !found || s.Upstreams[0].Weight != weight {
				return false
			}
		}
		return true
	}
	backup := lab.Platform.Backup()
	lost := change(8)
	require.Eventually(t, func() bool { return inForce(8) }, inForceLimit, 10*time.Millisecond)
	lab.Platform.Restore(backup)
	time.Sleep(time.Second)
	require.True(t, inForce(8), "the restored revision is older")
	require.Equal(t, lost, change(9), "the same revision")
	require.Eventually(t, func() bool { return inForce(9) }, inForceLimit, 10*time.Millisecond)
	change(7)
	require.Eventually(t, func() bool { return inForce(7) }, inForceLimit, 10*time.Millisecond)
}

// TestStartWithoutPlatform restarts an agent and a balancer while the platform is
// down: they get all settings from their peers.
func TestStartWithoutPlatform(t *testing.T) {
	lab := startLab(t, 56)
	service := lab.Layout.Services[0]
	lab.Platform.SetDown(true)
	lab.WithSeeds = true
	lab.Balancers["b1"].Kill()
	lab.StartBalancer(lab.Layout.Fleet.Balancers[0])
	upstream := service.Upstreams[0]
	lab.Agents[upstream.Name].Kill()
	lab.StartAgent(upstream)
	ctx, cancel := context.WithTimeout(t.Context(), 2*inForceLimit)
	defer cancel()
	require.NoError(t, lab.AwaitReady(ctx))
	l := startLoad(t, lab, service, 3, 3)
	time.Sleep(time.Second)
	l.finish()
}

// TestCutOffDataCentre partitions the data centres from each other under load, and
// heals the partition. Open feeds go on, as some of their packets still reach the
// agent, and all members become alive again.
func TestCutOffDataCentre(t *testing.T) {
	lab := startLab(t, 55)
	l := startLoad(t, lab, lab.Layout.Services[0], 6, 4)
	time.Sleep(500 * time.Millisecond)
	lab.CutOff("lahore")
	time.Sleep(6 * time.Second)
	lab.CutOff()
	time.Sleep(2 * time.Second)
	l.finish()
	for _, n := range nodes(lab) {
		require.Eventually(t, func() bool {
			for _, s := range n.View().States {
				if s.Liveness != 0 {
					return false
				}
			}
			return true
		}, 20*time.Second, 50*time.Millisecond, "all members are alive again")
	}
}
