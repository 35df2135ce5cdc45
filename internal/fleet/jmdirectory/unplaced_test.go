package jmdirectory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminemoor/jasminemoor"
)

func idsOf(upstreams []*Upstream) (ids []string) {
	for _, u := range upstreams {
		ids = append(ids, u.ID)
	}
	return ids
}

// TestUnplacedUpstreams covers the upstreams that get no new flows but may hold open ones.
func TestUnplacedUpstreams(t *testing.T) {
	later := upstreamEntry(1, 3)
	later.Key, later.Upstream.ID, later.Upstream.Service, later.Upstream.Born = "u/x-1", "x-1", "desk", 500
	removed := jasminemoor.Entry{Key: "u/x-1", Revision: 4}
	next := upstreamEntry(1, 3)
	next.Key, next.Upstream.ID, next.Upstream.Born = "u/x-1", "x-1", 500
	cases := map[string]struct {
		entries []jasminemoor.Entry
		shop    []string // unplaced ones
		desk    []string
		holds   string // the ID of the upstream that the address has
	}{
		"one entry":                      {[]jasminemoor.Entry{namedRouting(1, 1, "shop", "desk"), upstreamEntry(1, 2)}, nil, nil, "a"},
		"newer entry of another service": {[]jasminemoor.Entry{namedRouting(1, 1, "shop", "desk"), upstreamEntry(1, 2), later}, []string{"a"}, nil, "x-1"},
		"next run of the same service, as after a power failure": {[]jasminemoor.Entry{namedRouting(1, 1, "shop", "desk"), upstreamEntry(1, 2), next}, nil, nil, "x-1"},
		"which is removed":                        {[]jasminemoor.Entry{namedRouting(1, 1, "shop", "desk"), upstreamEntry(1, 2), later, removed}, nil, []string{"x-1"}, "a"},
		"service that is not named any more":      {[]jasminemoor.Entry{namedRouting(1, 1, "shop", "desk"), upstreamEntry(1, 2), namedRouting(2, 5, "shop")}, nil, nil, "a"},
		"newer entry of a service, not yet named": {[]jasminemoor.Entry{namedRouting(1, 1, "shop"), upstreamEntry(1, 2), later}, nil, []string{"x-1"}, "a"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var r replica
			for i, e := range tc.entries {
				c := &jasminemoor.DirectoryChanges{Revision: e.Revision, Entries: []jasminemoor.Entry{e}}
				r.applyEntries(startTime.Add(time.Duration(i)*time.Second), c, i == 0)
			}
			v := r.view(startTime.Add(5 * time.Second))
			own := upstreamEntry(1, 2).Upstream.ID
			for i := range tc.shop {
				tc.shop[i] = own
			}
			if tc.holds == "a" {
				tc.holds = own
			}
			require.Equal(t, tc.shop, idsOf(v.Unplaced["shop"]))
			require.Equal(t, tc.desk, idsOf(v.Unplaced["desk"]))
			require.Equal(t, tc.holds, v.Upstreams[upstreamEntry(1, 2).Upstream.Address].ID)
			require.Equal(t, tc.holds, v.Agents[agentAddr(1)].ID)
		})
	}
}

// TestUpstreamsOfServiceThatIsNotNamed has a configuration leave a service out. Its upstreams get
// no new flows, but are known to searches and as senders of packets.
func TestUpstreamsOfServiceThatIsNotNamed(t *testing.T) {
	var r replica
	own := upstreamEntry(1, 2)
	own.Upstream.Service = "desk"
	r.applyEntries(startTime, &jasminemoor.DirectoryChanges{Revision: 2, Entries: []jasminemoor.Entry{namedRouting(1, 1, "shop"), own}}, true)
	v := r.view(startTime)
	require.Equal(t, []string{own.Upstream.ID}, idsOf(v.Unplaced["desk"]))
	require.NotContains(t, v.Services, "desk")
	require.Empty(t, v.Upstreams)
	require.Equal(t, own.Upstream.ID, v.Agents[agentAddr(1)].ID)
}
