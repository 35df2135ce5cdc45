package jmdirectory

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasminemoor/jasminemoor"
)

// earlierItem is the form of Item before evacuations.
type earlierItem struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Revision uint64
	Route    *RouteItem
	Upstream *UpstreamItem
	Common   *CommonItem
}

// laterItem has a field that is not known yet.
type laterItem struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Revision   uint64
	Route      *RouteItem
	Upstream   *UpstreamItem
	Common     *CommonItem
	Evacuation *EvacuationItem
	Since      uint64
	Services   []string
	Other      map[string]int
}

// TestItemsOfOtherVersions has a process read items of earlier and later versions, and an
// earlier one read those that it knows of.
func TestItemsOfOtherVersions(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	upstream := &UpstreamItem{Key: "u", Upstream: &jasminemoor.ListedUpstream{ID: "u", Address: addr}}
	item := Item{Revision: 7, Upstream: upstream}
	evacuation := Item{Revision: 9, Evacuation: &EvacuationItem{DataCentre: "a", IsActive: true}}
	common := Item{Revision: 9, Common: &CommonItem{Version: 3}, Since: 2}
	services := Item{Revision: 9, Common: &CommonItem{Version: 3}, Services: []string{"shop"}}
	noServices := Item{Revision: 9, Common: &CommonItem{Version: 3}, Since: 2, Services: []string{}}
	transfer := func(from, to any) error {
		body, err := msgpack.Marshal(from)
		require.NoError(t, err)
		return msgpack.Unmarshal(body, to)
	}

	var got []Item
	require.NoError(t, transfer([]Item{item, evacuation, common, services, noServices}, &got))
	require.Equal(t, []Item{item, evacuation, common, services, noServices}, got)

	var earlier []earlierItem
	require.NoError(t, transfer([]Item{item}, &earlier))
	require.Equal(t, []earlierItem{{Revision: 7, Upstream: upstream}}, earlier)
	require.Error(t, transfer([]Item{evacuation}, &earlier))

	got = nil
	require.NoError(t, transfer([]earlierItem{{Revision: 7, Upstream: upstream}}, &got))
	require.Equal(t, []Item{item}, got)

	got = nil
	require.NoError(t, transfer([]laterItem{{Revision: 9, Evacuation: evacuation.Evacuation, Other: map[string]int{"x": 1}}}, &got))
	require.Equal(t, []Item{evacuation}, got)

	var short Item
	require.Error(t, transfer([]int{1, 2}, &short))
}
