package jmdirectory

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasminemoor/jasminemoor"
)

var limitedAddr = netip.MustParseAddrPort("198.18.0.1:8443")

// The types of versions without limits of services.
type (
	oldShare struct {
		Service string
		Weight  uint32
	}
	oldRoute struct {
		Name    string
		Address netip.AddrPort
		Timeout time.Duration
		Shares  []oldShare
	}
	oldRouteItem struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
		Address  netip.AddrPort
		Route    *oldRoute
	}
)

// TestRouteItemOfOtherVersions reads an item of an earlier version, and has that read an
// item of this one.
func TestRouteItemOfOtherVersions(t *testing.T) {
	old := oldRouteItem{Address: limitedAddr, Route: &oldRoute{
		Name: "r1", Address: limitedAddr, Timeout: time.Second, Shares: []oldShare{{Service: "shop", Weight: 3}},
	}}
	item := RouteItem{Address: limitedAddr, Route: &jasminemoor.Route{
		Name: "r1", Address: limitedAddr, Timeout: time.Second,
		Shares: []jasminemoor.Share{{Service: "shop", Weight: 3, ColdRate: 12.5}},
	}}
	text, err := msgpack.Marshal(&item)
	require.NoError(t, err)
	var gotOld oldRouteItem
	require.NoError(t, msgpack.Unmarshal(text, &gotOld))
	require.Equal(t, old, gotOld)
	var got RouteItem
	require.NoError(t, msgpack.Unmarshal(text, &got))
	require.Equal(t, item, got)

	text, err = msgpack.Marshal(&old)
	require.NoError(t, err)
	got = RouteItem{}
	require.NoError(t, msgpack.Unmarshal(text, &got))
	item.Route.Shares[0].ColdRate = 0
	require.Equal(t, item, got)
}

// TestColdRateIsReplicated passes the limit of a service on, also by way of a process of
// an earlier version, and changes and removes it.
func TestColdRateIsReplicated(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	routing := func(version uint64, rate float64) *jasminemoor.DirectoryChanges {
		r := &jasminemoor.Routing{
			Version:  version,
			Routes:   []jasminemoor.Route{{Address: limitedAddr, Shares: []jasminemoor.Share{{Service: "shop", Weight: 1}}}},
			Services: []jasminemoor.ServiceLimits{{Service: "shop", ColdRate: rate}, {Service: "desk", ColdRate: 1}},
		}
		return &jasminemoor.DirectoryChanges{Revision: jasminemoor.Revision(version), Entries: []jasminemoor.Entry{{Key: "config", Revision: jasminemoor.Revision(version), Routing: r}}}
	}
	var reader, peer replica
	for i, rate := range []float64{12.5, 12.5, 20, 0, 5} {
		reader.applyEntries(now, routing(uint64(i)+1, rate), false)
		items, isWhole := reader.delta(&PullRequest{Since: peer.revision})
		unlimited := slices.Clone(items)
		for at := range unlimited {
			if item := &unlimited[at]; item.Route != nil {
				route := *item.Route.Route
				route.Shares = []jasminemoor.Share{{Service: "shop", Weight: 1}}
				item.Route = &RouteItem{Address: limitedAddr, Route: &route}
			}
		}
		peer.mergeAll(now, unlimited, peer.revision, false)
		peer.mergeAll(now, items, reader.revision, isWhole)
		for _, r := range []*replica{&reader, &peer} {
			service := r.view(now).Services["shop"]
			if rate == 0 {
				require.Nil(t, service)
				continue
			}
			require.InDelta(t, rate, service.ColdRate, 0)
			require.Empty(t, service.Upstreams)
		}
	}
}
