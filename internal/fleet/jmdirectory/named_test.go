package jmdirectory

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
)

// foreignEntry returns an entry of a service that no configuration names, at the address of
// upstream i.
func foreignEntry(i int, revision jasminemoor.Revision, born int64) jasminemoor.Entry {
	id := fmt.Sprint("x-", i)
	return jasminemoor.Entry{Key: "u/" + id, Revision: revision, Upstream: &jasminemoor.ListedUpstream{
		ID: id, Service: "exporter", Address: netip.AddrPortFrom(agentAddr(i), 8080), Slots: 1, Born: born,
	}}
}

func namedRouting(version uint64, revision jasminemoor.Revision, services ...string) jasminemoor.Entry {
	e := routingEntry(version, revision, 1)
	e.Routing.Services = []jasminemoor.ServiceLimits{}
	for _, name := range services {
		e.Routing.Services = append(e.Routing.Services, jasminemoor.ServiceLimits{Service: name})
	}
	return e
}

// TestForeignServiceDisplacesNoUpstream lists an entry of a service that the configuration does
// not name at the address of an upstream, with a later start.
func TestForeignServiceDisplacesNoUpstream(t *testing.T) {
	address := netip.AddrPortFrom(agentAddr(1), 8080)
	config, own, foreign := namedRouting(1, 1, "shop"), upstreamEntry(1, 2), foreignEntry(1, 3, 500)
	orders := map[string][]jasminemoor.Entry{
		"configuration first": {config, own, foreign},
		"configuration last":  {own, foreign, config},
		"foreign entry first": {foreign, own, config},
	}
	for name, entries := range orders {
		t.Run(name, func(t *testing.T) {
			var r replica
			for i, e := range entries {
				e.Revision = jasminemoor.Revision(i + 1)
				c := &jasminemoor.DirectoryChanges{Revision: e.Revision, Entries: []jasminemoor.Entry{e}}
				r.applyEntries(startTime.Add(time.Duration(i)*time.Second), c, i == 0)
			}
			v := r.view(startTime.Add(time.Minute))
			require.Equal(t, "shop", v.Upstreams[address].Service)
			require.False(t, v.Upstreams[address].ListedSince.IsZero())
			require.Equal(t, "shop", v.Agents[address.Addr()].Service)
			require.Len(t, v.Services["shop"].Upstreams, 1)
			require.NotContains(t, v.Services, "exporter")
			require.Equal(t, map[string]string{"u/x-1": "exporter"}, v.Unnamed)
		})
	}
}

// TestServiceNamedLater lists an upstream before the configuration that names its service, and
// takes the service out of the routes again.
func TestServiceNamedLater(t *testing.T) {
	address := netip.AddrPortFrom(agentAddr(1), 8080)
	var r replica
	r.applyEntries(startTime, &jasminemoor.DirectoryChanges{Revision: 2, Entries: []jasminemoor.Entry{
		namedRouting(1, 1, "shop"), foreignEntry(1, 2, 1),
	}}, true)
	require.Empty(t, r.view(startTime).Upstreams)
	next := namedRouting(2, 3, "shop")
	next.Routing.Routes[0].Shares = []jasminemoor.Share{{Service: "exporter", Weight: 1}}
	at := startTime.Add(time.Second)
	r.applyEntries(at, &jasminemoor.DirectoryChanges{Revision: 3, Entries: []jasminemoor.Entry{next}}, false)
	require.Equal(t, "exporter", r.view(at).Upstreams[address].Service)
	require.Equal(t, at, r.view(at).Upstreams[address].ListedSince, "no view had it before")
	r.applyEntries(at, &jasminemoor.DirectoryChanges{Revision: 4, Entries: []jasminemoor.Entry{namedRouting(3, 4, "shop")}}, false)
	require.Equal(t, "exporter", r.view(at).Upstreams[address].Service, "flows of the route's former service may be open")
}

// TestServicesReachPeers pulls a copy with the services that its configuration lists.
func TestServicesReachPeers(t *testing.T) {
	var a, b replica
	a.applyEntries(startTime, &jasminemoor.DirectoryChanges{Revision: 4, Entries: []jasminemoor.Entry{
		namedRouting(1, 1, "shop", "desk"), upstreamEntry(1, 2), foreignEntry(1, 3, 500), foreignEntry(2, 4, 1),
	}}, true)
	items, isWhole := a.delta(&PullRequest{})
	b.mergeAll(startTime, items, a.revision, isWhole)
	require.Equal(t, a.view(startTime).Upstreams, b.view(startTime).Upstreams)
	require.Len(t, b.view(startTime).Upstreams, 1)
	require.Equal(t, []string{"shop", "desk"}, b.services)
}

// TestServicesOfEarlierRelease has a peer of a release that does not pass the services on: all
// count as named, as that peer takes them for.
func TestServicesOfEarlierRelease(t *testing.T) {
	var a, b replica
	a.applyEntries(startTime, &jasminemoor.DirectoryChanges{Revision: 4, Entries: []jasminemoor.Entry{
		namedRouting(1, 1, "shop"), upstreamEntry(1, 2), foreignEntry(2, 4, 1),
	}}, true)
	items, isWhole := a.delta(&PullRequest{})
	stripped := slices.Clone(items)
	for i := range stripped {
		stripped[i].Services = nil
	}
	b.mergeAll(startTime, stripped, a.revision, isWhole)
	require.Len(t, b.view(startTime).Upstreams, 2)
	require.True(t, b.mergeRoutes(startTime, items, isWhole))
	require.Len(t, b.view(startTime).Upstreams, 1)
}

// TestOddEntriesChangeNoView applies random changes to two copies, one of which gets odd entries
// among them. The views must be the same at each step.
func TestOddEntriesChangeNoView(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var valid, all replica
		now, version := startTime, uint64(0)
		for revision := jasminemoor.Revision(1); revision < 60; revision++ {
			now = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			e, isOdd := randomEntry(rng, revision, &version)
			isWhole := revision == 1
			apply := func(r *replica, entries ...jasminemoor.Entry) {
				r.applyEntries(now, &jasminemoor.DirectoryChanges{Revision: revision, Entries: entries}, isWhole)
				r.asOf = now
				r.expire(now)
			}
			apply(&all, e)
			if isOdd {
				apply(&valid)
			} else {
				apply(&valid, e)
			}
			want, got := valid.view(now), all.view(now)
			got.Unnamed = want.Unnamed
			// Only searches for holders read these.
			delete(got.Unplaced, "exporter")
			for addr, u := range got.Agents {
				if u.Service == "exporter" {
					require.NotContains(t, want.Agents, addr)
					delete(got.Agents, addr)
				}
			}
			require.Equal(t, want, got, "seed %d, revision %d, entry %+v %+v", seed, revision, e, e.Upstream)
		}
	}
}

// randomEntry returns a change of the configuration, of an upstream, or an odd one.
func randomEntry(rng *rand.Rand, revision jasminemoor.Revision, version *uint64) (e jasminemoor.Entry, isOdd bool) {
	i := rng.IntN(4)
	switch kind := rng.IntN(10); {
	case revision == 1 || kind == 0:
		*version++
		e = namedRouting(*version, revision, "shop", "desk")
		e.Routing.Routes[0].Shares[0].Service = []string{"shop", "desk"}[rng.IntN(2)]
		return e, false
	case kind < 4:
		e = foreignEntry(i, revision, rng.Int64N(5)*60_000)
		if rng.IntN(4) == 0 {
			e.Upstream = nil // can't be read, or removed
		}
		return e, true
	}
	e = upstreamEntry(i, revision)
	e.Upstream.Born = rng.Int64N(3) * 60_000
	e.Upstream.State = jasminemoor.UpstreamState(rng.IntN(2))
	if rng.IntN(4) == 0 {
		e.Upstream = nil
	}
	return e, false
}
