package jmlab_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
	"github.com/jasminemoor/jasminemoor/client"
	"github.com/jasminemoor/jasminemoor/internal/fleet/jmnode"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmagent"
	"github.com/jasminemoor/jasminemoor/internal/flow/jmbalancer"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmtree"
	"github.com/jasminemoor/jasminemoor/internal/settings/jmwatch"
	"github.com/jasminemoor/jasminemoor/internal/standin/jmlab"
	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// formerPlatform serves subtrees as they were once.
type formerPlatform map[string]jasminemoor.Subtree

func (p formerPlatform) Read(_ context.Context, path string) (jasminemoor.Subtree, error) {
	return p[path], nil
}

func (p formerPlatform) Revisions(context.Context) (jasminemoor.Revisions, error) {
	r := jasminemoor.Revisions{At: 1, Subtrees: make(map[string]uint64)}
	for path, s := range p {
		r.Subtrees[path] = s.Revision
	}
	return r, nil
}

func (p formerPlatform) Watch(ctx context.Context, _ uint64) (jasminemoor.Revisions, error) {
	<-ctx.Done()
	return jasminemoor.Revisions{}, ctx.Err()
}

// lostPlatform answers nothing.
type lostPlatform struct{}

func (lostPlatform) Read(context.Context, string) (s jasminemoor.Subtree, err error) {
	return s, eris.New("platform is away")
}

func (lostPlatform) Revisions(context.Context) (r jasminemoor.Revisions, err error) {
	return r, eris.New("platform is away")
}

func (lostPlatform) Watch(context.Context, uint64) (r jasminemoor.Revisions, err error) {
	return r, eris.New("platform is away")
}

// reusedLab is a lab in which the address of an agent has gone from shop-floor to catalogue. A
// balancer that is cut off from all but that address still has the former settings.
type reusedLab struct {
	*jmlab.Lab
	upstream jmtree.Upstream
	former   netip.AddrPort // fleet address of the balancer

	formerPlatform formerPlatform // with the former settings
}

func startReused(t *testing.T, net byte) *reusedLab {
	t.Helper()
	lab := startLabOf(t, net,
		jmlab.ServiceSpec{Team: "rangla", Name: "shop-floor", Weights: []uint32{1}},
		jmlab.ServiceSpec{Team: "rangla", Name: "catalogue", Weights: []uint32{1, 1}},
	)
	shop, catalogue := lab.Layout.Services[0], lab.Layout.Services[1]
	r := &reusedLab{Lab: lab, upstream: shop.Upstreams[0]}
	lab.Agents[r.upstream.Name].Kill()
	delete(lab.Agents, r.upstream.Name)
	former := make(formerPlatform)
	present := &jmwatch.Client{URL: "http://" + lab.Layout.PlatformAddress().String()}
	for _, path := range []string{jmtree.FleetPath, jmtree.TeamPrefix + "rangla"} {
		s, err := present.Read(t.Context(), path)
		require.NoError(t, err)
		former[path] = s
	}
	moved := r.upstream
	moved.Name = "catalogue-3"
	shop.Upstreams, catalogue.Upstreams = nil, append(catalogue.Upstreams, moved)
	publish(t, lab)

	serviceIP := netip.AddrFrom4([4]byte{127, net, 1, 9})
	r.former = netip.AddrPortFrom(serviceIP, lab.Layout.Fleet.Balancers[0].Address.Port())
	node := r.newNode(r.former)
	node.Platform, r.formerPlatform = former, former
	// It is the only process of its data centre, so it is a reader.
	node.DataCentre = "multan"
	node.Reach = func(to netip.AddrPort) bool { return to == r.upstream.Agent }
	b := &jmbalancer.Balancer{Identity: node.Identity, DataCentre: node.DataCentre, ServiceIP: serviceIP, Node: node, Log: lab.Log}
	r.run(t, b.Run)
	require.Eventually(t, func() bool {
		c := node.View().Config
		return c != nil && len(c.Services) == 2
	}, inForceLimit, time.Millisecond)
	return r
}

func (r *reusedLab) newNode(address netip.AddrPort) *jmnode.Node {
	key := jmdatagram.ControlKey(r.Layout.Fleet.Keys.Control[0])
	return &jmnode.Node{
		Identity: jasminemoor.Identity{Agent: address, Incarnation: jasminemoor.NewIncarnation(time.Now())},
		SeedKey:  &key, Log: r.Log,
	}
}

// run runs a process until the test ends.
func (r *reusedLab) run(t *testing.T, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// newAgent returns the agent at the reused address. Its first seed has the former settings.
func (r *reusedLab) newAgent(platform jasminemoor.Platform) *jmagent.Agent {
	node := r.newNode(r.upstream.Agent)
	node.Platform, node.DataCentre = platform, r.upstream.DataCentre
	node.Seeds = []netip.AddrPort{r.former}
	for _, b := range r.Layout.Fleet.Balancers {
		node.Seeds = append(node.Seeds, b.Address)
	}
	return &jmagent.Agent{Identity: node.Identity, DataCentre: node.DataCentre, Node: node, Log: r.Log}
}

// callFormer sends bookings for shop-floor through the balancer with the former settings for a
// while.
func (r *reusedLab) callFormer(t *testing.T, until time.Time) {
	t.Helper()
	const attemptTimeout = 300 * time.Millisecond
	shop := r.Layout.Services[0]
	var wg conc.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				caller := &client.Caller{
					Address:    netip.AddrPortFrom(r.former.Addr(), shop.Address.Port()),
					ServerName: shop.ServerName, TLS: r.Layout.ClientTLS(),
				}
				ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
				_, _ = caller.Do(ctx, client.Request{Body: fmt.Appendf(nil, "BOOK shop-%d-%d", i, n), Idempotent: true})
				cancel()
				_ = caller.Close()
			}
		})
	}
	wg.Wait()
}

// awaitServed sends bookings for catalogue until one has run at the upstream.
func (r *reusedLab) awaitServed(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		caller := r.NewCaller(r.Layout.Services[1])
		defer caller.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _ = caller.Do(ctx, client.Request{Body: []byte("BOOK catalogue"), Idempotent: true})
		return r.Upstreams[r.upstream.Name].Runs()["catalogue"] > 0
	}, inForceLimit, 10*time.Millisecond, "the upstream gets no booking for its service")
}

// TestReusedAddressBeforeRecentSettings starts an agent at an address that belonged to another
// service. The first seed that it asks has settings from before: requests for the former service
// must not run at the upstream.
func TestReusedAddressBeforeRecentSettings(t *testing.T) {
	cases := map[string]struct {
		platform func(lab *jmlab.Lab) jasminemoor.Platform
	}{
		"platform answers": {platform: func(lab *jmlab.Lab) jasminemoor.Platform {
			return &jmwatch.Client{URL: "http://" + lab.Layout.PlatformAddress().String()}
		}},
		"platform away": {platform: func(*jmlab.Lab) jasminemoor.Platform { return lostPlatform{} }},
		"no platform":   {platform: func(*jmlab.Lab) jasminemoor.Platform { return nil }},
	}
	net := byte(60)
	for name, tc := range cases {
		net++
		t.Run(name, func(t *testing.T) {
			lab := startReused(t, net)
			lab.run(t, lab.newAgent(tc.platform(lab.Lab)).Run)
			lab.callFormer(t, time.Now().Add(2*time.Second))
			require.Empty(t, lab.Upstreams[lab.upstream.Name].Runs(), "bookings for the former service")
			lab.awaitServed(t)
		})
	}
}

// TestReusedAddressOnOldSide starts the same agent where only the former settings can be reached:
// the platform is stale, and the peers are cut off.
func TestReusedAddressOnOldSide(t *testing.T) {
	lab := startReused(t, 66)
	var isHealed atomic.Bool
	a := lab.newAgent(lab.formerPlatform)
	a.Service = "rangla/catalogue"
	a.Node.Reach = func(to netip.AddrPort) bool { return to == lab.former || isHealed.Load() }
	lab.run(t, a.Run)
	lab.callFormer(t, time.Now().Add(2*time.Second))
	require.Empty(t, lab.Upstreams[lab.upstream.Name].Runs(), "bookings for the former service")
	isHealed.Store(true)
	lab.awaitServed(t)
}
